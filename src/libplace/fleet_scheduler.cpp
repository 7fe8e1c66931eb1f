#include <laburnumroute/fleet_scheduler.h>

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
    /// From requests that can be repeated: it may count as sound again after two seconds, and has
    /// to have had work by then.
    constexpr auto restAfterFailureSafe = milliseconds(750);
    /// Part of a service's instances, the likeliest to fail, that may stay idle all the same. A
    /// floor of 0.7 may be judged over a sample of ten, and over what is lost after these two
    /// seconds.
    constexpr double leftOutShare = 0.1;
    constexpr double leftOutChance = 0.15;
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

    // Bounds of the work for one event. With 200 instances of a service a tick's looks take 2 ms.
    /// Looks at all instances that one tick spends on a service's waiters, half of them on those
    /// that go first.
    constexpr std::size_t looksPerTick = 64;
    /// Waiters that a freed place is offered to, and looks at all instances besides.
    constexpr std::size_t offersPerEnd = 32;
    constexpr std::size_t looksPerEnd = 1;
    /// A look tells for so long which places a waiter takes.
    constexpr auto lookCountsFor = milliseconds(200);
    /// Belief in an instance drifts by a part of a hundred meanwhile, and outcomes renew it.
    constexpr auto healthCountsFor = milliseconds(10);
    constexpr auto capacityCountsFor = milliseconds(10);

    double toMs(Duration d) { return std::chrono::duration<double, std::milli>(d).count(); }
    Duration fromSeconds(double s)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(s));
    }

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
    }
    return "unknown";
}

FleetScheduler::Service& FleetScheduler::serviceOf(const ServiceId& id)
{
    const auto [found, inserted] = m_services.try_emplace(id);
    if (inserted) {
        found->second.repeats.setTerms(m_terms);
        found->second.repeats.spendSlack(m_startedAt);
    }
    return found->second;
}

Duration FleetScheduler::typicalOf(const Service& service) const
{
    return fromSeconds(service.typical > 0 ? service.typical : initialTypicalSeconds);
}

void FleetScheduler::upsert(const InstanceRecord& record, TimePoint now)
{
    const auto [found, inserted] = m_instances.try_emplace(record.id);
    Instance& instance = found->second;
    if (!inserted && instance.record.incarnation != record.incarnation) {
        instance.judge.reset();
        instance.health.reset();
    }
    if (!inserted)
        detach(instance);
    instance.record = record;
    instance.heard = now;
    Service& service = serviceOf(record.service);
    service.capacity.reset();
    service.instances.insert(
        std::upper_bound(service.instances.begin(), service.instances.end(), &instance,
            [](const Instance* a, const Instance* b) { return a->record.id < b->record.id; }),
        &instance);
}

void FleetScheduler::detach(Instance& instance)
{
    Service& service = serviceOf(instance.record.service);
    service.capacity.reset();
    std::erase(service.instances, &instance);
}

void FleetScheduler::remove(const InstanceId& id)
{
    const auto found = m_instances.find(id);
    if (found == m_instances.end())
        return;
    detach(found->second);
    m_instances.erase(found);
}

void FleetScheduler::restart(TimePoint now)
{
    m_startedAt = now;
    m_waiting.clear();
    m_services.clear();
    m_instances.clear();
    m_places.clear();
}

void FleetScheduler::onAnnouncement(const InstanceId& id, Duration coldFor, TimePoint now)
{
    const auto found = m_instances.find(id);
    if (found == m_instances.end())
        return;
    if (!usable(found->second, now))
        serviceOf(found->second.record.service).capacity.reset();
    found->second.heard = now;
    found->second.coldUntil = now + coldFor;
}

bool FleetScheduler::usable(const Instance& instance, TimePoint now) const
{
    if (instance.record.phase != InstancePhase::Serving)
        return false;
    // Silent, and the last try found nobody there: gone, until it is heard again.
    const bool silent = now - instance.heard > unheardAfter;
    return !silent || instance.lastUnreachable <= instance.judge.lastSuccess();
}

