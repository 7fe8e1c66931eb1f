#include "rate_limit_coordinator_pvt.h"

#include <algorithm>

namespace laburnum::pvt {

using std::chrono::milliseconds;

namespace {

    /// After this time a lost host has ended, or is cut off so long that the others hardly need its
    /// part.
    constexpr auto lostHostLifetime = std::chrono::seconds(30);
    /// Time after the start of a leader in which hosts may still place requests alone, whether or
    /// not it hears them.
    constexpr auto takeoverTime = milliseconds(2000);
    /// Far above the number of hosts of a fleet.
    constexpr std::uint32_t maxHosts = 100'000;

} // namespace

RateLimitRow toRow(const InstanceRateLimit& limit, TimePoint now)
{
    const RateLimitStatement& said = limit.statement;
    return { limit.instance.value(), limit.incarnation, said.perSecond.has_value(),
        said.perSecond.value_or(0.0), wireMs(now - said.sentAt), wireMs(now - said.headAt) };
}

std::optional<InstanceRateLimit> fromRow(const RateLimitRow& row, Duration delay, TimePoint now)
{
    // NaN compares false.
    if (!(row.perSecond >= 0.0) || row.sentAgeMs < row.headAgeMs)
        return std::nullopt;
    InstanceRateLimit limit { InstanceId(row.instance), row.incarnation, {} };
    if (row.isLimited)
        limit.statement.perSecond = std::min(row.perSecond, maxRateLimit);
    limit.statement.sentAt = now - delay - milliseconds(row.sentAgeMs);
    limit.statement.headAt = now - delay - milliseconds(row.headAgeMs);
    return limit;
}

std::vector<InstanceRateLimit> fromRows(
    const std::vector<RateLimitRow>& rows, Duration delay, TimePoint now)
{
    std::vector<InstanceRateLimit> limits;
    for (const RateLimitRow& row : rows) {
        if (auto limit = fromRow(row, delay, now))
            limits.push_back(std::move(*limit));
    }
    return limits;
}

std::vector<RateLimitRow> toRows(const std::vector<InstanceRateLimit>& limits, TimePoint now)
{
    std::vector<RateLimitRow> rows;
    rows.reserve(limits.size());
    for (const InstanceRateLimit& limit : limits)
        rows.push_back(toRow(limit, now));
    return rows;
}

void RateLimitCoordinator::restart(TimePoint now)
{
    m_hosts.clear();
    m_lostHosts.clear();
    m_statedHosts = 0;
    m_startedAt = now;
    m_leaseHeldAt = now;
}

void RateLimitCoordinator::onHostFound(const HostId& host)
{
    m_lostHosts.erase(host);
    m_hosts.insert(host);
}

void RateLimitCoordinator::onHostLost(const HostId& host, TimePoint now)
{
    if (m_hosts.erase(host) != 0)
        m_lostHosts[host] = now;
}

void RateLimitCoordinator::onStatements(const RateLimitsFrame& frame, Duration delay, TimePoint now)
{
    m_statedHosts = std::max(m_statedHosts, std::min(frame.hosts, maxHosts));
    for (const InstanceRateLimit& limit : fromRows(frame.rows, delay, now))
        m_scheduler.onRateLimit(limit, now);
}

double RateLimitCoordinator::share(TimePoint now) const
{
    if (now - m_startedAt < takeoverTime)
        return 1.0 - RateLimitShares::alone;
    const auto lost = static_cast<double>(m_lostHosts.size());
    return 1.0
        - RateLimitShares::alone * lost / std::max(lost + static_cast<double>(m_hosts.size()), 1.0);
}

void RateLimitCoordinator::onTick(bool isLeaseHeld, TimePoint now)
{
    std::erase_if(
        m_lostHosts, [&](const auto& item) { return now - item.second > lostHostLifetime; });
    if (now - m_startedAt > lostHostLifetime)
        m_statedHosts = 0;
    m_scheduler.rateLimits().setShare(share(now), now);
    if (isLeaseHeld) {
        m_scheduler.rateLimits().resumeRefill();
        m_leaseHeldAt = now;
    } else {
        m_scheduler.rateLimits().suspendRefill(m_leaseHeldAt);
    }
}

std::uint32_t RateLimitCoordinator::hosts() const
{
    const auto known = static_cast<std::uint32_t>(m_hosts.size() + m_lostHosts.size());
    return std::max({ known, m_statedHosts, 1U });
}

std::string RateLimitCoordinator::listFrame(TimePoint now) const
{
    return pack(RateLimitListFrame { true, toRows(m_scheduler.rateLimits().statements(), now) });
}

std::optional<std::string> RateLimitCoordinator::takeUpdate(TimePoint now)
{
    const auto changes = m_scheduler.rateLimits().takeChanges();
    if (changes.empty())
        return std::nullopt;
    return pack(RateLimitListFrame { false, toRows(changes, now) });
}

} // namespace laburnum::pvt
