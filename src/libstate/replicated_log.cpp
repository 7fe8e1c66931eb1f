#include <laburnumroute/replicated_log.h>

#include <algorithm>

#include "replicated_log_pvt.h"

namespace laburnum {

using namespace pvt;

namespace {

    constexpr unsigned ticksPerHeartbeat = 4;
    /// With this many uncommitted batches, further proposals are queued for the next batch.
    constexpr std::size_t maxUncommittedBatches = 4;
    constexpr std::size_t maxQueuedProposals = 4096; // proposals not written yet

} // namespace

const char* logRoleName(LogRole role) noexcept
{
    switch (role) {
    case LogRole::Follower:
        return "follower";
    case LogRole::PreCandidate:
        return "pre-candidate";
    case LogRole::Candidate:
        return "candidate";
    case LogRole::Leader:
        return "leader";
    }
    return "unknown";
}

ReplicatedLog::Impl::Impl(
    ReplicatedLogOptions initial, LogStore opened, StateMachine& state, TimePoint now)
    : options(std::move(initial))
    , joinHosts(options.controlHosts)
    , store(std::move(opened))
    , commitIndex(store.snapshot().index)
    , appliedIndex(store.snapshot().index)
    , memberships(store)
    , m_state(state)
    , m_startedAt(now)
    , m_random(options.seed)
    , m_nonce(m_random() | 1U)
    , m_nextJoin(now)
{
    const bool isFresh = store.lastIndex() == LogIndex(0) && term() == Term(0);
    const LogTiming& timing = options.timing;
    // A leader's lease may still rely on an acknowledgement of an earlier process.
    const Duration voteDelay = isFresh ? Duration() : timing.restartVoteDelay();
    m_noVoteUntil = now + voteDelay;
    m_leaderTerm = term();
    // No vote is granted before this delay; after a restart of the whole fleet a longer wait would
    // only delay the election.
    const Duration least = isFresh ? timing.electionTimeoutMin : voteDelay;
    scheduleElection(now, least, least + timing.electionTimeoutMax - timing.electionTimeoutMin);
}

bool ReplicatedLog::Impl::halt(const Error& error, Outbox& out)
{
    failure = error;
    role = LogRole::Follower;
    m_leader = MemberId();
    m_proposals.clear();
    Decision decision { "log", "halted" };
    decision.facts["error"] = errorCodeName(error.code);
    decision.facts["message"] = error.message;
    out.log(std::move(decision));
    return false;
}

bool ReplicatedLog::Impl::checkSaved(const Expected<void>& result, Outbox& out)
{
    return result ? true : halt(result.error(), out);
}

Json::Value ReplicatedLog::Impl::voterContactAges(TimePoint now) const
{
    Json::Value ages(Json::objectValue);
    for (const Member& member : memberships.current().members()) {
        const auto found = m_followers.find(member.id);
        if (member.voter && found != m_followers.end())
            ages[member.host.value()] = Json::Int64(toMillis(now - found->second.lastContact));
    }
    return ages;
}

void ReplicatedLog::Impl::logDecision(const char* reason, Outbox& out, Json::Value facts) const
{
    Decision decision { "log", reason };
    if (facts.isObject())
        decision.facts = std::move(facts);
    decision.facts["term"] = Json::UInt64(term().value());
    decision.facts["member"] = self().value();
    decision.facts["last"] = Json::UInt64(store.lastIndex().value());
    decision.facts["commit"] = Json::UInt64(commitIndex.value());
    out.log(std::move(decision));
}

void ReplicatedLog::Impl::receive(const PeerMessage& message, TimePoint now, Outbox& out)
{
    if (failure)
        return;
    const auto handle = [&](const auto& decoded, auto handler) {
        if (decoded && decoded->header.target == self())
            handler(*decoded);
    };
    if (message.method == methodAppend)
        handle(decodeAppendRequest(message.params),
            [&](const auto& m) { onAppendRequest(m, message.from, now, out); });
    else if (message.method == methodAppended)
        handle(decodeAppendResponse(message.params),
            [&](const auto& m) { onAppendResponse(m, now, out); });
    else if (message.method == methodVote)
        handle(decodeVoteRequest(message.params),
            [&](const auto& m) { onVoteRequest(m, message.from, now, out); });
    else if (message.method == methodVoted)
        handle(decodeVoteResponse(message.params),
            [&](const auto& m) { onVoteResponse(m, now, out); });
    else if (message.method == methodChunk)
        handle(decodeChunkRequest(message.params),
            [&](const auto& m) { onChunkRequest(m, message.from, now, out); });
    else if (message.method == methodChunked)
        handle(decodeChunkResponse(message.params),
            [&](const auto& m) { onChunkResponse(m, now, out); });
    else if (message.method == methodFounding)
        handle(decodeFoundingRequest(message.params),
            [&](const auto& m) { onFoundingRequest(m, message.from, out); });
    else if (message.method == methodFoundingVote)
        handle(decodeFoundingVote(message.params),
            [&](const auto& m) { onFoundingVote(m, message.from, now, out); });
    else if (const auto join = decodeJoinRequest(message.params);
             message.method == methodJoin && join)
        onJoin(*join, message.from, now, out);
    if (!failure && role == LogRole::Leader)
        flushProposals(now, out);
}

void ReplicatedLog::Impl::tick(TimePoint now, Outbox& out)
{
    if (failure)
        return;
    tickJoin(now, out);
    tickFounding(now, out);
    if (role == LogRole::Leader)
        tickLeader(now, out);
    else if (isVoter() && now >= m_electionDeadline)
        startPreVote(now, out);
}

Expected<LogIndex> ReplicatedLog::Impl::propose(LogEntry entry, TimePoint now, Outbox& out)
{
    if (failure)
        return tl::unexpected<Error>(*failure);
    if (role != LogRole::Leader)
        return fail(ErrorCode::Unavailable,
            leaderHost() ? "the leader is '" + leaderHost()->value() + "'" : "no leader is known");
    if (m_proposals.size() >= maxQueuedProposals)
        return fail(ErrorCode::Unavailable, "too many queued proposals");
    entry.term = term();
    m_proposals.push_back(std::move(entry));
    const LogIndex index(store.lastIndex().value() + m_proposals.size());
    if (m_uncommittedBatches.size() < maxUncommittedBatches && !flushProposals(now, out))
        return tl::unexpected<Error>(*failure);
    return index;
}

ProposalStatus ReplicatedLog::Impl::proposalStatus(LogIndex index, Term proposed) const
{
    const LogIndex written = store.lastIndex();
    if (index > written) {
        const bool waits = role == LogRole::Leader && proposed == term()
            && index.value() <= written.value() + m_proposals.size();
        return waits ? ProposalStatus::Pending : ProposalStatus::Unknown;
    }
    const auto found = store.termAt(index);
    if (!found)
        return ProposalStatus::Unknown;
    const bool isCommitted = index <= commitIndex;
    if (*found == proposed)
        return isCommitted ? ProposalStatus::Committed : ProposalStatus::Pending;
    return isCommitted ? ProposalStatus::Overwritten : ProposalStatus::Unknown;
}

std::optional<HostId> ReplicatedLog::Impl::leaderHost() const
{
    if (role == LogRole::Leader)
        return options.host;
    if (m_leader.value().empty())
        return std::nullopt;
    return m_leaderHost;
}

ReplicatedLog::ReplicatedLog(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
}

ReplicatedLog::~ReplicatedLog() = default;

Expected<std::unique_ptr<ReplicatedLog>> ReplicatedLog::create(
    ReplicatedLogOptions options, LogStore store, StateMachine& state, TimePoint now)
{
    if (auto restored = state.restore(store.snapshot().state); !restored)
        return tl::unexpected<Error>(restored.error());
    auto impl = std::make_unique<Impl>(std::move(options), std::move(store), state, now);
    return std::unique_ptr<ReplicatedLog>(new ReplicatedLog(std::move(impl)));
}

std::vector<std::string> ReplicatedLog::methods() const
{
    return { methodVote, methodVoted, methodAppend, methodAppended, methodChunk, methodChunked,
        methodJoin, methodFounding, methodFoundingVote };
}

void ReplicatedLog::receive(const PeerMessage& message, TimePoint now, Outbox& out)
{
    m_impl->receive(message, now, out);
}

void ReplicatedLog::tick(TimePoint now, Outbox& out) { m_impl->tick(now, out); }

Duration ReplicatedLog::tickInterval() const
{
    return m_impl->options.timing.heartbeatInterval / ticksPerHeartbeat;
}

Expected<LogIndex> ReplicatedLog::propose(std::string command, TimePoint now, Outbox& out)
{
    return m_impl->propose({ Term(0), EntryKind::Command, std::move(command) }, now, out);
}

ProposalStatus ReplicatedLog::proposalStatus(LogIndex index, Term term) const
{
    return m_impl->proposalStatus(index, term);
}

Expected<LogIndex> ReplicatedLog::changeMembership(
    const Membership& membership, TimePoint now, Outbox& out)
{
    return m_impl->changeMembership(membership, now, out);
}

void ReplicatedLog::setJoinHosts(std::vector<HostId> hosts)
{
    m_impl->joinHosts = std::move(hosts);
}

LogRole ReplicatedLog::role() const noexcept { return m_impl->role; }
Term ReplicatedLog::term() const noexcept { return m_impl->store.vote().term; }
std::optional<HostId> ReplicatedLog::leader() const { return m_impl->leaderHost(); }
LogIndex ReplicatedLog::commitIndex() const noexcept { return m_impl->commitIndex; }
LogIndex ReplicatedLog::appliedIndex() const noexcept { return m_impl->appliedIndex; }
const Membership& ReplicatedLog::membership() const noexcept
{
    return m_impl->memberships.current();
}
const MemberId& ReplicatedLog::member() const noexcept { return m_impl->store.member(); }
const LogStore& ReplicatedLog::store() const noexcept { return m_impl->store; }
bool ReplicatedLog::holdsLease(TimePoint now) const { return m_impl->holdsLease(now); }
const std::optional<Error>& ReplicatedLog::failure() const noexcept { return m_impl->failure; }

} // namespace laburnum
