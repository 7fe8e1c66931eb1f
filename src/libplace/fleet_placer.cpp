#include <laburnumroute/fleet_placer.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

#include "placement_cost_pvt.h"

namespace laburnum {

using std::chrono::milliseconds;

namespace {

    /// A busy instance is slower by up to this factor when all slots are taken.
    constexpr double crowdFactor = 0.6;
    /// A cold instance is slower, but must get work to warm up.
    constexpr double coldFactor = 1.4;
    constexpr std::uint32_t coldSlots = 2;
    /// A view that has just begun knows no instance, and the callers that waited for it come at
    /// once: for this long an instance gets one request at a time interval in which a failure at
    /// once would be heard, a round trip between regions.
    constexpr auto startPhase = milliseconds(1000);
    constexpr auto startPace = milliseconds(50);
    /// An instance that announced nothing for so long and did no work is doubted.
    constexpr auto unheardAfter = milliseconds(4500);
    constexpr auto workCountsFor = milliseconds(3000);
    constexpr double unheardFailureChance = 0.5;
    /// Every instance that may be sound gets work at least this often, whatever its record says: a
    /// fleet that leaves most of a service idle has nothing to turn to when the rest fails, and
    /// finds out late that an instance is well again. Requests that can be repeated go first. By
    /// distance: in the asker's data centre, its region, another region.
    constexpr std::array<Duration, 3> idleForSafe { milliseconds(700), milliseconds(900),
        milliseconds(1750) };
    constexpr std::array<Duration, 3> idleForUnsafe { milliseconds(1650), milliseconds(1700),
        milliseconds(1900) };
    /// Large bodies do not travel far for this while another request may come.
    constexpr std::array<Duration, 3> idleForUpload { milliseconds(1500), milliseconds(1700),
        milliseconds(1850) };
    /// An instance that failed is left alone for so long first.
    constexpr auto restAfterFailure = milliseconds(2000);
    /// Part of a service's instances, the likeliest to fail, that may stay idle all the same.
    constexpr double leftOutShare = 0.25;
    constexpr double leftOutChance = 0.15;
    /// The same while few requests are lost: the floor binds when over a tenth is, and each try of
    /// an instance that is still gray loses a request that cannot be repeated.
    constexpr double leftOutShareCalm = 0.45;
    /// Below the tenth by as much as the count may lag.
    constexpr double calmLossShare = 0.07;
    /// On fewer requests (in weights of 0 to 1) the share of losses says little.
    constexpr double calmMinRequests = 30.0;
    /// No instance stays idle longer: a spell lasts about nine seconds.
    constexpr auto longestIdle = milliseconds(12000);
    /// More than any cost: an instance that is due goes first.
    constexpr double dueBonusMs = 30000.0;

    /// A wait for a better place has to save so much more than it takes.
    constexpr double waitMarginMs = 100.0;

    /// Before the first success a service is taken to need this long.
    constexpr double initialTypicalSeconds = 0.4;
    constexpr double typicalGain = 0.05;
    /// An attempt is overdue after this many typical latencies, and not before the floor.
    constexpr double overdueFactor = 3.0;
    constexpr auto overdueFloor = milliseconds(1000);

    /// Part of the remaining time that may be spent waiting for a place.
    constexpr int patienceDivisor = 4;
    constexpr auto minRetryAfter = milliseconds(250);
    constexpr auto maxRetryAfter = milliseconds(1500);
    /// Reports of load by the instance count for this long.
    constexpr double foreignSeconds = 1.0;
    /// After a link ended, its attempts are taken to run on for this long at most.
    constexpr auto orphanTime = milliseconds(1000);
    constexpr double doubtfulChance = 0.12;

    double toMs(Duration d) { return std::chrono::duration<double, std::milli>(d).count(); }
    Duration fromSeconds(double s)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(s));
    }

} // namespace

const char* placeRefusalName(PlaceRefusal refusal) noexcept
{
    switch (refusal) {
    case PlaceRefusal::None:
        return "none";
    case PlaceRefusal::NoInstance:
        return "no-instance";
    case PlaceRefusal::Busy:
        return "busy";
    case PlaceRefusal::NoBudget:
        return "no-budget";
    }
    return "unknown";
}

