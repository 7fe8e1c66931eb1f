/// PlacementProvider of an entry host of a seeded fleet.
#pragma once

#include <map>

#include <laburnumroute/account_directory.h>
#include <laburnumroute/controller_client.h>
#include <laburnumroute/placement_provider.h>
#include <laburnumroute/protocol_adapter.h>
#include <laburnumroute/route_table.h>
#include <laburnumroute/weighted_splitter.h>

namespace laburnum {

/// Routes requests by the newest known configuration and gets placements through the
/// ControllerClient. Used from one thread.
class FleetPlacementProvider final : public PlacementProvider {
public:
    /// Executes the client's actions except its answers and configuration changes.
    using ExecuteActions = std::function<void(ControllerClientActions& actions)>;

    FleetPlacementProvider(ControllerClient& client, const Clock& clock,
        const ProtocolAdapter& adapter, DecisionLog& log, std::uint64_t seed,
        ExecuteActions executeActions);

    /// Applies a new configuration, executes the other actions, then delivers the answers.
    void apply(ControllerClientActions& actions);

    tl::expected<RequestPlan, PlanRefusal> plan(const PlanQuery& query) override;
    DispatchId dispatch(PlacementRequest request, Done done) override;
    void cancel(DispatchId dispatch) override;
    void reportOverdue(DispatchId dispatch, Duration silence) override;
    void reportRateLimit(
        DispatchId dispatch, std::optional<double> perSecond, Duration sinceSent) override;
    void end(DispatchId dispatch, const PlacementReport& report) override;
    std::uint64_t awaitConfiguration(std::function<void()> ready) override;
    void stopWaiting(std::uint64_t waiter) override { m_configWaiters.erase(waiter); }
    std::optional<std::uint64_t> configNumber() const override { return m_configNumber; }
    CallerLimits limits() const override { return m_limits; }

    bool hasConfiguration() const noexcept { return m_configNumber.has_value(); }

private:
    void applyConfiguration(ControllerClientActions& actions);
    void notifyConfigWaiters();
    /// Checks the account key of a request for `route`. Empty if the route needs none.
    tl::expected<AccountMatch, PlanRefusal> authenticate(
        const RouteSpec& route, const PlanQuery& query) const;

    ControllerClient& m_client;
    const Clock& m_clock;
    const ProtocolAdapter& m_adapter;
    DecisionLog& m_log;
    Random m_random;
    ExecuteActions m_executeActions;
    RouteTable m_routes;
    AccountDirectory m_accounts;
    CallerLimits m_limits;
    /// Number of the active configuration; empty before the first.
    ConfigNumber m_configNumber;
    std::map<ServiceId, Duration> m_serviceDeadlines;
    std::map<std::string, WeightedSplitter> m_splitters;
    std::map<DispatchId, Done> m_pendingDispatches;
    /// Callbacks of requests that wait for the first configuration.
    std::map<std::uint64_t, std::function<void()>> m_configWaiters;
    std::uint64_t m_lastConfigWaiter = 0;
};

} // namespace laburnum
