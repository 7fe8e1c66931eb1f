#include <laburnumroute/rate_limit_bucket.h>

namespace laburnum {

namespace {

    /// Rounding errors of a level.
    constexpr double tolerance = 1e-6;

} // namespace

double RateLimitBucket::levelAt(TimePoint now) const
{
    const double seconds = std::chrono::duration<double>(now - m_refilledAt).count();
    return std::min(m_level + m_rate * std::max(seconds, 0.0), depth());
}

void RateLimitBucket::setRate(double perSecond, TimePoint now)
{
    m_level = levelAt(now);
    m_refilledAt = std::max(m_refilledAt, now);
    m_rate = perSecond;
    m_level = std::min(m_level, depth());
}

bool RateLimitBucket::hasToken(TimePoint now) const { return levelAt(now) >= 1.0 - tolerance; }

void RateLimitBucket::take(TimePoint now)
{
    m_level = std::max(levelAt(now) - 1.0, -std::max(1.0, m_rate * debtSeconds));
    m_refilledAt = std::max(m_refilledAt, now);
}

void RateLimitBucket::giveBack(TimePoint now)
{
    m_level = std::min(levelAt(now) + 1.0, depth());
    m_refilledAt = std::max(m_refilledAt, now);
}

} // namespace laburnum
