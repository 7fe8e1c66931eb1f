/// The replicated log: agrees with the other control hosts on a sequence of commands and applies
/// the committed ones, in order, to a state machine.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <laburnumroute/log_store.h>
#include <laburnumroute/membership.h>
#include <laburnumroute/participant.h>

namespace laburnum {

/// What committed commands are applied to. Deterministic: the same commands give the same state at
/// every member.
class StateMachine {
public:
    virtual ~StateMachine() = default;
    /// Applies the command committed at `index`. Called once for each index, in order, unless
    /// restore() skips over some.
    virtual void apply(LogIndex index, std::string_view command) = 0;
    /// The whole state as bytes.
    virtual std::string snapshot() const = 0;
    /// Replaces the state by what snapshot() gave, or by the initial state when `bytes` is empty.
    virtual Expected<void> restore(std::string_view bytes) = 0;
};

/// Intervals of the protocol. All members use the same.
struct LogTiming {
    /// A leader sends at least this often.
    Duration heartbeat = std::chrono::milliseconds(100);
    /// A follower that heard from a leader more recently refuses to vote.
    Duration electionMin = std::chrono::milliseconds(500);
    /// A follower campaigns at a random time between electionMin and this after the last contact;
    /// a leader that has not heard from a majority for this long steps down.
    Duration electionMax = std::chrono::milliseconds(1000);
    /// A candidate that was not elected tries again at a random time between these two. Short ones
    /// mend a split vote soon; several round trips at the least.
    Duration retryMin = electionMin;
    Duration retryMax = electionMax;
    /// A leader counts on a voter's answer for so long after it sent what was answered. At most
    /// electionMin less the drift of clocks; at least heartbeat and a round trip, or it lapses
    /// between heartbeats. A voter that restarts votes for nobody until such a lease has ended.
    Duration lease = electionMin * 8 / 10;

    /// How long a voter that restarts votes for nobody: a lease, and a quarter for the drift.
    Duration abstention() const { return lease * 5 / 4; }
};

/// Who becomes a member.
enum class Admission {
    /// The hosts that the options list, and no others.
    Listed,
    /// Every host that asks: it learns, and votes while voters are wanted. The listed hosts found
    /// the
    /// log and are asked first.
    Open,
};

/// Everything that a ReplicatedLog is told at its start.
struct ReplicatedLogOptions {
    HostId host;
    /// Listed: all hosts that should hold a voting copy, this one included. Open: the founders.
    std::vector<HostId> controlHosts;
    Admission admission = Admission::Listed;
    /// False keeps this member from founding a log, whatever it hears of the others.
    bool mayBootstrap = true;
    /// Open: voters wanted. A caught-up learner takes the place of a voter that fell silent.
    std::size_t voters = 5;
    /// Open: a voter that was not heard for so long may lose its place to a learner. Longer than an
    /// election, so that a voter is not replaced for a pause.
    Duration replaceAfter = std::chrono::milliseconds(1500);
    /// Open: a learner that was not heard for so long is no member any more.
    Duration forgetLearnerAfter = std::chrono::seconds(10);
    /// Differs with every start of a process.
    std::uint64_t seed = 0;
    LogTiming timing;
    /// A snapshot is taken after this many applied entries, or this many bytes of commands.
    std::uint64_t snapshotEntries = 4096;
    std::uint64_t snapshotBytes = std::uint64_t { 8 } << 20U;
    /// Entries kept behind a snapshot, so that slow followers need no snapshot; their bytes are
    /// bounded by half of snapshotBytes.
    std::uint64_t trailingEntries = 256;
};

enum class LogRole { Follower, PreCandidate, Candidate, Leader };

/// The stable lower-case name of `role`.
const char* logRoleName(LogRole role) noexcept;

/// What became of a proposal.
enum class ProposalFate {
    /// Not decided yet.
    Pending,
    /// Committed at its index and term.
    Committed,
    /// Another entry was committed at its index: the proposal never takes effect.
    Lost,
    /// This member cannot tell.
    Unknown,
};

/// One member. Raft with pre-vote, check quorum and membership changes one at a time. No I/O but
/// through its LogStore, which blocks. Acknowledges nothing before it is synced. After a failed
/// write it takes no further part until a new object is made over a newly opened store.
class ReplicatedLog final : public Participant {
public:
    /// Restores `state` from the store's snapshot. `state` must outlive the log. Corrupt when the
    /// snapshot cannot be restored.
    static Expected<std::unique_ptr<ReplicatedLog>> create(
        ReplicatedLogOptions options, LogStore store, StateMachine& state, TimePoint now);
    ~ReplicatedLog() override;

    std::vector<std::string> methods() const override;
    void receive(const PeerMessage& message, TimePoint now, Outbox& out) override;
    void tick(TimePoint now, Outbox& out) override;
    Duration tickInterval() const override;

    /// Appends `command`, any bytes, if this member leads. The index together with term() names
    /// the proposal. Unavailable names the leader's host when another one leads.
    Expected<LogIndex> propose(std::string command, TimePoint now, Outbox& out);
    /// What became of the proposal with `index` in `term`.
    ProposalFate fate(LogIndex index, Term term) const;

    /// Open: replaces the hosts that this member turns to while it is not admitted. Founding still
    /// goes by the options.
    void setContacts(std::vector<HostId> hosts);

    /// Starts a change to `membership`, which differs from the one in force by one member.
    /// Conflict while another change is under way. Unavailable when not leading.
    Expected<LogIndex> changeMembership(const Membership& membership, TimePoint now, Outbox& out);

    LogRole role() const noexcept;
    Term term() const noexcept;
    /// The leader's host to the best of this member's knowledge.
    std::optional<HostId> leader() const;
    LogIndex commitIndex() const noexcept;
    LogIndex appliedIndex() const noexcept;
    const Membership& membership() const noexcept;
    const MemberId& member() const noexcept;
    const LogStore& store() const noexcept;
    /// True while no other member can have been elected, so that a read of the applied state is
    /// current. Assumes that clocks of two hosts run at rates within a tenth of each other.
    bool holdsLease(TimePoint now) const;
    /// Why this member takes no further part; nothing while it does.
    const std::optional<Error>& failure() const noexcept;

private:
    class Impl;
    explicit ReplicatedLog(std::unique_ptr<Impl> impl);

    std::unique_ptr<Impl> m_impl;
};

} // namespace laburnum
