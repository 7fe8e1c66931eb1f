/// Control hosts in memory: fake disks and network, the real log and configuration service, and
/// the promises checked after every step.
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

/// What of the unsynced bytes survives when a host dies.
enum class CrashKind {
    /// The process dies, the machine does not: all bytes stay readable.
    Process,
    /// A random prefix.
    Prefix,
    /// Random sectors; the rest reads as zero.
    Sectors,
};

/// Deliberate faults of the system under test, which the checks must find.
struct StateMutations {
    /// Disks report syncs that they did not do.
    bool syncLies = false;
    /// A host whose disk was emptied comes back with its old identity.
    bool keepsIdentity = false;
    /// The ledger accepts changes whatever revision they expect.
    bool ignoresExpected = false;
    /// Every vote that arrives says yes.
    bool forgesVotes = false;
};

/// One submission by an operator and what came back.
struct SubmittedChange {
    ConfigChange change;
    /// First accepted revision that an operator was told.
    std::optional<Revision> accepted;
    bool refused = false;
    bool unknown = false;
    unsigned answers = 0;
};

/// What happens inside, for tests that inject a fault at a certain step.
enum class StateEvent {
    Propose,
    Append,
    Sync,
    Replicate,
    Commit,
    Apply,
    Spread,
    Acknowledge,
    Snapshot,
    Truncate,
    Restart,
    Join,
    Replace,
};

struct StateClusterOptions {
    unsigned hosts = 3;
    std::uint64_t seed = 1;
    std::uint64_t snapshotEntries = 16;
    std::uint64_t trailingEntries = 4;
    StateMutations mutations;
    /// Checks at each acknowledgement that a majority holds the change durably; costs a recovery
    /// of every disk.
    bool checksDurability = true;
};

/// Deterministic for its options.
class StateCluster {
public:
    using Observer = std::function<void(StateEvent event, const HostId& host)>;

    explicit StateCluster(StateClusterOptions options);

    /// Opens the host's folder and runs it. When the folder is refused the host stays down and
    /// refusal() tells why.
    void start(const HostId& host);
    /// Ends the host's process.
    void kill(const HostId& host, CrashKind kind = CrashKind::Prefix);
    bool isUp(const HostId& host) const { return m_hosts.at(host).log != nullptr; }
    const std::optional<Error>& refusal(const HostId& host) const;

    /// Submits at `host`; the answers are gathered under the change's id.
    void submit(const HostId& host, const ConfigChange& change);
    /// Answers are lost on their way to the operator while this is on.
    void loseAnswers(bool lose) { m_losesAnswers = lose; }

    /// Runs for `time`, checking after every step. Stops early once `until` is true.
    void run(Duration time, const std::function<bool()>& until = {});
    /// Mends network and disks, starts what is down, and lets everything settle. Then checks that
    /// every host votes, holds the same revision, and that a new change is accepted.
    void settle();

    std::vector<HostId> hosts() const;
    /// A host that leads now.
    std::optional<HostId> leader() const;
    ReplicatedLog& log(const HostId& host) { return *m_hosts.at(host).log; }
    ConfigService& service(const HostId& host) { return *m_hosts.at(host).service; }
    FakeStorage& storage(const HostId& host) { return m_hosts.at(host).storage; }
    FakeNetwork& network() { return m_network; }
    Random& random() { return m_random; }
    const std::map<ChangeId, SubmittedChange>& submitted() const { return m_submitted; }
    /// The newest revision that an operator was told.
    Revision newestAccepted() const;
    /// Broken promises, in the order found; empty while all hold.
    const std::vector<std::string>& violations() const { return m_violations; }
    void setObserver(Observer observer) { m_observer = std::move(observer); }
    void recordViolation(const std::string& violation);

private:
    class Applied;

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
    bool m_losesAnswers = false;
};

} // namespace laburnum::fakes