FleetPlacer::Service& FleetPlacer::serviceOf(const ServiceId& id)
{
    const auto [found, inserted] = m_services.try_emplace(id);
    if (inserted) {
        found->second.repeats.setTerms(m_terms);
        found->second.repeats.spendSlack(m_startedAt);
    }
    return found->second;
}

Duration FleetPlacer::typicalOf(const Service& service) const
{
    return fromSeconds(service.typical > 0 ? service.typical : initialTypicalSeconds);
}

void FleetPlacer::upsert(const InstanceRecord& record, TimePoint now)
{
    const auto [found, inserted] = m_instances.try_emplace(record.id);
    Instance& instance = found->second;
    if (!inserted && instance.record.incarnation != record.incarnation)
        instance.judge.reset();
    if (!inserted && instance.record.service != record.service)
        serviceOf(instance.record.service).instances.erase(record.id);
    instance.record = record;
    instance.heard = now;
    serviceOf(record.service).instances.insert(record.id);
}

void FleetPlacer::remove(const InstanceId& id)
{
    const auto found = m_instances.find(id);
    if (found == m_instances.end())
        return;
    serviceOf(found->second.record.service).instances.erase(id);
    m_instances.erase(found);
}

void FleetPlacer::restart(TimePoint now)
{
    m_startedAt = now;
    m_instances.clear();
    m_services.clear();
    m_places.clear();
}

void FleetPlacer::heard(const InstanceId& id, Duration coldFor, TimePoint now)
{
    const auto found = m_instances.find(id);
    if (found == m_instances.end())
        return;
    found->second.heard = now;
    found->second.coldUntil = now + coldFor;
}

bool FleetPlacer::usable(const Instance& instance, TimePoint now) const
{
    if (instance.record.phase != InstancePhase::Serving)
        return false;
    // Silent, and the last try found nobody there: gone, until it is heard again.
    const bool silent = now - instance.heard > unheardAfter;
    return !silent || instance.lastUnreachable <= instance.judge.lastSuccess();
}

bool FleetPlacer::hasRoom(const Instance& instance, TimePoint now) const
{
    if (now - m_startedAt < startPhase && now - instance.lastGranted < startPace)
        return false;
    const double age = std::chrono::duration<double>(now - instance.foreignAt).count();
    const double foreign = age < foreignSeconds ? instance.foreign : 0.0;
    const std::uint32_t slots = instance.coldUntil > now
        ? std::min(coldSlots, instance.record.slots)
        : instance.record.slots;
    return instance.busy + foreign < slots;
}

double FleetPlacer::cost(const Instance& instance, const Service& service,
    const PlaceDemand& demand, TimePoint now) const
{
    const double used = static_cast<double>(instance.busy) / std::max(instance.record.slots, 1U);
    double work = toMs(typicalOf(service)) * instance.judge.slowness(now);
    work *= 1.0 + crowdFactor * used;
    if (instance.coldUntil > now)
        work *= coldFactor;
    double chance = instance.judge.failureChance(now);
    if (now - instance.heard > unheardAfter && now - instance.judge.lastSuccess() > workCountsFor)
        chance = std::max(chance, unheardFailureChance);
    double total = work + pvt::failureCost(demand.kind, chance)
        + pvt::distanceCost(instance.record, demand.dataCentre, demand.region, demand.kibibytes);
    return isDue(instance, demand, now) ? total - dueBonusMs : total;
}

bool FleetPlacer::isDue(const Instance& instance, const PlaceDemand& demand, TimePoint now) const
{
    if (instance.lastUnreachable > instance.judge.lastSuccess())
        return false;
    const TimePoint since = std::max(instance.lastGranted, instance.lastFailure + restAfterFailure);
    if (instance.leftOut || (instance.restsInCalm && demand.kind != RequestKind::Safe))
        return now - since > longestIdle;
    std::size_t distance = instance.record.region == demand.region ? 1 : 2;
    if (instance.record.dataCentre == demand.dataCentre)
        distance = 0;
    const auto& limits = demand.kind == RequestKind::Safe ? idleForSafe
        : demand.kind == RequestKind::Upload              ? idleForUpload
                                                          : idleForUnsafe;
    return now - since > limits[distance];
}

