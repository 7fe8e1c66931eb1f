#include <laburnumroute/instance_rate_limits.h>

#include <algorithm>

namespace laburnum {

namespace {

    void addMetric(
        std::string& text, const char* type, const std::string& name, std::uint64_t value)
    {
        text += "# TYPE " + name + ' ' + type + '\n' + name + ' ' + std::to_string(value) + '\n';
    }

} // namespace

void InstanceRateLimits::restart(TimePoint now)
{
    m_stated.clear();
    m_buckets.clear();
    m_takes.clear();
    m_refillUntil.reset();
    m_changed.clear();
    setShare(1.0 - RateLimitShares::alone, now);
}

TimePoint InstanceRateLimits::refillTime(TimePoint now) const
{
    return m_refillUntil ? std::min(now, *m_refillUntil) : now;
}

void InstanceRateLimits::setRate(const InstanceId& id, Bucket& bucket, TimePoint now) const
{
    const double limit = m_stated.perSecond(id).value_or(0.0);
    bucket.tokens.setRate(
        m_share * std::max(limit, RateLimitShares::minPerSecond), refillTime(now));
}

void InstanceRateLimits::onStatement(const InstanceRateLimit& limit, TimePoint now)
{
    if (m_stated.update(limit, now))
        onChange(limit.instance, now);
}

void InstanceRateLimits::onInstance(const InstanceId& id, std::uint64_t incarnation, TimePoint now)
{
    if (m_stated.onInstance(id, incarnation))
        onChange(id, now);
}

void InstanceRateLimits::remove(const InstanceId& id, TimePoint now)
{
    if (m_stated.remove(id))
        onChange(id, now);
}

void InstanceRateLimits::onChange(const InstanceId& id, TimePoint now)
{
    m_changed.insert(id);
    const auto perSecond = m_stated.perSecond(id);
    Decision decision { "rate-limit", perSecond ? "in-force" : "lifted" };
    decision.facts["instance"] = id.value();
    if (perSecond) {
        const auto [bucket, isNew]
            = m_buckets.try_emplace(id, Bucket { RateLimitBucket(0.0, refillTime(now)), now });
        setRate(id, bucket->second, now);
        m_learned += isNew ? 1 : 0;
        decision.facts["per_second"] = *perSecond;
        decision.facts["share"] = m_share;
    } else if (const auto bucket = m_buckets.find(id); bucket != m_buckets.end()) {
        ++m_lifted;
        decision.facts["ms"] = Json::Int64(toMillis(now - bucket->second.since));
        decision.facts["granted"] = Json::UInt64(bucket->second.granted);
        decision.facts["withheld"] = Json::UInt64(bucket->second.withheld);
        m_buckets.erase(bucket);
        std::erase_if(m_takes, [&](const auto& item) { return item.second == id; });
    }
    m_decisions.push_back(std::move(decision));
}

void InstanceRateLimits::setShare(double share, TimePoint now)
{
    if (share == m_share)
        return;
    m_share = share;
    for (auto& [id, bucket] : m_buckets)
        setRate(id, bucket, now);
}

void InstanceRateLimits::suspendRefill(TimePoint now)
{
    if (!m_refillUntil)
        m_refillUntil = now;
}

bool InstanceRateLimits::mayGrant(const InstanceId& id, TimePoint now) const
{
    if (m_buckets.empty())
        return true;
    const auto bucket = m_buckets.find(id);
    return bucket == m_buckets.end() || bucket->second.tokens.hasToken(refillTime(now));
}

bool InstanceRateLimits::admits(const InstanceId& id, TimePoint now) const
{
    if (mayGrant(id, now))
        return true;
    ++m_buckets.at(id).withheld;
    ++m_withheld;
    return false;
}

void InstanceRateLimits::take(const InstanceId& id, DispatchKey key, TimePoint now)
{
    const auto bucket = m_buckets.find(id);
    if (bucket == m_buckets.end())
        return;
    bucket->second.tokens.take(refillTime(now));
    ++bucket->second.granted;
    ++m_granted;
    m_takes[key] = id;
}

void InstanceRateLimits::giveBack(DispatchKey key, TimePoint now)
{
    const auto take = m_takes.extract(key);
    if (!take)
        return;
    if (const auto bucket = m_buckets.find(take.mapped()); bucket != m_buckets.end())
        bucket->second.tokens.giveBack(refillTime(now));
}

void InstanceRateLimits::takeByForce(const InstanceId& id, TimePoint now)
{
    const auto bucket = m_buckets.find(id);
    if (bucket != m_buckets.end())
        bucket->second.tokens.take(refillTime(now));
}

double InstanceRateLimits::usableSlots(
    const InstanceId& id, std::uint32_t slots, Duration latency) const
{
    const auto perSecond = m_stated.perSecond(id);
    if (!perSecond)
        return slots;
    const double rate = m_share * std::max(*perSecond, RateLimitShares::minPerSecond);
    return std::min(
        static_cast<double>(slots), rate * std::chrono::duration<double>(latency).count());
}

std::vector<InstanceRateLimit> InstanceRateLimits::takeChanges()
{
    std::vector<InstanceRateLimit> changes;
    for (const InstanceId& id : std::exchange(m_changed, {})) {
        if (auto statement = m_stated.statement(id))
            changes.push_back(std::move(*statement));
    }
    return changes;
}

std::vector<Decision> InstanceRateLimits::takeDecisions() { return std::exchange(m_decisions, {}); }

std::string InstanceRateLimits::render() const
{
    std::string text;
    addMetric(text, "gauge", "laburnum_rate_limits_in_force", m_buckets.size());
    addMetric(text, "counter", "laburnum_rate_limits_learned_total", m_learned);
    addMetric(text, "counter", "laburnum_rate_limits_lifted_total", m_lifted);
    addMetric(text, "counter", "laburnum_rate_limited_grants_total", m_granted);
    addMetric(text, "counter", "laburnum_rate_limit_withheld_total", m_withheld);
    return text;
}

} // namespace laburnum
