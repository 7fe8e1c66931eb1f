/// Requests and ends claims on behalf of one entry host.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <laburnumroute/claims.h>
#include <laburnumroute/participant.h>

namespace laburnum {

namespace pvt {
    struct ClaimReply;
}

/// Parameters of a claim, taken from the caller's request.
struct ClaimSpec {
    ClaimKey key;
    /// Distinguishes different requests that use the same key.
    std::string fingerprint;
    /// Time within which the request ends. Without a reported outcome the claim becomes Unknown
    /// afterwards.
    Duration deadline {};
};

/// Runs the claim protocol with the claim hosts of each key. No I/O; not thread-safe.
class ClaimCoordinator final : public Participant {
public:
    using Callback = std::function<void(const ClaimDecision&)>;

    /// Time that a claim request waits for the claim hosts before it fails.
    static constexpr Duration requestTimeout = std::chrono::milliseconds(500);
    /// Interval between retransmissions of an unanswered message.
    static constexpr Duration resendInterval = std::chrono::milliseconds(120);
    /// Time for which the outcome of a claim is retransmitted to a claim host that does not confirm
    /// it.
    static constexpr Duration endTimeout = std::chrono::minutes(2);

    /// `nonce` must be unique among all processes that ever ran on this host.
    ClaimCoordinator(HostId self, ClaimPlacement placement, std::string nonce);

    /// Requests a claim. `callback` is called once, from receive() or tick().
    void begin(const ClaimSpec& spec, Callback callback, TimePoint now, Outbox& out);
    /// Ends a claim that was granted with Run. `response` is stored with Answered; null when it is
    /// too large to store. Unknown claims are ignored.
    void finish(const ClaimId& claim, ClaimOutcome outcome, const StoredResponse* response,
        TimePoint now, Outbox& out);

    std::vector<std::string> methods() const override;
    void receive(const PeerMessage& message, TimePoint now, Outbox& out) override;
    void tick(TimePoint now, Outbox& out) override;
    Duration tickInterval() const override { return std::chrono::milliseconds(20); }

    /// Number of claims that are pending, granted or being ended.
    std::size_t pending() const noexcept
    {
        return m_pendingClaims.size() + m_running.size() + m_ending.size();
    }

private:
    struct PendingClaim {
        ClaimSpec spec;
        std::vector<HostId> replicas;
        std::set<HostId> granted;
        std::set<HostId> replied;
        ClaimVerdict refusal = ClaimVerdict::Unavailable;
        Callback callback;
        TimePoint giveUpTime;
        TimePoint nextSend;
    };
    struct RunningClaim {
        ClaimSpec spec;
        std::vector<HostId> replicas;
    };
    struct EndingClaim {
        std::set<HostId> unconfirmed;
        Json::Value message;
        TimePoint nextSend;
        TimePoint giveUpTime;
    };
    using PendingIterator = std::map<ClaimId, PendingClaim>::iterator;

    void onReply(const PeerMessage& message, TimePoint now, Outbox& out);
    void onConfirmed(const PeerMessage& message);
    void applyReply(PendingIterator pendingClaim, const HostId& from, const pvt::ClaimReply& reply,
        TimePoint now, Outbox& out);
    void resolve(
        PendingIterator pendingClaim, const ClaimDecision& decision, TimePoint now, Outbox& out);
    void sendRequests(const ClaimId& claim, PendingClaim& pendingClaim, TimePoint now, Outbox& out);
    void startEnding(const ClaimId& claim, const RunningClaim& running, ClaimOutcome outcome,
        const StoredResponse* response, TimePoint now, Outbox& out);

    HostId m_self;
    ClaimPlacement m_placement;
    std::string m_nonce;
    std::uint64_t m_lastClaim = 0;
    std::map<ClaimId, PendingClaim> m_pendingClaims;
    std::map<ClaimId, RunningClaim> m_running;
    std::map<ClaimId, EndingClaim> m_ending;
};

} // namespace laburnum
