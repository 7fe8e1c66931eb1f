/// Insides of the replicated log. One class whose parts lie in files of their own: dispatch and
/// proposals, election, replication, snapshot transfer, membership.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <set>

#include <laburnumroute/random.h>
#include <laburnumroute/replicated_log.h>

#include "log_messages_pvt.h"

namespace laburnum {

/// Memberships of the log, each in force from its index on.
class MembershipHistory {
public:
    explicit MembershipHistory(const LogStore& store);
    /// The newest one.
    const Membership& current() const { return m_changes.rbegin()->second; }
    LogIndex currentIndex() const { return m_changes.rbegin()->first; }
    /// The one in force at `index`.
    const Membership& at(LogIndex index) const;
    /// Takes up the entries of `store` from `first` on, which were just written.
    void update(const LogStore& store, LogIndex first);
    /// Starts over from the snapshot of `store`.
    void reset(const LogStore& store);

private:
    std::map<LogIndex, Membership> m_changes;
};

/// What a leader knows of one other member.
struct FollowerProgress {
    /// Highest index known to be durable there.
    LogIndex match;
    /// Next index to send.
    LogIndex next;
    /// Requests with entries that were not answered yet.
    unsigned inFlight = 0;
    TimePoint lastHeard;
    /// The leader's time when it sent the newest request that was answered.
    TimePoint confirmed;
    /// When the last entries or chunk left, for resending.
    TimePoint lastSent;
    /// The snapshot under way; nothing while entries suffice.
    std::shared_ptr<const LogSnapshot> sending;
    std::uint64_t offset = 0;
};

/// A snapshot that arrives in chunks.
struct IncomingSnapshot {
    LogIndex index;
    Term lastTerm;
    std::string bytes;
};

/// A host that asked to join.
struct JoiningMember {
    MemberId id;
    bool blank = false;
    std::uint64_t nonce = 0;
    /// It answered a join of this process, and not an earlier one's.
    bool answered = false;
    TimePoint heard;
};

class ReplicatedLog::Impl {
public:
    Impl(ReplicatedLogOptions options, LogStore store, StateMachine& state, TimePoint now);

    void receive(const PeerMessage& message, TimePoint now, Outbox& out);
    void tick(TimePoint now, Outbox& out);
    Expected<LogIndex> propose(LogEntry entry, TimePoint now, Outbox& out);
    Expected<LogIndex> changeMembership(const Membership& membership, TimePoint now, Outbox& out);
    ProposalFate fate(LogIndex index, Term term) const;
    bool holdsLease(TimePoint now) const;
    std::optional<HostId> leaderHost() const;

    const ReplicatedLogOptions options;
    /// Whom to ask for admission besides the members known.
    std::vector<HostId> contacts;
    LogStore store;
    LogRole role = LogRole::Follower;
    LogIndex commit;
    LogIndex applied;
    MembershipHistory memberships;
    std::optional<Error> failure;

private:
    const MemberId& self() const { return store.member(); }
    Term term() const { return store.vote().term; }
    bool isVoter() const { return memberships.current().isVoter(self()); }
    pvt::LogHeader header(const MemberId& target) const { return { term(), self(), target }; }
    /// Stops taking part; returns false, so that callers can return its result.
    bool halt(const Error& error, Outbox& out);
    bool saved(const Expected<void>& result, Outbox& out);
    /// `facts` are added to those that every line of the log has.
    void logDecision(const char* reason, Outbox& out, Json::Value facts = {}) const;
    /// How long ago each other voter was heard, for a leader that is not followed any more.
    Json::Value votersHeard(TimePoint now) const;

    // Election.
    void scheduleElection(TimePoint now);
    void scheduleElection(TimePoint now, Duration least, Duration most);
    void startPreVote(TimePoint now, Outbox& out);
    void logCampaign(TimePoint now, Outbox& out) const;
    /// True when this member began its own pre-vote just now and its log, or else its id, is ahead
    /// of the sender's.
    bool outranks(const pvt::VoteRequest& request, TimePoint now) const;
    void startElection(TimePoint now, Outbox& out);
    void requestVotes(bool preVote, Outbox& out);
    void countVotes(TimePoint now, Outbox& out);
    void onVoteRequest(
        const pvt::VoteRequest& request, const HostId& from, TimePoint now, Outbox& out);
    void onVoteResponse(const pvt::VoteResponse& response, TimePoint now, Outbox& out);
    bool grants(const pvt::VoteRequest& request, TimePoint now) const;
    bool hearsLeader(TimePoint now) const;
    /// Takes up a higher term; `votedFor` may be empty. False when that could not be saved.
    bool enterTerm(Term newTerm, const MemberId& votedFor, Outbox& out);
    void stepDown(const char* reason, TimePoint now, Outbox& out, Json::Value facts = {});
    void becomeLeader(TimePoint now, Outbox& out);
    /// Takes up the term of a request from a leader. False when it is to be ignored.
    bool followLeader(const pvt::LogHeader& from, const HostId& host, TimePoint now, Outbox& out);

    // Replication.
    void onAppendRequest(
        const pvt::AppendRequest& request, const HostId& from, TimePoint now, Outbox& out);
    void onAppendResponse(const pvt::AppendResponse& response, TimePoint now, Outbox& out);
    bool storeEntries(const pvt::AppendRequest& request, Outbox& out);
    LogIndex conflictHint(LogIndex previous) const;
    FollowerProgress* heardFrom(const pvt::LogHeader& from, std::uint64_t sentAt, TimePoint now);
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
    bool seemsAdmitted(TimePoint now) const;
    void found(TimePoint now, Outbox& out);
    bool everyoneIsBlank(TimePoint now) const;
    void admitJoining(TimePoint now, Outbox& out);
    std::optional<Membership> nextMembership(TimePoint now) const;
    std::optional<Membership> membershipWith(const HostId& host, const JoiningMember& join) const;
    std::optional<Membership> membershipForLearner(const Member& learner, TimePoint now) const;
    bool isCaughtUp(const Member& learner, TimePoint now) const;
    std::set<HostId> joinTargets() const;
    void trackFollowers(TimePoint now);

    StateMachine& m_state;
    const TimePoint m_startedAt;
    Random m_random;
    MemberId m_leader;
    HostId m_leaderHost;
    std::optional<TimePoint> m_leaderHeard;
    TimePoint m_electionDue;
    /// Until then no vote is granted: an earlier process may have followed a leader.
    TimePoint m_abstainUntil;
    /// When this member last began a pre-vote.
    TimePoint m_preVoteSince;
    std::set<MemberId> m_votes;
    std::map<MemberId, FollowerProgress> m_followers;
    std::vector<LogEntry> m_proposals;
    /// Last indices of batches that are written and not committed.
    std::deque<LogIndex> m_openBatches;
    TimePoint m_heartbeatDue;
    TimePoint m_leaderSince;
    std::optional<IncomingSnapshot> m_incoming;
    std::uint64_t m_nonce;
    std::map<HostId, JoiningMember> m_joining;
    TimePoint m_joinDue;
};

} // namespace laburnum
