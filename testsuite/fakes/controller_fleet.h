/// A seeded fleet in memory: control hosts with fake disks, entry hosts, and the connections
/// between them on a paused clock. Deterministic for a seed.
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

#include "fakes/fake_storage.h"

namespace laburnum::fakes {

/// What a control host's loop spends on its work, in virtual time.
struct ProcessorCosts {
    /// Each frame, tick, call and ended connection that is handled.
    Duration turn {};
    /// Each slice of the backlog.
    Duration slice {};
    /// Besides, each message of the replicated log.
    Duration logMessage {};
    Duration frameSent {};
    Duration kibibyteSent {};
    /// Each instance that the scheduler weighed.
    Duration weighing {};
    /// Each sync of the disk, for which the loop waits.
    Duration sync {};
};

/// What a control host's loop did since resetLoops().
struct LoopFigures {
    Duration busy {};
    Duration longestTurn {};
    /// The longest time that an input waited for its turn.
    Duration longestWait {};
    std::uint64_t turns = 0;
};

struct ControllerFleetOptions {
    /// Control hosts c1, c2, ...; the first `seeds` are what every process is told.
    unsigned controls = 5;
    unsigned seeds = 3;
    /// Entry hosts e1, e2, ...
    unsigned entries = 4;
    std::uint64_t seed = 1;
    /// One way between any two hosts.
    Duration delay = std::chrono::milliseconds(10);
    /// Without it, the work of control hosts takes no time.
    std::optional<ProcessorCosts> processor;
};

/// A call at a control host and its end.
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
    /// Does `action` after `delay`.
    void later(Duration delay, std::function<void()> action);

    static HostId control(unsigned i) { return HostId("c" + std::to_string(i)); }
    static HostId entry(unsigned i) { return HostId("e" + std::to_string(i)); }

    /// Starts a control host; one that is not known yet gets an empty disk.
    void startControl(const HostId& host, bool mayBootstrap = false);
    void startEntry(const HostId& host, const DataCentreId& dataCentre = DataCentreId("d"),
        const RegionId& region = RegionId("r"));
    /// The process dies; what was synced stays.
    void kill(const HostId& host);
    /// The process dies and its disk is replaced by an empty one.
    void wipe(const HostId& host);
    /// Messages between the two are lost, or pass again.
    void cut(const HostId& a, const HostId& b, bool isCut = true);
    /// A frozen host does nothing; what arrives waits. Its connections stay open.
    void freeze(const HostId& host, bool isFrozen = true);

    /// Starts a call at `host`; the index names it.
    std::size_t call(const HostId& host, ControlCall call);
    /// Calls at one running host after the other until one is certain; false when none is.
    bool callAnywhere(const ControlCall& call, Duration limit = std::chrono::seconds(10));
    const CallRecord& record(std::size_t index) const { return m_calls.at(index); }

    Controller* controller(const HostId& host);
    ControllerClient& client(const HostId& host) { return *m_entries.at(host).client; }
    std::optional<HostId> leader();
    /// Answers that an entry host got, by dispatch; none while an observer takes them.
    const std::map<DispatchId, PlacementResult>& answers(const HostId& host)
    {
        return m_entries.at(host).answers;
    }
    using AnswerObserver = std::function<void(const HostId& entry, const PlacementResult& answer)>;
    void setAnswerObserver(AnswerObserver observer) { m_onAnswer = std::move(observer); }
    /// An dispatch that is answered at once is answered before this returns.
    DispatchId dispatch(const HostId& entry, PlacementRequest demand);
    void end(const HostId& entry, DispatchId dispatch, const PlacementReport& report);
    /// Bytes that `host` sent to other hosts.
    std::uint64_t bytesSent(const HostId& host) { return m_bytes[host]; }
    /// Bytes of frames between control hosts and entry hosts, both ways.
    std::uint64_t linkBytes() const { return m_linkBytes; }
    /// Decisions of control hosts of `kind` and `reason` so far.
    std::uint64_t decisions(const std::string& kind, const std::string& reason) const;
    /// Zero without a processor.
    const LoopFigures& loop(const HostId& host) { return m_controls.at(host).figures; }
    void resetLoops();

private:
    /// What a control host's loop handles in one turn: a frame, or something else.
    struct Input {
        TimePoint arrived;
        LinkId link;
        std::string frame;
        std::function<void(Controller&, ControllerActions&)> other;
        bool isSlice = false;
    };
    struct Control {
        FakeStorage storage;
        std::unique_ptr<Controller> controller;
        bool frozen = false;
        unsigned identities = 0;
        std::vector<std::function<void()>> held;
        // With a processor only.
        std::deque<Input> inbox;
        bool inTurn = false;
        ControllerActions leaving;
        TimePoint tickDue {};
        bool tickWaits = false;
        bool workWaits = false;
        LoopFigures figures;
    };
    struct Entry {
        std::unique_ptr<ControllerClient> client;
        bool frozen = false;
        std::map<DispatchId, PlacementResult> answers;
        std::vector<std::function<void()>> held;
        /// Its open connections.
        std::map<LinkId, LinkId> links;
    };
    /// A connection of an entry host, known to both sides by the same number.
    struct Link {
        HostId entry;
        LinkId atEntry;
        HostId control;
        bool broken = false;
    };

    void deliver(const HostId& to, std::function<void()> action);
    bool isCut(const HostId& a, const HostId& b) const;
    bool isUp(const HostId& host) const;
    void tickAll();
    void frameToController(const HostId& host, LinkId link, const std::string& frame);
    void closeAtController(const HostId& host, LinkId link);
    void enqueue(const HostId& host, Input input);
    static Input takeNext(std::deque<Input>& inbox);
    void startTurn(const HostId& host);
    void endTurn(const HostId& host, unsigned identity);
    void postWork(const HostId& host);
    Duration costOf(const Input& input, const ControllerActions& actions) const;
    void carry(const HostId& host, ControllerActions& actions);
    void carry(const HostId& host, ControllerClientActions& actions);
    void openLink(const HostId& entry, LinkId atEntry, const HostId& control);
    void sendToControl(LinkId global, std::string frame);
    void sendToEntry(LinkId global, std::string frame);
    void breakLink(LinkId global);
    void closeLink(LinkId global);
    template <class Function> void withController(const HostId& host, Function&& function);
    template <class Function> void withClient(const HostId& host, Function&& function);
    std::vector<HostId> seedHosts() const;

    ControllerFleetOptions m_options;
    Random m_random;
    TimePoint m_now { std::chrono::seconds(1000) };
    std::uint64_t m_order = 0;
    std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>> m_events;
    std::map<HostId, Control> m_controls;
    std::map<HostId, Entry> m_entries;
    std::set<std::pair<HostId, HostId>> m_cuts;
    std::map<LinkId, Link> m_links;
    LinkId m_lastLink;
    std::vector<CallRecord> m_calls;
    std::map<HostId, std::uint64_t> m_bytes;
    std::uint64_t m_linkBytes = 0;
    std::map<std::pair<std::string, std::string>, std::uint64_t> m_decisions;
    AnswerObserver m_onAnswer;
};

/// An instance record as an announcement gives it.
InstanceRecord instanceRecord(const std::string& id, const std::string& service, std::uint16_t port,
    std::uint64_t incarnation = 1, std::uint64_t version = 1);

} // namespace laburnum::fakes
