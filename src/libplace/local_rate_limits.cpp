#include <laburnumroute/local_rate_limits.h>

namespace laburnum {

namespace {

    /// Least time between two statements about one instance that repeat its limit.
    constexpr auto repeatInterval = std::chrono::milliseconds(250);

} // namespace

/// The leader may have heard statements in another order. As long as it lists the limit, it hears
/// of every response without one.
LocalRateLimits::News LocalRateLimits::onOwnStatement(const InstanceRateLimit& limit, TimePoint now)
{
    const InstanceId& id = limit.instance;
    if (!limit.statement.perSecond) {
        const bool wasLimited = m_stated.perSecond(id).has_value();
        const bool isPassedOn = wasLimited || m_leaderLimited.contains(id);
        m_passedOnAt.erase(id);
        return { wasLimited && m_stated.update(limit, now), isPassedOn };
    }
    const bool isChanged = m_stated.update(limit, now);
    const auto [passedOn, isFirst] = m_passedOnAt.try_emplace(id, now);
    const bool isPassedOn = isFirst || isChanged || now - passedOn->second >= repeatInterval;
    if (isPassedOn)
        passedOn->second = now;
    return { isChanged, isPassedOn };
}

void LocalRateLimits::onLeaderStatements(
    const std::vector<InstanceRateLimit>& limits, bool isFull, TimePoint now)
{
    if (isFull)
        m_leaderLimited.clear();
    for (const InstanceRateLimit& limit : limits) {
        m_stated.update(limit, now);
        if (limit.statement.perSecond)
            m_leaderLimited.insert(limit.instance);
        else
            m_leaderLimited.erase(limit.instance);
    }
}

void LocalRateLimits::remove(const InstanceId& id)
{
    m_stated.remove(id);
    m_leaderLimited.erase(id);
    m_passedOnAt.erase(id);
    m_buckets.erase(id);
}

RateLimitBucket& LocalRateLimits::bucketOf(const InstanceId& id, double perSecond, TimePoint now)
{
    auto found = m_buckets.find(id);
    if (found == m_buckets.end())
        found = m_buckets.emplace(id, RateLimitBucket(uniformReal(m_random), now)).first;
    found->second.setRate(RateLimitShares::alone
            * std::max(perSecond, RateLimitShares::minPerSecond) / static_cast<double>(m_hosts),
        now);
    return found->second;
}

bool LocalRateLimits::mayPlace(const InstanceId& id, TimePoint now)
{
    const auto limit = m_stated.perSecond(id);
    if (!limit || bucketOf(id, *limit, now).hasToken(now))
        return true;
    ++m_withheld;
    return false;
}

void LocalRateLimits::onPlaced(const InstanceId& id, bool isAlone, TimePoint now)
{
    const auto limit = m_stated.perSecond(id);
    if (!limit)
        return;
    ++(isAlone ? m_placedAlone : m_granted);
    if (isAlone)
        bucketOf(id, *limit, now).take(now);
}

std::string LocalRateLimits::render() const
{
    const auto line = [](const std::string& name, std::uint64_t value) {
        return name + ' ' + std::to_string(value) + '\n';
    };
    return "# TYPE laburnum_rate_limits_known gauge\n"
        + line("laburnum_rate_limits_known", m_stated.limited())
        + "# TYPE laburnum_rate_limited_placements_total counter\n"
        + line("laburnum_rate_limited_placements_total{by=\"leader\"}", m_granted)
        + line("laburnum_rate_limited_placements_total{by=\"host\"}", m_placedAlone)
        + "# TYPE laburnum_rate_limit_withheld_total counter\n"
        + line("laburnum_rate_limit_withheld_total", m_withheld);
}

} // namespace laburnum
