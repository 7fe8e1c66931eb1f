/// Serves one request with instances selected by the local dispatcher: routing, idempotency claim,
/// attempts, response.
#pragma once

#include <set>

#include "exchange_pvt.h"

namespace laburnum::pvt {

/// Lives as long as its request. Must be used from the session's strand.
class RequestHandler {
public:
    RequestHandler(EntryContext& entry, HttpStream& caller, Watchdog& watchdog, RequestCut& cut,
        HttpHead request);

    /// Returns whether the caller's connection can be kept alive.
    asio::awaitable<bool> run();

private:
    enum class ClaimResult { Run, Answered };

    asio::awaitable<bool> runAttempts(Assignment assigned);
    asio::awaitable<ClaimResult> acquireClaim(const ServiceId& service);
    asio::awaitable<bool> readFingerprintedBody();
    asio::awaitable<ClaimDecision> requestClaim(const ServiceId& service);
    asio::awaitable<void> respondToClaim(const ClaimDecision& decision);
    asio::awaitable<void> respond(LocalResponse response);
    asio::awaitable<bool> finishRequest(const AttemptOutcome& outcome);

    using Assigned = tl::expected<Assignment, RefusalReason>;

    Assigned assign();
    /// Assigns an instance to the first attempt; waits for a slot if none is free.
    asio::awaitable<Assigned> assignFirst();
    tl::expected<WaiterId, RefusalReason> enqueue(Duration limit);
    void recordAttempt(const Assignment& assigned, const AttemptOutcome& outcome);
    void releaseAttempt(const Assignment& assigned, const AttemptReport& report);
    bool mayRetry(const AttemptOutcome& outcome);
    bool takeRetry();
    /// Assigns another instance as replacement for one that returned a server error. Returns
    /// whether one was found.
    bool replaceAfterError(const Assignment& failed);
    void finishClaim(const AttemptOutcome& outcome);
    bool needsClaim() const;
    std::string fingerprint() const;
    ResponseContext responseContext() const;
    void recordMetrics(RequestOutcome outcome, unsigned status);

    EntryContext& m_entry;
    HttpStream& m_stream;
    HttpHead m_request;
    RequestBody m_body;
    CallerContext m_context;
    std::set<InstanceId> m_tried;
    std::optional<Assignment> m_replacement;
    ServiceId m_service;
    std::optional<ClaimId> m_claim;
    /// One of the attempts may have run the request.
    bool m_mayHaveRun = false;
    bool m_keepAlive = false;
    unsigned m_retries = 0;
    Duration m_waitTime {};
    std::uint64_t m_responseBytes = 0;
};

/// Serves `request` with a RequestHandler.
asio::awaitable<bool> serveWithDispatcher(
    EntryContext& entry, HttpStream& caller, Watchdog& watchdog, RequestCut& cut, HttpHead request);

} // namespace laburnum::pvt
