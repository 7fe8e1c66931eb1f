// Rate limits on the day of a RequestFleet: who names which limit when, and hosts that are alone
// meanwhile.

#include <array>

#include "fakes/request_fleet.h"
#include "fakes/request_fleet_day.h"

namespace laburnum::fakes {

using namespace std::chrono_literals;

namespace {

    constexpr double limitedShare = 0.25;
    constexpr const char* limitedService = "slot-b";
    constexpr std::array<double, 6> limits { 0.0, 0.25, 1.0, 1.3, 4.0, 15.0 };
    constexpr std::uint64_t namedFromMs = 500;
    constexpr std::uint64_t namedRangeMs = 4000;
    constexpr double changedShare = 0.3;
    constexpr double endedShare = 0.3;
    constexpr std::uint64_t changedAfterMs = 3000;
    constexpr std::uint64_t changedRangeMs = 4000;

    constexpr std::uint64_t aloneFromMs = 5000;
    constexpr std::uint64_t aloneRangeMs = 4000;
    constexpr std::uint64_t leastAloneMs = 4000;
    constexpr std::uint64_t aloneLengthRangeMs = 4000;

    double drawLimit(Random& random) { return limits.at(uniformBelow(random, limits.size())); }

} // namespace

void RequestFleet::scheduleRateLimits()
{
    if (m_options.rateLimits == RateLimitDay::None)
        return;
    Random random(m_options.seed + 2);
    for (std::size_t i = 0; i < m_instances.size(); ++i) {
        const bool isDrawn = uniformReal(random) < limitedShare;
        const bool isOfService = m_options.rateLimits == RateLimitDay::WholeService
            && m_instances.record(i).service == ServiceId(limitedService);
        if (isDrawn || isOfService)
            scheduleRateLimits(i, random);
    }
    scheduleAloneDay(random);
}

void RequestFleet::scheduleRateLimits(std::size_t instance, Random& random)
{
    const double first = drawLimit(random);
    const double second = drawLimit(random);
    const Duration from = 1ms * (namedFromMs + uniformBelow(random, namedRangeMs));
    const Duration changed = from + 1ms * (changedAfterMs + uniformBelow(random, changedRangeMs));
    const double draw = uniformReal(random);
    m_fleet.schedule(from, [this, instance, first] { setRateLimit(instance, first); });
    if (draw < changedShare)
        m_fleet.schedule(changed, [this, instance, second] { setRateLimit(instance, second); });
    else if (draw < changedShare + endedShare)
        m_fleet.schedule(changed, [this, instance] { setRateLimit(instance, std::nullopt); });
}

void RequestFleet::setRateLimit(std::size_t instance, std::optional<double> perSecond)
{
    m_instances.setRateLimit(instance, perSecond);
    m_rateLimits.onNamed(m_instances.record(instance).id, perSecond, m_fleet.now());
}

void RequestFleet::scheduleAloneDay(Random& random)
{
    const Duration from = 1ms * (aloneFromMs + uniformBelow(random, aloneRangeMs));
    const Duration length = 1ms * (leastAloneMs + uniformBelow(random, aloneLengthRangeMs));
    if (m_options.alone == AloneDay::None)
        return;
    for (const auto& [host, state] : m_hosts) {
        if (m_options.alone == AloneDay::Half && state.number % 2 == 0)
            continue;
        m_fleet.schedule(from, [this, host = host] { cutFromControls(host, true); });
        m_fleet.schedule(from + length, [this, host = host] { cutFromControls(host, false); });
    }
}

/// What Exchange does with the field.
void RequestFleet::onRateLimit(
    const LiveRequest& request, const LiveAttempt& attempt, const InstanceAnswer& answer)
{
    const bool isDeclined
        = answer.ending == InstanceEnding::Shed || answer.ending == InstanceEnding::Leaving;
    if (answer.ending != InstanceEnding::Answered && !isDeclined)
        return;
    if (answer.rateLimit)
        m_rateLimits.onTold(attempt.instance, request.host, m_fleet.now());
    if (answer.rateLimit || !isDeclined)
        m_fleet.reportRateLimit(
            request.host, attempt.dispatch, answer.rateLimit, m_fleet.now() - attempt.start);
}

} // namespace laburnum::fakes
