#include <laburnumroute/dispatcher.h>

#include <algorithm>
#include <array>

#include "dispatcher_pvt.h"

namespace laburnum {

namespace {

    /// Time without requests for an instance that shed one.
    constexpr auto shedBackoff = std::chrono::milliseconds(50);

} // namespace

bool isIdempotentMethod(std::string_view method) noexcept
{
    static constexpr std::array<std::string_view, 6> idempotentMethods { "GET", "HEAD", "OPTIONS",
        "TRACE", "PUT", "DELETE" };
    return std::find(idempotentMethods.begin(), idempotentMethods.end(), method)
        != idempotentMethods.end();
}

Dispatcher::Dispatcher(HostLocation location, std::uint64_t seed, DecisionLog& log)
    : m_location(std::move(location))
    , m_random(seed)
    , m_log(log)
{
}

Dispatcher::~Dispatcher() = default;

void Dispatcher::setConfiguration(const Configuration& configuration)
{
    m_routes = RouteTable(configuration.routes);
    std::map<ServiceId, Service> services;
    for (const auto& spec : configuration.services) {
        auto balancer = BalancerRegistry::instance().create(spec.balancer);
        if (!balancer)
            balancer = BalancerRegistry::instance().create(ServiceSpec {}.balancer);
        Service& service = services[spec.name];
        if (const auto known = m_services.find(spec.name); known != m_services.end())
            service = std::move(known->second);
        service.balancer = std::move(*balancer);
        service.budget.setPercent(spec.retryPercent);
        service.queue.setLimit(spec.queueLimit);
        service.spec = spec;
    }
    m_services = std::move(services);
}

void Dispatcher::upsertInstance(const InstanceRecord& record, TimePoint now)
{
    const auto known = m_serviceOfInstance.find(record.id);
    if (known != m_serviceOfInstance.end() && known->second != record.service)
        removeInstance(record.id, now);
    m_serviceOfInstance[record.id] = record.service;
    poolOf(record.service).upsert(record, m_location, now);
    refreshStandings(record.service, now);
}

void Dispatcher::removeInstance(const InstanceId& id, TimePoint now)
{
    const auto found = m_serviceOfInstance.find(id);
    if (found == m_serviceOfInstance.end())
        return;
    const ServiceId service = found->second;
    m_serviceOfInstance.erase(found);
    poolOf(service).remove(id, m_location, now);
    refreshStandings(service, now);
}

tl::expected<Assignment, RefusalReason> Dispatcher::begin(
    const RequestAttributes& request, const std::set<InstanceId>& tried, TimePoint now)
{
    Service* service = serviceOf(request);
    const auto refuse = [&](RefusalReason reason) {
        recordRefusal(request, reason, service);
        return tl::unexpected<RefusalReason>(reason);
    };
    if (!service)
        return refuse(RefusalReason::NoRoute);
    if (tried.empty())
        service->budget.onRequest(now);
    const Selection selection = select(*service, request, tried, now);
    if (selection.candidates.empty())
        return refuse(selection.anyServing ? RefusalReason::NoSlot : RefusalReason::NoInstance);
    const std::size_t index
        = selection.onTrial ? 0 : service->balancer->pick(selection.candidates, m_random);
    const Candidate& candidate = selection.candidates[index];
    pvt::PooledInstance& instance = *poolOf(service->spec.name).find(candidate.id);
    m_lastAttempt = next(m_lastAttempt);
    const Assignment assignment { m_lastAttempt, service->spec.name, candidate.id,
        instance.record.endpoint, service->spec.deadline };
    ++instance.inFlight;
    m_attempts[assignment.attempt]
        = { service->spec.name, candidate.id, instance.record.region, now, false };
    recordRoute(request, assignment, selection, candidate);
    return assignment;
}

std::vector<WaiterId> Dispatcher::finish(
    AttemptId attempt, const AttemptReport& report, TimePoint now)
{
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end())
        return {};
    const Attempt ended = found->second;
    m_attempts.erase(found);
    if (ended.region != m_location.region)
        m_meter.charge(ended.region, report.bytes, now);
    pvt::InstancePool& pool = poolOf(ended.service);
    if (pvt::PooledInstance* instance = pool.find(ended.instance)) {
        countOutcome(ended, *instance, report, now);
        if (report.result == AttemptResult::Shed)
            instance->backoffUntil = now + shedBackoff;
        pool.endAttempt(ended.instance);
    }
    const auto service = m_services.find(ended.service);
    if (service == m_services.end())
        return {};
    service->second.queue.onSlotFreed(now);
    const auto waiter = service->second.queue.pop(now);
    return waiter ? std::vector<WaiterId> { *waiter } : std::vector<WaiterId> {};
}

bool Dispatcher::takeRetry(const ServiceId& service, TimePoint now)
{
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return false;
    const bool taken = found->second.budget.take(now);
    Decision decision { "retry", taken ? "within-budget" : "budget-used-up" };
    decision.facts["service"] = service.value();
    decision.facts["tokens"] = found->second.budget.tokens();
    m_log.record(decision);
    return taken;
}

tl::expected<WaiterId, RefusalReason> Dispatcher::enqueue(
    const RequestAttributes& request, TimePoint deadline, TimePoint now)
{
    Service* service = serviceOf(request);
    if (!service)
        return tl::unexpected<RefusalReason>(RefusalReason::NoRoute);
    m_lastWaiter = next(m_lastWaiter);
    const auto refusal = service->queue.push(m_lastWaiter, deadline, now);
    if (!refusal)
        return m_lastWaiter;
    const RefusalReason reason = *refusal == WaitRefusal::QueueFull ? RefusalReason::QueueFull
                                                                    : RefusalReason::WaitTooLong;
    recordRefusal(request, reason, service);
    return tl::unexpected<RefusalReason>(reason);
}

void Dispatcher::abandon(WaiterId waiter)
{
    for (auto& [name, service] : m_services)
        service.queue.remove(waiter);
}

std::vector<WaiterId> Dispatcher::wakeWaiters(TimePoint now)
{
    std::vector<WaiterId> readyWaiters;
    for (auto& [name, service] : m_services) {
        if (service.queue.size() == 0)
            continue;
        refreshStandings(name, now);
        for (std::size_t available = freeSlots(name, now); available > 0; --available) {
            const auto waiter = service.queue.pop(now);
            if (!waiter)
                break;
            readyWaiters.push_back(*waiter);
        }
    }
    return readyWaiters;
}

pvt::InstancePool& Dispatcher::poolOf(const ServiceId& service)
{
    auto& pool = m_pools[service];
    if (!pool)
        pool = std::make_unique<pvt::InstancePool>();
    return *pool;
}

Dispatcher::Service* Dispatcher::serviceOf(const RequestAttributes& request)
{
    const auto name = m_routes.match(request.method, request.host, request.target);
    const auto found = name ? m_services.find(*name) : m_services.end();
    return found == m_services.end() ? nullptr : &found->second;
}

} // namespace laburnum