bool FleetScheduler::hasRoom(const Instance& instance, TimePoint now) const
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

const FleetScheduler::Health& FleetScheduler::healthOf(
    const Instance& instance, TimePoint now) const
{
    if (!instance.health || now - instance.health->at > healthCountsFor)
        instance.health = { instance.judge.failureChance(now), instance.judge.slowness(now), now };
    return *instance.health;
}

const FleetScheduler::Capacity& FleetScheduler::capacityOf(Service& service, TimePoint now) const
{
    if (service.capacity && now - service.capacity->at <= capacityCountsFor)
        return *service.capacity;
    Capacity capacity { 0, 0, now };
    m_weighed += service.instances.size();
    for (const Instance* instance : service.instances) {
        if (usable(*instance, now)) {
            capacity.slots += instance->record.slots;
            ++capacity.instances;
        }
    }
    service.capacity = capacity;
    return *service.capacity;
}

double FleetScheduler::cost(const Instance& instance, const Service& service,
    const PlacementRequest& demand, TimePoint now) const
{
    const double used = static_cast<double>(instance.busy) / std::max(instance.record.slots, 1U);
    const Health& health = healthOf(instance, now);
    double work = toMs(typicalOf(service)) * health.slowness;
    work *= 1.0 + crowdFactor * used;
    if (instance.coldUntil > now)
        work *= coldFactor;
    double chance = health.failureChance;
    if (now - instance.heard > unheardAfter && now - instance.judge.lastSuccess() > workCountsFor)
        chance = std::max(chance, unheardFailureChance);
    const double total = work + pvt::failureCost(demand.kind, chance)
        + pvt::distanceCost(instance.record, demand.dataCentre, demand.region, demand.bodyKiB);
    // Nobody waits for an instance because it is due: its places are at work.
    return hasRoom(instance, now) && isDue(instance, demand, now) ? total - dueBonusMs : total;
}

bool FleetScheduler::isDue(
    const Instance& instance, const PlacementRequest& demand, TimePoint now) const
{
    if (instance.lastUnreachable > instance.judge.lastSuccess())
        return false;
    const Duration rest
        = demand.kind == RequestKind::Safe ? restAfterFailureSafe : restAfterFailure;
    const TimePoint since = std::max(instance.lastGranted, instance.lastFailure + rest);
    if (instance.leftOut)
        return now - since > longestIdle;
    std::size_t distance = instance.record.region == demand.region ? 1 : 2;
    if (instance.record.dataCentre == demand.dataCentre)
        distance = 0;
    const auto& limits = demand.kind == RequestKind::Safe ? idleForSafe
        : demand.kind == RequestKind::Upload              ? idleForUpload
                                                          : idleForUnsafe;
    return now - since > limits[distance];
}

/// Chooses the instances of each service that may stay idle.
void FleetScheduler::leaveOutWorst(TimePoint now)
{
    for (auto& [id, service] : m_services) {
        std::vector<std::pair<double, Instance*>> byChance;
        for (Instance* instance : service.instances) {
            instance->leftOut = false;
            const double chance = healthOf(*instance, now).failureChance;
            if (chance > leftOutChance && usable(*instance, now))
                byChance.emplace_back(chance, instance);
        }
        std::sort(byChance.begin(), byChance.end(), std::greater<>());
        const auto most = static_cast<std::size_t>(
            leftOutShare * static_cast<double>(capacityOf(service, now).instances));
        byChance.resize(std::min(most, byChance.size()));
        for (const auto& [chance, instance] : byChance)
            instance->leftOut = true;
    }
}

std::vector<const FleetScheduler::Instance*> FleetScheduler::avoidedBy(
    const PlacementRequest& demand) const
{
    std::vector<const Instance*> avoided;
    for (const InstanceId& id : demand.avoid) {
        if (const auto found = m_instances.find(id); found != m_instances.end())
            avoided.push_back(&found->second);
    }
    return avoided;
}

