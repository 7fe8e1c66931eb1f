#include "fleet_placement_provider.h"

namespace laburnum {

FleetPlacementProvider::FleetPlacementProvider(ControllerClient& client, const Clock& clock,
    const ProtocolAdapter& adapter, DecisionLog& log, std::uint64_t seed,
    ExecuteActions executeActions)
    : m_client(client)
    , m_clock(clock)
    , m_adapter(adapter)
    , m_log(log)
    , m_random(seed)
    , m_executeActions(std::move(executeActions))
{
}

void FleetPlacementProvider::applyConfiguration(ControllerClientActions& actions)
{
    const NumberedConfig& config = m_client.config();
    Findings findings;
    const Configuration configuration = m_adapter.parseConfiguration(config.content, findings);
    Decision decision { "config", findings.hasErrors() ? "unreadable" : "in-force" };
    decision.facts["number"] = configNumberFact(config.number);
    decision.facts["before"] = configNumberFact(m_configNumber);
    decision.facts["routes"] = Json::UInt64(configuration.routes.size());
    decision.facts["accounts"] = Json::UInt64(configuration.accounts.size());
    m_log.record(decision);
    if (findings.hasErrors())
        return;
    m_configNumber = config.number;
    m_routes = RouteTable(configuration.routes);
    m_accounts = AccountDirectory(configuration.accounts);
    m_client.requireKeyConfirmation(m_accounts.hasAccounts(), m_clock.now(), actions);
    m_limits = configuration.limits;
    m_client.setAccounts(configuration.accounts);
    m_serviceDeadlines.clear();
    for (const auto& service : configuration.services)
        m_serviceDeadlines[service.name] = service.deadline;
    notifyConfigWaiters();
}

void FleetPlacementProvider::notifyConfigWaiters()
{
    for (const auto& [waiter, ready] : std::exchange(m_configWaiters, {}))
        ready();
}

std::uint64_t FleetPlacementProvider::awaitConfiguration(std::function<void()> ready)
{
    m_configWaiters[++m_lastConfigWaiter] = std::move(ready);
    return m_lastConfigWaiter;
}

void FleetPlacementProvider::apply(ControllerClientActions& actions)
{
    const bool confirmed = std::exchange(actions.keysConfirmed, false);
    if (std::exchange(actions.configChanged, false))
        applyConfiguration(actions);
    if (confirmed)
        notifyConfigWaiters();
    const auto answers = std::exchange(actions.answers, {});
    m_executeActions(actions);
    for (const PlacementResult& answer : answers) {
        const auto found = m_pendingDispatches.find(answer.dispatch);
        if (found == m_pendingDispatches.end())
            continue;
        const Done done = std::move(found->second);
        m_pendingDispatches.erase(found);
        done({ answer.dispatch, answer.instance, answer.refusal, answer.delay, answer.alone });
    }
}

tl::expected<AccountMatch, PlanRefusal> FleetPlacementProvider::authenticate(
    const RouteSpec& route, const PlanQuery& query) const
{
    if (!m_accounts.hasAccounts() || route.anonymous)
        return AccountMatch {};
    // Also if the newest configuration could not be read: the keys in force may have been removed.
    if (m_client.keys().isRequired()
        && (m_configNumber != m_client.config().number
            || !m_client.keys().isTrusted(m_clock.now())))
        return tl::unexpected<PlanRefusal>(m_client.keys().isFirstPending()
                ? PlanRefusal::KeyConfirmationPending
                : PlanRefusal::KeyUnconfirmed);
    if (query.accountKeys.empty())
        return tl::unexpected<PlanRefusal>(PlanRefusal::KeyMissing);
    if (query.accountKeys.size() > 1)
        return tl::unexpected<PlanRefusal>(PlanRefusal::KeyRepeated);
    auto match = m_accounts.find(query.accountKeys.front());
    if (!match)
        return tl::unexpected<PlanRefusal>(PlanRefusal::KeyUnknown);
    return std::move(*match);
}

tl::expected<RequestPlan, PlanRefusal> FleetPlacementProvider::plan(const PlanQuery& query)
{
    if (!m_configNumber)
        return tl::unexpected<PlanRefusal>(PlanRefusal::NoConfiguration);
    const RouteSpec* route = m_routes.find(query.method, query.host, query.target);
    if (route == nullptr)
        return tl::unexpected<PlanRefusal>(PlanRefusal::NoRoute);
    auto match = authenticate(*route, query);
    if (!match)
        return tl::unexpected<PlanRefusal>(match.error());
    RequestPlan plan { route->name, route->service, route->kind, route->timeout, route->objective,
        match->priority.value_or(route->priority), route->attempts, m_configNumber,
        std::move(match->account), std::move(match->fingerprint), m_accounts.hasAccounts() };
    if (!route->split.empty()) {
        const auto [sequence, inserted] = m_splitters.try_emplace(
            route->host + route->prefix, WeightedSplitter(uniformReal(m_random)));
        plan.service = sequence->second.next(route->split);
    }
    if (plan.timeout == Duration::zero())
        plan.timeout = m_serviceDeadlines[plan.service];
    return plan;
}

DispatchId FleetPlacementProvider::dispatch(PlacementRequest request, Done done)
{
    ControllerClientActions actions;
    const DispatchId id = m_client.dispatch(std::move(request), m_clock.now(), actions);
    m_pendingDispatches[id] = std::move(done);
    apply(actions);
    return id;
}

void FleetPlacementProvider::cancel(DispatchId dispatch)
{
    m_pendingDispatches.erase(dispatch);
    ControllerClientActions actions;
    m_client.cancel(dispatch, actions);
    apply(actions);
}

void FleetPlacementProvider::reportOverdue(DispatchId dispatch, Duration silence)
{
    ControllerClientActions actions;
    m_client.reportOverdue(dispatch, silence, m_clock.now(), actions);
    apply(actions);
}

void FleetPlacementProvider::reportRateLimit(
    DispatchId dispatch, std::optional<double> perSecond, Duration sinceSent)
{
    ControllerClientActions actions;
    m_client.reportRateLimit(dispatch, perSecond, sinceSent, m_clock.now(), actions);
    apply(actions);
}

void FleetPlacementProvider::end(DispatchId dispatch, const PlacementReport& report)
{
    ControllerClientActions actions;
    m_client.end(dispatch, report, m_clock.now(), actions);
    apply(actions);
}

} // namespace laburnum
