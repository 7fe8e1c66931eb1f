/// The load of a large site on a ControllerFleet whose control hosts have a processor: entry hosts
/// that dispatch and end, instances that work and announce themselves. Deterministic for a seed.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "fakes/controller_fleet.h"

namespace laburnum::fakes {

/// What a control host's work costs on the users' bench, where it has 0.6 of a core.
ProcessorCosts benchCosts();

/// What was seen in the calm before a freeze.
struct CalmOutcome {
    /// Share of its time that the leader was busy.
    double leaderBusy = 0.0;
    /// Of an input at the leader.
    Duration longestWait {};
    std::uint64_t elections = 0;
    double bytesPerHostSecond = 0.0;
};

/// What was seen from a freeze of the leader to the end of the watch.
struct FreezeOutcome {
    Duration watched {};
    /// Until another host led and held the lease; nothing when none did.
    std::optional<Duration> untilLeader;
    Duration withoutLeader {};
    /// Of the times without a leader after the first new one.
    Duration longestGap {};
    /// Hosts that led one after the other.
    unsigned leaders = 0;
    std::uint64_t elections = 0;
    /// Of the answers after the first three seconds, those that entry hosts gave themselves.
    double aloneShare = 0.0;
    /// Of the busiest control host.
    double busyShare = 0.0;
    Duration longestTurn {};
    /// Of an input at a control host that was not frozen.
    Duration longestWait {};
    double bytesPerHostSecond = 0.0;
};

class ControllerLoad {
public:
    ControllerLoad(unsigned entries, std::uint64_t seed);

    ControllerFleet& fleet() { return m_fleet; }
    /// Founds the fleet and lets the load run in calm; false when it does not come so far.
    bool start();
    const CalmOutcome& calm() const { return m_calm; }
    /// Freezes the leader for `frozen` and watches for `watched` from the freeze on, or until the
    /// fleet was without a leader for `giveUp` in all.
    FreezeOutcome freezeLeader(
        Duration frozen, Duration watched, Duration giveUp = Duration::max());

private:
    struct Instance {
        InstanceRecord record;
        /// When each slot is free.
        std::vector<TimePoint> slots;
        std::int32_t load = 0;
        unsigned announcements = 0;
    };
    struct Request {
        PlacementRequest demand;
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
    /// The request whose dispatch is being made, for an answer that comes at once.
    std::optional<Request> m_asking;
    Answers m_answers;
    CalmOutcome m_calm;
};

} // namespace laburnum::fakes
