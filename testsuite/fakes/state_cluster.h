/// Simulated cluster of control hosts: the real replicated log and configuration service on fake
/// disks and a fake network, with invariants checked after every step.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <laburnumroute/config_service.h>

#include "fakes/fake_network.h"
#include "fakes/fake_storage.h"

namespace laburnum::fakes {

/// Which of the unsynced bytes survive when a host is killed.
enum class CrashKind {
    /// Only the process is killed; the machine keeps running and all bytes stay readable.
    Process,
    /// A random prefix survives.
    Prefix,
    /// Random sectors survive; the others read as zeros.
    Sectors,
};

/// Deliberate faults of the system under test, which the checks must detect.
struct StateMutations {
    /// Disks report successful syncs without making data durable.
    bool ignoresSyncs = false;
    /// A host whose disk was replaced rejoins with its previous member id.
    bool keepsIdentity = false;
    /// The ledger accepts changes regardless of their expected revision.
    bool ignoresExpected = false;
    /// Every vote that arrives is granted.
    bool forgesVotes = false;
};

/// A change submitted by an operator, and its results.
struct SubmittedChange {
    ConfigChange change;
    /// Revision in the first acceptance that was reported to an operator.
    std::optional<Revision> accepted;
    bool refused = false;
    bool unknown = false;
    unsigned answers = 0;
};

/// Internal steps, for tests that inject a fault at one of them.
enum class StateEvent {
    Propose,
    Append,
    Sync,
    Replicate,
    Commit,
    Apply,
    Heartbeat,
    Acknowledge,
    Snapshot,
    Truncate,
    Restart,
    Join,
    MembershipCommit,
};

struct StateClusterOptions {
    unsigned hosts = 3;
    /// With Admission::Open, only the first `listed` hosts are listed, and only a host's first
    /// start may found the log.
    Admission admission = Admission::Listed;
    unsigned listed = 3;
    std::uint64_t seed = 1;
    std::uint64_t snapshotEntries = 16;
    std::uint64_t trailingEntries = 4;
    StateMutations mutations;
    /// Checks at each acknowledgement that a majority holds the change durably. Each check recovers
    /// a copy of every disk.
    bool checksDurability = true;
};

/// Deterministic for its options.
class StateCluster {
public:
    using Observer = std::function<void(StateEvent event, const HostId& host)>;

    explicit StateCluster(StateClusterOptions options);

    /// Opens the host's storage and starts it. If the storage is rejected, the host stays down and
    /// refusal() returns the error.
    void start(const HostId& host);
    /// Kills the host's process.
    void kill(const HostId& host, CrashKind kind = CrashKind::Prefix);
    bool isUp(const HostId& host) const { return m_hosts.at(host).log != nullptr; }
    const std::optional<Error>& refusal(const HostId& host) const;

    /// Submits a change at `host`; its results are collected in submitted() by change id.
    void submit(const HostId& host, const ConfigChange& change);
    /// Drops answers to operators while enabled.
    void dropAnswers(bool drop) { m_dropsAnswers = drop; }

    /// Runs for `time`, or until `until` returns true, and checks the invariants after every step.
    void run(Duration time, const std::function<bool()>& until = {});
    /// Removes all network and disk faults, starts hosts that are down, and waits for the cluster
    /// to converge. Then checks that every host votes and holds the same revision, and that a new
    /// change is accepted.
    void settle();

    std::vector<HostId> hosts() const;
    std::vector<HostId> listedHosts() const;
    /// The running leader with the highest term.
    std::optional<HostId> leader() const;
    ReplicatedLog& log(const HostId& host) { return *m_hosts.at(host).log; }
    ConfigService& service(const HostId& host) { return *m_hosts.at(host).service; }
    FakeStorage& storage(const HostId& host) { return m_hosts.at(host).storage; }
    FakeNetwork& network() { return m_network; }
    Random& random() { return m_random; }
    const std::map<ChangeId, SubmittedChange>& submitted() const { return m_submitted; }
    /// The highest revision whose acceptance was reported to an operator.
    Revision newestAccepted() const;
    /// Violated invariants in the order of detection.
    const std::vector<std::string>& violations() const { return m_violations; }
    void setObserver(Observer observer) { m_observer = std::move(observer); }
    void recordViolation(const std::string& violation);

private:
    class MutatedStateMachine;

    struct Host {
        FakeStorage storage;
        std::unique_ptr<ConfigService> service;
        std::unique_ptr<StateMachine> state;
        std::unique_ptr<ReplicatedLog> log;
        std::optional<Error> refusal;
        unsigned identities = 0;
        LogIndex seenCommit;
        Revision seenRevision;
        LogIndex seenBase;
    };

    struct CommittedEntry {
        Term term;
        std::string command;
    };

    void observe(StateEvent event, const HostId& host);
    bool watchMessage(PeerMessage& message);
    void watchStorage(const HostId& host, std::string_view operation, std::string_view name);
    void restartHalted();
    void check();
    void checkCommitted(const HostId& id, Host& host);
    void checkHistory(const HostId& id, Host& host);
    void checkDurable(const ConfigChange& change);
    void onAnswer(const ChangeId& id, const Expected<Revision>& result);
    bool hasSettled() const;
    bool acceptsChange();

    StateClusterOptions m_options;
    Random m_random;
    FakeNetwork m_network;
    std::map<HostId, Host> m_hosts;
    std::map<ChangeId, SubmittedChange> m_submitted;
    std::map<Term, MemberId> m_leaders;
    std::map<LogIndex, CommittedEntry> m_committed;
    std::vector<std::string> m_violations;
    Observer m_observer;
    bool m_dropsAnswers = false;
};

} // namespace laburnum::fakes
