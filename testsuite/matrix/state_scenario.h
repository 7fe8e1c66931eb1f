/// One cell of the state rows: runs a cluster under load, injects a fault at a given step, removes
/// it and checks the invariants.
#pragma once

#include <functional>
#include <vector>

#include "fakes/state_cluster.h"
#include "matrix/matrix.h"

namespace laburnum::matrix {

/// What the scenario does to reach the step of a row.
enum class Preparation {
    None,
    /// Kills a host and starts it again.
    RestartHost,
    /// Kills a host and starts it again with an empty disk.
    EmptyDisk,
};

struct StateStep {
    const char* name;
    fakes::StateEvent event;
    Preparation preparation;
    /// The step writes to the disk or causes a write.
    bool writes;
    /// The step sends messages or waits for messages.
    bool sends;
};

/// Runs a cluster with its operators and process supervisor, and injects the fault at the step.
class StateScenario {
public:
    StateScenario(const StateStep& step, const CellRequest& request);
    /// Returns the violated invariants.
    std::vector<std::string> run();

private:
    struct Action {
        TimePoint due;
        std::function<void()> run;
    };

    void awaitBootstrap();
    void prepare();
    void onEvent(fakes::StateEvent event, const HostId& host);
    void injectFault(Fault fault, const HostId& host);
    void injectNetworkFault(Fault fault, const HostId& host);
    void injectDiskFault(Fault fault, const HostId& host);
    void injectOperatorFault(Fault fault);
    void schedule(Duration delay, std::function<void()> action);
    void runDueActions();
    void runOperator();
    void restartHaltedHosts();
    void restartRefused(const HostId& host);
    void scheduleKill(const HostId& host, const std::function<void()>& before = {});
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
    std::set<HostId> m_awaitingRestart;
    bool m_isArmed = false;
    bool m_faultInjected = false;
    unsigned m_skips = 0;
    unsigned m_changes = 0;
    unsigned m_races = 0;
    std::optional<ConfigChange> m_current;
    TimePoint m_resendDue;
};

} // namespace laburnum::matrix
