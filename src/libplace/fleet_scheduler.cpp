#include <laburnumroute/fleet_scheduler.h>

#include <algorithm>
#include <array>
#include <bit>
#include <cmath>
#include <limits>

#include "fleet_scheduler_pvt.h"
#include "placement_cost_pvt.h"

namespace laburnum {

using namespace pvt;
using std::chrono::milliseconds;

namespace {

    /// Increase of the latency, as a share of it, when all slots of an instance are in use;
    /// proportional to the slots in use.
    constexpr double loadSlowdown = 0.6;
    /// Factor on the latency of a cold instance, which still needs requests to warm up.
    constexpr double coldSlowdown = 1.4;
    constexpr std::uint32_t coldSlots = 2;
    /// A new leader knows nothing about the health of instances, and the waiting callers arrive at
    /// once. During this phase an instance gets one request per interval; the interval covers a
    /// round trip between regions, within which an immediate failure is reported.
    constexpr auto startupPhase = milliseconds(1000);
    constexpr auto startupInterval = milliseconds(50);
    /// An instance without an announcement for announcementTimeout and without a success for
    /// successValidity is considered likely to fail.
    constexpr auto announcementTimeout = milliseconds(4500);
    constexpr auto successValidity = milliseconds(3000);
    constexpr double silentFailureProbability = 0.5;
    /// Longest idle time of an instance that may be healthy, whatever its past failures. If most of
    /// a service stayed idle, there would be no alternative when the rest fails, and recoveries
    /// would be detected late. Requests that can be repeated probe first. By distance: same data
    /// centre, same region, another region.
    constexpr std::array<Duration, 3> maxIdleSafe { milliseconds(700), milliseconds(900),
        milliseconds(1750) };
    constexpr std::array<Duration, 3> maxIdleUnsafe { milliseconds(1650), milliseconds(1700),
        milliseconds(1900) };
    /// Large bodies should not travel far for a probe while another request may come.
    constexpr std::array<Duration, 3> maxIdleUpload { milliseconds(1500), milliseconds(1700),
        milliseconds(1850) };
    /// After a failure an instance is not probed for this long.
    constexpr auto failureCooldown = milliseconds(2000);
    /// The same for requests that can be repeated. Shorter, because an instance may count as
    /// healthy two seconds after a failure and must have had work by then.
    constexpr auto failureCooldownSafe = milliseconds(750);
    /// Share of a service's instances, the most likely to fail, that are exempt from the idle
    /// limit. Small, because the floor of 0.7 may be evaluated over a sample of ten instances, and
    /// over losses that follow its two-second window.
    constexpr double idleExemptShare = 0.1;
    /// The same as a number: all exempt instances of a large service may be in such a sample.
    constexpr std::size_t idleExemptLimit = 3;
    constexpr double idleExemptProbability = 0.15;
    /// Idle limit of exempt instances; a gray spell lasts about nine seconds.
    constexpr auto maxIdleExempt = milliseconds(12000);
    /// Exceeds any cost, so that an instance due for a probe is selected first.
    constexpr double probeBonusMs = 30000.0;

    /// Waiting for a cheaper slot must save this much more than the wait costs.
    constexpr double waitMarginMs = 100.0;

    /// Validity of the load that an instance reports.
    constexpr double reportedLoadSeconds = 1.0;
    constexpr double doubtfulProbability = 0.12;
    constexpr double doubtfulDeclineProbability = 0.5;

    /// Least time between two requests at an instance that is likely to be in a gray spell. An
    /// instance that fails at once is always free, and would otherwise get whatever finds the
    /// others full.
    constexpr auto graveInterval = milliseconds(200);
    /// Wait for a cheaper slot than one that is free, as a share of the objective.
    constexpr int cheaperWaitDivisor = 8;
    constexpr auto defaultCheaperWait = milliseconds(250);

    /// Larger requests share a class.
    constexpr std::uint32_t maxClassKiB = std::uint32_t { 1 } << 20U;
    /// Services up to this size are ranked for each decision.
    constexpr std::size_t exactRankingSize = 64;
    constexpr auto rankingValidity = milliseconds(20);
    /// Rankings that are not used any more are dropped after this time.
    constexpr auto rankingLifetime = milliseconds(1000);
    /// Health estimates drift by about one percent in this time, and outcomes invalidate them.
    constexpr auto healthCacheTime = milliseconds(10);
    constexpr auto capacityCacheTime = milliseconds(10);

