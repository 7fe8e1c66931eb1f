#include <laburnumroute/retry_budget.h>

#include <algorithm>

namespace laburnum {

namespace {

    constexpr double percent = 0.01;

} // namespace

void RetryBudget::onRequest(TimePoint now) noexcept
{
    drip(now);
    add(m_percent * percent);
}

bool RetryBudget::take(TimePoint now) noexcept
{
    drip(now);
    if (m_percent == 0 || m_tokens < 1.0)
        return false;
    m_tokens -= 1.0;
    return true;
}

void RetryBudget::add(double tokens) noexcept { m_tokens = std::min(maxTokens, m_tokens + tokens); }

void RetryBudget::drip(TimePoint now) noexcept
{
    add(dripPerSecond * std::chrono::duration<double>(now - m_lastDrip).count());
    m_lastDrip = now;
}

} // namespace laburnum
