#include <laburnumroute/usage_caps.h>

#include <algorithm>
#include <cmath>
#include <set>

namespace laburnum {

namespace {

    /// Rounding errors of a level, so that a caller that returns when it was told to is accepted.
    constexpr double tolerance = 1e-6;
    /// Bounds the time stated to callers while nearly all of a rate is set aside for lost hosts.
    constexpr double minRefillShare = 0.05;

    double toSeconds(Duration d) { return std::chrono::duration<double>(d).count(); }

    /// In whole milliseconds, because the answer to the caller states no more.
    Duration timeUntilToken(double level, double rate)
    {
        constexpr double msPerSecond = 1000.0;
        const double ms = std::ceil((1.0 - level) / rate * msPerSecond - tolerance);
        return fromSeconds(std::max(ms, 1.0) / msPerSecond);
    }

} // namespace

void UsageCaps::setCaps(const std::vector<ClientAccountSpec>& accounts, TimePoint now)
{
    std::set<ClientAccountId> capped;
    for (const ClientAccountSpec& account : accounts) {
        const auto rate = static_cast<double>(account.ratePerSecond);
        if (rate <= 0.0)
            continue;
        capped.insert(account.name);
        const auto [found, inserted] = m_buckets.try_emplace(account.name);
        Bucket& bucket = found->second;
        if (!inserted)
            refill(bucket, now);
        bucket.rate = rate;
        bucket.depth = std::max(static_cast<double>(account.burst), 1.0);
        if (inserted) {
            bucket.level = bucket.depth;
            bucket.refilledAt = now;
        }
        bucket.level = std::min(bucket.level, bucket.depth);
        clip(bucket);
    }
    std::erase_if(m_buckets, [&](const auto& item) { return !capped.contains(item.first); });
    std::erase_if(m_takes, [&](const auto& item) { return !capped.contains(item.second.first); });
}

void UsageCaps::restart(TimePoint now)
{
    m_takes.clear();
    m_grants.clear();
    m_reserves.clear();
    m_refillUntil.reset();
    m_leaderlessTime.reset();
    m_startedAt = now;
    for (auto& [account, bucket] : m_buckets) {
        const Bucket old = std::exchange(bucket, {});
        bucket.rate = old.rate;
        bucket.depth = old.depth;
        bucket.level = std::min(startTokens, old.depth);
        bucket.refilledAt = now;
    }
}

/// Restores what giveBack() may restore to the room that the bucket has. The oldest takes lose
/// first.
void UsageCaps::clip(Bucket& bucket)
{
    while (!bucket.revocable.empty() && bucket.level + bucket.revocableSum > bucket.depth) {
        const auto oldest = bucket.revocable.begin();
        const double excess = bucket.level + bucket.revocableSum - bucket.depth;
        if (oldest->second > excess) {
            oldest->second -= excess;
            bucket.revocableSum -= excess;
            return;
        }
        bucket.revocableSum -= oldest->second;
        bucket.revocable.erase(oldest);
    }
    if (bucket.revocable.empty())
        bucket.revocableSum = 0.0;
}

void UsageCaps::refill(Bucket& bucket, TimePoint now) const
{
    const TimePoint until = m_refillUntil ? std::min(now, *m_refillUntil) : now;
    if (until <= bucket.refilledAt)
        return;
    const double full = bucket.level
        + bucket.refillRate() * toSeconds(until - std::exchange(bucket.refilledAt, until));
    bucket.level = std::min(full, bucket.depth);
    if (full > bucket.depth)
        recordOverflow(bucket, full - bucket.depth, until);
    clip(bucket);
}

/// The bucket was full for the last `tokens` / rate seconds before `until`.
void UsageCaps::recordOverflow(Bucket& bucket, double tokens, TimePoint until)
{
    const Duration full = std::min(fromSeconds(tokens / bucket.refillRate()), window);
    TimePoint from = until - full;
    while (from < until) {
        const std::int64_t number = from.time_since_epoch() / sliceLength;
        const TimePoint end = std::min(until, TimePoint((number + 1) * sliceLength));
        Slice& slice = bucket.overflow[static_cast<std::size_t>(number) % sliceCount];
        if (slice.number != number)
            slice = { number, 0.0 };
        slice.tokens += bucket.refillRate() * toSeconds(end - from);
        from = end;
    }
}

/// Takes up to `tokens` from what overflowed in the slices that began after `since`, and returns
/// how many it took.
double UsageCaps::absorbOverflow(Bucket& bucket, double tokens, TimePoint since)
{
    double absorbed = 0.0;
    for (Slice& slice : bucket.overflow) {
        if (slice.number < 0 || TimePoint(slice.number * sliceLength) < since)
            continue;
        const double taken = std::min(slice.tokens, tokens - absorbed);
        slice.tokens -= taken;
        absorbed += taken;
    }
    return absorbed;
}

std::optional<Duration> UsageCaps::take(
    const ClientAccountId& account, DispatchKey key, TimePoint now)
{
    if (m_buckets.empty())
        return std::nullopt;
    const auto found = m_buckets.find(account);
    if (found == m_buckets.end())
        return std::nullopt;
    Bucket& bucket = found->second;
    refill(bucket, now);
    if (bucket.level < 1.0 - tolerance) {
        const Duration delay = timeUntilToken(
            bucket.level, std::max(bucket.refillRate(), minRefillShare * bucket.rate));
        m_meter.onRefused(account, delay, now);
        return delay;
    }
    settle(key);
    bucket.level -= 1.0;
    bucket.revocable[++m_lastTake] = 1.0;
    bucket.revocableSum += 1.0;
    m_takes[key] = { account, m_lastTake };
    while (!m_grants.empty() && m_grants.front().at <= now - window)
        m_grants.pop_front();
    m_grants.push_back({ now, key.link, account });
    m_meter.onAccepted(account);
    return std::nullopt;
}

/// The bucket and the number of the take of `key`, which is forgotten.
std::optional<std::pair<UsageCaps::Bucket*, UsageCaps::TakeNumber>> UsageCaps::forget(
    DispatchKey key)
{
    const auto take = m_takes.find(key);
    if (take == m_takes.end())
        return std::nullopt;
    const auto [account, number] = take->second;
    m_takes.erase(take);
    const auto bucket = m_buckets.find(account);
    if (bucket == m_buckets.end())
        return std::nullopt;
    return std::pair(&bucket->second, number);
}

void UsageCaps::giveBack(DispatchKey key, TimePoint now)
{
    const auto taken = forget(key);
    if (!taken)
        return;
    Bucket& bucket = *taken->first;
    refill(bucket, now);
    const auto token = bucket.revocable.find(taken->second);
    if (token == bucket.revocable.end())
        return;
    bucket.level = std::min(bucket.level + token->second, bucket.depth);
    bucket.revocableSum -= token->second;
    bucket.revocable.erase(token);
}

void UsageCaps::settle(DispatchKey key)
{
    const auto taken = forget(key);
    if (!taken)
        return;
    Bucket& bucket = *taken->first;
    const auto token = bucket.revocable.find(taken->second);
    if (token == bucket.revocable.end())
        return;
    bucket.revocableSum -= token->second;
    bucket.revocable.erase(token);
}

void UsageCaps::takeByForce(
    const ClientAccountId& account, std::uint32_t requests, Duration age, TimePoint now)
{
    const auto found = m_buckets.find(account);
    if (found == m_buckets.end() || requests == 0)
        return;
    Bucket& bucket = found->second;
    refill(bucket, now);
    const double tokens = requests;
    bucket.level -= tokens;
    if (now - age < m_startedAt) {
        bucket.inherited += tokens;
        coverInherited(bucket);
    } else {
        bucket.level += absorbOverflow(bucket, tokens, now - age);
    }
}

void UsageCaps::onLeaderSilence(Duration silence, TimePoint now)
{
    const TimePoint lastHeard = now - silence;
    if (lastHeard >= m_startedAt)
        return;
    const Duration leaderless = std::min(m_startedAt - lastHeard, window);
    if (m_leaderlessTime && *m_leaderlessTime <= leaderless)
        return;
    m_leaderlessTime = leaderless;
    for (auto& [account, bucket] : m_buckets) {
        refill(bucket, now);
        coverInherited(bucket);
    }
}

void UsageCaps::coverInherited(Bucket& bucket) const
{
    const double refilled = bucket.rate * toSeconds(m_leaderlessTime.value_or(Duration::zero()));
    const double covered = std::min(bucket.inherited, refilled);
    bucket.level
        = std::min(bucket.level + covered - std::exchange(bucket.covered, covered), bucket.depth);
    clip(bucket);
}

void UsageCaps::onHostLost(const HostId& host, LinkId link, TimePoint now)
{
    onHostFound(host, now);
    Reserve reserve { now - unnoticedTime, {} };
    for (const Grant& grant : m_grants) {
        if (grant.link == link && grant.at > now - window)
            reserve.rates[grant.account] += 1.0 / toSeconds(window);
    }
    for (const auto& [account, rate] : reserve.rates) {
        const auto found = m_buckets.find(account);
        if (found == m_buckets.end())
            continue;
        refill(found->second, now);
        found->second.reserved += rate;
        found->second.level -= rate * toSeconds(unnoticedTime);
    }
    if (!reserve.rates.empty())
        m_reserves[host] = std::move(reserve);
}

void UsageCaps::onHostFound(const HostId& host, TimePoint now)
{
    const auto found = m_reserves.find(host);
    if (found == m_reserves.end())
        return;
    const Reserve reserve = std::move(found->second);
    m_reserves.erase(found);
    endReserve(reserve, true, now);
}

void UsageCaps::expireReserves(TimePoint now)
{
    for (auto reserve = m_reserves.begin(); reserve != m_reserves.end();) {
        if (now - reserve->second.since < maxReserveTime) {
            ++reserve;
            continue;
        }
        endReserve(reserve->second, false, now);
        reserve = m_reserves.erase(reserve);
    }
}

void UsageCaps::endReserve(const Reserve& reserve, bool isRestored, TimePoint now)
{
    // Older placements are no longer reported, nor do they count within a window.
    const double seconds = isRestored ? toSeconds(std::min(now - reserve.since, window)) : 0.0;
    for (const auto& [account, rate] : reserve.rates) {
        const auto found = m_buckets.find(account);
        if (found == m_buckets.end())
            continue;
        Bucket& bucket = found->second;
        refill(bucket, now);
        bucket.reserved = std::max(bucket.reserved - rate, 0.0);
        const double full = bucket.level + rate * seconds;
        bucket.level = std::min(full, bucket.depth);
        if (full > bucket.depth && bucket.refillRate() > 0.0)
            recordOverflow(bucket, full - bucket.depth, now);
        clip(bucket);
    }
}

void UsageCaps::suspendRefill(TimePoint now)
{
    if (!m_refillUntil)
        m_refillUntil = now;
}

std::optional<double> UsageCaps::level(const ClientAccountId& account, TimePoint now)
{
    const auto found = m_buckets.find(account);
    if (found == m_buckets.end())
        return std::nullopt;
    refill(found->second, now);
    return found->second.level;
}

} // namespace laburnum
