// Decision log and explanations of the dispatcher.

#include "dispatcher_pvt.h"

namespace laburnum {

namespace {

    using pvt::PooledInstance;
    using pvt::Standing;

    const char* verdictOf(
        const PooledInstance& instance, Standing standing, unsigned hosts, TimePoint now)
    {
        if (instance.gone)
            return "gone";
        if (instance.record.phase == InstancePhase::Draining)
            return "draining";
        if (standing != Standing::InService)
            return pvt::standingName(standing);
        return instance.hasCapacity(hosts, now) ? "eligible" : "full";
    }

} // namespace

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

Explanation Dispatcher::explain(const RequestAttributes& request, TimePoint now) const
{
    Explanation result;
    const auto name = m_routes.match(request.method, request.host, request.target);
    const auto service = name ? m_services.find(*name) : m_services.end();
    result.outcome = refusalName(RefusalReason::NoRoute);
    if (service == m_services.end())
        return result;
    result.service = *name;
    result.balancer = service->second.spec.balancer;
    result.waiting = service->second.queue.size();
    result.retryTokens = service->second.budget.tokens();
    result.outcome = refusalName(RefusalReason::NoInstance);
    const auto pool = m_pools.find(*name);
    if (pool == m_pools.end())
        return result;
    bool eligible = false;
    bool serving = false;
    const bool expired = pool->second->permits().expires <= now;
    for (const auto& [id, instance] : pool->second->instances()) {
        const Standing standing = expired ? Standing::InService : instance.standing;
        const std::string verdict = verdictOf(instance, standing, m_hosts, now);
        eligible = eligible || verdict == "eligible";
        serving = serving || (instance.isServing() && standing == Standing::InService);
        result.instances.push_back({ id, pvt::tierOf(m_location, instance.record), verdict,
            pvt::standingName(standing), instance.inFlight, instance.record.slots,
            instance.loadHint(now), instance.weight(now) });
    }
    if (eligible)
        result.outcome = "would-pick-among";
    else if (serving)
        result.outcome = refusalName(RefusalReason::NoSlot);
    return result;
}

Json::Value encodeExplanation(const Explanation& explanation)
{
    Json::Value value(Json::objectValue);
    value["service"] = explanation.service ? explanation.service->value() : "";
    value["reason"] = explanation.outcome;
    value["balancer"] = explanation.balancer;
    value["waiting"] = Json::UInt64(explanation.waiting);
    value["retry_tokens"] = explanation.retryTokens;
    Json::Value& candidates = value["candidates"] = Json::Value(Json::arrayValue);
    for (const auto& item : explanation.instances) {
        Json::Value entry(Json::objectValue);
        entry["instance"] = item.instance.value();
        entry["distance"] = Json::UInt64(item.distance);
        entry["state"] = item.verdict;
        entry["reason"] = item.standing;
        entry["in_flight"] = item.inFlight;
        entry["slots"] = item.slots;
        entry["load"] = item.load;
        entry["weight"] = item.weight;
        candidates.append(std::move(entry));
    }
    return value;
}

void Dispatcher::recordRoute(const RequestAttributes& request, const Assignment& assignment,
    const Selection& selection, const Candidate& candidate)
{
    static constexpr std::array<const char*, pvt::InstancePool::tierCount> reasons {
        "own-data-centre", "own-region", "cross-region"
    };
    Decision decision { "route", selection.onTrial ? "trial" : reasons.at(selection.distance) };
    decision.facts["method"] = request.method;
    decision.facts["target"] = request.target;
    decision.facts["service"] = assignment.service.value();
    decision.facts["instance"] = assignment.instance.value();
    decision.facts["attempt"] = Json::UInt64(assignment.attempt.value());
    decision.facts["candidates"] = Json::UInt64(selection.candidates.size());
    decision.facts["in_flight"] = candidate.inFlight;
    decision.facts["slots"] = candidate.slots;
    decision.facts["load"] = candidate.reportedLoad;
    m_log.record(decision);
}

void Dispatcher::recordRefusal(
    const RequestAttributes& request, RefusalReason reason, const Service* service)
{
    Decision decision { "refuse", refusalName(reason) };
    decision.facts["method"] = request.method;
    decision.facts["host"] = request.host;
    decision.facts["target"] = request.target;
    if (service) {
        decision.facts["service"] = service->spec.name.value();
        decision.facts["waiting"] = Json::UInt64(service->queue.size());
    }
    m_log.record(decision);
}

void Dispatcher::recordStanding(const ServiceId& service, const PooledInstance& instance)
{
    const bool isReturn = instance.standing == Standing::InService;
    Decision decision { isReturn ? "return" : "eject", pvt::standingName(instance.standing) };
    decision.facts["service"] = service.value();
    decision.facts["instance"] = instance.record.id.value();
    std::uint64_t slots = 0;
    for (const auto& [id, count] : servingSlots(service))
        slots += count;
    decision.facts["serving_slots"] = Json::UInt64(slots);
    const auto found = m_services.find(service);
    decision.facts["floor_slots"] = found == m_services.end() ? 0 : found->second.spec.floorSlots;
    m_log.record(decision);
}

} // namespace laburnum
