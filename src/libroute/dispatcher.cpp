#include <laburnumroute/dispatcher.h>

#include <algorithm>
#include <array>

namespace laburnum {

bool isIdempotentMethod(std::string_view method) noexcept
{
    static constexpr std::array<std::string_view, 6> idempotentMethods { "GET", "HEAD", "OPTIONS",
        "TRACE", "PUT", "DELETE" };
    return std::find(idempotentMethods.begin(), idempotentMethods.end(), method)
        != idempotentMethods.end();
}

const char* refusalName(RefusalReason reason) noexcept
{
    switch (reason) {
    case RefusalReason::NoRoute:
        return "no-route";
    case RefusalReason::NoInstance:
        return "no-instance";
    case RefusalReason::NoSlot:
        return "no-slot";
    case RefusalReason::QueueFull:
        return "queue-full";
    case RefusalReason::WaitTooLong:
        return "wait-too-long";
    }
    return "unknown";
}

struct Dispatcher::Service {
    ServiceSpec spec;
    std::unique_ptr<Balancer> balancer;
    RetryBudget budget;
    WaitQueue queue;
};

struct Dispatcher::Instance {
    InstanceRecord record;
    std::uint32_t inFlight = 0;
};

Dispatcher::Dispatcher(HostPlace place, std::uint64_t seed, DecisionLog& log)
    : m_place(std::move(place))
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

void Dispatcher::upsertInstance(const InstanceRecord& record, TimePoint /*now*/)
{
    m_instances[record.id].record = record;
}

void Dispatcher::removeInstance(const InstanceId& id, TimePoint /*now*/) { m_instances.erase(id); }

tl::expected<Assignment, RefusalReason> Dispatcher::begin(
    const RequestFacts& request, const std::set<InstanceId>& tried, TimePoint now)
{
    const auto refuse = [&](RefusalReason reason) {
        recordRefusal(request, reason);
        return tl::unexpected<RefusalReason>(reason);
    };
    const auto name = m_routes.match(request.method, request.host, request.target);
    const auto service = name ? m_services.find(*name) : m_services.end();
    if (service == m_services.end())
        return refuse(RefusalReason::NoRoute);
    if (tried.empty())
        service->second.budget.onRequest(now);
    const auto candidates = candidatesOf(service->second, tried);
    if (candidates.empty())
        return refuse(hasInstance(*name) ? RefusalReason::NoSlot : RefusalReason::NoInstance);
    const std::size_t index = service->second.balancer->pick(candidates, m_random);
    Instance& instance = m_instances[candidates[index].id];
    m_lastAttempt = next(m_lastAttempt);
    const Assignment assignment { m_lastAttempt, *name, instance.record.id,
        instance.record.endpoint, service->second.spec.deadline };
    ++instance.inFlight;
    m_attempts[assignment.attempt] = { *name, instance.record.id };
    recordRoute(request, assignment, candidates.size());
    return assignment;
}

std::vector<WaiterId> Dispatcher::finish(
    AttemptId attempt, const AttemptReport& /*report*/, TimePoint now)
{
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end())
        return {};
    const Attempt ended = found->second;
    m_attempts.erase(found);
    const auto instance = m_instances.find(ended.instance);
    if (instance != m_instances.end() && instance->second.inFlight > 0)
        --instance->second.inFlight;
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
    return found != m_services.end() && found->second.budget.take(now);
}

tl::expected<WaiterId, RefusalReason> Dispatcher::enqueue(
    const RequestFacts& request, TimePoint deadline, TimePoint now)
{
    const auto name = m_routes.match(request.method, request.host, request.target);
    const auto service = name ? m_services.find(*name) : m_services.end();
    if (service == m_services.end())
        return tl::unexpected<RefusalReason>(RefusalReason::NoRoute);
    m_lastWaiter = next(m_lastWaiter);
    const auto refusal = service->second.queue.push(m_lastWaiter, deadline, now);
    if (!refusal)
        return m_lastWaiter;
    const RefusalReason reason = *refusal == WaitRefusal::QueueFull ? RefusalReason::QueueFull
                                                                    : RefusalReason::WaitTooLong;
    recordRefusal(request, reason);
    return tl::unexpected<RefusalReason>(reason);
}

void Dispatcher::abandon(WaiterId waiter)
{
    for (auto& [name, service] : m_services)
        service.queue.remove(waiter);
}

bool Dispatcher::hasInstance(const ServiceId& service) const
{
    return std::any_of(m_instances.begin(), m_instances.end(), [&](const auto& item) {
        return item.second.record.service == service
            && item.second.record.phase == InstancePhase::Serving;
    });
}

std::vector<Candidate> Dispatcher::candidatesOf(
    const Service& service, const std::set<InstanceId>& tried) const
{
    std::vector<Candidate> candidates;
    for (const auto& [id, instance] : m_instances) {
        const InstanceRecord& record = instance.record;
        if (record.service != service.spec.name || record.phase != InstancePhase::Serving
            || tried.contains(id) || instance.inFlight >= record.slots)
            continue;
        candidates.push_back({ id, record.slots, instance.inFlight, record.load, 1.0 });
    }
    return candidates;
}

void Dispatcher::recordRoute(
    const RequestFacts& request, const Assignment& assignment, std::size_t candidates)
{
    Decision decision { "route", "picked" };
    decision.facts["method"] = request.method;
    decision.facts["target"] = request.target;
    decision.facts["service"] = assignment.service.value();
    decision.facts["instance"] = assignment.instance.value();
    decision.facts["attempt"] = Json::UInt64(assignment.attempt.value());
    decision.facts["candidates"] = Json::UInt64(candidates);
    m_log.record(decision);
}

void Dispatcher::recordRefusal(const RequestFacts& request, RefusalReason reason)
{
    Decision decision { "refuse", refusalName(reason) };
    decision.facts["method"] = request.method;
    decision.facts["host"] = request.host;
    decision.facts["target"] = request.target;
    m_log.record(decision);
}

} // namespace laburnum