FleetScheduler::Choice FleetScheduler::choose(
    const PlacementRequest& demand, const Service& service, TimePoint now, Pick pick) const
{
    const auto avoided = avoidedBy(demand);
    Instance* best = nullptr;
    double bestCost = std::numeric_limits<double>::infinity();
    std::vector<FullInstance> full;
    m_weighed += service.instances.size();
    for (Instance* instance : service.instances) {
        if (std::find(avoided.begin(), avoided.end(), instance) != avoided.end()
            || !usable(*instance, now))
            continue;
        const bool room = hasRoom(*instance, now);
        if (!room && pick == Pick::Any)
            continue;
        const double candidate = cost(*instance, service, demand, now);
        if (!room) {
            if (instance->record.slots > 0 && candidate + waitMarginMs < bestCost)
                full.push_back({ candidate, instance->record.slots });
        } else if (candidate < bestCost) {
            best = instance;
            bestCost = candidate;
        }
    }
    if (pick == Pick::Any)
        return { best };
    std::erase_if(full, [&](const FullInstance& f) { return f.cost + waitMarginMs >= bestCost; });
    const double acceptable = acceptableCost(full, typicalOf(service), service.waiters.size());
    return { bestCost <= acceptable ? best : nullptr, acceptable };
}

/// The cost up to which a place at once is worth more than one at an instance that is full now.
double FleetScheduler::acceptableCost(
    std::vector<FullInstance>& full, Duration typical, std::size_t waiters)
{
    std::sort(full.begin(), full.end(),
        [](const FullInstance& a, const FullInstance& b) { return a.cost < b.cost; });
    double acceptable = std::numeric_limits<double>::infinity();
    std::uint32_t slots = 0;
    for (const FullInstance& each : full) {
        slots += each.slots;
        // Those that wait already are served first, and only these instances will do.
        const double waitMs
            = toMs(typical) * static_cast<double>(waiters + 1) / std::max(slots, 1U);
        acceptable
            = std::min(acceptable, std::max(each.cost, full.front().cost + waitMs) + waitMarginMs);
    }
    return acceptable;
}

void FleetScheduler::grant(const PlacementRequest& demand, Instance& instance, TimePoint now,
    std::vector<PlacementReply>& replies)
{
    ++instance.busy;
    instance.lastGranted = now;
    const InstanceId& id = instance.record.id;
    m_places[demand.key] = { id, demand.service, now, now + demand.remaining };
    replies.push_back({ PlacementReplyKind::Granted, demand.key, id });
}

void FleetScheduler::dispatch(
    const PlacementRequest& demand, TimePoint now, std::vector<PlacementReply>& replies)
{
    Service& service = serviceOf(demand.service);
    if (!demand.resubmitted) {
        service.repeats.onRequest(now);
    }
    if (demand.isHedge)
        return askBeside(demand, service, now, replies);
    if (demand.retry && !service.repeats.take(now))
        return refuse(demand, PlacementRefusal::NoBudget, minRetryAfter, replies);
    // Whoever waits was offered each place when it became free, and waits for a better one; while
    // places open by time, those that wait go first unless this one outranks them.
    const bool mayPass = now - m_startedAt >= startPhase || service.waiters.empty()
        || service.waiters.begin()->first.first > demand.priority;
    std::optional<Choice> choice;
    if (mayPass) {
        choice = choose(demand, service, now, Pick::Sensible);
        if (choice->instance != nullptr)
            return grant(demand, *choice->instance, now, replies);
    }
    enqueue(demand, choice, now, replies);
}

/// The request is at work, and waits for nothing.
void FleetScheduler::askBeside(const PlacementRequest& demand, Service& service, TimePoint now,
    std::vector<PlacementReply>& replies)
{
    const Choice choice = choose(demand, service, now, Pick::Sensible);
    const PlacementRefusal refusal = choice.instance == nullptr ? PlacementRefusal::Busy
        : service.repeats.take(now)                             ? PlacementRefusal::None
                                                                : PlacementRefusal::NoBudget;
    if (refusal == PlacementRefusal::None)
        return grant(demand, *choice.instance, now, replies);
    refuse(demand, refusal, minRetryAfter, replies);
}

