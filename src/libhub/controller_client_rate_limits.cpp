// Rate limits of instances at ControllerClient: what this host heard, and what it passes on.

#include <laburnumroute/controller_client.h>

#include "rate_limit_coordinator_pvt.h"

namespace laburnum {

using namespace pvt;

void ControllerClient::reportRateLimit(DispatchId dispatch, std::optional<double> perSecond,
    Duration sinceSent, TimePoint now, ControllerClientActions& actions)
{
    const auto found = m_placements.find(dispatch);
    if (found == m_placements.end())
        return;
    const InstanceRateLimit limit { found->second.instance, found->second.incarnation,
        { perSecond, now - sinceSent, now } };
    if (!m_localScheduler.isCurrent(limit))
        return;
    LocalRateLimits& limits = m_localScheduler.rateLimits();
    const std::optional<double> before = limits.perSecond(limit.instance);
    const LocalRateLimits::News news = limits.onOwnStatement(limit, now);
    if (news.isPassedOn)
        passOnRateLimit(limit, now, actions);
    if (!news.isChanged)
        return;
    Decision decision { "rate-limit", perSecond ? "named" : "not-named" };
    decision.facts["instance"] = limit.instance.value();
    if (perSecond)
        decision.facts["per_second"] = *perSecond;
    if (before)
        decision.facts["before"] = *before;
    actions.decisions.push_back(std::move(decision));
}

void ControllerClient::passOnRateLimit(
    const InstanceRateLimit& limit, TimePoint now, ControllerClientActions& actions) const
{
    const RateLimitRow row = toRow(limit, now);
    if (m_leader)
        actions.frames.emplace_back(
            *m_leader, pack(RateLimitsFrame { m_localScheduler.rateLimits().hosts(), { row } }));
    if (m_leader && !m_leaderSuspected)
        return;
    const std::string datagram = pack(PeerRateLimitFrame { row });
    for (const Endpoint& neighbour : m_neighbours)
        actions.datagrams.emplace_back(neighbour, datagram);
}

std::vector<InstanceRateLimit> ControllerClient::currentLimits(
    const std::vector<RateLimitRow>& rows, TimePoint now) const
{
    std::vector<InstanceRateLimit> limits = fromRows(rows, Duration::zero(), now);
    std::erase_if(
        limits, [&](const InstanceRateLimit& limit) { return !m_localScheduler.isCurrent(limit); });
    return limits;
}

} // namespace laburnum
