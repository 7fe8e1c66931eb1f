#include <laburnumroute/host_membership.h>

#include <algorithm>
#include <bit>

#include "membership_messages_pvt.h"
#include "sample_pvt.h"

namespace laburnum {

using namespace pvt;

namespace {

    /// A host sends each update in this many messages, times log2 of the number of hosts.
    constexpr unsigned transmissionsPerLog = 3;

    /// Whether `state` at `incarnation` takes precedence over the known state of `member`.
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
    , m_location { self, {}, {} }
    , m_random(seed)
    , m_settings(settings)
    , m_maxTransmissions(transmissionsPerLog * static_cast<unsigned>(std::bit_width(hosts.size())))
    , m_consecutiveMisses(settings.isolationMisses)
{
    for (const auto& location : hosts) {
        if (location.host == self)
            m_location = location;
        else
            m_members[location.host].location = location;
    }
    for (auto& [host, member] : m_members)
        member.timesSent = m_maxTransmissions;
    m_selfUpdatesSent = m_maxTransmissions;
}

std::vector<HostLocation> HostMembership::liveHosts() const
{
    std::vector<HostLocation> live { m_location };
    for (const auto& [host, member] : m_members) {
        if (member.state != MemberState::Dead)
            live.push_back(member.location);
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
    applyUpdates(message.from, ping->updates, now);
    out.send(message.from, methodMemberAck,
        encodeMemberPing({ ping->sequence, std::nullopt, selectUpdates(message.from) }));
}

void HostMembership::receiveAck(const PeerMessage& message, TimePoint now, Outbox& out)
{
    const auto ack = decodeMemberPing(message.params);
    if (!ack)
        return;
    applyUpdates(message.from, ack->updates, now);
    if (m_probe && ack->sequence == m_probe->sequence)
        m_probe->answered = true;
    const auto relayed = m_relayedPings.find(ack->sequence);
    if (relayed == m_relayedPings.end())
        return;
    out.send(relayed->second.requester, methodMemberAck,
        encodeMemberPing({ relayed->second.requesterSequence, std::nullopt, ack->updates }));
    m_relayedPings.erase(relayed);
}

void HostMembership::receiveRequest(const PeerMessage& message, TimePoint now, Outbox& out)
{
    const auto request = decodeMemberPing(message.params);
    if (!request || !request->target || !m_members.contains(*request->target))
        return;
    applyUpdates(message.from, request->updates, now);
    m_relayedPings[++m_lastSequence] = { message.from, request->sequence, now + m_settings.period };
    sendPing(*request->target, m_lastSequence, out);
}

void HostMembership::applyUpdates(
    const HostId& from, const std::vector<MemberUpdate>& updates, TimePoint now)
{
    // A suspect or dead sender may itself be unable to receive messages: only its Alive updates
    // are accepted.
    const bool trusted = stateOf(from) == MemberState::Alive;
    for (const auto& item : updates) {
        if (item.host == m_self) {
            applyUpdateAboutSelf(item);
            continue;
        }
        const auto member = m_members.find(item.host);
        if (member == m_members.end() || (!trusted && item.state != MemberState::Alive)
            || !overrides(item.state, item.incarnation, member->second))
            continue;
        setState(member->second, item.state, item.incarnation, now);
        if (item.state == MemberState::Suspect)
            m_suspectsToPing.push_back(item.host);
    }
}

/// Refutes a suspicion of this host with a higher incarnation.
void HostMembership::applyUpdateAboutSelf(const MemberUpdate& item)
{
    if (item.incarnation < m_incarnation)
        return;
    m_incarnation = item.incarnation;
    if (item.state == MemberState::Alive)
        return;
    ++m_incarnation;
    m_selfUpdatesSent = 0;
    m_hasUrgentUpdate = true;
}

void HostMembership::setState(
    Member& member, MemberState state, std::uint64_t incarnation, TimePoint now)
{
    if (state == MemberState::Suspect && member.state != MemberState::Suspect)
        member.deadline = now + m_settings.suspicionTimeout;
    if (state == MemberState::Dead && member.state != MemberState::Dead)
        m_newlyDead.push_back(member.location.host);
    member.state = state;
    member.incarnation = incarnation;
    member.timesSent = 0;
}

void HostMembership::tick(TimePoint now, Outbox& out)
{
    if (m_probe && !m_probe->answered && !m_probe->indirectSent
        && now >= m_probe->started + m_settings.pingTimeout)
        sendIndirectProbes(out);
    if (now >= m_nextProbe) {
        endProbe(now);
        startProbe(now, out);
        m_nextProbe = now + m_settings.period;
    }
    sendUrgentPings(out);
    expire(now, out);
}

void HostMembership::sendUrgentPings(Outbox& out)
{
    for (const auto& host : std::exchange(m_suspectsToPing, {}))
        sendPing(host, ++m_lastSequence, out);
    if (!std::exchange(m_hasUrgentUpdate, false))
        return;
    std::vector<HostId> alive;
    for (const auto& [host, member] : m_members) {
        if (member.state == MemberState::Alive)
            alive.push_back(host);
    }
    for (const auto& host : sample(std::move(alive), m_settings.indirectProbes, m_random))
        sendPing(host, ++m_lastSequence, out);
}

void HostMembership::endProbe(TimePoint now)
{
    const auto probe = std::exchange(m_probe, std::nullopt);
    if (!probe)
        return;
    Member& member = m_members[probe->target];
    if (probe->answered) {
        m_consecutiveMisses = 0;
        return;
    }
    // An unanswered probe of a dead host does not indicate that this host is isolated.
    if (member.state == MemberState::Dead)
        return;
    ++m_consecutiveMisses;
    // A host that reaches nobody is more likely to be cut off itself.
    if (member.state != MemberState::Alive || isIsolated())
        return;
    setState(member, MemberState::Suspect, member.incarnation, now);
    m_hasUrgentUpdate = true;
}

void HostMembership::startProbe(TimePoint now, Outbox& out)
{
    if (m_members.empty())
        return;
    m_probe = Probe { nextTarget(), ++m_lastSequence, now };
    sendPing(m_probe->target, m_probe->sequence, out);
}

/// Visits all hosts that are not dead in random order. Dead hosts are probed every
/// `deadPingInterval` probes.
HostId HostMembership::nextTarget()
{
    std::vector<HostId> dead;
    std::vector<HostId> others;
    for (const auto& [host, member] : m_members)
        (member.state == MemberState::Dead ? dead : others).push_back(host);
    const bool deadTurn = ++m_probes % m_settings.deadPingInterval == 0;
    if (others.empty() || (deadTurn && !dead.empty()))
        return dead[uniformBelow(m_random, dead.size())];
    std::erase_if(m_probeOrder,
        [this](const HostId& host) { return m_members[host].state == MemberState::Dead; });
    if (m_probeOrder.empty()) {
        const std::size_t count = others.size();
        m_probeOrder = sample(std::move(others), count, m_random);
    }
    HostId target = std::move(m_probeOrder.back());
    m_probeOrder.pop_back();
    return target;
}

void HostMembership::sendIndirectProbes(Outbox& out)
{
    m_probe->indirectSent = true;
    std::vector<HostId> candidates;
    for (const auto& [host, member] : m_members) {
        if (host != m_probe->target && member.state == MemberState::Alive)
            candidates.push_back(host);
    }
    for (const auto& helper : sample(std::move(candidates), m_settings.indirectProbes, m_random))
        out.send(helper, methodMemberRequest,
            encodeMemberPing({ m_probe->sequence, m_probe->target, selectUpdates(helper) }));
}

void HostMembership::expire(TimePoint now, Outbox& out)
{
    for (auto& [host, member] : m_members) {
        if (member.state == MemberState::Suspect && now >= member.deadline && !isIsolated())
            setState(member, MemberState::Dead, member.incarnation, now);
    }
    std::erase_if(
        m_relayedPings, [now](const auto& relayed) { return relayed.second.ends <= now; });
    for (const auto& host : std::exchange(m_newlyDead, {})) {
        Decision decision { "member", "dead" };
        decision.facts["host"] = host.value();
        out.log(std::move(decision));
    }
}

/// The updates sent least often, and always a suspicion that the receiver has to refute.
std::vector<MemberUpdate> HostMembership::selectUpdates(const HostId& receiver)
{
    std::vector<MemberUpdate> updates;
    const auto receiverMember = m_members.find(receiver);
    if (receiverMember != m_members.end() && receiverMember->second.state != MemberState::Alive)
        updates.push_back(
            { receiver, receiverMember->second.state, receiverMember->second.incarnation });
    if (m_selfUpdatesSent < m_maxTransmissions) {
        ++m_selfUpdatesSent;
        updates.push_back({ m_self, MemberState::Alive, m_incarnation });
    }
    std::vector<Member*> fresh;
    for (auto& [host, member] : m_members) {
        const bool isTrusted = member.state == MemberState::Alive || !isIsolated();
        if (member.timesSent < m_maxTransmissions && host != receiver && isTrusted)
            fresh.push_back(&member);
    }
    const std::size_t count = std::min(fresh.size(), m_settings.updatesPerMessage);
    std::partial_sort(fresh.begin(), fresh.begin() + static_cast<std::ptrdiff_t>(count),
        fresh.end(), [](const Member* a, const Member* b) { return a->timesSent < b->timesSent; });
    for (std::size_t i = 0; i < count; ++i) {
        ++fresh[i]->timesSent;
        updates.push_back({ fresh[i]->location.host, fresh[i]->state, fresh[i]->incarnation });
    }
    return updates;
}

void HostMembership::sendPing(const HostId& to, std::uint64_t sequence, Outbox& out)
{
    out.send(to, methodMemberPing, encodeMemberPing({ sequence, std::nullopt, selectUpdates(to) }));
}

} // namespace laburnum
