/// Implementation of the replicated log: one class, split over several source files for message
/// dispatch and proposals, election, replication, snapshot transfer and membership.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <set>

#include <laburnumroute/random.h>
#include <laburnumroute/replicated_log.h>

#include "log_messages_pvt.h"

namespace laburnum {

/// The memberships in the log, each in effect from its index on.
class MembershipHistory {
public:
    explicit MembershipHistory(const LogStore& store);
    /// The newest membership.
    const Membership& current() const { return m_changes.rbegin()->second; }
    LogIndex currentIndex() const { return m_changes.rbegin()->first; }
    /// The membership in effect at `index`.
    const Membership& at(LogIndex index) const;
    /// Reads the newly written entries of `store` from `first` on.
    void update(const LogStore& store, LogIndex first);
    /// Reloads the memberships from the snapshot and the entries of `store`.
    void reset(const LogStore& store);

private:
    std::map<LogIndex, Membership> m_changes;
};

/// The leader's replication state for one other member.
struct FollowerProgress {
    /// Highest index known to be durable at the member.
    LogIndex matchIndex;
    /// Next index to send.
    LogIndex nextIndex;
    /// Unacknowledged requests with entries.
    unsigned inFlight = 0;
    TimePoint lastContact;
    /// The leader's time when it sent the newest acknowledged request.
    TimePoint lastConfirmed;
    /// When the last entries or chunk were sent; decides when to resend.
    TimePoint lastSent;
    /// The snapshot being transferred; null while entries suffice.
    std::shared_ptr<const LogSnapshot> snapshot;
    std::uint64_t offset = 0;
};

/// A snapshot being received in chunks.
struct IncomingSnapshot {
    LogIndex index;
    Term lastTerm;
    std::string bytes;
};

/// Validity of a join request.
constexpr auto joinTimeout = std::chrono::milliseconds(1000);

/// A host that sent a join request.
struct JoinCandidate {
    MemberId id;
    bool hasEmptyLog = false;
    std::uint64_t nonce = 0;
    /// It echoed the nonce of this process, not of an earlier one.
    bool answered = false;
    TimePoint lastJoin;
};

/// This host's attempts to found the log.
struct Founding {
    /// Unset while too few of the listed hosts are known to have empty logs.
    std::optional<TimePoint> nextAttempt;
    /// All listed hosts were known to have empty logs when `nextAttempt` was set.
    bool wasComplete = false;
    /// The latest request for votes.
    std::optional<TimePoint> asked;
    Term term;
    /// Hosts that voted in `term`.
    std::map<HostId, MemberId> votes;
};

class ReplicatedLog::Impl {
public:
    Impl(ReplicatedLogOptions options, LogStore store, StateMachine& state, TimePoint now);

    void receive(const PeerMessage& message, TimePoint now, Outbox& out);
    void tick(TimePoint now, Outbox& out);
    Expected<LogIndex> propose(LogEntry entry, TimePoint now, Outbox& out);
    Expected<LogIndex> changeMembership(const Membership& membership, TimePoint now, Outbox& out);
    ProposalStatus proposalStatus(LogIndex index, Term term) const;
    bool holdsLease(TimePoint now) const;
    std::optional<HostId> leaderHost() const;

    const ReplicatedLogOptions options;
    /// Hosts that receive join requests, in addition to the known members.
    std::vector<HostId> joinHosts;
    LogStore store;
    LogRole role = LogRole::Follower;
    LogIndex commitIndex;
    LogIndex appliedIndex;
    MembershipHistory memberships;
    std::optional<Error> failure;

private:
    const MemberId& self() const { return store.member(); }
    Term term() const { return store.vote().term; }
    bool isVoter() const { return memberships.current().isVoter(self()); }
    pvt::LogHeader header(const MemberId& target) const { return { term(), self(), target }; }
    /// Stops participating. Returns false, so that callers can return the result.
    bool halt(const Error& error, Outbox& out);
    bool checkSaved(const Expected<void>& result, Outbox& out);
    /// Logs a decision with `facts` in addition to the common fields.
    void logDecision(const char* reason, Outbox& out, Json::Value facts = {}) const;
    /// Milliseconds since the last contact with each other voter, for a leader that lost its
    /// quorum.
    Json::Value voterContactAges(TimePoint now) const;

    // Election.
    /// Factor for the times of an election.
    unsigned electionPatience() const;
    void scheduleElection(TimePoint now);
    void scheduleElection(TimePoint now, Duration least, Duration most);
    void startPreVote(TimePoint now, Outbox& out);
    void logElectionStart(TimePoint now, Outbox& out) const;
    /// True when this member started its own pre-vote recently and has a more up-to-date log than
    /// the sender, or an equal log and a higher member id.
    bool outranks(const pvt::VoteRequest& request, TimePoint now) const;
    void startElection(TimePoint now, Outbox& out);
    void requestVotes(bool preVote, Outbox& out);
    void countVotes(TimePoint now, Outbox& out);
    void onVoteRequest(
        const pvt::VoteRequest& request, const HostId& from, TimePoint now, Outbox& out);
    void onVoteResponse(const pvt::VoteResponse& response, TimePoint now, Outbox& out);
    bool grants(const pvt::VoteRequest& request, TimePoint now) const;
    bool hasRecentLeader(TimePoint now) const;
    /// Enters a higher term; `votedFor` may be empty. False when it could not be saved.
    bool enterTerm(Term newTerm, const MemberId& votedFor, Outbox& out);
    void stepDown(const char* reason, TimePoint now, Outbox& out, Json::Value facts = {});
    void becomeLeader(TimePoint now, Outbox& out);
    /// Follows the leader that sent a request. False when the request is to be ignored.
    bool followLeader(const pvt::LogHeader& from, const HostId& host, TimePoint now, Outbox& out);

