/// Retry budget: retries as a share of the requests of one service at one host.
#pragma once

#include <cstdint>

#include <laburnumroute/clock.h>

namespace laburnum {

/// A token bucket that each request fills by `percent` of a token and that a slow drip keeps from
/// staying empty, so that a quiet service can retry at all. No I/O; not thread-safe.
class RetryBudget {
public:
    /// Tokens per second that drip in without any request.
    static constexpr double dripPerSecond = 0.1;
    /// Tokens that can be saved up; also the tokens at the start.
    static constexpr double maxTokens = 10.0;

    explicit RetryBudget(std::uint32_t percent = 10)
        : m_percent(percent)
    {
    }

    void setPercent(std::uint32_t percent) noexcept { m_percent = percent; }
    /// Notes a first attempt.
    void onRequest(TimePoint now) noexcept;
    /// Takes the token of one retry; false when the budget is used up.
    bool take(TimePoint now) noexcept;
    double tokens() const noexcept { return m_tokens; }

private:
    void add(double tokens) noexcept;
    void drip(TimePoint now) noexcept;

    std::uint32_t m_percent;
    double m_tokens = maxTokens;
    TimePoint m_lastDrip {};
};

} // namespace laburnum
