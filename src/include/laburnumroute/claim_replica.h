/// The claims that one claim host keeps for the fleet.
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
    /// Time that an ended claim is remembered, counted from its end or from a restart.
    Duration retention = std::chrono::hours(24);
    /// Claims remembered; beyond it new claims are refused.
    std::size_t maxClaims = 200'000;
    /// Bytes of stored answers; beyond it the oldest answers are dropped, their claims are not.
    std::size_t maxAnswerBytes = std::size_t { 64 } * 1024 * 1024;
    /// Size from which the journal is rewritten when most of it is out of date.
    std::size_t minRewriteBytes = std::size_t { 4 } * 1024 * 1024;
};

/// One remembered claim.
struct ClaimRecord {
    ClaimId id;
    std::string fingerprint;
    /// Nothing while the request runs.
    std::optional<ClaimOutcome> end;
    std::optional<StoredResponse> answer;
    /// While it runs: the instant after which its outcome counts as unknown. Ended: when it is
    /// forgotten.
    TimePoint expires;
};

/// Grants and remembers claims. Replies leave in tick(), after one sync for all changes since the
/// last tick. After a failed write or sync it grants nothing more until it is opened anew.
class ClaimReplica final : public Participant {
public:
    /// Keeps a reference to `storage`. `life` differs between any two processes that ever ran on
    /// this host. open() comes before any other call.
    ClaimReplica(HostId self, ClaimPlacement placement, ClaimLimits limits, Storage& storage,
        std::string life);

    /// Reads the journal. Corrupt names the file and the offset; a torn tail is cut.
    Expected<void> open(TimePoint now);

    std::vector<std::string> methods() const override;
    void receive(const PeerMessage& message, TimePoint now, Outbox& out) override;
    void tick(TimePoint now, Outbox& out) override;
    Duration tickInterval() const override { return std::chrono::milliseconds(1); }

    std::size_t size() const noexcept { return m_claims.size(); }
    std::size_t answerBytes() const noexcept { return m_answerBytes; }
    /// True once it can grant every key that it keeps.
    bool ready() const noexcept { return m_ready; }
    /// True after a failed write or sync.
    bool broken() const noexcept { return m_broken; }

private:
    using Claims = std::map<ClaimKey, ClaimRecord>;

    /// What is known of another claim host while this one recovers.
    struct PeerFetch {
        bool complete = false;
        bool alsoNew = false;
        /// It became ready with this host, in this life, among the hosts that were new then: this
        /// host has never granted anything.
        bool witness = false;
        std::string life;
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

    /// Takes `record` into memory, or a record out of it, and keeps count of answers.
    void insert(const ClaimKey& key, ClaimRecord record);
    void erase(const ClaimKey& key);
    void put(const ClaimKey& key, ClaimRecord record, TimePoint now);
    void drop(const ClaimKey& key);
    void forgetExpired(TimePoint now);
    void dropOldAnswers(TimePoint now);
    void journal(const Json::Value& entry);
    void syncJournal();
    void rewriteJournal(TimePoint now);
    Expected<void> loadEntry(const Json::Value& entry, TimePoint now);

    HostId m_self;
    std::string m_life;
    ClaimPlacement m_placement;
    ClaimLimits m_limits;
    Storage& m_storage;
    Claims m_claims;
    std::map<ClaimId, TimePoint> m_released;
    std::deque<ClaimKey> m_answerOrder;
    std::size_t m_answerBytes = 0;
    std::map<HostId, PeerFetch> m_peers;
    /// Lives of the peers that were new when this host became ready as one of a new fleet.
    std::map<HostId, std::string> m_newWith;
    std::vector<PeerMessage> m_afterSync;
    std::string m_unwritten;
    std::size_t m_journalBytes = 0;
    TimePoint m_started;
    TimePoint m_nextFetch;
    TimePoint m_nextSweep;
    bool m_ready = false;
    /// The data folder has kept every grant since this host was first ready, perhaps for another
    /// list of claim hosts.
    bool m_hasHistory = false;
    bool m_broken = false;
};

} // namespace laburnum
