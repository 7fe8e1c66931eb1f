/// The control host's part in a seeded fleet: the replicated state, the calls of instances and
/// operators, the subscriptions of entry hosts and, while it leads, the placement of all requests.
/// A state machine without I/O; the shell carries frames.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include <laburnumroute/fleet_scheduler.h>
#include <laburnumroute/fleet_state.h>
#include <laburnumroute/replicated_log.h>

namespace laburnum {

/// One call of an instance or an operator at this host.
using CallId = StrongId<struct CallTag, std::uint64_t>;

/// An instance says how it is.
struct AnnounceCall {
    InstanceRecord record;
    /// How much longer it stays slow after its start.
    Duration warmupRemaining {};
};

/// An instance says that it ends, or that it has ended.
struct DeregisterCall {
    Deregistration deregistration;
};

/// An operator submits a configuration that was checked.
struct PutConfigCall {
    NumberedConfig config;
};

/// Somebody reads the configuration; the answer is never older than what was acknowledged before.
struct GetConfigCall { };

using ControlCall = std::variant<AnnounceCall, DeregisterCall, PutConfigCall, GetConfigCall>;

/// The end of a call.
struct CallResult {
    /// False: the outcome is not certain here and now; another host may know better.
    bool done = false;
    /// Of a GetConfigCall.
    NumberedConfig config;
};

/// What a Controller wants done.
struct ControllerActions {
    std::vector<std::pair<LinkId, std::string>> frames;
    std::vector<std::pair<HostId, std::string>> peerFrames;
    std::vector<std::pair<CallId, CallResult>> results;
    std::vector<Decision> decisions;
};

/// Everything that a Controller is told at its start. Hosts are named by the address at which other
/// hosts reach them.
struct ControllerOptions {
    HostId host;
    /// The founders of the log, and whom to ask for admission.
    std::vector<HostId> seeds;
    /// The whole fleet starts for the first time.
    bool mayBootstrap = false;
    std::uint64_t seed = 0;
    /// Losses to be borne at once; twice as many and one vote.
    unsigned toleratedFailures = 2;
    RetryBudgetLimits repeats;
};

/// Calls are serialized by the shell, `now` never goes back.
class Controller {
public:
    /// Interval between ticks.
    static constexpr Duration tickInterval = std::chrono::milliseconds(50);

    /// Fails as ReplicatedLog::create() does.
    static Expected<std::unique_ptr<Controller>> create(
        ControllerOptions options, LogStore store, TimePoint now);
    ~Controller();

    /// A connection has ended.
    void closeLink(LinkId link, TimePoint now);
    /// A frame from an entry host or another control host. What keeps the control hosts together
    /// is done at once; what entry hosts want waits in the backlog, so that it delays no heartbeat.
    void receive(LinkId link, std::string_view frame, TimePoint now, ControllerActions& actions);
    /// Does a slice of the backlog, a few milliseconds at the most. To be called while
    /// hasBacklog(), with a look at connections and timers between two calls.
    void work(TimePoint now, ControllerActions& actions);
    bool hasBacklog() const noexcept;
    /// Each call ends by one result, at the latest after a limit below a second.
    void call(CallId id, ControlCall call, TimePoint now, ControllerActions& actions);
    void tick(TimePoint now, ControllerActions& actions);
    /// What a frame asks for, in a word, for accounts of time.
    static std::string_view workCategory(std::string_view frame);
    /// Replaces the hosts that are asked for admission.
    void setSeeds(std::vector<HostId> seeds);

    const FleetState& state() const noexcept;
    const ReplicatedLog& log() const noexcept;
    const FleetScheduler& scheduler() const noexcept;
    /// Leads and is known to be followed.
    bool isLeader() const noexcept;
    /// Entry hosts that are subscribed here.
    std::size_t subscriberCount() const noexcept;

private:
    class Impl;
    explicit Controller(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> m_impl;
};

} // namespace laburnum
