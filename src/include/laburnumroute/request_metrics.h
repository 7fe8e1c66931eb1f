/// Counters and latency quantiles of the request path, per service, as Prometheus text.
#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include <laburnumroute/clock.h>
#include <laburnumroute/ids.h>

namespace laburnum {

/// What the caller learned of its request.
enum class RequestOutcome { Answered, NotRun, Unknown };

/// The word for `outcome` in headers and labels.
const char* outcomeName(RequestOutcome outcome) noexcept;

/// One finished request.
struct RequestSample {
    /// Empty when no route matched.
    ServiceId service;
    RequestOutcome outcome = RequestOutcome::Answered;
    /// Status that the caller got; 0 when it was gone.
    unsigned status = 0;
    /// Attempts after the first.
    unsigned retries = 0;
    /// Time from the request's head to the end of its answer.
    Duration latency {};
    /// Part of `latency` that was not spent waiting for the instance or for a claim.
    Duration added {};
    /// Bytes of bodies that passed, both ways.
    std::uint64_t bytes = 0;
    /// Part of `latency` that was spent waiting for places; listed fleets do not tell.
    std::optional<Duration> placing;
    /// Part of `latency` that was spent waiting for instances, connecting included; as above.
    std::optional<Duration> atInstance;
};

/// Collects samples from all workers. Each service's record is guarded by the lock of its stripe;
/// the stripes' locks are leaves and never held two at a time.
class RequestMetrics {
public:
    RequestMetrics();
    ~RequestMetrics();

    void record(const RequestSample& sample);
    /// Prometheus text, version 0.0.4.
    std::string render() const;

private:
    struct Stripe;
    static constexpr std::size_t stripeCount = 16;

    Stripe& stripeOf(const ServiceId& service) const;

    std::unique_ptr<std::array<Stripe, stripeCount>> m_stripes;
};

} // namespace laburnum
