/// One cell of the state rows: a cluster under load, a fault at a chosen step, repair, checks.
#pragma once

#include <functional>
#include <vector>

#include "fakes/state_cluster.h"
#include "matrix/matrix.h"

namespace laburnum::matrix {

/// What leads to the step of a row.
enum class Preparation {
    None,
    /// A host is killed and started again.
    RestartHost,
    /// A host comes back with an empty disk.
    EmptyDisk,
};

/// A row of the state table.
struct StateStep {
    const char* name;
    fakes::StateEvent event;
    Preparation preparation;
    /// The step writes to the disk, or leads to a write.
    bool writes;
    /// The step sends messages, or waits for some.
    bool sends;
};

/// Runs a cluster, its operators and its supervisor; the fault strikes at the step.
class StateScenario {
public:
    StateScenario(const StateStep& step, const CellRequest& request);
    /// Returns the broken promises.
    std::vector<std::string> run();

private:
    struct Action {
        TimePoint due;
        std::function<void()> run;
    };

    void awaitFounding();
    void prepare();
    void onEvent(fakes::StateEvent event, const HostId& host);
    void strike(Fault fault, const HostId& host);
    void strikeNetwork(Fault fault, const HostId& host);
    void strikeDisk(Fault fault, const HostId& host);
    void strikeOperators(Fault fault);
    void later(Duration delay, std::function<void()> action);
    void stepActions();
    void operate();
    void supervise();
    void restartRefused(const HostId& host);
    void killLater(const HostId& host, const std::function<void()>& before = {});
    void flipRandomBit(const HostId& host);
    Revision newestRevision();
    HostId randomHost();
    void advance(Duration time);
    void checkRaces();

    const StateStep& m_step;
    const CellRequest m_request;
    fakes::StateCluster m_cluster;
    Random m_random;
    std::vector<Action> m_actions;
    std::map<HostId, fakes::FakeStorage> m_backups;
    std::set<HostId> m_dead;
    bool m_isArmed = false;
    bool m_hasStruck = false;
    unsigned m_skips = 0;
    unsigned m_changes = 0;
    unsigned m_races = 0;
    std::optional<ConfigChange> m_current;
    TimePoint m_resendDue;
};

} // namespace laburnum::matrix
