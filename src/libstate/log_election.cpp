// Leader election: pre-vote, votes, terms, stepping down.

#include <algorithm>
#include <tuple>

#include "replicated_log_pvt.h"

namespace laburnum {

using namespace pvt;

namespace {

    /// Terms without a leader for which the times of an election stay as they are, so that a split
    /// vote is resolved quickly, and for how many more they double.
    constexpr std::uint64_t quickElections = 2;
    constexpr std::uint64_t maxDoublings = 4;

} // namespace

/// All voters sync their votes before they answer. On disks that are slower than the usual times
/// allow for, each candidate would be given up before its votes arrive; so each host waits longer
/// the more terms have passed without a leader.
unsigned ReplicatedLog::Impl::electionPatience() const
{
    const std::uint64_t terms = term().value() - m_leaderTerm.value();
    return 1U << std::min(terms - std::min(terms, quickElections), maxDoublings);
}

void ReplicatedLog::Impl::scheduleElection(TimePoint now)
{
    scheduleElection(now, options.timing.electionTimeoutMin, options.timing.electionTimeoutMax);
}

void ReplicatedLog::Impl::scheduleElection(TimePoint now, Duration least, Duration most)
{
    const Duration drawn = least
        + Duration(uniformBelow(m_random, static_cast<std::uint64_t>((most - least).count()) + 1));
    m_electionDeadline = now + drawn * electionPatience();
}

bool ReplicatedLog::Impl::hasRecentLeader(TimePoint now) const
{
    return role == LogRole::Leader
        || (m_lastLeaderContact && now - *m_lastLeaderContact < options.timing.electionTimeoutMin);
}

void ReplicatedLog::Impl::logElectionStart(TimePoint now, Outbox& out) const
{
    Json::Value facts(Json::objectValue);
    facts["leader"] = m_leader.value().empty() ? "" : m_leaderHost.value();
    if (m_lastLeaderContact)
        facts["heard_ms_ago"] = Json::Int64(toMillis(now - *m_lastLeaderContact));
    facts["overdue_ms"] = Json::Int64(toMillis(now - m_electionDeadline));
    logDecision("campaign", out, std::move(facts));
}

void ReplicatedLog::Impl::startPreVote(TimePoint now, Outbox& out)
{
    if (role == LogRole::Candidate)
        logDecision("not-elected", out);
    else if (role == LogRole::Follower)
        logElectionStart(now, out);
    role = LogRole::PreCandidate;
    m_preVoteStarted = now;
    m_leader = MemberId();
    scheduleElection(now, options.timing.electionRetryMin, options.timing.electionRetryMax);
    m_votes = { self() };
    requestVotes(true, out);
    countVotes(now, out);
}

void ReplicatedLog::Impl::startElection(TimePoint now, Outbox& out)
{
    if (!enterTerm(next(term()), self(), out))
        return;
    role = LogRole::Candidate;
    scheduleElection(now, options.timing.electionRetryMin, options.timing.electionRetryMax);
    m_votes = { self() };
    requestVotes(false, out);
    countVotes(now, out);
}

void ReplicatedLog::Impl::requestVotes(bool preVote, Outbox& out)
{
    for (const Member& member : memberships.current().members()) {
        if (!member.voter || member.id == self())
            continue;
        VoteRequest request { header(member.id), preVote, store.lastIndex(), store.lastTerm() };
        if (preVote)
            request.header.term = next(term());
        out.send(member.host, methodVote, encode(request));
    }
}

void ReplicatedLog::Impl::countVotes(TimePoint now, Outbox& out)
{
    std::size_t votes = 0;
    for (const MemberId& id : m_votes)
        votes += memberships.current().isVoter(id) ? 1 : 0;
    if (votes < memberships.current().quorum())
        return;
    if (role == LogRole::PreCandidate)
        startElection(now, out);
    else
        becomeLeader(now, out);
}

bool ReplicatedLog::Impl::outranks(const VoteRequest& request, TimePoint now) const
{
    if (role != LogRole::PreCandidate || now - m_preVoteStarted >= options.timing.electionRetryMin)
        return false;
    const auto own = std::tuple(store.lastTerm(), store.lastIndex(), self());
    return own > std::tuple(request.lastTerm, request.lastIndex, request.header.sender);
}

bool ReplicatedLog::Impl::grants(const VoteRequest& request, TimePoint now) const
{
    if (hasRecentLeader(now) || now < m_noVoteUntil)
        return false;
    if (request.lastTerm < store.lastTerm()
        || (request.lastTerm == store.lastTerm() && request.lastIndex < store.lastIndex()))
        return false;
    // Of two simultaneous candidates only one continues: when all remaining voters are needed for a
    // quorum, a split vote would elect neither.
    if (request.preVote)
        return request.header.term > term() && !outranks(request, now);
    const MemberId& votedFor = store.vote().votedFor;
    return request.header.term == term()
        && (votedFor.value().empty() || votedFor == request.header.sender);
}

void ReplicatedLog::Impl::onVoteRequest(
    const VoteRequest& request, const HostId& from, TimePoint now, Outbox& out)
{
    // A member that lost contact with the leader must not raise the term of members that did not.
    const bool raisesTerm = !request.preVote && request.header.term > term()
        && !hasRecentLeader(now) && now >= m_noVoteUntil;
    if (raisesTerm) {
        if (!enterTerm(request.header.term, MemberId(), out))
            return;
        stepDown("higher-term", now, out);
    }
    const bool granted = grants(request, now);
    if (granted && !request.preVote) {
        if (!checkSaved(store.saveVote({ term(), request.header.sender }), out))
            return;
        scheduleElection(now);
    }
    if (granted && request.preVote && role == LogRole::PreCandidate) {
        role = LogRole::Follower;
        scheduleElection(now, options.timing.electionRetryMin, options.timing.electionRetryMax);
    }
    out.send(from, methodVoted,
        encode(VoteResponse {
            header(request.header.sender), request.preVote, granted, request.header.term }));
}

void ReplicatedLog::Impl::onVoteResponse(const VoteResponse& response, TimePoint now, Outbox& out)
{
    if (response.header.term > term()) {
        if (enterTerm(response.header.term, MemberId(), out))
            stepDown("higher-term", now, out);
        return;
    }
    const bool isExpected = response.preVote
        ? role == LogRole::PreCandidate && response.requested == next(term())
        : role == LogRole::Candidate && response.requested == term();
    if (!isExpected || !response.granted)
        return;
    m_votes.insert(response.header.sender);
    countVotes(now, out);
}

bool ReplicatedLog::Impl::enterTerm(Term newTerm, const MemberId& votedFor, Outbox& out)
{
    return checkSaved(store.saveVote({ newTerm, votedFor }), out);
}

void ReplicatedLog::Impl::stepDown(
    const char* reason, TimePoint now, Outbox& out, Json::Value facts)
{
    if (role == LogRole::Leader)
        logDecision(reason, out, std::move(facts));
    role = LogRole::Follower;
    m_leader = MemberId();
    m_proposals.clear();
    m_uncommittedBatches.clear();
    m_followers.clear();
    scheduleElection(now);
}

void ReplicatedLog::Impl::becomeLeader(TimePoint now, Outbox& out)
{
    role = LogRole::Leader;
    m_leader = self();
    m_leaderTerm = term();
    m_leaderHost = options.host;
    m_electedAt = now;
    m_followers.clear();
    m_uncommittedBatches.clear();
    trackFollowers(now);
    logDecision("elected", out);
    m_proposals = { { term(), EntryKind::Noop, {} } };
    m_nextHeartbeat = now + options.timing.heartbeatInterval;
    flushProposals(now, out);
}

bool ReplicatedLog::Impl::followLeader(
    const LogHeader& from, const HostId& host, TimePoint now, Outbox& out)
{
    if (from.term < term())
        return false;
    if (from.term > term()) {
        // Vote for the leader of this term, so that no other candidate can get this vote in it.
        if (!enterTerm(from.term, from.sender, out))
            return false;
        stepDown("higher-term", now, out);
    }
    role = LogRole::Follower;
    m_leader = from.sender;
    m_leaderTerm = term();
    m_leaderHost = host;
    m_lastLeaderContact = now;
    scheduleElection(now);
    return true;
}

} // namespace laburnum
