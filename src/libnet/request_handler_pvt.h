/// Serves one request of a caller: routing, claim, attempts, answer.
#pragma once

#include <set>

#include "exchange_pvt.h"

namespace laburnum::pvt {

/// Lives as long as its request. Use from the session's strand.
class RequestHandler {
public:
    RequestHandler(EntryContext& entry, HttpStream& caller, Watchdog& watchdog, HttpHead request);

    /// Returns whether the caller's connection can carry another request.
    asio::awaitable<bool> run();

private:
    enum class Verdict { Run, Answered };

    asio::awaitable<bool> attempt(Assignment assigned);
    asio::awaitable<Verdict> claim(const ServiceId& service);
    asio::awaitable<bool> readKeyedBody();
    asio::awaitable<ClaimDecision> askClaims(const ServiceId& service);
    asio::awaitable<void> answerClaim(const ClaimDecision& decision);
    asio::awaitable<void> answer(OwnAnswer answer);
    asio::awaitable<bool> conclude(const AttemptOutcome& outcome);

    using Assigned = tl::expected<Assignment, RefusalReason>;

    Assigned assign();
    /// Assigns the first attempt; waits for a slot if there is none.
    asio::awaitable<Assigned> assignFirst();
    tl::expected<WaiterId, RefusalReason> enqueue(Duration limit);
    void finish(const Assignment& assigned, const AttemptOutcome& outcome);
    void endAttempt(const Assignment& assigned, const AttemptReport& report);
    bool mayRepeat(const AttemptOutcome& outcome);
    bool takeRetry();
    /// Holds another instance ready in place of one that answered with a server error.
    bool replaceAfterError(const Assignment& failed);
    void finishClaim(const AttemptOutcome& outcome);
    bool needsClaim() const;
    std::string fingerprint() const;
    AnswerContext answerContext() const;
    void count(RequestOutcome outcome, unsigned status);

    EntryContext& m_entry;
    HttpStream& m_stream;
    HttpHead m_request;
    RequestBody m_body;
    CallerSide m_side;
    std::set<InstanceId> m_tried;
    std::optional<Assignment> m_replacement;
    ServiceId m_service;
    std::optional<ClaimId> m_claim;
    /// An earlier attempt may have run the request.
    bool m_mayHaveRun = false;
    bool m_keepAlive = false;
    unsigned m_retries = 0;
    Duration m_waited {};
    std::uint64_t m_answerBytes = 0;
};

/// Serves `request` by a RequestHandler.
asio::awaitable<bool> serveAlone(
    EntryContext& entry, HttpStream& caller, Watchdog& watchdog, HttpHead request);

} // namespace laburnum::pvt