bool FleetPlacer::isCalm(const Service& service, TimePoint now) const
{
    return service.loss.requests(now) >= calmMinRequests && service.loss.share() < calmLossShare;
}

/// Chooses the instances of each service that may stay idle.
void FleetPlacer::leaveOutWorst(TimePoint now)
{
    for (const auto& [id, service] : m_services) {
        std::vector<std::pair<double, Instance*>> byChance;
        for (const InstanceId& each : service.instances) {
            Instance& instance = m_instances.at(each);
            instance.leftOut = false;
            instance.restsInCalm = false;
            if (usable(instance, now))
                byChance.emplace_back(instance.judge.failureChance(now), &instance);
        }
        std::sort(byChance.begin(), byChance.end(), std::greater<>());
        const auto count = static_cast<double>(byChance.size());
        const auto most = static_cast<std::size_t>(leftOutShare * count);
        const auto mostInCalm
            = isCalm(service, now) ? static_cast<std::size_t>(leftOutShareCalm * count) : most;
        for (std::size_t i = 0; i < mostInCalm && byChance[i].first > leftOutChance; ++i) {
            byChance[i].second->leftOut = i < most;
            byChance[i].second->restsInCalm = true;
        }
    }
}

std::optional<InstanceId> FleetPlacer::choose(
    const PlaceDemand& demand, TimePoint now, Pick pick) const
{
    const auto service = m_services.find(demand.service);
    if (service == m_services.end())
        return std::nullopt;
    std::optional<InstanceId> best;
    double bestCost = 0.0;
    std::vector<FullInstance> full;
    m_weighed += service->second.instances.size();
    for (const InstanceId& id : service->second.instances) {
        const Instance& instance = m_instances.at(id);
        const bool avoided
            = std::find(demand.avoid.begin(), demand.avoid.end(), id) != demand.avoid.end();
        if (avoided || !usable(instance, now))
            continue;
        const double candidate = cost(instance, service->second, demand, now);
        if (!hasRoom(instance, now)) {
            full.push_back({ candidate, instance.record.slots });
        } else if (!best || candidate < bestCost) {
            best = id;
            bestCost = candidate;
        }
    }
    if (pick == Pick::Sensible && best && isWorthAWait(full, bestCost, service->second))
        return std::nullopt;
    return best;
}

/// Whether a place at an instance that is full now is worth more than one at `bestCost` at once.
bool FleetPlacer::isWorthAWait(
    const std::vector<FullInstance>& full, double bestCost, const Service& service) const
{
    double least = bestCost;
    std::uint32_t slots = 0;
    for (const FullInstance& each : full) {
        if (each.cost + waitMarginMs >= bestCost)
            continue;
        least = std::min(least, each.cost);
        slots += each.slots;
    }
    if (slots == 0)
        return false;
    // Those that wait already are served first, and only these instances will do.
    const double waitMs
        = toMs(typicalOf(service)) * static_cast<double>(service.waiters.size() + 1) / slots;
    return bestCost > least + waitMs + waitMarginMs;
}

void FleetPlacer::grant(const PlaceDemand& demand, const InstanceId& id, TimePoint now,
    std::vector<PlaceReply>& replies)
{
    Instance& instance = m_instances.at(id);
    ++instance.busy;
    instance.lastGranted = now;
    const bool last = demand.kind != RequestKind::Safe || demand.repeat;
    m_places[demand.key] = { id, demand.service, now, now + demand.remaining, last };
    replies.push_back({ PlaceReplyKind::Granted, demand.key, id });
}

