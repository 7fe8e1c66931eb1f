/// Retry budget of one service at one host.
#pragma once

#include <cstdint>

#include <laburnumroute/clock.h>

namespace laburnum {

/// Token bucket to which each request adds `percent` of a token. A slow refill over time lets a
/// service with little traffic retry as well. No I/O; not thread-safe.
class RetryBudget {
public:
    /// Tokens added per second, independent of requests.
    static constexpr double refillPerSecond = 0.1;
    /// Capacity of the bucket, and its initial fill.
    static constexpr double maxTokens = 10.0;

    explicit RetryBudget(std::uint32_t percent = 10)
        : m_percent(percent)
    {
    }

    void setPercent(std::uint32_t percent) noexcept { m_percent = percent; }
    /// Counts the first attempt of a request.
    void onRequest(TimePoint now) noexcept;
    /// Takes the token of one retry; returns false if the budget is used up.
    bool take(TimePoint now) noexcept;
    double tokens() const noexcept { return m_tokens; }

private:
    void add(double tokens) noexcept;
    void refill(TimePoint now) noexcept;

    std::uint32_t m_percent;
    double m_tokens = maxTokens;
    TimePoint m_lastRefill {};
};

} // namespace laburnum
