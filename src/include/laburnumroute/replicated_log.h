/// The replicated log (Raft): agrees with the other control hosts on a sequence of commands and
/// applies the committed ones in order to a state machine.
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

/// The state machine to which committed commands are applied. Must be deterministic: the same
/// commands give the same state at every member.
class StateMachine {
public:
    virtual ~StateMachine() = default;
    /// Applies the command committed at `index`. Called once for each command, in order of the
    /// index, except for commands contained in a snapshot that restore() loaded.
    virtual void apply(LogIndex index, std::string_view command) = 0;
    /// Serializes the whole state.
    virtual std::string snapshot() const = 0;
    /// Replaces the state by one serialized by snapshot(), or by the initial state when `bytes` is
    /// empty, as at the start of a member without a snapshot.
    virtual Expected<void> restore(std::string_view bytes) = 0;
};

/// Protocol timing; must be the same at all members. The default margins for clock drift exceed the
/// tenth that holdsLease() assumes.
struct LogTiming {
    /// Maximum time between two messages of the leader to a member.
    Duration heartbeatInterval = std::chrono::milliseconds(100);
    /// A member that heard from a leader within this time grants no vote.
    Duration electionTimeoutMin = std::chrono::milliseconds(500);
    /// A follower starts a pre-vote at a random time between electionTimeoutMin and this after the
    /// last contact with a leader or the last vote granted; a leader that has not heard from a
    /// quorum for this long steps down.
    Duration electionTimeoutMax = std::chrono::milliseconds(1000);
    /// A candidate that was not elected retries at a random time between these two. Short times
    /// resolve a split vote quickly; they must cover several round trips.
    Duration electionRetryMin = electionTimeoutMin;
    Duration electionRetryMax = electionTimeoutMax;
    /// Duration of the leader lease, from the time when the leader sent the request that a voter
    /// acknowledged. At most electionTimeoutMin less the clock drift; at least heartbeatInterval
    /// plus a round trip, or the lease expires between heartbeats. A voter that restarts grants no
    /// vote until a lease that it acknowledged before has ended; see restartVoteDelay().
    Duration leaseDuration = electionTimeoutMin * 8 / 10;

    /// Time after a restart during which a voter grants no vote: the lease plus a quarter for clock
    /// drift.
    Duration restartVoteDelay() const { return leaseDuration * 5 / 4; }
};

/// Which hosts may become members.
enum class Admission {
    /// Only the hosts listed in the options.
    Listed,
    /// Every host that sends a request to join: it becomes a learner, and a voter while there are
    /// fewer than ReplicatedLogOptions::targetVoters. The listed hosts bootstrap the log and get
    /// join requests first.
    Open,
};

/// Start-up settings of a ReplicatedLog.
struct ReplicatedLogOptions {
    HostId host;
    /// With Admission::Listed, all hosts that should be voters, including this one; with
    /// Admission::Open, the initial members.
    std::vector<HostId> controlHosts;
    Admission admission = Admission::Listed;
    /// False prevents this member from bootstrapping a log, so that listed hosts that all lost
    /// their disks do not start a second one.
    bool mayBootstrap = true;
    /// With Admission::Open, the targeted number of voters. A caught-up learner replaces a voter
    /// that does not respond.
    std::size_t targetVoters = 5;
    /// With Admission::Open, a voter that does not respond for this long may be replaced by a
    /// learner. Longer than an election, so that a short pause does not replace a voter.
    Duration voterReplaceTimeout = std::chrono::milliseconds(1500);
    /// With Admission::Open, a learner that does not respond for this long is removed.
    Duration learnerRemoveTimeout = std::chrono::seconds(10);
    /// Seed for randomized timeouts and for the nonce by which this member tells current join
    /// requests of other hosts from those that answer an earlier start; must differ for each start
    /// of a process.
    std::uint64_t seed = 0;
    LogTiming timing;
    /// A snapshot is taken after this many applied entries or this many bytes of commands.
    std::uint64_t snapshotEntries = 4096;
    std::uint64_t snapshotBytes = std::uint64_t { 8 } << 20U;
    /// Entries before a snapshot that are kept, so that slow followers need no snapshot transfer;
    /// limited to half of snapshotBytes.
    std::uint64_t trailingEntries = 256;
};

enum class LogRole { Follower, PreCandidate, Candidate, Leader };

/// The stable lower-case name of `role`, as used in logs.
const char* logRoleName(LogRole role) noexcept;

/// The status of a proposal.
enum class ProposalStatus {
    /// Neither committed nor overwritten yet.
    Pending,
    /// Committed at its index and term.
    Committed,
    /// Another entry was committed at its index; the proposal never takes effect.
    Overwritten,
    /// This member cannot tell: the entry is compacted or not in its log. The proposal may have
    /// taken effect, or may still do so.
    Unknown,
};

/// One member of a Raft group with pre-vote, check-quorum and single-member membership changes.
/// For threading see Participant. Does no I/O except through its LogStore, which blocks.
/// Acknowledges nothing before it is synced. After a failed write the member stops participating;
/// create a new object over a reopened store to continue.
class ReplicatedLog final : public Participant {
public:
    /// Restores `state` from the snapshot in `store`. `state` must outlive the log. Corrupt when
    /// the snapshot cannot be restored.
    static Expected<std::unique_ptr<ReplicatedLog>> create(
        ReplicatedLogOptions options, LogStore store, StateMachine& state, TimePoint now);
    ~ReplicatedLog() override;

    std::vector<std::string> methods() const override;
    void receive(const PeerMessage& message, TimePoint now, Outbox& out) override;
    void tick(TimePoint now, Outbox& out) override;
    Duration tickInterval() const override;

    /// Appends `command`, an arbitrary byte string, if this member is the leader. The index
    /// together with term() identifies the proposal. The message of an Unavailable error names the
    /// leader's host, if known.
    Expected<LogIndex> propose(std::string command, TimePoint now, Outbox& out);
    /// The status of the proposal with `index` in `term`.
    ProposalStatus proposalStatus(LogIndex index, Term term) const;

    /// Replaces the hosts that receive this member's join requests; with Admission::Open the hosts
    /// in the options and the known members still receive them too. Bootstrapping uses the options.
    void setJoinHosts(std::vector<HostId> hosts);

    /// Starts a change to `membership`, which must differ from the current one in exactly one
    /// member. Conflict while another change is in progress. Unavailable when this member is not
    /// the leader.
    Expected<LogIndex> changeMembership(const Membership& membership, TimePoint now, Outbox& out);

    LogRole role() const noexcept;
    Term term() const noexcept;
    /// The leader's host, as far as this member knows.
    std::optional<HostId> leader() const;
    LogIndex commitIndex() const noexcept;
    LogIndex appliedIndex() const noexcept;
    const Membership& membership() const noexcept;
    /// This member's id, stored with the log; it stays the same when the process restarts.
    const MemberId& member() const noexcept;
    const LogStore& store() const noexcept;
    /// True while this member is the leader and no other member can have been elected, so that
    /// reads of the applied state are linearizable. Assumes that the clock rates of two hosts
    /// differ by at most a tenth.
    bool holdsLease(TimePoint now) const;
    /// Why this member stopped participating; empty while it participates.
    const std::optional<Error>& failure() const noexcept;

private:
    class Impl;
    explicit ReplicatedLog(std::unique_ptr<Impl> impl);

    std::unique_ptr<Impl> m_impl;
};

} // namespace laburnum
