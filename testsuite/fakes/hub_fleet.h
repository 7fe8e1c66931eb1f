/// A seeded fleet in memory: control hosts with fake disks, entry hosts, and the connections
/// between them on a paused clock. Deterministic for a seed.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <laburnumroute/hub.h>
#include <laburnumroute/hub_client.h>

#include "fakes/fake_storage.h"

namespace laburnum::fakes {

struct HubFleetOptions {
    /// Control hosts c1, c2, ...; the first `seeds` are what every process is told.
    unsigned controls = 5;
    unsigned seeds = 3;
    /// Entry hosts e1, e2, ...
    unsigned entries = 4;
    std::uint64_t seed = 1;
    /// One way between any two hosts.
    Duration delay = std::chrono::milliseconds(10);
};

/// A call at a control host and its end.
struct CallRecord {
    FleetCall call;
    HostId host;
    TimePoint at;
    std::optional<CallResult> result;
    TimePoint ended;
};

class HubFleet {
public:
    explicit HubFleet(HubFleetOptions options);
    ~HubFleet();

    void run(Duration time);
    /// Runs until `until` holds; false when it does not within `limit`.
    bool runUntil(Duration limit, const std::function<bool()>& until);
    TimePoint now() const { return m_now; }

    static HostId control(unsigned i) { return HostId("c" + std::to_string(i)); }
    static HostId entry(unsigned i) { return HostId("e" + std::to_string(i)); }

    /// Starts a control host; one that is not known yet gets an empty disk.
    void startControl(const HostId& host, bool mayFound = false);
    void startEntry(const HostId& host);
    /// The process dies; what was synced stays.
    void kill(const HostId& host);
    /// The process dies and its disk is replaced by an empty one.
    void wipe(const HostId& host);
    /// Messages between the two are lost, or pass again.
    void cut(const HostId& a, const HostId& b, bool isCut = true);
    /// A frozen host does nothing; what arrives waits.
    void freeze(const HostId& host, bool isFrozen = true);

    /// Starts a call at `host`; the index names it.
    std::size_t call(const HostId& host, FleetCall call);
    /// Calls at one running host after the other until one is certain; false when none is.
    bool callAnywhere(const FleetCall& call, Duration limit = std::chrono::seconds(10));
    const CallRecord& record(std::size_t index) const { return m_calls.at(index); }

    Hub* hub(const HostId& host);
    HubClient& client(const HostId& host) { return *m_entries.at(host).client; }
    std::optional<HostId> leader();
    /// Answers that an entry host got, by ask.
    const std::map<AskId, PlaceAnswer>& answers(const HostId& host)
    {
        return m_entries.at(host).answers;
    }
    AskId ask(const HostId& entry, PlaceDemand demand);
    void end(const HostId& entry, AskId ask, const PlacedReport& report);
    /// Bytes that `host` sent to other hosts.
    std::uint64_t bytesSent(const HostId& host) { return m_bytes[host]; }

private:
    struct Control {
        FakeStorage storage;
        std::unique_ptr<Hub> hub;
        bool frozen = false;
        unsigned identities = 0;
        std::vector<std::function<void()>> held;
    };
    struct Entry {
        std::unique_ptr<HubClient> client;
        bool frozen = false;
        std::map<AskId, PlaceAnswer> answers;
        std::vector<std::function<void()>> held;
    };
    /// A connection of an entry host, known to both sides by the same number.
    struct Link {
        HostId entry;
        LinkId atEntry;
        HostId control;
        bool broken = false;
    };

    void later(Duration delay, std::function<void()> action);
    void deliver(const HostId& to, std::function<void()> action);
    bool isCut(const HostId& a, const HostId& b) const;
    bool isUp(const HostId& host) const;
    void carry(const HostId& host, HubActions& actions);
    void carry(const HostId& host, HubClientActions& actions);
    void openLink(const HostId& entry, LinkId atEntry, const HostId& control);
    void sendToControl(LinkId global, std::string frame);
    void sendToEntry(LinkId global, std::string frame);
    void breakLink(LinkId global);
    void closeLink(LinkId global);
    template <class Function> void withHub(const HostId& host, Function&& function);
    template <class Function> void withClient(const HostId& host, Function&& function);
    std::vector<HostId> seedHosts() const;

    HubFleetOptions m_options;
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
};

/// An instance record as an announcement gives it.
InstanceRecord instanceRecord(const std::string& id, const std::string& service, std::uint16_t port,
    std::uint64_t incarnation = 1, std::uint64_t version = 1);

} // namespace laburnum::fakes