void FleetPlacer::ask(const PlaceDemand& demand, TimePoint now, std::vector<PlaceReply>& replies)
{
    Service& service = serviceOf(demand.service);
    if (!demand.again) {
        service.repeats.onRequest(now);
        service.loss.onRequest(now);
    }
    if (demand.repeat && !service.repeats.take(now))
        return refuse(demand, PlaceRefusal::NoBudget, minRetryAfter, now, replies);
    // Whoever waits was offered each place when it became free, and waits for a better one; while
    // places open by time, those that wait go first unless this one outranks them.
    const bool mayPass = now - m_startedAt >= startPhase
        || std::none_of(service.waiters.begin(), service.waiters.end(),
            [&](const Waiter& w) { return w.demand.priority <= demand.priority; });
    if (mayPass) {
        if (const auto id = choose(demand, now, Pick::Sensible))
            return grant(demand, *id, now, replies);
    }
    enqueue(demand, now, replies);
}

void FleetPlacer::refuse(const PlaceDemand& demand, PlaceRefusal refusal, Duration delay,
    TimePoint now, std::vector<PlaceReply>& replies)
{
    serviceOf(demand.service).loss.onLoss(now);
    replies.push_back({ PlaceReplyKind::Refused, demand.key, {}, refusal, delay });
}

Duration FleetPlacer::expectedWait(const Service& service, std::size_t ahead, TimePoint now) const
{
    std::uint32_t slots = 0;
    m_weighed += service.instances.size();
    for (const InstanceId& id : service.instances) {
        const Instance& instance = m_instances.at(id);
        if (usable(instance, now))
            slots += instance.record.slots;
    }
    const double typical = std::chrono::duration<double>(typicalOf(service)).count();
    return fromSeconds(typical * static_cast<double>(ahead + 1) / std::max(slots, 1U));
}

void FleetPlacer::enqueue(
    const PlaceDemand& demand, TimePoint now, std::vector<PlaceReply>& replies)
{
    Service& service = serviceOf(demand.service);
    const bool anyUsable
        = std::any_of(service.instances.begin(), service.instances.end(), [&](const auto& id) {
              const auto& avoid = demand.avoid;
              return usable(m_instances.at(id), now)
                  && std::find(avoid.begin(), avoid.end(), id) == avoid.end();
          });
    const auto ahead
        = static_cast<std::size_t>(std::count_if(service.waiters.begin(), service.waiters.end(),
            [&](const Waiter& w) { return w.demand.priority <= demand.priority; }));
    const Duration wait = expectedWait(service, ahead, now);
    const Duration patience = demand.remaining / patienceDivisor;
    if (!anyUsable || wait > patience) {
        if (const auto id = choose(demand, now, Pick::Any))
            return grant(demand, *id, now, replies);
        const Duration delay = std::clamp<Duration>(wait, minRetryAfter, maxRetryAfter);
        return refuse(
            demand, anyUsable ? PlaceRefusal::Busy : PlaceRefusal::NoInstance, delay, now, replies);
    }
    service.waiters.push_back({ demand, now, now + patience });
    replies.push_back({ PlaceReplyKind::Waiting, demand.key, {}, PlaceRefusal::None, patience });
}

void FleetPlacer::serveWaiters(const ServiceId& id, TimePoint now, std::vector<PlaceReply>& replies)
{
    auto& waiters = serviceOf(id).waiters;
    std::stable_sort(waiters.begin(), waiters.end(),
        [](const Waiter& a, const Waiter& b) { return a.demand.priority < b.demand.priority; });
    std::erase_if(waiters, [&](const Waiter& waiter) {
        PlaceDemand demand = waiter.demand;
        demand.remaining -= now - waiter.since;
        const auto instance = choose(demand, now, Pick::Sensible);
        if (instance)
            grant(demand, *instance, now, replies);
        return instance.has_value();
    });
}

void FleetPlacer::release(const Place& place)
{
    const auto instance = m_instances.find(place.instance);
    if (instance != m_instances.end() && instance->second.busy > 0)
        --instance->second.busy;
}

void FleetPlacer::leave(AskKey key, TimePoint now, std::vector<PlaceReply>& replies)
{
    for (auto& [id, service] : m_services)
        std::erase_if(service.waiters, [&](const Waiter& w) { return w.demand.key == key; });
    end(key, {}, now, replies);
}

void FleetPlacer::end(
    AskKey key, const PlacedReport& report, TimePoint now, std::vector<PlaceReply>& replies)
{
    const auto found = m_places.find(key);
    if (found == m_places.end())
        return;
    const Place place = found->second;
    m_places.erase(found);
    release(place);
    judge(place, report, now);
    serveWaiters(place.service, now, replies);
}

