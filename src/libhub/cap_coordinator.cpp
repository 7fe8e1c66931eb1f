#include "cap_coordinator_pvt.h"

namespace laburnum::pvt {

using std::chrono::milliseconds;

void CapCoordinator::apply(const NumberedConfig& config, TimePoint now)
{
    if (!m_accountsOf || config.number == m_configNumber)
        return;
    m_configNumber = config.number;
    m_caps.setCaps(m_accountsOf(config.content), now);
}

void CapCoordinator::onLease(bool isHeld, TimePoint now)
{
    m_caps.expireReserves(now);
    if (isHeld) {
        m_caps.resumeRefill();
        m_leaseHeldAt = now;
    } else {
        m_caps.suspendRefill(m_leaseHeldAt);
    }
}

void CapCoordinator::onUsage(const LocalUsageRows& usage, Duration delay, TimePoint now)
{
    if (usage.leaderSilentMs > 0)
        m_caps.onLeaderSilence(milliseconds(usage.leaderSilentMs) + delay, now);
    for (const LocalUsageRow& row : usage.rows)
        m_caps.takeByForce(
            ClientAccountId(row.account), row.requests, milliseconds(row.ageMs) + delay, now);
}

} // namespace laburnum::pvt