    double toMs(Duration d) { return std::chrono::duration<double, std::milli>(d).count(); }

} // namespace

const char* placementRefusalName(PlacementRefusal refusal) noexcept
{
    switch (refusal) {
    case PlacementRefusal::None:
        return "none";
    case PlacementRefusal::NoInstance:
        return "no-instance";
    case PlacementRefusal::Busy:
        return "busy";
    case PlacementRefusal::NoBudget:
        return "no-budget";
    case PlacementRefusal::OverCap:
        return "over-cap";
    case PlacementRefusal::OverShare:
        return "over-share";
    case PlacementRefusal::RateLimited:
        return "rate-limited";
    }
    return "unknown";
}

FleetScheduler::Service& FleetScheduler::serviceOf(const ServiceId& id)
{
    const auto [found, inserted] = m_services.try_emplace(id);
    if (inserted) {
        found->second.retries.setLimits(m_retryLimits);
        found->second.retries.spendSlack(m_startedAt);
    }
    return found->second;
}

Duration FleetScheduler::typicalLatencyOf(const Service& service) const
{
    return fromSeconds(service.typicalSeconds > 0 ? service.typicalSeconds : initialTypicalSeconds);
}

void FleetScheduler::upsert(const InstanceRecord& record, TimePoint now)
{
    const auto [found, inserted] = m_instances.try_emplace(record.id);
    Instance& instance = found->second;
    if (!inserted && instance.record.incarnation != record.incarnation) {
        instance.estimator.reset();
        instance.health.reset();
        instance.lastFailure = instance.lastUnreachable = TimePoint();
    }
    if (!inserted)
        detach(instance);
    m_rateLimits.onInstance(record.id, record.incarnation, now);
    instance.record = record;
    instance.lastAnnouncement = now;
    Service& service = serviceOf(record.service);
    service.capacity.reset();
    service.rankings.clear();
    service.instances.insert(
        std::upper_bound(service.instances.begin(), service.instances.end(), &instance,
            [](const Instance* a, const Instance* b) { return a->record.id < b->record.id; }),
        &instance);
}

void FleetScheduler::detach(Instance& instance)
{
    Service& service = serviceOf(instance.record.service);
    service.capacity.reset();
    service.rankings.clear();
    std::erase(service.instances, &instance);
}

void FleetScheduler::remove(const InstanceId& id, TimePoint now)
{
    const auto found = m_instances.find(id);
    if (found == m_instances.end())
        return;
    detach(found->second);
    m_instances.erase(found);
    m_rateLimits.remove(id, now);
}

void FleetScheduler::restart(TimePoint now)
{
    m_startedAt = now;
    m_caps.restart(now);
    m_rateLimits.restart(now);
    m_waiterIndex.clear();
    m_services.clear();
    m_instances.clear();
    m_placements.clear();
    m_spillover.restart();
}

void FleetScheduler::onAnnouncement(const InstanceId& id, Duration warmupRemaining, TimePoint now)
{
    const auto found = m_instances.find(id);
    if (found == m_instances.end())
        return;
    if (!usable(found->second, now))
        serviceOf(found->second.record.service).capacity.reset();
    found->second.lastAnnouncement = now;
    found->second.coldUntil = now + warmupRemaining;
}

bool FleetScheduler::usable(const Instance& instance, TimePoint now) const
{
    if (instance.record.phase != InstancePhase::Serving)
        return false;
    // A silent instance that was unreachable at the last attempt is gone until it announces itself.
    const bool silent = now - instance.lastAnnouncement > announcementTimeout;
    return !silent || instance.lastUnreachable <= instance.estimator.lastSuccess();
}

bool FleetScheduler::hasFreeSlot(const Instance& instance, TimePoint now) const
{
    if (now - m_startedAt < startupPhase && now - instance.lastGranted < startupInterval)
        return false;
    const double age = std::chrono::duration<double>(now - instance.externalLoadAt).count();
    const double externalLoad = age < reportedLoadSeconds ? instance.externalLoad : 0.0;
    const std::uint32_t slots = instance.coldUntil > now
        ? std::min(coldSlots, instance.record.slots)
        : instance.record.slots + instance.transitSlots;
    return instance.busy + externalLoad < slots && m_rateLimits.mayGrant(instance.record.id, now);
}

bool FleetScheduler::isHeldBack(const Instance& instance, TimePoint now) const
{
    return now - instance.lastGranted < graveInterval
        && healthOf(instance, now).failureProbability > graveProbability;
}

Duration FleetScheduler::maxWaitForCheaper(const PlacementRequest& request, const Service& service)
{
    const Duration wait = request.objective > Duration::zero()
        ? request.objective / cheaperWaitDivisor
        : Duration(defaultCheaperWait);
    return std::chrono::duration_cast<Duration>(wait * service.waitFactor);
}

const FleetScheduler::Health& FleetScheduler::healthOf(
    const Instance& instance, TimePoint now) const
{
    if (!instance.health || now - instance.health->at > healthCacheTime)
        instance.health = { instance.estimator.failureProbability(now),
            instance.estimator.failureBound(now), instance.estimator.declineProbability(now),
            instance.estimator.slowness(now), now };
    return *instance.health;
}

const FleetScheduler::Capacity& FleetScheduler::capacityOf(Service& service, TimePoint now) const
{
    if (service.capacity && now - service.capacity->at <= capacityCacheTime)
        return *service.capacity;
    Capacity capacity;
    capacity.at = now;
    m_evaluations += service.instances.size();
    for (const Instance* instance : service.instances) {
        if (usable(*instance, now)) {
            capacity.slots += m_rateLimits.usableSlots(
                instance->record.id, instance->record.slots, typicalLatencyOf(service));
            capacity.limited += m_rateLimits.isLimited(instance->record.id) ? 1 : 0;
            ++capacity.instances;
        }
    }
    service.capacity = capacity;
    return *service.capacity;
}

double FleetScheduler::cost(const Instance& instance, const Service& service,
    const PlacementRequest& request, TimePoint now) const
{
    const double utilization
        = static_cast<double>(instance.busy) / std::max(instance.record.slots, 1U);
    const Health& health = healthOf(instance, now);
    double work = toMs(typicalLatencyOf(service)) * health.slowness;
    work *= 1.0 + loadSlowdown * utilization;
    if (instance.coldUntil > now)
        work *= coldSlowdown;
    double probability = health.failureProbability;
    if (now - instance.lastAnnouncement > announcementTimeout
        && now - instance.estimator.lastSuccess() > successValidity)
        probability = std::max(probability, silentFailureProbability);
    const double total = work + pvt::failureCost(request.kind, probability)
        + pvt::declineCost(health.declineProbability) + awayCost(instance, request, probability);
    // The bonus requires a free slot: an instance whose slots are in use needs no probe, and no
    // request should wait for it on that account.
    return hasFreeSlot(instance, now) && isProbeDue(instance, request, now) ? total - probeBonusMs
                                                                            : total;
}

bool FleetScheduler::isProbeDue(
    const Instance& instance, const PlacementRequest& request, TimePoint now) const
{
    if (instance.lastUnreachable > instance.estimator.lastSuccess()
        && instance.lastAnnouncement <= instance.lastUnreachable)
        return false;
    const Duration cooldown
        = request.kind == RequestKind::Safe ? failureCooldownSafe : failureCooldown;
    const TimePoint since = std::max(instance.lastGranted, instance.lastFailure + cooldown);
    if (instance.idleExempt)
        return now - since > maxIdleExempt;
    std::size_t distance = instance.record.region == request.region ? 1 : 2;
    if (instance.record.dataCentre == request.dataCentre)
        distance = 0;
    const auto& limits = request.kind == RequestKind::Safe ? maxIdleSafe
        : request.kind == RequestKind::Upload              ? maxIdleUpload
                                                           : maxIdleUnsafe;
    return now - since > limits[distance];
}

/// Marks the instances of each service that are exempt from the idle limit.
void FleetScheduler::exemptWorst(TimePoint now)
{
    for (auto& [id, service] : m_services) {
        std::vector<std::pair<double, Instance*>> byProbability;
        for (Instance* instance : service.instances) {
            instance->idleExempt = false;
            const double probability = healthOf(*instance, now).failureProbability;
            if (probability > idleExemptProbability && usable(*instance, now))
                byProbability.emplace_back(probability, instance);
        }
        std::sort(byProbability.begin(), byProbability.end(), std::greater<>());
        const auto share = static_cast<std::size_t>(
            idleExemptShare * static_cast<double>(capacityOf(service, now).instances));
        const std::size_t maxExempt = std::min(share, idleExemptLimit);
        byProbability.resize(std::min(maxExempt, byProbability.size()));
        for (const auto& [probability, instance] : byProbability)
            instance->idleExempt = true;
    }
}

std::vector<const FleetScheduler::Instance*> FleetScheduler::excludedBy(
    const PlacementRequest& request) const
{
    std::vector<const Instance*> excluded;
    for (const InstanceId& id : request.avoid) {
        if (const auto found = m_instances.find(id); found != m_instances.end())
            excluded.push_back(&found->second);
    }
    return excluded;
}

FleetScheduler::RequestClass FleetScheduler::classOf(const PlacementRequest& request)
{
    return { request.kind, request.dataCentre, request.region,
        std::bit_ceil(std::min(request.bodyKiB, maxClassKiB)) };
}

const FleetScheduler::Ranking& FleetScheduler::rankingOf(
    const PlacementRequest& request, const Service& service, TimePoint now) const
{
    const auto [found, inserted] = service.rankings.try_emplace(classOf(request));
    Ranking& ranking = found->second;
    const Duration validity
        = service.instances.size() > exactRankingSize ? rankingValidity : Duration::zero();
    if (!inserted && now - ranking.at <= validity && validity > Duration::zero())
        return ranking;
    ranking.at = now;
    ranking.instances.clear();
    m_evaluations += service.instances.size();
    for (Instance* instance : service.instances) {
        if (usable(*instance, now))
            ranking.instances.push_back({ cost(*instance, service, request, now), instance });
    }
    std::stable_sort(ranking.instances.begin(), ranking.instances.end(),
        [](const RankedInstance& a, const RankedInstance& b) { return a.cost < b.cost; });
    return ranking;
}

FleetScheduler::Choice FleetScheduler::choose(const PlacementRequest& request,
    const Service& service, TimePoint now, SelectionPolicy policy) const
{
    const auto excluded = excludedBy(request);
    Instance* best = nullptr;
    double bestCost = std::numeric_limits<double>::infinity();
    std::vector<FullInstance> full;
    for (const auto& [rankedCost, instance] : rankingOf(request, service, now).instances) {
        if (rankedCost >= bestCost)
            break;
        if (std::find(excluded.begin(), excluded.end(), instance) != excluded.end()
            || !usable(*instance, now) || !m_rateLimits.admits(instance->record.id, now))
            continue;
        if (!hasFreeSlot(*instance, now)) {
            if (instance->record.slots > 0)
                full.push_back({ rankedCost, instance->record.slots });
            continue;
        }
        ++m_evaluations;
        const double current = cost(*instance, service, request, now);
        if (current < bestCost && !isHeldBack(*instance, now)) {
            best = instance;
            bestCost = current;
        }
    }
    if (policy == SelectionPolicy::AnyFree)
        return { best, {} };
    std::erase_if(full, [&](const FullInstance& f) { return f.cost + waitMarginMs >= bestCost; });
    const double graveCost = full.empty()
        ? std::numeric_limits<double>::infinity()
        : full.front().cost + pvt::failureCost(request.kind, graveProbability);
    const double maxCost = std::min(graveCost,
        computeMaxCost(full, typicalLatencyOf(service), maxWaitForCheaper(request, service),
            service.waiters.size()));
    const double limit = policy == SelectionPolicy::Settle ? graveCost : maxCost;
    return { bestCost <= limit ? best : nullptr, { maxCost, graveCost } };
}

/// Returns the cost up to which a free slot is preferable to waiting up to `maxWait` for one of the
/// full instances, which are ordered by cost.
double FleetScheduler::computeMaxCost(const std::vector<FullInstance>& full,
    Duration typicalLatency, Duration maxWait, std::size_t waiters)
{
    double maxCost = std::numeric_limits<double>::infinity();
    std::uint64_t slots = 0;
    for (const FullInstance& each : full) {
        slots += each.slots;
        // Requests already waiting are served first, and only by these instances.
        const double waitMs = toMs(typicalLatency) * static_cast<double>(waiters + 1)
            / static_cast<double>(std::max<std::uint64_t>(slots, 1));
        if (waitMs <= toMs(maxWait))
            maxCost
                = std::min(maxCost, std::max(each.cost, full.front().cost + waitMs) + waitMarginMs);
    }
    return maxCost;
}

void FleetScheduler::grant(const PlacementRequest& request, const FairShares::Charge& charge,
    Instance& instance, TimePoint now, std::vector<PlacementReply>& replies)
{
    const bool isProbe = m_spillover.isOn() && isProbeDue(instance, request, now);
    ++instance.busy;
    instance.lastGranted = now;
    m_rateLimits.take(instance.record.id, request.key, now);
    const InstanceRecord& record = instance.record;
    const InstanceId& id = record.id;
    const bool hasLeft = m_spillover.onGrant(request.service, request.dataCentre, record.dataCentre,
        record.region == request.region, isProbe);
    m_placements[request.key] = { id, request.service, now, now + request.remaining, false,
        request.account, request.priority, charge, request.dataCentre, record.dataCentre, hasLeft };
    advanceShares(serviceOf(request.service), request, charge);
    replies.push_back({ PlacementReplyKind::Granted, request.key, id });
}

void FleetScheduler::dispatch(
    const PlacementRequest& request, TimePoint now, std::vector<PlacementReply>& replies)
{
    Service& service = serviceOf(request.service);
    if (!request.resubmitted) {
        if (const auto delay = m_caps.take(request.account, request.key, now))
            return refuse(request, PlacementRefusal::OverCap, *delay, now, replies);
        service.retries.onRequest(now);
    }
    if (!request.account.value().empty())
        service.shares.try_emplace(request.priority);
    // Tokens come with time, not with the end of an attempt, so none of the waiters has been
    // offered those since the last tick.
    if (!service.waiters.empty() && capacityOf(service, now).isRateBound())
        serveWaiters(service, now, replies);
    if (request.isHedge)
        return dispatchHedge(request, service, now, replies);
    if (request.retry && !takeRetry(service, request, now))
        return refuse(request, PlacementRefusal::NoBudget, minRetryAfter, now, replies);
    // Waiters were offered every slot when it was freed and are waiting for a cheaper one, so a new
    // request may overtake them. In the startup phase slots also open with time; then waiters go
    // first unless the new request has a higher priority.
    const bool mayOvertake = now - m_startedAt >= startupPhase || service.waiters.empty()
        || service.waiters.begin()->first.priority > request.priority;
    std::optional<CostLimits> limits;
    if (mayOvertake) {
        const Choice choice = choose(request, service, now, SelectionPolicy::CostAware);
        if (choice.instance != nullptr)
            return grantAtOnce(request, *choice.instance, now, replies);
        limits = choice.limits;
    }
    enqueue(request, limits, now, replies);
}

bool FleetScheduler::takeRetry(Service& service, const PlacementRequest& request, TimePoint now)
{
    const bool hasAccounts = !service.shares.empty();
    return (!hasAccounts
               || service.rationing.admit(
                   request.priority, service.retries.remainingShare(now), now))
        && service.retries.take(now);
}

/// Grants or refuses a hedge; it never waits, since another attempt is in flight.
void FleetScheduler::dispatchHedge(const PlacementRequest& request, Service& service, TimePoint now,
    std::vector<PlacementReply>& replies)
{
    const Choice choice = choose(request, service, now, SelectionPolicy::CostAware);
    const PlacementRefusal refusal = choice.instance == nullptr ? PlacementRefusal::Busy
        : service.retries.take(now)                             ? PlacementRefusal::None
                                                                : PlacementRefusal::NoBudget;
    if (refusal == PlacementRefusal::None)
        return grantAtOnce(request, *choice.instance, now, replies);
    refuse(request, refusal, minRetryAfter, now, replies);
}

void FleetScheduler::refuse(const PlacementRequest& request, PlacementRefusal refusal,
    Duration delay, TimePoint now, std::vector<PlacementReply>& replies)
{
    m_caps.giveBack(request.key, now);
    ++m_refusals.at(static_cast<std::size_t>(refusal));
    replies.push_back({ PlacementReplyKind::Refused, request.key, {}, refusal, delay });
}

void FleetScheduler::cancel(DispatchKey key, TimePoint now, std::vector<PlacementReply>& replies)
{
    if (const auto found = m_waiterIndex.find(key); found != m_waiterIndex.end()) {
        Service& service = *found->second.first;
        dropWaiter(service, service.waiters.find(found->second.second));
    }
    m_caps.giveBack(key, now);
    m_rateLimits.giveBack(key, now);
    end(key, {}, now, replies);
}

void FleetScheduler::tick(TimePoint now, std::vector<PlacementReply>& replies)
{
    exemptWorst(now);
    checkPlacements(now);
    for (auto& [id, service] : m_services) {
        updateTransitSlots(service);
        for (auto& [priority, shares] : service.shares)
            shares.onTick(now, !service.queueEmptied);
        updateSpillover(id, service, now);
        std::erase_if(service.rankings,
            [&](const auto& item) { return now - item.second.at > rankingLifetime; });
        serveWaiters(service, now, replies);
        updateWaitFactor(service);
    }
}

std::vector<InstanceId> FleetScheduler::doubtful(TimePoint now) const
{
    std::vector<InstanceId> ids;
    for (const auto& [id, instance] : m_instances) {
        if (!usable(instance, now)
            || instance.estimator.failureProbability(now) > doubtfulProbability
            || instance.estimator.declineProbability(now) > doubtfulDeclineProbability)
            ids.push_back(id);
    }
    return ids;
}

std::size_t FleetScheduler::waiting() const noexcept { return m_waiterIndex.size(); }

} // namespace laburnum
