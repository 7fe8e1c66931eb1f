/// Spread of the directory of instances from host to host.
///
/// An upstream announces itself to any host. New content (a new instance, a drain) is pushed at
/// once to a few random peers, which push it on. Renewals travel as short rows in exchanges with
/// random peers: each side learns the versions in which the other is ahead, and asks for records
/// whose content it has never seen.
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

/// Times and limits of the spread.
struct InstanceGossipSettings {
    /// Interval of the exchange with one random peer.
    Duration exchangeInterval = std::chrono::milliseconds(500);
    /// Peers to which new content is pushed.
    unsigned fanOut = 3;
    /// Peers to which a drain is pushed each time.
    unsigned drainFanOut = 5;
    /// Times that a host pushes a drain, each time to other peers.
    unsigned drainPushes = 4;
    /// Interval between these pushes.
    Duration drainPushInterval = std::chrono::milliseconds(300);
    /// Rows in one message; a larger directory takes several exchanges.
    std::size_t rowsPerMessage = 256;
    /// Records in one message, and keys in one request for records.
    std::size_t recordsPerMessage = 64;
    /// Records pushed per second, drains apart; the rest waits for exchanges.
    unsigned pushesPerSecond = 64;
};

/// What became of an announcement.
enum class AnnounceResult {
    Accepted,
    /// The very same announcement was known; a resend.
    Repeated,
    /// A newer one is known; the upstream must raise its version, or its incarnation if it has
    /// announced a drain.
    Superseded,
};

/// A change to which the shell reacts. `removed` means that the lease ran out.
struct InstanceChange {
    InstanceRecord record;
    bool removed = false;
};

/// One host's part in the spread.
class InstanceGossip final : public Participant {
public:
    /// `peers` are all other hosts.
    InstanceGossip(HostId self, std::vector<HostId> peers, std::uint64_t seed,
        InstanceGossipSettings settings = {});

    /// Handles an announcement that this host received. Without regard to setServices().
    AnnounceResult announce(const InstanceRecord& record, TimePoint now);
    /// Keeps only instances of `services` from now on; nothing means of all.
    void setServices(std::optional<std::set<ServiceId>> services);
    /// Changes since the last call, in order. Renewals appear only when the load changed coarsely.
    std::vector<InstanceChange> takeChanges() { return std::exchange(m_changes, {}); }
    const InstanceDirectory& directory() const noexcept { return m_directory; }

    std::vector<std::string> methods() const override;
    void receive(const PeerMessage& message, TimePoint now, Outbox& out) override;
    void tick(TimePoint now, Outbox& out) override;

private:
    void receiveDigest(const PeerMessage& message, TimePoint now, Outbox& out);
    void receiveDelta(const PeerMessage& message, TimePoint now, Outbox& out);

    void applyRows(
        const std::vector<pvt::InstanceRow>& rows, TimePoint now, pvt::InstanceDelta& answer);
    void receiveRecord(const pvt::AgedRecord& item, TimePoint now, pvt::InstanceDelta& answer);
    void addNewer(std::uint64_t first, std::uint64_t last,
        const std::vector<pvt::InstanceRow>& known,
        const std::optional<std::set<ServiceId>>& services, TimePoint now,
        pvt::InstanceDelta& answer) const;
    void addRecord(const DirectoryEntry& entry, TimePoint now, pvt::InstanceDelta& answer) const;
    MergeResult take(const InstanceRecord& record, Duration age, TimePoint now);
    struct DrainPush {
        unsigned left = 0;
        TimePoint next;
    };

    void noteChange(const DirectoryEntry& entry, MergeResult result, double oldLoad);
    void sendDigest(const HostId& to, TimePoint now, Outbox& out);
    void expire(TimePoint now);
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
    /// Keys of instances that this host does not serve, so that it does not ask for them again.
    std::set<std::uint64_t> m_unserved;
    /// Instances whose new content is still to be pushed.
    std::set<InstanceId> m_unpushed;
    /// Drains that are still to be pushed again.
    std::map<InstanceId, DrainPush> m_drainPushes;
    double m_pushAllowance = 0.0;
    TimePoint m_lastPush;
    TimePoint m_nextExchange;
    TimePoint m_nextExpiry;
    /// First key of the next digest.
    std::uint64_t m_keyCursor = 0;
};

} // namespace laburnum
