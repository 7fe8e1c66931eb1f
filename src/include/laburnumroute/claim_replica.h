/// Claim storage on one claim host.
#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <laburnumroute/claims.h>
#include <laburnumroute/participant.h>
#include <laburnumroute/storage.h>

namespace laburnum {

namespace pvt {
    struct ClaimRequest;
    struct ClaimEndNotice;
}

/// Limits of a claim host.
struct ClaimLimits {
    /// Time for which an ended claim is kept, counted from its end or from a restart.
    Duration retention = std::chrono::hours(24);
    /// Maximum number of claims; beyond it new claims are rejected.
    std::size_t maxClaims = 200'000;
    /// Maximum total body size of stored responses. Beyond it the oldest responses are discarded,
    /// but their claims are kept.
    std::size_t maxResponseBytes = std::size_t { 64 } * 1024 * 1024;
    /// Journal size from which it is rewritten when at least half of it is obsolete.
    std::size_t minRewriteBytes = std::size_t { 4 } * 1024 * 1024;
};

/// A stored claim.
struct ClaimRecord {
    ClaimId id;
    std::string fingerprint;
    /// nullopt while the request is being executed.
    std::optional<ClaimOutcome> outcome;
    std::optional<StoredResponse> response;
    /// While the request is being executed: when its outcome becomes unknown. After its end: when
    /// the claim is removed.
    TimePoint expires;
};

/// Grants and stores claims. Replies are sent in tick(), after a single sync of all changes since
/// the previous tick. After a failed write or sync it ignores all messages and grants nothing; a
/// new replica must be opened.
class ClaimReplica final : public Participant {
public:
    /// Keeps a reference to `storage`. `nonce` must be unique among all processes that ever ran on
    /// this host. open() must be called first.
    ClaimReplica(HostId self, ClaimPlacement placement, ClaimLimits limits, Storage& storage,
        std::string nonce);

    /// Loads the journal. Corrupt names the file and the offset; a torn tail is truncated.
    Expected<void> open(TimePoint now);

    std::vector<std::string> methods() const override;
    void receive(const PeerMessage& message, TimePoint now, Outbox& out) override;
    void tick(TimePoint now, Outbox& out) override;
    Duration tickInterval() const override { return std::chrono::milliseconds(1); }

    std::size_t size() const noexcept { return m_claims.size(); }
    std::size_t responseBytes() const noexcept { return m_responseBytes; }
    /// Whether this host can grant claims on all keys that are assigned to it.
    bool ready() const noexcept { return m_ready; }
    /// Whether a write or sync has failed.
    bool storageFailed() const noexcept { return m_storageFailed; }

private:
    using Claims = std::map<ClaimKey, ClaimRecord>;

    /// Progress of fetching from another claim host during recovery.
    struct PeerFetch {
        bool complete = false;
        bool withoutHistory = false;
        /// The peer became ready as part of a new fleet, while this process was new too. This host
        /// has therefore never granted a claim.
        bool confirmsNewHost = false;
        std::string nonce;
        std::string position;
    };

    void onRequest(const PeerMessage& message, TimePoint now);
    void onEnd(const PeerMessage& message, TimePoint now);
    void onFetch(const PeerMessage& message, TimePoint now, Outbox& out);
    void onFetched(const PeerMessage& message, TimePoint now, Outbox& out);
    void grantNew(const PeerMessage& message, const pvt::ClaimRequest& request, TimePoint now);
    void replyHeld(const PeerMessage& message, const pvt::ClaimRequest& request,
        const ClaimRecord& held, TimePoint now);
    void applyEnd(const pvt::ClaimEndNotice& notice, TimePoint now);

    bool mayGrant(const ClaimKey& key) const;
    void updateReady(TimePoint now);
    void fetch(TimePoint now, Outbox& out);
    void sendFetch(const HostId& peer, const PeerFetch& state, Outbox& out);

    /// insert() and erase() change the record in memory only and update m_responseBytes.
    void insert(const ClaimKey& key, ClaimRecord record);
    void erase(const ClaimKey& key);
    void store(const ClaimKey& key, ClaimRecord record, TimePoint now);
    void remove(const ClaimKey& key);
    void forgetExpired(TimePoint now);
    void dropOldResponses(TimePoint now);
    void appendJournal(const Json::Value& entry);
    void syncJournal();
    void rewriteJournal(TimePoint now);
    Expected<void> loadEntry(const Json::Value& entry, TimePoint now);

    HostId m_self;
    std::string m_nonce;
    ClaimPlacement m_placement;
    ClaimLimits m_limits;
    Storage& m_storage;
    Claims m_claims;
    std::map<ClaimId, TimePoint> m_released;
    std::deque<ClaimKey> m_responseOrder;
    std::size_t m_responseBytes = 0;
    std::map<HostId, PeerFetch> m_peers;
    /// Nonces of the peers that were new when this host became ready as part of a new fleet.
    std::map<HostId, std::string> m_newPeers;
    std::vector<PeerMessage> m_repliesAfterSync;
    std::string m_unwritten;
    std::size_t m_journalBytes = 0;
    TimePoint m_started;
    TimePoint m_nextFetch;
    TimePoint m_nextSweep;
    bool m_ready = false;
    /// Whether the data folder holds every grant since this host first became ready, possibly for a
    /// different list of claim hosts.
    bool m_hasHistory = false;
    bool m_storageFailed = false;
};

} // namespace laburnum
