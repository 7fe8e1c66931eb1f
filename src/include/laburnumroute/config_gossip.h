/// Gossip protocol that distributes configuration versions from host to host. Control hosts feed
/// new versions in through adopt(). A version is a revision number, a change id and the content.
///
/// A host that activates a new revision offers it to a few random peers until they acknowledge it;
/// each of them does the same. In addition, every host periodically exchanges revisions with a
/// random peer (anti-entropy), and the peer with the lower revision gets the content. Content is
/// sent only to hosts known to lack it, and small content also to hosts that do not answer offers.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include <laburnumroute/config_holder.h>
#include <laburnumroute/config_store.h>
#include <laburnumroute/participant.h>
#include <laburnumroute/random.h>

namespace laburnum {

/// Timeouts and limits of configuration gossip.
struct ConfigGossipSettings {
    /// Number of peers to which a host offers a revision that it has just activated.
    unsigned fanOut = 3;
    /// Interval between exchanges of revisions with a random peer.
    Duration exchangeInterval = std::chrono::milliseconds(500);
    /// Time without a response after which an offer or a request for content is sent again.
    Duration responseTimeout = std::chrono::milliseconds(400);
    /// Offers sent to a peer that does not acknowledge them; the revision may then reach it through
    /// the periodic exchange or another host.
    unsigned maxOffers = 4;
    /// Content up to this size is sent at once to a host that reports a lower revision, and without
    /// a request to a peer that left several offers unanswered, because its replies may be lost
    /// while messages to it arrive. Larger content is sent only on request.
    std::size_t smallContentBytes = std::size_t { 16 } * 1024;
    /// Time for which a host that starts without a stored version collects offers before it
    /// requests the highest revision offered.
    Duration startupWait = std::chrono::milliseconds(500);
    /// Interval between attempts to store a version after a storage failure.
    Duration storeRetryInterval = std::chrono::seconds(1);
    /// Maximum number of other hosts whose revisions are reported in one digest, the message of the
    /// periodic exchange.
    std::size_t rowsPerExchange = 16;
};

/// The last known active revision of a host.
struct HostRevision {
    HostId host;
    Revision revision;
    /// Time since the host reported the revision, to this host or to one that passed the report on;
    /// nullopt when no report has arrived.
    std::optional<Duration> age;
};

/// The protocol state of one host; for threading see Participant. A version is stored durably
/// before it becomes active and is offered to peers.
class ConfigGossip final : public Participant {
public:
    /// Loads the version from `storage`, which may be null (no disk) and must outlive this object.
    /// `peers` are all other hosts of the fleet.
    ConfigGossip(HostId self, std::vector<HostId> peers, Storage* storage, std::uint64_t seed,
        ConfigGossipSettings settings = {});

    /// Stores and activates `version` if it is newer, and starts offering it to peers. After a
    /// storage failure tick() tries again. Called on control hosts.
    void adopt(const ConfigVersion& version, TimePoint now, Outbox& out);
    /// The active version if it changed since the last call; otherwise nullopt. The first call
    /// returns a version that was loaded from storage.
    std::optional<ConfigVersion> takeNewVersion();
    const ConfigVersion& current() const noexcept { return m_holder.current(); }
    /// One row per configured host, this one included, sorted by id.
    std::vector<HostRevision> revisions(TimePoint now) const;

    std::vector<std::string> methods() const override;
    void receive(const PeerMessage& message, TimePoint now, Outbox& out) override;
    void tick(TimePoint now, Outbox& out) override;

private:
    using Handler = void (ConfigGossip::*)(const PeerMessage&, TimePoint, Outbox&);
    static const std::map<std::string, Handler>& handlers();

    struct PendingOffer {
        unsigned sent = 0;
        TimePoint next;
    };
    struct RevisionReport {
        Revision revision;
        TimePoint reportedAt;
        /// Number of digests that carried this report.
        unsigned timesSent = 0;
    };

    void receiveOffer(const PeerMessage& message, TimePoint now, Outbox& out);
    /// Handles a request for the content.
    void receiveWant(const PeerMessage& message, TimePoint now, Outbox& out);
    void receiveContent(const PeerMessage& message, TimePoint now, Outbox& out);
    void receiveAck(const PeerMessage& message, TimePoint now, Outbox& out);
    void receiveDigest(const PeerMessage& message, TimePoint now, Outbox& out);

    void start(TimePoint now, Outbox& out);
    void storeAndApply(TimePoint now, Outbox& out);
    void startOffers(TimePoint now);
    void sendOffer(const HostId& peer, PendingOffer& offer, TimePoint now, Outbox& out);
    void handleNewerRevision(const HostId& from, Revision revision, TimePoint now, Outbox& out);
    void requestFromNewerPeer(TimePoint now, Outbox& out);
    void requestContent(const HostId& from, Revision revision, TimePoint now, Outbox& out);
    std::vector<HostId> leastSentReports() const;
    void recordReport(const HostId& host, Revision revision, TimePoint reportedAt);
    void sendDigest(const HostId& to, bool wantsReply, TimePoint now, Outbox& out);
    void sendRevision(const HostId& to, const char* method, Outbox& out) const;
    bool isSmall() const noexcept;
    Revision revision() const noexcept { return m_holder.current().revision; }

    HostId m_self;
    std::vector<HostId> m_peers;
    ConfigStore m_store;
    Random m_random;
    ConfigGossipSettings m_settings;

    ConfigHolder m_holder;
    /// Revisions below this are rejected: this host has already stored this one. It is accepted
    /// again if its stored content was lost.
    Revision m_minRevision;
    std::vector<std::string> m_loadErrors;
    bool m_hasNewVersion = false;
    /// Received and newer than the active version, but not yet stored.
    std::optional<ConfigVersion> m_pendingVersion;
    TimePoint m_nextStoreAttempt;

    std::map<HostId, PendingOffer> m_offers;
    std::map<HostId, RevisionReport> m_reports;
    std::optional<TimePoint> m_startupEnd;
    TimePoint m_nextExchange;
    /// Revision of the outstanding request for content.
    Revision m_requestedRevision;
    TimePoint m_requestDeadline;
    /// The highest offer received during the startup wait.
    std::optional<std::pair<HostId, Revision>> m_bestOffer;
};

} // namespace laburnum
