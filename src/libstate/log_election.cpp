// Election: pre-vote, votes, terms, stepping down.

#include <tuple>

#include "replicated_log_pvt.h"

namespace laburnum {

using namespace pvt;

void ReplicatedLog::Impl::scheduleElection(TimePoint now)
{
    scheduleElection(now, options.timing.electionMin, options.timing.electionMax);
}

void ReplicatedLog::Impl::scheduleElection(TimePoint now, Duration least, Duration most)
{
    m_electionDue = now + least
        + Duration(uniformBelow(m_random, static_cast<std::uint64_t>((most - least).count()) + 1));
}

bool ReplicatedLog::Impl::hearsLeader(TimePoint now) const
{
    return role == LogRole::Leader
        || (m_leaderHeard && now - *m_leaderHeard < options.timing.electionMin);
}

void ReplicatedLog::Impl::logCampaign(TimePoint now, Outbox& out) const
{
    Json::Value facts(Json::objectValue);
    facts["leader"] = m_leader.value().empty() ? "" : m_leaderHost.value();
    if (m_leaderHeard)
        facts["heard_ms_ago"] = Json::Int64(toMillis(now - *m_leaderHeard));
    facts["overdue_ms"] = Json::Int64(toMillis(now - m_electionDue));
    logDecision("campaign", out, std::move(facts));
}

void ReplicatedLog::Impl::startPreVote(TimePoint now, Outbox& out)
{
    if (role == LogRole::Candidate)
        logDecision("not-elected", out);
    else if (role == LogRole::Follower)
        logCampaign(now, out);
    role = LogRole::PreCandidate;
    m_preVoteSince = now;
    m_leader = MemberId();
    scheduleElection(now, options.timing.retryMin, options.timing.retryMax);
    m_votes = { self() };
    requestVotes(true, out);
    countVotes(now, out);
}

void ReplicatedLog::Impl::startElection(TimePoint now, Outbox& out)
{
    if (!enterTerm(next(term()), self(), out))
        return;
    role = LogRole::Candidate;
    scheduleElection(now, options.timing.retryMin, options.timing.retryMax);
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
    if (role != LogRole::PreCandidate || now - m_preVoteSince >= options.timing.retryMin)
        return false;
    const auto own = std::tuple(store.lastTerm(), store.lastIndex(), self());
    return own > std::tuple(request.lastTerm, request.lastIndex, request.header.sender);
}

bool ReplicatedLog::Impl::grants(const VoteRequest& request, TimePoint now) const
{
    if (hearsLeader(now) || now < m_abstainUntil)
        return false;
    if (request.lastTerm < store.lastTerm()
        || (request.lastTerm == store.lastTerm() && request.lastIndex < store.lastIndex()))
        return false;
    // Of two that campaign at once one goes on: votes for both would elect neither where all who
    // live are needed.
    if (request.preVote)
        return request.header.term > term() && !outranks(request, now);
    const MemberId& votedFor = store.vote().votedFor;
    return request.header.term == term()
        && (votedFor.value().empty() || votedFor == request.header.sender);
}

void ReplicatedLog::Impl::onVoteRequest(
    const VoteRequest& request, const HostId& from, TimePoint now, Outbox& out)
{
    // A host that lost touch with the leader must not raise the term of those that did not.
    const bool raisesTerm = !request.preVote && request.header.term > term() && !hearsLeader(now)
        && now >= m_abstainUntil;
    if (raisesTerm) {
        if (!enterTerm(request.header.term, MemberId(), out))
            return;
        stepDown("higher-term", now, out);
    }
    const bool granted = grants(request, now);
    if (granted && !request.preVote) {
        if (!saved(store.saveVote({ term(), request.header.sender }), out))
            return;
        scheduleElection(now);
    }
    if (granted && request.preVote && role == LogRole::PreCandidate) {
        role = LogRole::Follower;
        scheduleElection(now, options.timing.retryMin, options.timing.retryMax);
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
    return saved(store.saveVote({ newTerm, votedFor }), out);
}

void ReplicatedLog::Impl::stepDown(
    const char* reason, TimePoint now, Outbox& out, Json::Value facts)
{
    if (role == LogRole::Leader)
        logDecision(reason, out, std::move(facts));
    role = LogRole::Follower;
    m_leader = MemberId();
    m_proposals.clear();
    m_openBatches.clear();
    m_followers.clear();
    scheduleElection(now);
}

void ReplicatedLog::Impl::becomeLeader(TimePoint now, Outbox& out)
{
    role = LogRole::Leader;
    m_leader = self();
    m_leaderHost = options.host;
    m_leaderSince = now;
    m_followers.clear();
    m_openBatches.clear();
    trackFollowers(now);
    logDecision("elected", out);
    m_proposals = { { term(), EntryKind::Noop, {} } };
    m_heartbeatDue = now + options.timing.heartbeat;
    flushProposals(now, out);
}

bool ReplicatedLog::Impl::followLeader(
    const LogHeader& from, const HostId& host, TimePoint now, Outbox& out)
{
    if (from.term < term())
        return false;
    if (from.term > term()) {
        // The vote of this term goes to its leader: nobody else can win the term with it.
        if (!enterTerm(from.term, from.sender, out))
            return false;
        stepDown("higher-term", now, out);
    }
    role = LogRole::Follower;
    m_leader = from.sender;
    m_leaderHost = host;
    m_leaderHeard = now;
    scheduleElection(now);
    return true;
}

} // namespace laburnum
