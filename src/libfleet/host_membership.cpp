#include <laburnumroute/host_membership.h>

#include <algorithm>
#include <bit>

#include "membership_messages_pvt.h"
#include "sample_pvt.h"

namespace laburnum {

using namespace pvt;

namespace {

    /// Each piece of news travels on this many messages of a host, times log2 of the fleet's size.
    constexpr unsigned tellingsPerLog = 3;

    /// True when `state` at `incarnation` replaces what is thought of `member`.
    template <class Member>
    bool overrides(MemberState state, std::uint64_t incarnation, const Member& member)
    {
        if (incarnation != member.incarnation)
            return incarnation > member.incarnation;
        return state > member.state;
    }

} // namespace

HostMembership::HostMembership(const HostId& self, const std::vector<HostLocation>& hosts,
    std::uint64_t seed, MembershipSettings settings)
    : m_self(self)
    , m_place { self, {}, {} }
    , m_random(seed)
    , m_settings(settings)
    , m_maxTellings(tellingsPerLog * static_cast<unsigned>(std::bit_width(hosts.size())))
    , m_misses(settings.selfDoubtMisses)
{
    for (const auto& place : hosts) {
        if (place.host == self)
            m_place = place;
        else
            m_members[place.host].place = place;
    }
    for (auto& [host, member] : m_members)
        member.told = m_maxTellings;
    m_ownNewsTold = m_maxTellings;
}

std::vector<HostLocation> HostMembership::liveHosts() const
{
    std::vector<HostLocation> live { m_place };
    for (const auto& [host, member] : m_members) {
        if (member.state != MemberState::Dead)
            live.push_back(member.place);
    }
    std::sort(live.begin(), live.end(),
        [](const HostLocation& a, const HostLocation& b) { return a.host < b.host; });
    return live;
}

MemberState HostMembership::stateOf(const HostId& host) const
{
    if (host == m_self)
        return MemberState::Alive;
    const auto member = m_members.find(host);
    return member == m_members.end() ? MemberState::Dead : member->second.state;
}

bool HostMembership::isLive(const HostId& host) const { return stateOf(host) != MemberState::Dead; }

std::vector<std::string> HostMembership::methods() const
{
    return { methodMemberPing, methodMemberAck, methodMemberRequest };
}

void HostMembership::receive(const PeerMessage& message, TimePoint now, Outbox& out)
{
    if (!m_members.contains(message.from))
        return;
    if (message.method == methodMemberPing)
        receivePing(message, now, out);
    else if (message.method == methodMemberAck)
        receiveAck(message, now, out);
    else if (message.method == methodMemberRequest)
        receiveRequest(message, now, out);
}

void HostMembership::receivePing(const PeerMessage& message, TimePoint now, Outbox& out)
{
    const auto ping = decodeMemberPing(message.params);
    if (!ping)
        return;
    applyNews(message.from, ping->news, now);
    out.send(message.from, methodMemberAck,
        encodeMemberPing({ ping->number, std::nullopt, pickNews(message.from) }));
}

void HostMembership::receiveAck(const PeerMessage& message, TimePoint now, Outbox& out)
{
    const auto ack = decodeMemberPing(message.params);
    if (!ack)
        return;
    applyNews(message.from, ack->news, now);
    if (m_probe && ack->number == m_probe->number)
        m_probe->answered = true;
    const auto errand = m_errands.find(ack->number);
    if (errand == m_errands.end())
        return;
    out.send(errand->second.asker, methodMemberAck,
        encodeMemberPing({ errand->second.askerNumber, std::nullopt, ack->news }));
    m_errands.erase(errand);
}

void HostMembership::receiveRequest(const PeerMessage& message, TimePoint now, Outbox& out)
{
    const auto request = decodeMemberPing(message.params);
    if (!request || !request->target || !m_members.contains(*request->target))
        return;
    applyNews(message.from, request->news, now);
    m_errands[++m_lastNumber] = { message.from, request->number, now + m_settings.period };
    sendPing(*request->target, m_lastNumber, out);
}

void HostMembership::applyNews(
    const HostId& from, const std::vector<MemberNews>& news, TimePoint now)
{
    // A host that is itself in doubt, perhaps because it does not hear, gives no bad news.
    const bool trusted = stateOf(from) == MemberState::Alive;
    for (const auto& item : news) {
        if (item.host == m_self) {
            applyOwnNews(item);
            continue;
        }
        const auto member = m_members.find(item.host);
        if (member == m_members.end() || (!trusted && item.state != MemberState::Alive)
            || !overrides(item.state, item.incarnation, member->second))
            continue;
        setState(member->second, item.state, item.incarnation, now);
        if (item.state == MemberState::Suspect)
            m_toVerify.push_back(item.host);
    }
}

/// Refutes a suspicion of this host by a higher incarnation.
void HostMembership::applyOwnNews(const MemberNews& item)
{
    if (item.incarnation < m_incarnation)
        return;
    m_incarnation = item.incarnation;
    if (item.state == MemberState::Alive)
        return;
    ++m_incarnation;
    m_ownNewsTold = 0;
    m_hasUrgentNews = true;
}

void HostMembership::setState(
    Member& member, MemberState state, std::uint64_t incarnation, TimePoint now)
{
    if (state == MemberState::Suspect && member.state != MemberState::Suspect)
        member.deadline = now + m_settings.suspicionTime;
    if (state == MemberState::Dead && member.state != MemberState::Dead)
        m_newlyDead.push_back(member.place.host);
    member.state = state;
    member.incarnation = incarnation;
    member.told = 0;
}

void HostMembership::tick(TimePoint now, Outbox& out)
{
    if (m_probe && !m_probe->answered && !m_probe->helpersAsked
        && now >= m_probe->started + m_settings.pingTimeout)
        askHelpers(out);
    if (now >= m_nextProbe) {
        endProbe(now);
        startProbe(now, out);
        m_nextProbe = now + m_settings.period;
    }
    sendUrgent(out);
    expire(now, out);
}

void HostMembership::sendUrgent(Outbox& out)
{
    for (const auto& host : std::exchange(m_toVerify, {}))
        sendPing(host, ++m_lastNumber, out);
    if (!std::exchange(m_hasUrgentNews, false))
        return;
    std::vector<HostId> alive;
    for (const auto& [host, member] : m_members) {
        if (member.state == MemberState::Alive)
            alive.push_back(host);
    }
    for (const auto& host : sample(std::move(alive), m_settings.helpers, m_random))
        sendPing(host, ++m_lastNumber, out);
}

void HostMembership::endProbe(TimePoint now)
{
    const auto probe = std::exchange(m_probe, std::nullopt);
    if (!probe)
        return;
    Member& member = m_members[probe->target];
    if (probe->answered) {
        m_misses = 0;
        return;
    }
    // A dead host's silence says nothing of this host.
    if (member.state == MemberState::Dead)
        return;
    ++m_misses;
    // A host that reaches nobody is more likely to be cut off itself.
    if (member.state != MemberState::Alive || doubtsItself())
        return;
    setState(member, MemberState::Suspect, member.incarnation, now);
    m_hasUrgentNews = true;
}

void HostMembership::startProbe(TimePoint now, Outbox& out)
{
    if (m_members.empty())
        return;
    m_probe = Probe { nextTarget(), ++m_lastNumber, now };
    sendPing(m_probe->target, m_probe->number, out);
}

/// Goes through all hosts in random order. Dead hosts have turns of their own.
HostId HostMembership::nextTarget()
{
    std::vector<HostId> dead;
    std::vector<HostId> others;
    for (const auto& [host, member] : m_members)
        (member.state == MemberState::Dead ? dead : others).push_back(host);
    const bool deadTurn = ++m_probes % m_settings.deadPingEvery == 0;
    if (others.empty() || (deadTurn && !dead.empty()))
        return dead[uniformBelow(m_random, dead.size())];
    std::erase_if(
        m_order, [this](const HostId& host) { return m_members[host].state == MemberState::Dead; });
    if (m_order.empty()) {
        const std::size_t count = others.size();
        m_order = sample(std::move(others), count, m_random);
    }
    HostId target = std::move(m_order.back());
    m_order.pop_back();
    return target;
}

void HostMembership::askHelpers(Outbox& out)
{
    m_probe->helpersAsked = true;
    std::vector<HostId> candidates;
    for (const auto& [host, member] : m_members) {
        if (host != m_probe->target && member.state == MemberState::Alive)
            candidates.push_back(host);
    }
    for (const auto& helper : sample(std::move(candidates), m_settings.helpers, m_random))
        out.send(helper, methodMemberRequest,
            encodeMemberPing({ m_probe->number, m_probe->target, pickNews(helper) }));
}

void HostMembership::expire(TimePoint now, Outbox& out)
{
    for (auto& [host, member] : m_members) {
        if (member.state == MemberState::Suspect && now >= member.deadline && !doubtsItself())
            setState(member, MemberState::Dead, member.incarnation, now);
    }
    std::erase_if(m_errands, [now](const auto& errand) { return errand.second.ends <= now; });
    for (const auto& host : std::exchange(m_newlyDead, {})) {
        Decision decision { "member", "dead" };
        decision.facts["host"] = host.value();
        out.log(std::move(decision));
    }
}

/// News that were told least, and always what the receiver has to refute.
std::vector<MemberNews> HostMembership::pickNews(const HostId& receiver)
{
    std::vector<MemberNews> news;
    const auto itself = m_members.find(receiver);
    if (itself != m_members.end() && itself->second.state != MemberState::Alive)
        news.push_back({ receiver, itself->second.state, itself->second.incarnation });
    if (m_ownNewsTold < m_maxTellings) {
        ++m_ownNewsTold;
        news.push_back({ m_self, MemberState::Alive, m_incarnation });
    }
    std::vector<Member*> fresh;
    for (auto& [host, member] : m_members) {
        const bool isTrusted = member.state == MemberState::Alive || !doubtsItself();
        if (member.told < m_maxTellings && host != receiver && isTrusted)
            fresh.push_back(&member);
    }
    const std::size_t count = std::min(fresh.size(), m_settings.newsPerMessage);
    std::partial_sort(fresh.begin(), fresh.begin() + static_cast<std::ptrdiff_t>(count),
        fresh.end(), [](const Member* a, const Member* b) { return a->told < b->told; });
    for (std::size_t i = 0; i < count; ++i) {
        ++fresh[i]->told;
        news.push_back({ fresh[i]->place.host, fresh[i]->state, fresh[i]->incarnation });
    }
    return news;
}

void HostMembership::sendPing(const HostId& to, std::uint64_t number, Outbox& out)
{
    out.send(to, methodMemberPing, encodeMemberPing({ number, std::nullopt, pickNews(to) }));
}

} // namespace laburnum
