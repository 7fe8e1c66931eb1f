/// Spread of configuration versions from host to host, without control hosts.
///
/// A host that puts a new revision in force offers it to a few random peers until they acknowledge;
/// each of them does the same. Every host exchanges revisions with a random peer at intervals, and
/// the one that lags is sent the content. Content travels only to a host that lacks it.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include <laburnumroute/config_holder.h>
#include <laburnumroute/config_store.h>
#include <laburnumroute/participant.h>
#include <laburnumroute/random.h>

namespace laburnum {

/// Times and limits of the spread.
struct ConfigGossipSettings {
    /// Peers to which a host offers a revision that it has just put in force.
    unsigned fanOut = 3;
    /// Interval of the exchange of revisions with a random peer.
    Duration exchangeInterval = std::chrono::milliseconds(500);
    /// Time without an answer after which an offer or a request for content is repeated.
    Duration answerTimeout = std::chrono::milliseconds(400);
    /// Offers to one peer before the host leaves it to the exchange.
    unsigned maxOffers = 4;
    /// Content up to this size is sent at once to a host that says that it lags, and unasked to a
    /// peer that left several offers unanswered, as it may hear without being heard. Larger content
    /// is sent only when asked for.
    std::size_t smallContentBytes = std::size_t { 16 } * 1024;
    /// Time for which a host that starts without a version collects offers and then takes the best.
    Duration startWait = std::chrono::milliseconds(500);
    /// Interval at which a version that could not be stored is stored again.
    Duration storeRetry = std::chrono::seconds(1);
    /// Rows about other hosts in one exchange.
    std::size_t rowsPerExchange = 16;
};

/// What a host is known to have in force.
struct HostRevision {
    HostId host;
    Revision revision;
    /// Time since the host said so; nothing when it has not been heard of.
    std::optional<Duration> age;
};

/// One host's part in the spread. A version is stored before it is in force and announced.
class ConfigGossip final : public Participant {
public:
    /// Takes up the version that `storage` holds. `storage` may be null (no disk) and must outlive
    /// this object. `peers` are all other hosts.
    ConfigGossip(HostId self, std::vector<HostId> peers, Storage* storage, std::uint64_t seed,
        ConfigGossipSettings settings = {});

    /// Puts `version` in force if it is newer, and spreads it; for control hosts.
    void adopt(const ConfigVersion& version, TimePoint now, Outbox& out);
    /// The newest version in force that has not been taken yet; nothing when there is no news.
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
    struct Sighting {
        Revision revision;
        TimePoint at;
        /// Exchanges that told of this revision.
        unsigned told = 0;
    };

    void receiveOffer(const PeerMessage& message, TimePoint now, Outbox& out);
    void receiveWant(const PeerMessage& message, TimePoint now, Outbox& out);
    void receiveContent(const PeerMessage& message, TimePoint now, Outbox& out);
    void receiveAck(const PeerMessage& message, TimePoint now, Outbox& out);
    void receiveDigest(const PeerMessage& message, TimePoint now, Outbox& out);

    void start(TimePoint now, Outbox& out);
    void storeAndApply(TimePoint now, Outbox& out);
    void startPush(TimePoint now);
    void push(const HostId& peer, PendingOffer& offer, TimePoint now, Outbox& out);
    void consider(const HostId& from, Revision revision, TimePoint now, Outbox& out);
    void wantFromAhead(TimePoint now, Outbox& out);
    void want(const HostId& from, Revision revision, TimePoint now, Outbox& out);
    std::vector<HostId> leastTold() const;
    void note(const HostId& host, Revision revision, TimePoint at);
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
    /// Lower revisions than this were once exceeded here and never come back.
    Revision m_lowest;
    std::vector<std::string> m_problems;
    bool m_hasNews = false;
    /// Received, newer than what is in force, and not yet stored.
    std::optional<ConfigVersion> m_unstored;
    TimePoint m_nextStore;

    std::map<HostId, PendingOffer> m_offers;
    std::map<HostId, Sighting> m_sightings;
    std::optional<TimePoint> m_startEnds;
    TimePoint m_nextExchange;
    /// The request for content that is under way.
    Revision m_wanted;
    TimePoint m_wantEnds;
    /// The best offer that came while the host still collects offers.
    std::optional<std::pair<HostId, Revision>> m_bestOffer;
};

} // namespace laburnum
