/// Simulated fleet in virtual time: control hosts with fake disks, entry hosts, and the connections
/// between them. Deterministic for a seed.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <laburnumroute/controller.h>
#include <laburnumroute/controller_client.h>
#include <laburnumroute/frame_meter.h>

#include "fakes/fake_storage.h"

namespace laburnum::fakes {

/// Processor time of each kind of work on a control host's event loop, in virtual time.
struct ProcessorCosts {
    /// Each frame, tick, call or closed connection that is handled.
    Duration turn {};
    /// Each slice of the scheduling backlog.
    Duration slice {};
    /// Added for each message of the replicated log.
    Duration logMessage {};
    Duration frameSent {};
    Duration kibibyteSent {};
    /// Each instance that the scheduler evaluated.
    Duration evaluation {};
    /// Each disk sync, which blocks the event loop.
    Duration sync {};
};

/// Activity of a control host's event loop since resetLoopStats().
struct EventLoopStats {
    Duration busy {};
    Duration longestTurn {};
    /// Longest time that an input waited before it was handled.
    Duration longestWait {};
    std::uint64_t turns = 0;
};

struct ControllerFleetOptions {
    /// Number of control hosts, named c1, c2, ...; every process gets the first `seeds` as seeds.
    unsigned controls = 5;
    unsigned seeds = 3;
    /// Number of entry hosts, named e1, e2, ...
    unsigned entries = 4;
    std::uint64_t seed = 1;
    /// One-way delay between any two hosts.
    Duration delay = std::chrono::milliseconds(10);
    /// If unset, control hosts handle their inputs in zero time.
    std::optional<ProcessorCosts> processor;
    /// Validity of account keys on entry hosts; every configuration counts as one with accounts.
    /// Zero switches their confirmation off.
    Duration keyValidity {};
    /// Given to the control hosts, and used for the accounts of entry hosts; may be unset.
    AccountsOfConfig accountsOf;
    /// See ControllerOptions.
    Duration spilloverFrom {};
};

/// A call to a control host and its result.
struct CallRecord {
    ControlCall call;
    HostId host;
    TimePoint at;
    std::optional<CallResult> result;
    TimePoint ended;
};

class ControllerFleet {
public:
    explicit ControllerFleet(ControllerFleetOptions options);
    ~ControllerFleet();

    void run(Duration time);
    /// Runs until `until` holds; false when it does not within `limit`.
    bool runUntil(Duration limit, const std::function<bool()>& until);
    TimePoint now() const { return m_now; }
    /// Runs `action` after `delay`.
    void schedule(Duration delay, std::function<void()> action);

    static HostId control(unsigned i) { return HostId("c" + std::to_string(i)); }
    static HostId entry(unsigned i) { return HostId("e" + std::to_string(i)); }

    /// Seeds of the processes that start from now on, in place of the first control hosts.
    void setSeeds(std::vector<HostId> seeds) { m_seeds = std::move(seeds); }
    /// Starts a control host; a new one gets an empty disk.
    void startControl(const HostId& host, bool mayBootstrap = false);
    void startEntry(const HostId& host, const DataCentreId& dataCentre = DataCentreId("d"),
        const RegionId& region = RegionId("r"));
    /// Kills the process; synced data survives.
    void kill(const HostId& host);
    /// As kill(), but of the writes since the last sync each may be present, missing or torn, or
    /// all are lost.
    void losePower(const HostId& host);
    /// The process of a control host dies in its `operation`-th write from now on, 1 being the next
    /// one; its machine loses power with losePower(), which must follow.
    void stopAtWrite(const HostId& host, unsigned operation, StopPoint point);
    /// Kills the process and replaces its disk by an empty one.
    void wipe(const HostId& host);
    /// Drops messages between the two hosts, or restores the path.
    void cut(const HostId& a, const HostId& b, bool isCut = true);
    /// Adds to the one-way delay between this control host and all other control hosts.
    void delayFrames(const HostId& host, Duration extra) { m_extraDelays[host] = extra; }
    /// A full disk refuses every write. A control host whose log store fails closes it and tries to
    /// reopen it, as the process does.
    void fillDisk(const HostId& host, bool isFull = true);
    /// A control host that refuses takes no new connections of entry hosts; open ones go on.
    void refuseConnections(const HostId& host, bool isRefusing = true);
    /// The address of a host that is gone belongs to something that accepts connections and sends
    /// nothing.
    void acceptSilently(const HostId& host) { m_silent.insert(host); }
    /// Resets the connections between this host and control hosts or entry hosts.
    void resetConnections(const HostId& host) { closeLinksOf(host); }
    /// A frozen host does nothing, its inputs wait, and its connections stay open.
    void freeze(const HostId& host, bool isFrozen = true);

    /// Starts a call at `host`; returns the index for record().
    std::size_t call(const HostId& host, ControlCall call);
    /// Calls the running control hosts in turn until one reports success; false if none does within
    /// `limit`.
    bool callAnywhere(const ControlCall& call, Duration limit = std::chrono::seconds(10));
    const CallRecord& record(std::size_t index) const { return m_calls.at(index); }

