// Membership: learners, promotion, removal; one change at a time.

#include <algorithm>

#include "replicated_log_pvt.h"

namespace laburnum {

using namespace pvt;

namespace {

    constexpr int joinsPerSecond = 4;
    constexpr auto joinInterval = std::chrono::milliseconds(1000 / joinsPerSecond);
    /// Entries that a learner may lag behind and still become a voter.
    constexpr std::uint64_t maxPromotionLag = 16;

    /// A member without contact to a leader for this many election timeouts sends join requests.
    constexpr int maxMissedElectionTimeouts = 4;

    /// Number of members that are in only one of the memberships or differ between them.
    std::size_t difference(const Membership& a, const Membership& b)
    {
        std::set<MemberId> changed;
        for (const Member& member : a.members())
            if (b.find(member.id) == nullptr || !(*b.find(member.id) == member))
                changed.insert(member.id);
        for (const Member& member : b.members())
            if (a.find(member.id) == nullptr)
                changed.insert(member.id);
        return changed.size();
    }

} // namespace

MembershipHistory::MembershipHistory(const LogStore& store) { reset(store); }

void MembershipHistory::reset(const LogStore& store)
{
    m_changes.clear();
    m_changes[store.snapshot().index] = store.snapshot().membership;
    update(store, next(store.snapshot().index));
}

void MembershipHistory::update(const LogStore& store, LogIndex first)
{
    m_changes.erase(m_changes.lower_bound(first), m_changes.end());
    for (LogIndex index = first; index <= store.lastIndex(); index = next(index)) {
        if (store.at(index).kind != EntryKind::Membership)
            continue;
        if (const auto membership = decodeMembership(store.at(index).command))
            m_changes[index] = *membership;
    }
}

const Membership& MembershipHistory::at(LogIndex index) const
{
    return std::prev(m_changes.upper_bound(index))->second;
}

Expected<LogIndex> ReplicatedLog::Impl::changeMembership(
    const Membership& membership, TimePoint now, Outbox& out)
{
    if (role == LogRole::Leader) {
        if (memberships.currentIndex() > commitIndex || store.termAt(commitIndex) != term())
            return fail(ErrorCode::Conflict, "another membership change is in progress");
        if (difference(memberships.current(), membership) != 1)
            return fail(
                ErrorCode::InvalidArgument, "a membership change must affect exactly one member");
        if (membership.voterCount() == 0)
            return fail(ErrorCode::InvalidArgument, "the last voter cannot be removed");
        if (!flushProposals(now, out))
            return tl::unexpected<Error>(*failure);
        if (memberships.currentIndex() > commitIndex)
            return fail(ErrorCode::Conflict, "another membership change is in progress");
    }
    auto index
        = propose({ Term(0), EntryKind::Membership, encodeMembership(membership) }, now, out);
    if (index && !flushProposals(now, out))
        return tl::unexpected<Error>(*failure);
    return index;
}

void ReplicatedLog::Impl::trackFollowers(TimePoint now)
{
    const Membership& current = memberships.current();
    std::erase_if(
        m_followers, [&](const auto& item) { return current.find(item.first) == nullptr; });
    for (const Member& member : current.members()) {
        if (member.id == self() || m_followers.contains(member.id))
            continue;
        FollowerProgress progress;
        progress.nextIndex = next(store.lastIndex());
        progress.lastContact = now;
        m_followers[member.id] = progress;
    }
}

void ReplicatedLog::Impl::onJoin(
    const JoinRequest& request, const HostId& sender, TimePoint now, Outbox& out)
{
    const HostId& from = request.host.value().empty() ? sender : request.host;
    if (from == options.host || (options.admission == Admission::Listed && !isListed(from)))
        return;
    m_joinCandidates[from]
        = { request.sender, request.hasEmptyLog, request.nonce, request.echo == m_nonce, now };
    // A joining host may not know the current leader: any member forwards the request, once.
    const bool isForwarder = options.admission == Admission::Open && role != LogRole::Leader
        && request.host.value().empty();
    const auto leader = leaderHost();
    if (!isForwarder || !leader || *leader == from)
        return;
    JoinRequest forwarded = request;
    forwarded.host = from;
    out.send(*leader, methodJoin, encode(forwarded));
}

/// True when this member is in the membership as far as it knows. A member without contact to a
/// leader for a long time may have been removed without being notified.
bool ReplicatedLog::Impl::isLikelyMember(TimePoint now) const
{
    const TimePoint contact = m_lastLeaderContact.value_or(m_startedAt);
    return memberships.current().find(self()) != nullptr
        && (role == LogRole::Leader
            || now - contact < options.timing.electionTimeoutMax * maxMissedElectionTimeouts);
}

std::set<HostId> ReplicatedLog::Impl::joinTargets() const
{
    std::set<HostId> targets(joinHosts.begin(), joinHosts.end());
    if (options.admission == Admission::Open) {
        targets.insert(options.controlHosts.begin(), options.controlHosts.end());
        for (const Member& member : memberships.current().members())
            targets.insert(member.host);
    }
    targets.erase(options.host);
    return targets;
}

/// Sends join requests to the control hosts unless this member is likely in the membership.
void ReplicatedLog::Impl::tickJoin(TimePoint now, Outbox& out)
{
    if (now < m_nextJoin || isLikelyMember(now))
        return;
    m_nextJoin = now + joinInterval;
    for (const HostId& host : joinTargets()) {
        const auto candidate = m_joinCandidates.find(host);
        const JoinRequest request { self(), store.lastIndex() == LogIndex(0), m_nonce,
            candidate == m_joinCandidates.end() ? 0 : candidate->second.nonce };
        out.send(host, methodJoin, encode(request));
    }
}

void ReplicatedLog::Impl::processJoins(TimePoint now, Outbox& out)
{
    if (memberships.currentIndex() > commitIndex || store.termAt(commitIndex) != term())
        return;
    const auto membership = nextMembership(now);
    if (!membership)
        return;
    if (changeMembership(*membership, now, out))
        logDecision("membership", out);
}

/// The next membership change towards admitting the hosts that sent join requests: add a learner,
/// remove the former member of its host, or promote it to voter.
std::optional<Membership> ReplicatedLog::Impl::nextMembership(TimePoint now) const
{
    const Membership& current = memberships.current();
    for (const auto& [host, candidate] : m_joinCandidates)
        if (now - candidate.lastJoin <= joinTimeout && current.find(candidate.id) == nullptr)
            return membershipForJoin(host, candidate);
    for (const Member& learner : current.members()) {
        if (learner.voter)
            continue;
        if (auto changed = membershipForLearner(learner, now))
            return changed;
    }
    return std::nullopt;
}

bool ReplicatedLog::Impl::isCaughtUp(const Member& learner, TimePoint now) const
{
    const auto progress = m_followers.find(learner.id);
    return progress != m_followers.end()
        && progress->second.matchIndex.value() + maxPromotionLag >= store.lastIndex().value()
        && now - progress->second.lastContact <= options.timing.electionTimeoutMin;
}

/// The membership change due for `learner`: replace the former member of its host, promote it to
/// voter, remove an unresponsive voter in its favour, or remove the learner itself when it is
/// unresponsive. Empty when there is none.
std::optional<Membership> ReplicatedLog::Impl::membershipForLearner(
    const Member& learner, TimePoint now) const
{
    const Membership& current = memberships.current();
    const auto timeSinceContact = [&](const Member& member) {
        const auto progress = m_followers.find(member.id);
        return progress == m_followers.end() ? Duration::zero()
                                             : now - progress->second.lastContact;
    };
    if (!isCaughtUp(learner, now)) {
        const bool isExpired = options.admission == Admission::Open
            && timeSinceContact(learner) > options.learnerRemoveTimeout;
        return isExpired ? std::optional(current.without(learner.id)) : std::nullopt;
    }
    for (const Member& former : current.members())
        if (former.host == learner.host && former.id != learner.id)
            return current.without(former.id);
    if (options.admission == Admission::Listed || current.voterCount() < options.targetVoters)
        return current.with({ learner.host, learner.id, true });
    for (const Member& voter : current.members())
        if (voter.voter && voter.id != self()
            && timeSinceContact(voter) > options.voterReplaceTimeout)
            return current.without(voter.id);
    return std::nullopt;
}

std::optional<Membership> ReplicatedLog::Impl::membershipForJoin(
    const HostId& host, const JoinCandidate& candidate) const
{
    const Membership& current = memberships.current();
    for (const Member& former : current.members())
        if (former.host == host && !former.voter)
            return current.without(former.id);
    return current.with({ host, candidate.id, false });
}

} // namespace laburnum