    // Replication.
    void onAppendRequest(
        const pvt::AppendRequest& request, const HostId& from, TimePoint now, Outbox& out);
    void onAppendResponse(const pvt::AppendResponse& response, TimePoint now, Outbox& out);
    bool storeEntries(const pvt::AppendRequest& request, Outbox& out);
    LogIndex conflictHint(LogIndex previous) const;
    FollowerProgress* recordContact(
        const pvt::LogHeader& from, std::uint64_t sentAt, TimePoint now);
    bool flushProposals(TimePoint now, Outbox& out);
    void sendTo(const Member& member, bool heartbeat, TimePoint now, Outbox& out);
    void sendProbe(const Member& member, FollowerProgress& progress, TimePoint now, Outbox& out);
    bool sendEntries(const Member& member, FollowerProgress& progress, TimePoint now, Outbox& out);
    pvt::AppendRequest appendRequest(
        const Member& member, const FollowerProgress& progress, TimePoint now) const;
    void broadcast(bool heartbeat, TimePoint now, Outbox& out);
    void advanceCommit(TimePoint now, Outbox& out);
    void commitTo(LogIndex index, TimePoint now, Outbox& out);
    void applyCommitted(Outbox& out);
    void maybeSnapshot(Outbox& out);
    std::size_t votersSince(TimePoint FollowerProgress::*instant, TimePoint since) const;
    void tickLeader(TimePoint now, Outbox& out);

    // Snapshot transfer.
    void sendChunk(const Member& member, FollowerProgress& progress, TimePoint now, Outbox& out);
    void onChunkRequest(
        const pvt::ChunkRequest& request, const HostId& from, TimePoint now, Outbox& out);
    void onChunkResponse(const pvt::ChunkResponse& response, TimePoint now, Outbox& out);
    std::uint64_t takeChunk(const pvt::ChunkRequest& request);
    bool install(const pvt::ChunkRequest& request, Outbox& out);

    // Membership.
    void onJoin(const pvt::JoinRequest& request, const HostId& from, TimePoint now, Outbox& out);
    void tickJoin(TimePoint now, Outbox& out);
    bool isLikelyMember(TimePoint now) const;
    void processJoins(TimePoint now, Outbox& out);
    std::optional<Membership> nextMembership(TimePoint now) const;
    std::optional<Membership> membershipForJoin(
        const HostId& host, const JoinCandidate& candidate) const;
    std::optional<Membership> membershipForLearner(const Member& learner, TimePoint now) const;
    bool isCaughtUp(const Member& learner, TimePoint now) const;
    std::set<HostId> joinTargets() const;
    void trackFollowers(TimePoint now);

    // Founding of a new log.
    const std::vector<HostId>& listedHosts() const;
    bool isListed(const HostId& host) const;
    std::size_t foundingQuorum() const;
    bool mayFound() const;
    std::optional<std::vector<HostId>> emptyListedHosts(TimePoint now) const;
    void tickFounding(TimePoint now, Outbox& out);
    void askForFounding(const std::vector<HostId>& hosts, TimePoint now, Outbox& out);
    void onFoundingRequest(const pvt::FoundingRequest& request, const HostId& from, Outbox& out);
    void onFoundingVote(
        const pvt::FoundingVote& vote, const HostId& from, TimePoint now, Outbox& out);
    void countFoundingVotes(std::size_t needed, TimePoint now, Outbox& out);

    StateMachine& m_state;
    const TimePoint m_startedAt;
    Random m_random;
    MemberId m_leader;
    HostId m_leaderHost;
    std::optional<TimePoint> m_lastLeaderContact;
    /// Latest term in which this host started, led, or had contact with a leader.
    Term m_leaderTerm;
    TimePoint m_electionDeadline;
    /// Until then no vote is granted: an earlier process may have acknowledged a leader's lease.
    TimePoint m_noVoteUntil;
    /// When this member last started a pre-vote.
    TimePoint m_preVoteStarted;
    std::set<MemberId> m_votes;
    std::map<MemberId, FollowerProgress> m_followers;
    std::vector<LogEntry> m_proposals;
    /// Last indices of the batches that are written but not committed.
    std::deque<LogIndex> m_uncommittedBatches;
    TimePoint m_nextHeartbeat;
    TimePoint m_electedAt;
    std::optional<IncomingSnapshot> m_incoming;
    std::uint64_t m_nonce;
    std::map<HostId, JoinCandidate> m_joinCandidates;
    TimePoint m_nextJoin;
    Founding m_founding;
};

} // namespace laburnum