void FleetScheduler::refuse(const PlacementRequest& demand, PlacementRefusal refusal,
    Duration delay, std::vector<PlacementReply>& replies)
{
    replies.push_back({ PlacementReplyKind::Refused, demand.key, {}, refusal, delay });
}

Duration FleetScheduler::expectedWait(Service& service, std::size_t ahead, TimePoint now) const
{
    const double typical = std::chrono::duration<double>(typicalOf(service)).count();
    return fromSeconds(
        typical * static_cast<double>(ahead + 1) / std::max(capacityOf(service, now).slots, 1U));
}

bool FleetScheduler::isAnyUsable(
    const PlacementRequest& demand, Service& service, TimePoint now) const
{
    if (capacityOf(service, now).instances > demand.avoid.size())
        return true;
    const auto avoided = avoidedBy(demand);
    return std::any_of(
        service.instances.begin(), service.instances.end(), [&](const Instance* instance) {
            return usable(*instance, now)
                && std::find(avoided.begin(), avoided.end(), instance) == avoided.end();
        });
}

void FleetScheduler::enqueue(const PlacementRequest& demand, const std::optional<Choice>& looked,
    TimePoint now, std::vector<PlacementReply>& replies)
{
    Service& service = serviceOf(demand.service);
    const bool anyUsable = isAnyUsable(demand, service, now);
    std::size_t ahead = 0;
    for (const auto& [rank, count] : service.waitersOfRank)
        ahead += rank <= demand.priority ? count : 0;
    const Duration wait = expectedWait(service, ahead, now);
    const Duration patience = demand.remaining / patienceDivisor;
    if (!anyUsable || wait > patience) {
        if (const auto any = choose(demand, service, now, Pick::Any); any.instance != nullptr)
            return grant(demand, *any.instance, now, replies);
        const Duration delay = std::clamp<Duration>(wait, minRetryAfter, maxRetryAfter);
        return refuse(demand, anyUsable ? PlacementRefusal::Busy : PlacementRefusal::NoInstance,
            delay, replies);
    }
    const WaiterOrder order { demand.priority, ++m_lastWaiter };
    Waiter waiter { demand, now, now + patience };
    if (looked) {
        waiter.acceptable = looked->acceptable;
        waiter.lookedAt = now;
    }
    service.waiters.emplace(order, std::move(waiter));
    ++service.waitersOfRank[demand.priority];
    m_waiting[demand.key] = { &service, order };
    replies.push_back(
        { PlacementReplyKind::Waiting, demand.key, {}, PlacementRefusal::None, patience });
}

FleetScheduler::Waiters::iterator FleetScheduler::forget(Service& service, Waiters::iterator waiter)
{
    m_waiting.erase(waiter->second.demand.key);
    --service.waitersOfRank[waiter->first.first];
    return service.waiters.erase(waiter);
}

void FleetScheduler::grantWaiter(Service& service, Waiters::iterator waiter, Instance& instance,
    TimePoint now, std::vector<PlacementReply>& replies)
{
    PlacementRequest demand = waiter->second.demand;
    demand.remaining -= now - waiter->second.since;
    forget(service, waiter);
    grant(demand, instance, now, replies);
}

/// Weighs all instances for one that waits; true when it has a place now.
bool FleetScheduler::look(
    Service& service, Waiters::iterator waiter, TimePoint now, std::vector<PlacementReply>& replies)
{
    const Choice choice = choose(waiter->second.demand, service, now, Pick::Sensible);
    if (choice.instance == nullptr) {
        waiter->second.acceptable = choice.acceptable;
        waiter->second.lookedAt = now;
        return false;
    }
    grantWaiter(service, waiter, *choice.instance, now, replies);
    return true;
}

