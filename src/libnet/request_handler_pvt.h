/// Serves one request of a caller: routing, claim, attempts, answer.
#pragma once

#include <set>

#include "exchange_pvt.h"
#include "retry_pvt.h"

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
    asio::awaitable<std::optional<ClaimDecision>> askClaims(const ServiceId& service);
    asio::awaitable<void> answer(OwnAnswer answer);
    asio::awaitable<bool> conclude(const AttemptOutcome& outcome);

    tl::expected<Assignment, RefusalReason> assign();
    void finish(const Assignment& assigned, const AttemptOutcome& outcome);
    void giveBack(const Assignment& assigned);
    bool mayRepeat(const AttemptOutcome& outcome);
    void finishClaim(const AttemptOutcome& outcome);
    bool needsClaim() const;
    RequestFingerprint fingerprint() const;
    AnswerContext answerContext() const;
    void count(RequestOutcome outcome, unsigned status);

    EntryContext& m_entry;
    HttpStream& m_stream;
    HttpHead m_request;
    RequestBody m_body;
    CallerSide m_side;
    std::set<InstanceId> m_tried;
    ServiceId m_service;
    std::optional<ClaimId> m_claim;
    /// An earlier attempt may have run the request.
    bool m_mayHaveRun = false;
    bool m_keepAlive = false;
    unsigned m_retries = 0;
    Duration m_waited {};
    std::uint64_t m_answerBytes = 0;
};

} // namespace laburnum::pvt
