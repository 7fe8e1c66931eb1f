/// Asks for and ends claims on behalf of one entry host.
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

/// What a caller's request brings to its claim.
struct ClaimSpec {
    ClaimKey key;
    /// Tells different requests with one key apart.
    std::string fingerprint;
    /// Time within which the request ends.
    Duration deadline {};
};

/// Runs the claim protocol against the claim hosts of each key. No I/O; not thread-safe.
class ClaimCoordinator final : public Participant {
public:
    using Callback = std::function<void(const ClaimDecision&)>;

    /// Time that begin() waits for the claim hosts before it gives up.
    static constexpr Duration requestTimeout = std::chrono::milliseconds(500);
    /// Time between two sends of an unanswered message.
    static constexpr Duration resendInterval = std::chrono::milliseconds(120);
    /// Time for which the end of a claim is resent to a claim host that does not confirm it.
    static constexpr Duration endTimeout = std::chrono::minutes(2);

    /// `nonce` differs between any two processes that ever ran on this host.
    ClaimCoordinator(HostId self, ClaimPlacement placement, std::string nonce);

    /// Asks for a claim. `callback` is called once, from receive() or tick().
    void begin(const ClaimSpec& demand, Callback callback, TimePoint now, Outbox& out);
    /// Ends a claim that Run named. `answer` is kept with Answered; null when it is too large to
    /// keep. Unknown claims are ignored.
    void finish(const ClaimId& claim, ClaimOutcome end, const StoredResponse* answer, TimePoint now,
        Outbox& out);

    std::vector<std::string> methods() const override;
    void receive(const PeerMessage& message, TimePoint now, Outbox& out) override;
    void tick(TimePoint now, Outbox& out) override;
    Duration tickInterval() const override { return std::chrono::milliseconds(20); }

    /// Claims that are being asked for, run or ended.
    std::size_t pending() const noexcept
    {
        return m_asking.size() + m_running.size() + m_ending.size();
    }

private:
    struct Asking {
        ClaimSpec demand;
        std::vector<HostId> replicas;
        std::set<HostId> granted;
        std::set<HostId> answered;
        ClaimVerdict refusal = ClaimVerdict::Unavailable;
        Callback callback;
        TimePoint givesUp;
        TimePoint nextSend;
    };
    struct Running {
        ClaimSpec demand;
        std::vector<HostId> replicas;
    };
    struct Ending {
        std::set<HostId> unconfirmed;
        Json::Value message;
        TimePoint nextSend;
        TimePoint givesUp;
    };
    using AskingPosition = std::map<ClaimId, Asking>::iterator;

    void onReply(const PeerMessage& message, TimePoint now, Outbox& out);
    void onConfirmed(const PeerMessage& message);
    void noteReply(AskingPosition asking, const HostId& from, const pvt::ClaimReply& reply,
        TimePoint now, Outbox& out);
    void settle(AskingPosition asking, const ClaimDecision& decision, TimePoint now, Outbox& out);
    void sendRequests(const ClaimId& claim, Asking& asking, TimePoint now, Outbox& out);
    void startEnding(const ClaimId& claim, const Running& running, ClaimOutcome end,
        const StoredResponse* answer, TimePoint now, Outbox& out);

    HostId m_self;
    ClaimPlacement m_placement;
    std::string m_nonce;
    std::uint64_t m_lastClaim = 0;
    std::map<ClaimId, Asking> m_asking;
    std::map<ClaimId, Running> m_running;
    std::map<ClaimId, Ending> m_ending;
};

} // namespace laburnum