/// Offers a place that became free at `instance` to those that wait, by rank.
void FleetScheduler::offer(
    Service& service, Instance& instance, TimePoint now, std::vector<PlacementReply>& replies)
{
    std::size_t looks = 0;
    auto waiter = service.waiters.begin();
    for (std::size_t offers = 0; offers < offersPerEnd && waiter != service.waiters.end();
         ++offers) {
        if (!usable(instance, now) || !hasRoom(instance, now))
            return;
        const auto next = std::next(waiter);
        const Waiter& waits = waiter->second;
        const auto& avoid = waits.demand.avoid;
        const bool avoided
            = std::find(avoid.begin(), avoid.end(), instance.record.id) != avoid.end();
        if (!avoided && looks < looksPerEnd
            && (!waits.lookedAt || now - *waits.lookedAt > lookCountsFor)) {
            ++looks;
            look(service, waiter, now, replies);
        } else if (!avoided && waits.lookedAt) {
            ++m_weighed;
            if (cost(instance, service, waits.demand, now) <= waits.acceptable)
                grantWaiter(service, waiter, instance, now, replies);
        }
        waiter = next;
    }
}

/// Looks for places that opened by time, or that became better.
void FleetScheduler::serveWaiters(
    Service& service, std::size_t looks, TimePoint now, std::vector<PlacementReply>& replies)
{
    std::size_t inVain = 0;
    auto waiter = service.waiters.begin();
    for (; looks > 0 && inVain < looksPerTick / 2 && waiter != service.waiters.end(); --looks) {
        const auto next = std::next(waiter);
        inVain += look(service, waiter, now, replies) ? 0 : 1;
        waiter = next;
    }
    if (waiter != service.waiters.end() && waiter->first < service.nextLook)
        waiter = service.waiters.lower_bound(service.nextLook);
    for (; looks > 0 && waiter != service.waiters.end(); --looks) {
        const auto next = std::next(waiter);
        look(service, waiter, now, replies);
        waiter = next;
    }
    service.nextLook = waiter != service.waiters.end() ? waiter->first : WaiterOrder();
}

void FleetScheduler::release(const Place& place)
{
    const auto instance = m_instances.find(place.instance);
    if (instance != m_instances.end() && instance->second.busy > 0)
        --instance->second.busy;
}

void FleetScheduler::cancel(DispatchKey key, TimePoint now, std::vector<PlacementReply>& replies)
{
    if (const auto found = m_waiting.find(key); found != m_waiting.end()) {
        Service& service = *found->second.first;
        forget(service, service.waiters.find(found->second.second));
    }
    end(key, {}, now, replies);
}

void FleetScheduler::end(DispatchKey key, const PlacementReport& report, TimePoint now,
    std::vector<PlacementReply>& replies)
{
    const auto found = m_places.find(key);
    if (found == m_places.end())
        return;
    const Place place = found->second;
    m_places.erase(found);
    release(place);
    judge(place, report, now);
    const auto instance = m_instances.find(place.instance);
    if (instance != m_instances.end())
        offer(serviceOf(instance->second.record.service), instance->second, now, replies);
}

void FleetScheduler::judge(const Place& place, const PlacementReport& report, TimePoint now)
{
    Service& service = serviceOf(place.service);
    const auto found = m_instances.find(place.instance);
    if (report.end == PlacementOutcome::Success) {
        const double seconds = std::chrono::duration<double>(report.latency).count();
        if (service.typical <= 0)
            service.typical = initialTypicalSeconds;
        service.typical += typicalGain * (std::min(seconds, 4 * service.typical) - service.typical);
    }
    if (found == m_instances.end())
        return;
    Instance& instance = found->second;
    if (report.reportedLoad >= 0) {
        instance.foreign
            = std::max(0.0, static_cast<double>(report.reportedLoad) - instance.busy - 1);
        instance.foreignAt = now;
    }
    if (report.end != PlacementOutcome::Success && report.end != PlacementOutcome::Unused)
        instance.lastFailure = now;
    if (report.end == PlacementOutcome::Refused || report.end == PlacementOutcome::Unreachable) {
        instance.lastUnreachable = now;
        service.capacity.reset();
    }
    pvt::tellJudge(instance.judge, report, typicalOf(service), now);
    instance.health.reset();
}

