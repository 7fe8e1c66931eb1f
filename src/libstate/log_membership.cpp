// Membership: founding of the log, learners, promotion, removal, one change at a time.

#include <algorithm>

#include "replicated_log_pvt.h"

namespace laburnum {

using namespace pvt;

namespace {

    constexpr int joinsPerSecond = 4;
    constexpr auto joinInterval = std::chrono::milliseconds(1000 / joinsPerSecond);
    constexpr auto joinAge = std::chrono::milliseconds(1000); // a join counts for this long
    constexpr std::uint64_t promotionLag = 16; // entries that a learner may be behind to vote

    constexpr int forgottenAfter = 4; // election timeouts without a leader

    /// Number of members that stand in one membership only, or differ.
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
        if (memberships.currentIndex() > commit || store.termAt(commit) != term())
            return fail(ErrorCode::Conflict, "another change of membership is under way");
        if (difference(memberships.current(), membership) != 1)
            return fail(ErrorCode::InvalidArgument, "a change concerns exactly one member");
        if (membership.voterCount() == 0)
            return fail(ErrorCode::InvalidArgument, "the last voter cannot be removed");
        if (!flushProposals(now, out))
            return tl::unexpected<Error>(*failure);
        if (memberships.currentIndex() > commit)
            return fail(ErrorCode::Conflict, "another change of membership is under way");
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
        progress.next = next(store.lastIndex());
        progress.lastHeard = now;
        m_followers[member.id] = progress;
    }
}

void ReplicatedLog::Impl::onJoin(
    const JoinRequest& request, const HostId& sender, TimePoint now, Outbox& out)
{
    const HostId& from = request.host.value().empty() ? sender : request.host;
    const auto& hosts = options.controlHosts;
    const bool isListed = std::find(hosts.begin(), hosts.end(), from) != hosts.end();
    if (from == options.host || (options.admission == Admission::Listed && !isListed))
        return;
    m_joining[from]
        = { request.sender, request.blank, request.nonce, request.echo == m_nonce, now };
    // Who joins may know none of today's leaders: whoever hears it passes it on, once.
    const bool passesOn = options.admission == Admission::Open && role != LogRole::Leader
        && request.host.value().empty();
    const auto leader = leaderHost();
    if (!passesOn || !leader || *leader == from)
        return;
    JoinRequest passed = request;
    passed.host = from;
    out.send(*leader, methodJoin, encode(passed));
}

/// Whether this member is in the membership, as far as it can tell. One that no leader has
/// contacted for long may have been removed without hearing of it.
bool ReplicatedLog::Impl::seemsAdmitted(TimePoint now) const
{
    const TimePoint contact = m_leaderHeard.value_or(m_startedAt);
    return memberships.current().find(self()) != nullptr
        && (role == LogRole::Leader || now - contact < options.timing.electionMax * forgottenAfter);
}

std::set<HostId> ReplicatedLog::Impl::joinTargets() const
{
    std::set<HostId> targets(contacts.begin(), contacts.end());
    if (options.admission == Admission::Open) {
        targets.insert(options.controlHosts.begin(), options.controlHosts.end());
        for (const Member& member : memberships.current().members())
            targets.insert(member.host);
    }
    targets.erase(options.host);
    return targets;
}

/// A member that does not seem admitted tells the control hosts. It founds the log when all of
/// them hold nothing.
void ReplicatedLog::Impl::tickJoin(TimePoint now, Outbox& out)
{
    if (now < m_joinDue || seemsAdmitted(now))
        return;
    m_joinDue = now + joinInterval;
    for (const HostId& host : joinTargets()) {
        const auto heard = m_joining.find(host);
        const JoinRequest request { self(), store.lastIndex() == LogIndex(0), m_nonce,
            heard == m_joining.end() ? 0 : heard->second.nonce };
        out.send(host, methodJoin, encode(request));
    }
    const auto founder = std::min_element(options.controlHosts.begin(), options.controlHosts.end());
    if (options.mayBootstrap && founder != options.controlHosts.end() && *founder == options.host
        && everyoneIsBlank(now))
        found(now, out);
}

