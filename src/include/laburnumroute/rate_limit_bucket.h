/// Token bucket of an instance that named a rate limit. No I/O.
#pragma once

#include <algorithm>

#include <laburnumroute/rate_limit.h>

namespace laburnum {

/// How a limit is divided, and the bounds of what is granted of it.
struct RateLimitShares {
    /// Part of a limit that all hosts without a leader have together, and that the leader leaves
    /// them while it does not hear them.
    static constexpr double alone = 0.5;
    /// Lower limits are granted as this rate: an instance that no one asks can't say that its limit
    /// has ended.
    static constexpr double minPerSecond = 0.2;
};

/// Starts with at most one token. Not thread-safe; `now` never goes back.
class RateLimitBucket {
public:
    RateLimitBucket() = default;
    RateLimitBucket(double level, TimePoint now)
        : m_level(level)
        , m_refilledAt(now)
    {
    }

    /// Refills at `perSecond` from now on.
    void setRate(double perSecond, TimePoint now);
    bool hasToken(TimePoint now) const;
    /// The level may fall below zero, by the refill of a few seconds at most.
    void take(TimePoint now);
    void giveBack(TimePoint now);

private:
    double levelAt(TimePoint now) const;
    double depth() const { return std::max(1.0, m_rate * burstSeconds); }

    static constexpr double burstSeconds = 0.25;
    /// Bounds the time without a token after requests that could not be refused.
    static constexpr double debtSeconds = 4.0;

    double m_rate = 0.0;
    double m_level = 0.0;
    TimePoint m_refilledAt {};
};

} // namespace laburnum
