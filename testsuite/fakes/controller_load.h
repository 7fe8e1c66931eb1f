/// The load of a large site on a ControllerFleet with simulated processors: entry hosts that
/// dispatch and end placements, and instances that execute attempts and announce themselves.
/// Deterministic for a seed.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "fakes/controller_fleet.h"

namespace laburnum::fakes {

/// Processing costs of a control host on the users' bench, where it has 0.6 of a core.
ProcessorCosts benchCosts();

/// Results for the steady state before a freeze.
struct SteadyStateOutcome {
    /// Share of time that the leader's event loop was busy.
    double leaderBusy = 0.0;
    /// Longest time that an input waited at the leader.
    Duration longestWait {};
    std::uint64_t elections = 0;
    double bytesPerHostSecond = 0.0;
};

/// Results from the freeze of the leader to the end of the observation.
struct FreezeOutcome {
    Duration watched {};
    /// Time until another host was leader and held the lease; unset if none was.
    std::optional<Duration> untilLeader;
    Duration withoutLeader {};
    /// Longest interval without a leader after the first new one.
    Duration longestGap {};
    /// Number of successive leaders.
    unsigned leaders = 0;
    std::uint64_t elections = 0;
    /// Share of the answers after the first three seconds that entry hosts gave themselves, without
    /// the controller.
    double locallyPlacedShare = 0.0;
    /// Share of time that the busiest control host was busy.
    double busyShare = 0.0;
    Duration longestTurn {};
    /// Longest time that an input waited at a control host that was not frozen.
    Duration longestWait {};
    double bytesPerHostSecond = 0.0;
};

class ControllerLoad {
public:
    ControllerLoad(unsigned entries, std::uint64_t seed);

    ControllerFleet& fleet() { return m_fleet; }
    /// Bootstraps the fleet and runs the load until the steady state has been recorded. Returns
    /// false if the fleet does not start or its leader changes.
    bool start();
    const SteadyStateOutcome& steadyState() const { return m_steadyState; }
    /// Freezes the leader for `frozen` and observes the fleet for `watched` from the freeze on, or
    /// until the total time without a leader reaches `giveUp`.
    FreezeOutcome freezeLeader(
        Duration frozen, Duration watched, Duration giveUp = Duration::max());

private:
    struct Instance {
        InstanceRecord record;
        /// Time at which each slot becomes free.
        std::vector<TimePoint> slots;
        std::int32_t load = 0;
        unsigned announcements = 0;
    };
    struct Request {
        PlacementRequest placementRequest;
        TimePoint until;
    };
    struct Answers {
        std::uint64_t all = 0;
        std::uint64_t alone = 0;
    };

    bool awaitInstances();
    bool awaitEntries();
    void announce(std::size_t index);
    void arrive(unsigned entry);
    void dispatch(const HostId& entry, Request request);
    void answered(const HostId& entry, const PlacementResult& answer);
    void attempt(const HostId& entry, Request request, const PlacementResult& answer);
    void ended(const HostId& entry, Request request, const PlacementResult& answer,
        const PlacementReport& report);
    Duration work(const Instance& instance);

    unsigned m_entries;
    Random m_random;
    ControllerFleet m_fleet;
    std::vector<Instance> m_instances;
    std::map<InstanceId, std::size_t> m_byId;
    std::map<std::pair<HostId, DispatchId>, Request> m_open;
    /// The request that is being dispatched, for an answer that arrives before dispatch() returns.
    std::optional<Request> m_dispatching;
    Answers m_answers;
    SteadyStateOutcome m_steadyState;
};

} // namespace laburnum::fakes