bool ReplicatedLog::Impl::everyoneIsBlank(TimePoint now) const
{
    const auto isBlank = [&](const HostId& host) {
        if (host == options.host)
            return store.lastIndex() == LogIndex(0);
        const auto heard = m_joining.find(host);
        return heard != m_joining.end() && heard->second.blank && heard->second.answered
            && now - heard->second.heard <= joinAge;
    };
    return std::all_of(options.controlHosts.begin(), options.controlHosts.end(), isBlank);
}

/// Writes the first membership. Only the control host with the lowest id does so, and only while
/// every control host holds nothing, so that a log is founded once.
void ReplicatedLog::Impl::found(TimePoint now, Outbox& out)
{
    std::vector<Member> members { { options.host, self(), true } };
    for (const HostId& host : options.controlHosts) {
        if (host != options.host)
            members.push_back({ host, m_joining.at(host).id, true });
    }
    if (!enterTerm(next(term()), self(), out))
        return;
    const LogEntry first { term(), EntryKind::Membership,
        encodeMembership(Membership(std::move(members))) };
    if (!saved(store.append(LogIndex(1), { first }), out))
        return;
    memberships.update(store, LogIndex(1));
    m_joining.clear();
    logDecision("founded", out);
    startPreVote(now, out);
}

void ReplicatedLog::Impl::admitJoining(TimePoint now, Outbox& out)
{
    if (memberships.currentIndex() > commit || store.termAt(commit) != term())
        return;
    const auto membership = nextMembership(now);
    if (!membership)
        return;
    if (changeMembership(*membership, now, out))
        logDecision("membership", out);
}

/// The next step towards admitting those that asked: add as a learner, remove the host's former
/// member, promote.
std::optional<Membership> ReplicatedLog::Impl::nextMembership(TimePoint now) const
{
    const Membership& current = memberships.current();
    for (const auto& [host, joining] : m_joining)
        if (now - joining.heard <= joinAge && current.find(joining.id) == nullptr)
            return membershipWith(host, joining);
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
        && progress->second.match.value() + promotionLag >= store.lastIndex().value()
        && now - progress->second.lastHeard <= options.timing.electionMin;
}

/// What `learner` makes of the membership: it takes the place of its host's former member, becomes
/// a voter, or a silent voter makes room for it. Nothing while it has to wait.
std::optional<Membership> ReplicatedLog::Impl::membershipForLearner(
    const Member& learner, TimePoint now) const
{
    const Membership& current = memberships.current();
    const auto silentFor = [&](const Member& member) {
        const auto progress = m_followers.find(member.id);
        return progress == m_followers.end() ? Duration::zero() : now - progress->second.lastHeard;
    };
    if (!isCaughtUp(learner, now)) {
        const bool isForgotten = options.admission == Admission::Open
            && silentFor(learner) > options.forgetLearnerAfter;
        return isForgotten ? std::optional(current.without(learner.id)) : std::nullopt;
    }
    for (const Member& former : current.members())
        if (former.host == learner.host && former.id != learner.id)
            return current.without(former.id);
    if (options.admission == Admission::Listed || current.voterCount() < options.voters)
        return current.with({ learner.host, learner.id, true });
    for (const Member& voter : current.members())
        if (voter.voter && voter.id != self() && silentFor(voter) > options.replaceAfter)
            return current.without(voter.id);
    return std::nullopt;
}

std::optional<Membership> ReplicatedLog::Impl::membershipWith(
    const HostId& host, const JoiningMember& join) const
{
    const Membership& current = memberships.current();
    for (const Member& former : current.members())
        if (former.host == host && !former.voter)
            return current.without(former.id);
    return current.with({ host, join.id, false });
}

} // namespace laburnum