void FleetPlacer::judge(const Place& place, const PlacedReport& report, TimePoint now)
{
    Service& service = serviceOf(place.service);
    const auto found = m_instances.find(place.instance);
    if (report.end == PlacedEnd::Success) {
        const double seconds = std::chrono::duration<double>(report.latency).count();
        if (service.typical <= 0)
            service.typical = initialTypicalSeconds;
        service.typical += typicalGain * (std::min(seconds, 4 * service.typical) - service.typical);
    }
    if (place.last && (report.end == PlacedEnd::Failure || report.end == PlacedEnd::Silence))
        service.loss.onLoss(now);
    if (found == m_instances.end())
        return;
    Instance& instance = found->second;
    if (report.reportedLoad >= 0) {
        instance.foreign
            = std::max(0.0, static_cast<double>(report.reportedLoad) - instance.busy - 1);
        instance.foreignAt = now;
    }
    if (report.end != PlacedEnd::Success && report.end != PlacedEnd::Unused)
        instance.lastFailure = now;
    if (report.end == PlacedEnd::Refused || report.end == PlacedEnd::Unreachable)
        instance.lastUnreachable = now;
    pvt::tellJudge(instance.judge, report, typicalOf(service), now);
}

void FleetPlacer::adopt(const OpenPlace& place, TimePoint now)
{
    const auto found = m_instances.find(place.instance);
    if (found != m_instances.end())
        ++found->second.busy;
    m_places[place.key] = { place.instance, place.service, now - place.age, now + place.remaining };
}

void FleetPlacer::dropLink(LinkId link, TimePoint now)
{
    for (auto& [id, service] : m_services)
        std::erase_if(service.waiters, [&](const Waiter& w) { return w.demand.key.link == link; });
    const auto first = m_places.lower_bound({ link, AskId(0) });
    for (auto place = first; place != m_places.end() && place->first.link == link; ++place)
        place->second.until = std::min(place->second.until, now + orphanTime);
}

void FleetPlacer::tick(TimePoint now, std::vector<PlaceReply>& replies)
{
    leaveOutWorst(now);
    std::set<ServiceId> freed;
    for (auto place = m_places.begin(); place != m_places.end();) {
        Place& open = place->second;
        const Service& service = serviceOf(open.service);
        const Duration limit = std::max<Duration>(overdueFloor,
            fromSeconds(overdueFactor * std::chrono::duration<double>(typicalOf(service)).count()));
        const auto instance = m_instances.find(open.instance);
        if (!open.overdue && now - open.since > limit && instance != m_instances.end()) {
            open.overdue = true;
            instance->second.judge.onSilence(now - open.since, typicalOf(service), now);
        }
        if (now <= open.until + orphanTime) {
            ++place;
            continue;
        }
        release(open);
        freed.insert(open.service);
        place = m_places.erase(place);
    }
    for (auto& [id, service] : m_services) {
        std::erase_if(service.waiters, [&](const Waiter& waiter) {
            if (now < waiter.until)
                return false;
            PlaceDemand demand = waiter.demand;
            demand.remaining -= now - waiter.since;
            if (const auto last = choose(demand, now, Pick::Any)) {
                grant(demand, *last, now, replies);
                return true;
            }
            refuse(waiter.demand, PlaceRefusal::Busy, minRetryAfter, now, replies);
            return true;
        });
        if (!service.waiters.empty())
            freed.insert(id);
    }
    for (const ServiceId& id : freed)
        serveWaiters(id, now, replies);
}

std::vector<InstanceId> FleetPlacer::doubtful(TimePoint now) const
{
    std::vector<InstanceId> ids;
    for (const auto& [id, instance] : m_instances) {
        if (!usable(instance, now) || instance.judge.failureChance(now) > doubtfulChance)
            ids.push_back(id);
    }
    return ids;
}

std::size_t FleetPlacer::waiting() const noexcept
{
    std::size_t count = 0;
    for (const auto& [id, service] : m_services)
        count += service.waiters.size();
    return count;
}

} // namespace laburnum
