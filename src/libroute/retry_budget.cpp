#include <laburnumroute/retry_budget.h>

#include <algorithm>

namespace laburnum {

namespace {

    constexpr double percent = 0.01;

} // namespace

void RetryBudget::onRequest(TimePoint now) noexcept
{
    refill(now);
    add(m_percent * percent);
}

bool RetryBudget::take(TimePoint now) noexcept
{
    refill(now);
    if (m_percent == 0 || m_tokens < 1.0)
        return false;
    m_tokens -= 1.0;
    return true;
}

void RetryBudget::add(double tokens) noexcept { m_tokens = std::min(maxTokens, m_tokens + tokens); }

void RetryBudget::refill(TimePoint now) noexcept
{
    add(refillPerSecond * std::chrono::duration<double>(now - m_lastRefill).count());
    m_lastRefill = now;
}

} // namespace laburnum
