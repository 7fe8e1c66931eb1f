#include <laburnumroute/fair_shares.h>

#include <algorithm>
#include <utility>

namespace laburnum {

namespace {

    /// Time over which the speed of virtual time is smoothed.
    constexpr double speedSeconds = 0.5;

} // namespace

double FairShares::nextStartTag(const ClientAccountId& account) const
{
    const auto found = m_finish.find(account);
    return found == m_finish.end() ? m_virtualTime : std::max(m_virtualTime, found->second);
}

FairShares::Charge FairShares::charge(const ClientAccountId& account, double work)
{
    const double startTag = nextStartTag(account);
    m_finish[account] = startTag + work;
    return { startTag, work };
}

void FairShares::withdraw(const ClientAccountId& account, const Charge& charge)
{
    correct(account, charge, 0.0);
}

void FairShares::onGrant(double startTag, std::optional<double> firstQueued)
{
    m_virtualTime = std::max(m_virtualTime, std::min(startTag, firstQueued.value_or(startTag)));
}

void FairShares::correct(const ClientAccountId& account, const Charge& charge, double measured)
{
    // An account that was dropped since then had no lead that the difference could change by more
    // than one request.
    if (const auto found = m_finish.find(account); found != m_finish.end())
        found->second += measured - charge.work;
}

double FairShares::secondsUntil(double startTag) const
{
    return m_speed > 0 ? std::max(0.0, startTag - m_virtualTime) / m_speed : 0.0;
}

void FairShares::onTick(TimePoint now, bool wasBacklogged)
{
    const double passed = std::chrono::duration<double>(now - m_lastTick).count();
    const double advance = m_virtualTime - std::exchange(m_lastVirtualTime, m_virtualTime);
    m_lastTick = now;
    if (!wasBacklogged)
        m_speed = 0.0;
    else if (passed > 0 && m_speed <= 0)
        m_speed = advance / passed;
    else if (passed > 0)
        m_speed += std::min(passed / speedSeconds, 1.0) * (advance / passed - m_speed);
    std::erase_if(m_finish, [&](const auto& item) { return item.second <= m_virtualTime; });
}

} // namespace laburnum
