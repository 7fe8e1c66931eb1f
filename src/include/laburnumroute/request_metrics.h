/// Request counters and latency quantiles per service, exported in the Prometheus text format.
#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include <laburnumroute/account_counters.h>
#include <laburnumroute/attempt_termination.h>
#include <laburnumroute/clock.h>
#include <laburnumroute/ids.h>

namespace laburnum {

/// What the response tells the caller about the execution of its request.
enum class RequestOutcome { Answered, NotRun, Unknown };

/// Name of `outcome` in header fields and metric labels.
const char* outcomeName(RequestOutcome outcome) noexcept;

/// One finished request.
struct RequestSample {
    /// Empty if no route matched.
    ServiceId service;
    RequestOutcome outcome = RequestOutcome::Answered;
    /// Status sent to the caller; 0 if the caller had disconnected.
    unsigned status = 0;
    /// Number of attempts after the first.
    unsigned retries = 0;
    /// Time from the end of the request head to the end of the response.
    Duration latency {};
    /// Part of `latency` added by this host: without the waits for the instance and for a claim.
    Duration added {};
    /// Request and response body bytes.
    std::uint64_t bytes = 0;
    /// Part of `latency` spent waiting for placements. Not set with a static list of instances.
    std::optional<Duration> placementWait;
    /// Part of `latency` spent waiting for instances, including connecting. Set as above.
    std::optional<Duration> instanceWait;
};

/// How a caller's connection ended without a response to its last bytes, if there were any.
enum class ConnectionEnd {
    /// The idle limit had passed, or the host drains.
    Idle,
    /// The caller closed the connection between two requests.
    Caller,
    /// The caller closed or reset it within the head of a request.
    IncompleteHead,
};

/// Thread-safe collector. Records are guarded by striped locks, keyed by service. The stripes'
/// locks and the lock of the account counters are leaf locks; no two are held at the same time.
class RequestMetrics {
public:
    RequestMetrics();
    ~RequestMetrics();

    void record(const RequestSample& sample);
    /// Counts a finished request of an account.
    void countAccountRequest(const ClientAccountId& account);
    /// Counts a request refused because of its account key; `cause` is a keyRefusalName().
    void countKeyRefusal(const std::string& cause);
    /// Counts an attempt that was ended while its instance was at work.
    void countTermination(TerminationCause cause);
    /// Counts one that mayTerminate() did not permit, so that the attempt went on: a defect.
    void countRefusedTermination(TerminationCause cause);
    /// Counts an exception that ended a request or a caller's connection.
    void countInternalError() noexcept { ++m_internalErrors; }
    /// Counts a response with a rate limit that is no number.
    void countUnreadableRateLimit() noexcept { ++m_unreadableRateLimits; }
    void countConnectionEnd(ConnectionEnd end) noexcept
    {
        ++m_connectionEnds[static_cast<std::size_t>(end)];
    }
    /// Renders the metrics in the Prometheus text format, version 0.0.4.
    std::string render() const;

private:
    struct Stripe;
    static constexpr std::size_t stripeCount = 16;
    using CauseCounters = std::array<std::atomic<std::uint64_t>, terminationCauseCount>;

    Stripe& stripeOf(const ServiceId& service) const;

    std::unique_ptr<std::array<Stripe, stripeCount>> m_stripes;
    CauseCounters m_terminations {};
    CauseCounters m_refusedTerminations {};
    mutable std::mutex m_accountMutex;
    AccountCounters m_accounts;
    std::atomic<std::uint64_t> m_internalErrors { 0 };
    std::atomic<std::uint64_t> m_unreadableRateLimits { 0 };
    std::array<std::atomic<std::uint64_t>, 3> m_connectionEnds {};
};

} // namespace laburnum
