#include "fakes/rate_limit_checker.h"

#include <algorithm>

namespace laburnum::fakes {

void RateLimitChecker::onNamed(
    const InstanceId& instance, std::optional<double> perSecond, TimePoint now)
{
    auto& periods = m_periods[instance];
    const bool isLimited = !periods.empty() && !periods.back().end;
    if (!perSecond) {
        if (isLimited)
            periods.back().end = now;
        return;
    }
    if (!isLimited)
        periods.emplace_back();
    periods.back().limits[now] = *perSecond;
}

void RateLimitChecker::onTold(const InstanceId& instance, const HostId& host, TimePoint now)
{
    const auto periods = m_periods.find(instance);
    if (periods != m_periods.end() && !periods->second.back().end)
        periods->second.back().told.try_emplace(host, now);
}

void RateLimitChecker::onArrived(const InstanceId& instance, const HostId& host, TimePoint now)
{
    const auto periods = m_periods.find(instance);
    if (periods != m_periods.end() && !periods->second.back().end)
        periods->second.back().arrivals.push_back({ now, host });
}

bool RateLimitChecker::counts(const Period& period, const Arrival& arrival)
{
    const auto told = period.told.find(arrival.host);
    return arrival.at >= period.limits.begin()->first + noticeTime && told != period.told.end()
        && arrival.at >= told->second + hostNoticeTime;
}

/// A lower limit binds after the same time as a first one.
double RateLimitChecker::limitAt(const Period& period, TimePoint at)
{
    auto from = period.limits.upper_bound(at - window - noticeTime);
    if (from != period.limits.begin())
        --from;
    double highest = 0.0;
    for (auto limit = from; limit != period.limits.end() && limit->first <= at; ++limit)
        highest = std::max(highest, limit->second);
    return highest;
}

RateLimitViolation RateLimitChecker::worst(const InstanceId& instance, const Period& period)
{
    RateLimitViolation result { instance, {}, 0, 1.0, 0.0 };
    std::vector<TimePoint> counted;
    std::size_t first = 0;
    for (const Arrival& arrival : period.arrivals) {
        if (!counts(period, arrival))
            continue;
        counted.push_back(arrival.at);
        while (counted[first] <= arrival.at - window)
            ++first;
        const std::uint64_t requests = counted.size() - first;
        const double limit = limitAt(period, arrival.at);
        const double allowed
            = factor * limit * std::chrono::duration<double>(window).count() + slack;
        if (static_cast<double>(requests) / allowed
            > static_cast<double>(result.requests) / result.allowed)
            result = { instance, arrival.at, requests, allowed, limit };
    }
    return result;
}

std::vector<RateLimitViolation> RateLimitChecker::violations() const
{
    std::vector<RateLimitViolation> result;
    for (const auto& [instance, periods] : m_periods) {
        for (const Period& period : periods) {
            const RateLimitViolation fullest = worst(instance, period);
            if (static_cast<double>(fullest.requests) > fullest.allowed)
                result.push_back(fullest);
        }
    }
    return result;
}

double RateLimitChecker::fullestWindow() const
{
    double result = 0.0;
    for (const auto& [instance, periods] : m_periods) {
        for (const Period& period : periods) {
            const RateLimitViolation fullest = worst(instance, period);
            result = std::max(result, static_cast<double>(fullest.requests) / fullest.allowed);
        }
    }
    return result;
}

std::uint64_t RateLimitChecker::counted() const
{
    std::uint64_t result = 0;
    for (const auto& [instance, periods] : m_periods) {
        for (const Period& period : periods)
            result += static_cast<std::uint64_t>(
                std::count_if(period.arrivals.begin(), period.arrivals.end(),
                    [&](const Arrival& arrival) { return counts(period, arrival); }));
    }
    return result;
}

} // namespace laburnum::fakes