    Controller* controller(const HostId& host);
    ControllerClient& client(const HostId& host) { return *m_entries.at(host).client; }
    /// Whether the process runs, frozen or not.
    bool isUp(const HostId& host) const;
    std::optional<HostId> leader();
    /// Placement results that an entry host received, by dispatch; empty if an answer observer is
    /// set.
    const std::map<DispatchId, PlacementResult>& answers(const HostId& host)
    {
        return m_entries.at(host).answers;
    }
    using AnswerObserver = std::function<void(const HostId& entry, const PlacementResult& answer)>;
    void setAnswerObserver(AnswerObserver observer) { m_onAnswer = std::move(observer); }
    /// A dispatch that is answered immediately is answered before this returns.
    DispatchId dispatch(const HostId& entry, PlacementRequest placementRequest);
    void cancel(const HostId& entry, DispatchId dispatch);
    void reportOverdue(const HostId& entry, DispatchId dispatch, Duration elapsed);
    void reportRateLimit(const HostId& entry, DispatchId dispatch, std::optional<double> perSecond,
        Duration sinceSent);
    void end(const HostId& entry, DispatchId dispatch, const PlacementReport& report);
    /// Bytes of frames that control host `host` sent to other control hosts.
    std::uint64_t bytesSent(const HostId& host) { return m_bytes[host]; }
    /// Bytes of frames between control hosts and entry hosts, in both directions.
    std::uint64_t linkBytes() const { return m_linkBytes; }
    /// Number of decisions of `kind` with `reason` that all hosts logged so far.
    /// The same by purpose; Out are frames of entry hosts.
    const FrameMeter& linkMeter() const { return m_linkMeter; }
    /// Number of decisions of `kind` with `reason` that control hosts logged so far.
    std::uint64_t decisions(const std::string& kind, const std::string& reason) const;
    /// All zero if no processor is simulated.
    const EventLoopStats& loopStats(const HostId& host) { return m_controls.at(host).stats; }
    void resetLoopStats();

private:
    /// Input of one event loop turn: a frame, or another action.
    struct Input {
        TimePoint arrived;
        LinkId link;
        std::string frame;
        std::function<void(Controller&, ControllerActions&)> other;
        bool isSlice = false;
    };
    struct ControlHost {
        FakeStorage storage;
        std::unique_ptr<Controller> controller;
        bool frozen = false;
        unsigned identities = 0;
        /// The log store failed, and the host will try to open it again.
        bool reopens = false;
        std::vector<std::function<void()>> deferred;
        // Used only with a simulated processor.
        std::deque<Input> inbox;
        bool inTurn = false;
        ControllerActions pendingActions;
        TimePoint tickDue {};
        bool tickWaits = false;
        bool workWaits = false;
        EventLoopStats stats;
    };
    struct EntryHost {
        std::unique_ptr<ControllerClient> client;
        bool frozen = false;
        std::map<DispatchId, PlacementResult> answers;
        std::vector<std::function<void()>> deferred;
        /// Open connections: the client's link id to the fleet-wide id.
        std::map<LinkId, LinkId> links;
    };
    /// A connection from an entry host to a control host.
    struct Link {
        HostId entry;
        LinkId entryLinkId;
        HostId control;
        bool closedByEntry = false;
    };

    void deliver(const HostId& to, std::function<void()> action);
    bool isCut(const HostId& a, const HostId& b) const;
    void tickAll();
    void frameToController(const HostId& host, LinkId link, const std::string& frame);
    void closeAtController(const HostId& host, LinkId link);
    void enqueue(const HostId& host, Input input);
    static Input takeNext(std::deque<Input>& inbox);
    void startTurn(const HostId& host);
    void endTurn(const HostId& host, unsigned identity);
    void postWork(const HostId& host);
    Duration costOf(const Input& input, const ControllerActions& actions) const;
    void perform(const HostId& host, ControllerActions& actions);
    void perform(const HostId& host, ControllerClientActions& actions);
    static void endProcess(ControlHost& control);
    void reopenLater(const HostId& host);
    void reopen(const HostId& host);
    void closeLinksOf(const HostId& host);
    void openLink(const HostId& entry, LinkId entryLinkId, const HostId& control);
    void sendToControl(LinkId linkId, std::string frame);
    void sendToEntry(LinkId linkId, std::string frame);
    void closeLinkFromEntry(LinkId linkId);
    void closeLink(LinkId linkId);
    template <class Function> void withController(const HostId& host, Function&& function);
    template <class Function> void withClient(const HostId& host, Function&& function);
    std::vector<HostId> seedHosts() const;

    ControllerFleetOptions m_options;
    Random m_random;
    TimePoint m_now { std::chrono::seconds(1000) };
    std::uint64_t m_order = 0;
    std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>> m_events;
    std::map<HostId, ControlHost> m_controls;
    std::map<HostId, EntryHost> m_entries;
    std::set<std::pair<HostId, HostId>> m_cuts;
    std::set<HostId> m_refusing;
    std::set<HostId> m_silent;
    std::map<HostId, Duration> m_extraDelays;
    std::vector<HostId> m_seeds;
    std::map<LinkId, Link> m_links;
    LinkId m_lastLink;
    std::vector<CallRecord> m_calls;
    std::map<HostId, std::uint64_t> m_bytes;
    std::uint64_t m_linkBytes = 0;
    FrameMeter m_linkMeter;
    std::map<std::pair<std::string, std::string>, std::uint64_t> m_decisions;
    AnswerObserver m_onAnswer;
};

/// Creates an instance record as announced by an instance.
InstanceRecord instanceRecord(const std::string& id, const std::string& service, std::uint16_t port,
    std::uint64_t incarnation = 1, std::uint64_t version = 1);

} // namespace laburnum::fakes
