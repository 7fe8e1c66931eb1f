#include <laburnumroute/local_usage_caps.h>

#include <algorithm>
#include <cmath>

namespace laburnum {

namespace {

    using std::chrono::milliseconds;

    /// Depth of a bucket as a share of the requests that the leader granted within the window.
    constexpr double depthShare = 0.05;
    /// Rounding errors of a level, so that a caller that returns when it was told to is accepted.
    constexpr double tolerance = 1e-6;
    /// For accounts that this host has no rate for. By then a leader is usually found.
    constexpr auto unknownRetryAfter = milliseconds(1000);
    constexpr auto maxRetryAfter = milliseconds(5000);
    /// Reports combine the requests of this time.
    constexpr auto reportSlice = milliseconds(500);

    double toSeconds(Duration d) { return std::chrono::duration<double>(d).count(); }

} // namespace

void LocalUsageCaps::setCaps(const std::vector<ClientAccountSpec>& accounts)
{
    m_caps.clear();
    for (const ClientAccountSpec& account : accounts) {
        if (account.ratePerSecond > 0)
            m_caps[account.name] = { static_cast<double>(account.ratePerSecond),
                static_cast<double>(account.burst) };
    }
    std::erase_if(m_history, [&](const auto& item) { return !m_caps.contains(item.first); });
    std::erase_if(m_buckets, [&](const auto& item) { return !m_caps.contains(item.first); });
}

void LocalUsageCaps::dropBefore(std::deque<TimePoint>& times, TimePoint limit)
{
    while (!times.empty() && times.front() <= limit)
        times.pop_front();
}

void LocalUsageCaps::onGranted(const ClientAccountId& account, TimePoint now)
{
    if (!isCapped(account))
        return;
    std::deque<TimePoint>& grants = m_history[account].grants;
    dropBefore(grants, now - window);
    grants.push_back(now);
}

void LocalUsageCaps::onRefused(const ClientAccountId& account, TimePoint now)
{
    if (isCapped(account))
        m_history[account].lastRefusal = now;
}

void LocalUsageCaps::onLeaderLost(TimePoint now)
{
    if (m_lostAt)
        return;
    m_lostAt = now;
    m_buckets.clear();
}

LocalUsageCaps::Bucket LocalUsageCaps::makeBucket(const ClientAccountId& account) const
{
    const TimePoint since = *m_lostAt - window;
    // A host that had a leader for a part of the window only continues at the rate before as well.
    const double placed = placedWithin(account, since);
    double granted = placed;
    bool isRefused = false;
    if (const auto found = m_history.find(account); found != m_history.end()) {
        granted += static_cast<double>(std::count_if(found->second.grants.begin(),
            found->second.grants.end(), [&](TimePoint at) { return at > since; }));
        isRefused = found->second.lastRefusal && *found->second.lastRefusal > since;
    }
    const Cap& cap = m_caps.at(account);
    const double perWindow = cap.rate * toSeconds(window);
    Bucket bucket;
    bucket.rate = std::min(granted / toSeconds(window), cap.rate);
    // What the leader granted then includes the burst, which must not be granted again.
    if (isRefused)
        bucket.rate *= perWindow / (perWindow + cap.burst);
    const double depth = granted * depthShare;
    bucket.depth = std::max(depth, 1.0);
    // The depth is not granted again to a host that loses its leader repeatedly.
    bucket.level = std::max((isRefused ? depth : bucket.depth) - placed, 0.0);
    bucket.refilledAt = *m_lostAt;
    return bucket;
}

double LocalUsageCaps::placedWithin(const ClientAccountId& account, TimePoint since) const
{
    return static_cast<double>(std::count_if(m_placed.begin(), m_placed.end(),
        [&](const Placed& placed) { return placed.account == account && placed.at > since; }));
}

std::optional<Duration> LocalUsageCaps::take(const ClientAccountId& account, TimePoint now)
{
    if (!isCapped(account))
        return std::nullopt;
    onLeaderLost(now);
    auto found = m_buckets.find(account);
    if (found == m_buckets.end())
        found = m_buckets.emplace(account, makeBucket(account)).first;
    Bucket& bucket = found->second;
    bucket.level = std::min(
        bucket.level + bucket.rate * toSeconds(now - std::exchange(bucket.refilledAt, now)),
        bucket.depth);
    if (bucket.level < 1.0 - tolerance) {
        Duration delay = unknownRetryAfter;
        if (bucket.rate > 0.0) {
            const double seconds = (1.0 - bucket.level) / bucket.rate;
            delay = std::clamp<Duration>(
                std::chrono::ceil<milliseconds>(
                    std::chrono::duration<double>(std::min(seconds, toSeconds(maxRetryAfter)))),
                milliseconds(1), maxRetryAfter);
        }
        m_meter.onRefused(account, delay, now);
        return delay;
    }
    bucket.level -= 1.0;
    m_meter.onAccepted(account);
    recordPlacement(account, now);
    return std::nullopt;
}

void LocalUsageCaps::recordPlacement(const ClientAccountId& account, TimePoint now)
{
    while (!m_placed.empty() && m_placed.front().at <= now - window)
        m_placed.pop_front();
    m_placed.push_back({ account, now });
}

std::vector<LocalUsage> LocalUsageCaps::uncounted(TimePoint since, TimePoint now) const
{
    std::map<std::pair<ClientAccountId, std::int64_t>, LocalUsage> slices;
    for (const Placed& placed : m_placed) {
        const Duration age = now - placed.at;
        if (placed.at <= std::max(since, m_countedUntil) || age >= window)
            continue;
        LocalUsage& usage = slices[{ placed.account, age / reportSlice }];
        usage.account = placed.account;
        usage.age = usage.requests == 0 ? age : std::min(usage.age, age);
        ++usage.requests;
    }
    std::vector<LocalUsage> result;
    result.reserve(slices.size());
    for (auto& [key, usage] : slices)
        result.push_back(std::move(usage));
    return result;
}

} // namespace laburnum
