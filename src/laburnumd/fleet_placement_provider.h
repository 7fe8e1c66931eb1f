/// The request path's desk on an entry host of a seeded fleet: routes by the configuration that was
/// heard of, and hands asks to the ControllerClient.
#pragma once

#include <map>

#include <laburnumroute/controller_client.h>
#include <laburnumroute/placement_provider.h>
#include <laburnumroute/protocol_adapter.h>
#include <laburnumroute/route_table.h>
#include <laburnumroute/weighted_splitter.h>

namespace laburnum {

/// Used from one thread.
class FleetPlacementProvider final : public PlacementProvider {
public:
    /// Carries out what the client wants done, but for its answers.
    using Carry = std::function<void(ControllerClientActions& actions)>;

    FleetPlacementProvider(ControllerClient& client, const Clock& clock, const ProtocolAdapter& outer,
        DecisionLog& log, std::uint64_t seed, Carry carry);

    /// Passes answers on and puts a new configuration in force; then carries the rest.
    void apply(ControllerClientActions& actions);

    tl::expected<RequestPlan, PlanRefusal> plan(
        const std::string& method, const std::string& host, const std::string& target) override;
    DispatchId dispatch(PlacementRequest demand, Done done) override;
    void cancel(DispatchId dispatch) override;
    void reportOverdue(DispatchId dispatch, Duration silence) override;
    void end(DispatchId dispatch, const PlacementReport& report) override;
    std::uint64_t awaitConfiguration(std::function<void()> ready) override;
    void stopWaiting(std::uint64_t waiter) override { m_starters.erase(waiter); }
    CallerLimits limits() const override { return m_limits; }

    bool hasConfiguration() const noexcept { return m_number != 0; }

private:
    void putInForce();

    ControllerClient& m_client;
    const Clock& m_clock;
    const ProtocolAdapter& m_outer;
    DecisionLog& m_log;
    Random m_random;
    Carry m_carry;
    RouteTable m_routes;
    CallerLimits m_limits;
    /// Number of the configuration in force; 0 before the first.
    std::uint64_t m_number = 0;
    std::map<ServiceId, Duration> m_serviceDeadlines;
    std::map<std::string, WeightedSplitter> m_shares;
    std::map<DispatchId, Done> m_waiting;
    /// Requests that came before the first configuration.
    std::map<std::uint64_t, std::function<void()>> m_starters;
    std::uint64_t m_lastStarter = 0;
};

} // namespace laburnum
