/// The controller of a seeded fleet, as it runs on each control host: keeps the replicated state,
/// answers calls of instances and operators, serves subscriptions of entry hosts and, on the
/// leader, places all requests. A state machine without I/O; its owner carries the frames.
#pragma once

#include <cstdint>
#include <functional>
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

/// Identifies a call of an instance or an operator at this host.
using CallId = StrongId<struct CallTag, std::uint64_t>;

/// An instance announces itself or renews its registration.
struct AnnounceCall {
    InstanceRecord record;
    /// Time until the instance has warmed up after its start.
    Duration warmupRemaining {};
};

/// An instance is ending or has ended. If it does not state its incarnation, the registered one
/// ends.
struct DeregisterCall {
    Deregistration deregistration;
};

/// An operator submits a validated configuration.
struct PutConfigCall {
    NumberedConfig config;
};

/// Reads the configuration. Linearizable: the result is at least as new as any configuration
/// acknowledged before.
struct GetConfigCall { };

using ControlCall = std::variant<AnnounceCall, DeregisterCall, PutConfigCall, GetConfigCall>;

/// The result of a call.
struct CallResult {
    /// False when the outcome is unknown at this host; the caller may retry at another one.
    bool done = false;
    /// Set for a GetConfigCall.
    NumberedConfig config;
};

/// Output of a Controller, to be carried out by its owner.
struct ControllerActions {
    std::vector<std::pair<LinkId, std::string>> frames;
    std::vector<std::pair<HostId, std::string>> peerFrames;
    std::vector<std::pair<CallId, CallResult>> results;
    std::vector<Decision> decisions;
};

/// The accounts declared by the content of a configuration; empty if it can't be read.
using AccountsOfConfig = std::function<std::vector<ClientAccountSpec>(const std::string& content)>;

/// Start-up settings of a Controller. Hosts are identified by the address at which other hosts
/// reach them.
struct ControllerOptions {
    HostId host;
    /// The initial members of the log; new members send them their join requests.
    std::vector<HostId> seeds;
    /// Allows this host to bootstrap a new log; set on the first start of the whole fleet.
    bool mayBootstrap = false;
    std::uint64_t seed = 0;
    /// Simultaneous control host failures to tolerate; there are 2n + 1 voters.
    unsigned toleratedFailures = 2;
    RetryBudgetLimits repeats;
    /// Source of the usage caps; without it there are none. Called when the configuration changes.
    AccountsOfConfig accountsOf;
    /// See FleetScheduler::setSpilloverThreshold().
    Duration spilloverFrom {};
};

/// Not thread-safe: the owner serializes all calls. `now` never goes back.
class Controller {
public:
    /// Interval between ticks.
    static constexpr Duration tickInterval = std::chrono::milliseconds(50);

    /// Fails as ReplicatedLog::create() does.
    static Expected<std::unique_ptr<Controller>> create(
        ControllerOptions options, LogStore store, TimePoint now);
    ~Controller();

    /// The connection `link` was closed.
    void closeLink(LinkId link, TimePoint now);
    /// Handles a frame from an entry host or another control host. Frames between control hosts are
    /// processed immediately; those of entry hosts are queued in the backlog, so that they do not
    /// delay heartbeats.
    void receive(LinkId link, std::string_view frame, TimePoint now, ControllerActions& actions);
    /// Processes a slice of the backlog, which takes a few milliseconds at most. Call it while
    /// hasBacklog() is true, and poll connections and timers between two calls.
    void work(TimePoint now, ControllerActions& actions);
    bool hasBacklog() const noexcept;
    /// Starts a call. Each call gets exactly one result, within less than a second.
    void call(CallId id, ControlCall call, TimePoint now, ControllerActions& actions);
    void tick(TimePoint now, ControllerActions& actions);
    /// The kind of work that `frame` causes, as a label for event loop statistics.
    static std::string_view workCategory(std::string_view frame);
    /// Replaces the hosts that receive join requests.
    void setSeeds(std::vector<HostId> seeds);

    const FleetState& state() const noexcept;
    const ReplicatedLog& log() const noexcept;
    const FleetScheduler& scheduler() const noexcept;
    /// True when this host is the leader and has committed an entry in its term.
    bool isLeader() const noexcept;
    /// Number of entry hosts subscribed to this host.
    std::size_t subscriberCount() const noexcept;

private:
    class Impl;
    explicit Controller(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> m_impl;
};

} // namespace laburnum
