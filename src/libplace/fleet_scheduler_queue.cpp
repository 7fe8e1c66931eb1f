// The queue of FleetScheduler: who waits, who gets a freed slot, who is refused.

#include <algorithm>

#include <laburnumroute/fleet_scheduler.h>

#include "fleet_scheduler_pvt.h"

namespace laburnum {

using namespace pvt;

namespace {

    /// A request waits for a slot for at most its remaining time divided by this.
    constexpr int maxWaitDivisor = 4;
    /// Queued requests of a class that are passed over, because they exclude the instance, before
    /// the class is passed over.
    constexpr std::size_t maxExcludingWaiters = 8;

    /// Bounds what later requests of other accounts add to the wait of a request. A short queue
    /// tells little about the speed of virtual time, which stands still while one request waits for
    /// a special instance.
    constexpr int maxOvertaking = 4;

    /// Changes of the wait factor at a tick (50 ms) before which the queue emptied, or did not: a
    /// burst of some hundred milliseconds may wait, a queue that stands for a second may not.
    constexpr double waitFactorGain = 0.02;
    constexpr double waitFactorLoss = 0.85;

    bool excludes(const PlacementRequest& request, const InstanceId& id)
    {
        return std::find(request.avoid.begin(), request.avoid.end(), id) != request.avoid.end();
    }

} // namespace

Duration FleetScheduler::expectedWait(Service& service, std::size_t ahead, TimePoint now) const
{
    const double typicalSeconds = std::chrono::duration<double>(typicalLatencyOf(service)).count();
    const double slots = capacityOf(service, now).slots;
    return fromSeconds(
        typicalSeconds * static_cast<double>(ahead + 1) / (slots > 0.0 ? slots : 1.0));
}

Duration FleetScheduler::expectedWait(
    Service& service, const WaiterOrder& order, TimePoint now) const
{
    const std::size_t ahead = service.ranks.order_of_key(order);
    if (service.shares.empty())
        return expectedWait(service, ahead, now);
    const std::size_t first = service.ranks.order_of_key(WaiterOrder::firstOf(order.priority));
    // Lower priorities take turns.
    const std::size_t lower = std::max<std::size_t>(waitingPriorities(service).size(), 2) - 1;
    const std::size_t byRoom = (ahead - first + 1) * PriorityRoom::interval * lower - 1;
    const Duration wait = expectedWait(service, std::min(ahead, byRoom), now);
    const auto shares = service.shares.find(order.priority);
    // While higher priorities wait, the slots left to this one come too seldom to tell its speed.
    if (shares == service.shares.end() || first > 0)
        return wait;
    const Duration byShare = fromSeconds(shares->second.secondsUntil(order.startTag));
    return std::max(wait, std::min(byShare, wait * maxOvertaking));
}

bool FleetScheduler::isAnyUsable(
    const PlacementRequest& request, Service& service, TimePoint now) const
{
    if (capacityOf(service, now).instances > request.avoid.size())
        return true;
    const auto excluded = excludedBy(request);
    return std::any_of(
        service.instances.begin(), service.instances.end(), [&](const Instance* instance) {
            return usable(*instance, now)
                && std::find(excluded.begin(), excluded.end(), instance) == excluded.end();
        });
}

void FleetScheduler::enqueue(const PlacementRequest& request, std::optional<CostLimits> limits,
    TimePoint now, std::vector<PlacementReply>& replies)
{
    Service& service = serviceOf(request.service);
    const bool anyUsable = isAnyUsable(request, service, now);
    const WaiterOrder order = orderOf(service, request);
    const Duration wait = expectedWait(service, order, now);
    const Duration maxWait = request.remaining / maxWaitDivisor;
    if (!anyUsable || wait > maxWait) {
        if (const auto free = choose(request, service, now, SelectionPolicy::AnyFree);
            free.instance != nullptr)
            return grantAtOnce(request, *free.instance, now, replies);
        return refuse(request,
            anyUsable ? causeOfNoRoom(service, order, now) : PlacementRefusal::NoInstance,
            retryAfter(service, wait, now), now, replies);
    }
    ++m_lastWaiterNumber;
    const Duration cheaperWait = std::min(maxWait, maxWaitForCheaper(request, service));
    service.waiters.emplace(order,
        Waiter { request, now, now + cheaperWait, now + maxWait, chargeFor(service, request) });
    service.ranks.insert(order);
    ClassQueue& queue = service.classes[classOf(request)];
    queue.waiters.insert(order);
    queue.bySettleTime.emplace(now + cheaperWait, order);
    if (limits)
        queue.limits = *limits;
    m_waiterIndex[request.key] = { &service, order };
    replies.push_back(
        { PlacementReplyKind::Waiting, request.key, {}, PlacementRefusal::None, maxWait });
    refuseExcess(service, now, replies);
}

Duration FleetScheduler::retryAfter(Service& service, Duration wait, TimePoint now) const
{
    const Duration limit = capacityOf(service, now).isRateBound()
        ? Duration(maxRateLimitedRetryAfter)
        : Duration(maxRetryAfter);
    return std::clamp<Duration>(wait, minRetryAfter, limit);
}

PlacementRefusal FleetScheduler::causeOfNoRoom(
    Service& service, const WaiterOrder& order, TimePoint now) const
{
    if (capacityOf(service, now).isRateBound())
        return PlacementRefusal::RateLimited;
    const auto shares = service.shares.find(order.priority);
    const double work = std::chrono::duration<double>(typicalLatencyOf(service)).count();
    return shares != service.shares.end() && shares->second.isBeyondShare(order.startTag, work)
        ? PlacementRefusal::OverShare
        : PlacementRefusal::Busy;
}

/// By the end of the delay, all that stands ahead of the request has been served, with it all other
/// requests of its account: the account's next request is within its share again.
void FleetScheduler::refuseWaiter(
    Service& service, Waiters::iterator waiter, TimePoint now, std::vector<PlacementReply>& replies)
{
    const Duration delay = retryAfter(service, expectedWait(service, waiter->first, now), now);
    refuse(waiter->second.request, causeOfNoRoom(service, waiter->first, now), delay, now, replies);
    dropWaiter(service, waiter);
}

void FleetScheduler::refuseExcess(
    Service& service, TimePoint now, std::vector<PlacementReply>& replies)
{
    if (service.shares.empty())
        return;
    for (auto end = service.waiters.end(); end != service.waiters.begin();) {
        const auto last = std::prev(end);
        if (now + expectedWait(service, last->first, now) > last->second.until)
            refuseWaiter(service, last, now, replies);
        else
            end = service.waiters.lower_bound(WaiterOrder::firstOf(last->first.priority));
    }
}

FleetScheduler::Waiters::iterator FleetScheduler::removeWaiter(
    Service& service, Waiters::iterator waiter)
{
    m_waiterIndex.erase(waiter->second.request.key);
    service.ranks.erase(waiter->first);
    const auto queue = service.classes.find(classOf(waiter->second.request));
    queue->second.waiters.erase(waiter->first);
    queue->second.bySettleTime.erase({ waiter->second.settleAt, waiter->first });
    if (queue->second.waiters.empty())
        service.classes.erase(queue);
    const auto next = service.waiters.erase(waiter);
    service.queueEmptied = service.queueEmptied || service.waiters.empty();
    return next;
}

FleetScheduler::Waiters::iterator FleetScheduler::dropWaiter(
    Service& service, Waiters::iterator waiter)
{
    const PlacementRequest& request = waiter->second.request;
    if (const auto shares = service.shares.find(request.priority); shares != service.shares.end())
        shares->second.withdraw(request.account, waiter->second.charge);
    return removeWaiter(service, waiter);
}

FairShares::Charge FleetScheduler::chargeFor(
    Service& service, const PlacementRequest& request) const
{
    const auto shares = service.shares.find(request.priority);
    if (shares == service.shares.end())
        return {};
    const double work = std::chrono::duration<double>(typicalLatencyOf(service)).count();
    return shares->second.charge(request.account, work);
}

WaiterOrder FleetScheduler::orderOf(const Service& service, const PlacementRequest& request) const
{
    const auto shares = service.shares.find(request.priority);
    const double startTag
        = shares == service.shares.end() ? 0.0 : shares->second.nextStartTag(request.account);
    return { request.priority, startTag, m_lastWaiterNumber + 1 };
}

void FleetScheduler::advanceShares(
    Service& service, const PlacementRequest& request, const FairShares::Charge& charge)
{
    const auto shares = service.shares.find(request.priority);
    if (shares == service.shares.end())
        return;
    const auto first = service.waiters.lower_bound(WaiterOrder::firstOf(request.priority));
    const bool isQueued
        = first != service.waiters.end() && first->first.priority == request.priority;
    shares->second.onGrant(
        charge.startTag, isQueued ? std::optional(first->first.startTag) : std::nullopt);
}

void FleetScheduler::correctCharge(Service& service, const Placement& placement, Duration held)
{
    // Placements that were adopted or granted without accounts were not counted.
    const auto shares = service.shares.find(placement.priority);
    if (shares != service.shares.end() && placement.charge.work > 0)
        shares->second.correct(
            placement.account, placement.charge, std::chrono::duration<double>(held).count());
}

void FleetScheduler::grantAtOnce(const PlacementRequest& request, Instance& instance, TimePoint now,
    std::vector<PlacementReply>& replies)
{
    grant(request, chargeFor(serviceOf(request.service), request), instance, now, replies);
}

void FleetScheduler::grantWaiter(Service& service, Waiters::iterator waiter, Instance& instance,
    TimePoint now, std::vector<PlacementReply>& replies)
{
    const Waiter granted = waiter->second;
    PlacementRequest request = granted.request;
    request.remaining -= now - granted.since;
    removeWaiter(service, waiter);
    grant(request, granted.charge, instance, now, replies);
}

/// The priorities that wait, in order; empty without accounts.
std::vector<std::uint32_t> FleetScheduler::waitingPriorities(const Service& service)
{
    std::vector<std::uint32_t> priorities;
    if (service.shares.empty())
        return priorities;
    for (auto first = service.waiters.begin(); first != service.waiters.end();
         first = service.waiters.upper_bound(WaiterOrder::lastOf(priorities.back())))
        priorities.push_back(first->first.priority);
    return priorities;
}

FleetScheduler::Waiters::iterator FleetScheduler::firstTaker(
    Service& service, const Instance& instance, const WaiterOrder& from, TimePoint now)
{
    auto taker = service.waiters.end();
    for (const auto& [requestClass, queue] : service.classes) {
        const auto candidate = firstTaker(service, queue, instance, from, now);
        if (candidate != service.waiters.end()
            && (taker == service.waiters.end() || candidate->first < taker->first))
            taker = candidate;
    }
    return taker;
}

FleetScheduler::Waiters::iterator FleetScheduler::firstTaker(Service& service,
    const ClassQueue& queue, const Instance& instance, const WaiterOrder& from, TimePoint now)
{
    std::size_t passed = 0;
    for (auto order = queue.waiters.lower_bound(from); order != queue.waiters.end(); ++order) {
        const auto waiter = service.waiters.find(*order);
        const PlacementRequest& request = waiter->second.request;
        if (!excludes(request, instance.record.id)) {
            ++m_evaluations;
            const double limit
                = now >= waiter->second.settleAt ? queue.limits.settled : queue.limits.waiting;
            const double current = cost(instance, service, request, now);
            return current <= limit ? waiter : settledTaker(service, queue, instance, current, now);
        }
        if (++passed == maxExcludingWaiters)
            break;
    }
    return service.waiters.end();
}

/// In arrival order the first of a class has waited longest. In fair order it may have just
/// arrived; a slot that it does not take must not stay idle while others wait that do.
FleetScheduler::Waiters::iterator FleetScheduler::settledTaker(
    Service& service, const ClassQueue& queue, const Instance& instance, double cost, TimePoint now)
{
    const auto& [settleAt, order] = *queue.bySettleTime.begin();
    if (service.shares.empty() || now < settleAt || cost > queue.limits.settled)
        return service.waiters.end();
    const auto waiter = service.waiters.find(order);
    return excludes(waiter->second.request, instance.record.id) ? service.waiters.end() : waiter;
}

/// Offers a freed slot at `instance` to the first of each class, in queue order.
void FleetScheduler::offer(
    Service& service, Instance& instance, TimePoint now, std::vector<PlacementReply>& replies)
{
    while (!service.waiters.empty() && usable(instance, now) && hasFreeSlot(instance, now)
        && !isHeldBack(instance, now)) {
        auto taker = service.waiters.end();
        if (const auto priority = service.room.next(waitingPriorities(service)))
            taker = firstTaker(service, instance, WaiterOrder::firstOf(*priority), now);
        if (taker == service.waiters.end())
            taker = firstTaker(service, instance, WaiterOrder::firstOf(0), now);
        if (taker == service.waiters.end())
            return;
        service.room.onGrant(taker->first.priority > service.waiters.begin()->first.priority);
        grantWaiter(service, taker, instance, now, replies);
    }
}

/// Called at each tick. Shortens the waits for cheaper slots while the queue stands.
void FleetScheduler::updateWaitFactor(Service& service)
{
    if (service.queueEmptied)
        service.waitFactor = std::min(1.0, service.waitFactor + waitFactorGain);
    else
        service.waitFactor *= waitFactorLoss;
    service.queueEmptied = service.waiters.empty();
}

/// Serves the queued requests in order: with a slot that is worth taking, from settleAt on with any
/// that is not grave, and at the end of the wait with any. What remains then is refused.
void FleetScheduler::serveWaiters(
    Service& service, TimePoint now, std::vector<PlacementReply>& replies)
{
    refuseExcess(service, now, replies);
    // Of a class, a choice that found nothing stands for all that come later: slots only fill up.
    std::set<std::pair<RequestClass, SelectionPolicy>> exhausted;
    for (auto waiter = service.waiters.begin(); waiter != service.waiters.end();) {
        const auto current = waiter++;
        const Waiter& waits = current->second;
        SelectionPolicy policy = SelectionPolicy::CostAware;
        if (now >= waits.settleAt)
            policy = SelectionPolicy::Settle;
        if (now >= waits.until)
            policy = SelectionPolicy::AnyFree;
        const RequestClass requestClass = classOf(waits.request);
        const bool isUnrestricted = waits.request.avoid.empty();
        if (!isUnrestricted || !exhausted.contains({ requestClass, policy })) {
            const Choice choice = choose(waits.request, service, now, policy);
            if (choice.instance != nullptr) {
                grantWaiter(service, current, *choice.instance, now, replies);
                continue;
            }
            if (isUnrestricted)
                exhausted.emplace(requestClass, policy);
            if (policy != SelectionPolicy::AnyFree)
                service.classes.at(requestClass).limits = choice.limits;
        }
        if (policy == SelectionPolicy::AnyFree) {
            refuseWaiter(service, current, now, replies);
        }
    }
}

} // namespace laburnum
