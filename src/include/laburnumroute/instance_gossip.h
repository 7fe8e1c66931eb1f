/// Gossip protocol that distributes the instance directory between hosts.
///
/// An instance announces itself to any host. New content (a new instance, a drain) is pushed at
/// once to a few random peers, which push it on. Lease renewals are sent as short rows in periodic
/// exchanges with random peers: each side receives the versions in which the other is ahead, and
/// requests the records of unknown content keys.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include <laburnumroute/instance_directory.h>
#include <laburnumroute/participant.h>
#include <laburnumroute/random.h>

namespace laburnum {

namespace pvt {
    struct AgedRecord;
    struct InstanceDelta;
    struct InstanceRow;
} // namespace pvt

/// Timeouts and limits of instance gossip.
struct InstanceGossipSettings {
    /// Interval between exchanges with a random peer.
    Duration exchangeInterval = std::chrono::milliseconds(500);
    /// Number of peers to which new content is pushed.
    unsigned fanOut = 3;
    /// Number of peers to which a drain is pushed each time.
    unsigned drainFanOut = 5;
    /// Number of times a host pushes a drain, each time to newly chosen peers.
    unsigned drainPushes = 4;
    /// Interval between these pushes.
    Duration drainPushInterval = std::chrono::milliseconds(300);
    /// Rows per message; a larger directory takes several exchanges.
    std::size_t rowsPerMessage = 256;
    /// Records per message, and keys per request for records.
    std::size_t recordsPerMessage = 64;
    /// Records pushed per second, not counting drains; others wait for the exchanges.
    unsigned pushesPerSecond = 64;
    /// Number of additional peers contacted at each expiry check while a lease is close to its end
    /// (InstanceDirectory::isAnyLeaseEnding()).
    unsigned renewalFanOut = 2;
};

/// Result of an announcement.
enum class AnnounceResult {
    Accepted,
    /// The same announcement is already known; a retransmission.
    Duplicate,
    /// A newer announcement is known. The instance must use a higher version, or a higher
    /// incarnation if it has announced a drain.
    Superseded,
};

/// A change of the directory. `removed` means that the lease ran out.
struct InstanceChange {
    InstanceRecord record;
    bool removed = false;
};

/// The protocol state of one host.
class InstanceGossip final : public Participant {
public:
    /// `peers` are all other hosts.
    InstanceGossip(HostId self, std::vector<HostId> peers, std::uint64_t seed,
        InstanceGossipSettings settings = {});

    /// Handles an announcement received by this host, for any service regardless of setServices().
    AnnounceResult announce(const InstanceRecord& record, TimePoint now);
    /// Accepts only instances of `services` from peers from now on; nullopt means all services.
    void setServices(std::optional<std::set<ServiceId>> services);
    /// Changes since the last call, in order. A renewal is included only if the load changed by at
    /// least 0.05.
    std::vector<InstanceChange> takeChanges() { return std::exchange(m_changes, {}); }
    const InstanceDirectory& directory() const noexcept { return m_directory; }

    std::vector<std::string> methods() const override;
    void receive(const PeerMessage& message, TimePoint now, Outbox& out) override;
    void tick(TimePoint now, Outbox& out) override;

private:
    void receiveDigest(const PeerMessage& message, TimePoint now, Outbox& out);
    void receiveDelta(const PeerMessage& message, TimePoint now, Outbox& out);

    void applyRows(
        const std::vector<pvt::InstanceRow>& rows, TimePoint now, pvt::InstanceDelta& reply);
    void receiveRecord(const pvt::AgedRecord& item, TimePoint now, pvt::InstanceDelta& reply);
    void addNewer(std::uint64_t first, std::uint64_t last,
        const std::vector<pvt::InstanceRow>& known,
        const std::optional<std::set<ServiceId>>& services, TimePoint now,
        pvt::InstanceDelta& reply) const;
    void addRecord(const DirectoryEntry& entry, TimePoint now, pvt::InstanceDelta& reply) const;
    MergeResult mergeRecord(const InstanceRecord& record, Duration age, TimePoint now);
    struct DrainPush {
        unsigned left = 0;
        TimePoint next;
    };

    void recordChange(const DirectoryEntry& entry, MergeResult result, double oldLoad);
    void sendDigest(const HostId& to, TimePoint now, Outbox& out);
    void expire(TimePoint now);
    void requestRenewals(TimePoint now, Outbox& out);
    void pushChanged(TimePoint now, Outbox& out);
    void pushDrains(TimePoint now, Outbox& out);
    void pushRecords(
        const std::vector<InstanceId>& ids, unsigned fanOut, TimePoint now, Outbox& out);
    bool isServed(const ServiceId& service) const;

    HostId m_self;
    std::vector<HostId> m_peers;
    Random m_random;
    InstanceGossipSettings m_settings;
    std::optional<std::set<ServiceId>> m_services;

    InstanceDirectory m_directory;
    std::vector<InstanceChange> m_changes;
    /// Content keys of services not served here, so that their records are not requested again.
    std::set<std::uint64_t> m_unserved;
    /// Instances whose new content has yet to be pushed.
    std::set<InstanceId> m_pendingPushes;
    /// Drains that have yet to be pushed again.
    std::map<InstanceId, DrainPush> m_drainPushes;
    double m_pushTokens = 0.0;
    TimePoint m_lastPush;
    TimePoint m_nextExchange;
    TimePoint m_nextExpiry;
    /// First key of the next digest.
    std::uint64_t m_keyCursor = 0;
};

} // namespace laburnum