void FleetScheduler::adopt(const ActivePlacement& place, TimePoint now)
{
    const auto found = m_instances.find(place.instance);
    if (found != m_instances.end())
        ++found->second.busy;
    m_places[place.key] = { place.instance, place.service, now - place.age, now + place.remaining };
}

void FleetScheduler::dropLink(LinkId link, TimePoint now)
{
    for (auto waiting = m_waiting.lower_bound({ link, DispatchId(0) });
         waiting != m_waiting.end() && waiting->first.link == link;) {
        const auto [service, order] = (waiting++)->second;
        forget(*service, service->waiters.find(order));
    }
    const auto first = m_places.lower_bound({ link, DispatchId(0) });
    for (auto place = first; place != m_places.end() && place->first.link == link; ++place)
        place->second.until = std::min(place->second.until, now + orphanTime);
}

void FleetScheduler::tickPlaces(TimePoint now)
{
    for (auto place = m_places.begin(); place != m_places.end();) {
        Place& open = place->second;
        if (!open.overdue && now - open.since > overdueFloor) {
            const Duration typical = typicalOf(serviceOf(open.service));
            const auto instance = m_instances.find(open.instance);
            const double limit = overdueFactor * std::chrono::duration<double>(typical).count();
            if (now - open.since > fromSeconds(limit) && instance != m_instances.end()) {
                open.overdue = true;
                instance->second.judge.onSilence(now - open.since, typical, now);
                instance->second.health.reset();
            }
        }
        if (now <= open.until + orphanTime) {
            ++place;
            continue;
        }
        release(open);
        place = m_places.erase(place);
    }
}

std::vector<FleetScheduler::Instance*> FleetScheduler::withRoom(
    const Service& service, TimePoint now) const
{
    std::vector<Instance*> free;
    m_weighed += service.instances.size();
    for (Instance* instance : service.instances) {
        if (usable(*instance, now) && hasRoom(*instance, now))
            free.push_back(instance);
    }
    return free;
}

/// Ends the waits whose time is over, with a place where there is any. Returns the looks taken.
std::size_t FleetScheduler::endWaits(Service& service, std::vector<Instance*>& free, TimePoint now,
    std::vector<PlacementReply>& replies)
{
    std::size_t looks = 0;
    for (auto waiter = service.waiters.begin(); waiter != service.waiters.end();) {
        const auto current = waiter++;
        const PlacementRequest& demand = current->second.demand;
        if (now < current->second.until)
            continue;
        Instance* last = nullptr;
        if (!free.empty() && looks < looksPerTick) {
            ++looks;
            last = choose(demand, service, now, Pick::Any).instance;
        } else if (!free.empty()) {
            const auto avoided = avoidedBy(demand);
            const auto found = std::find_if(free.begin(), free.end(), [&](const Instance* each) {
                return std::find(avoided.begin(), avoided.end(), each) == avoided.end();
            });
            last = found != free.end() ? *found : nullptr;
        }
        if (last != nullptr) {
            grantWaiter(service, current, *last, now, replies);
            if (!hasRoom(*last, now))
                std::erase(free, last);
        } else {
            refuse(demand, PlacementRefusal::Busy, minRetryAfter, replies);
            forget(service, current);
        }
    }
    return looks;
}

void FleetScheduler::tick(TimePoint now, std::vector<PlacementReply>& replies)
{
    leaveOutWorst(now);
    tickPlaces(now);
    for (auto& [id, service] : m_services) {
        if (service.waiters.empty())
            continue;
        auto free = withRoom(service, now);
        const std::size_t looks = endWaits(service, free, now, replies);
        if (!free.empty())
            serveWaiters(service, looksPerTick - looks, now, replies);
    }
}

std::vector<InstanceId> FleetScheduler::doubtful(TimePoint now) const
{
    std::vector<InstanceId> ids;
    for (const auto& [id, instance] : m_instances) {
        if (!usable(instance, now) || instance.judge.failureChance(now) > doubtfulChance)
            ids.push_back(id);
    }
    return ids;
}

std::size_t FleetScheduler::waiting() const noexcept { return m_waiting.size(); }

} // namespace laburnum
