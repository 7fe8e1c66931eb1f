#include <laburnumroute/ownership_leases.h>

#include <algorithm>

#include "lease_messages_pvt.h"

namespace laburnum {

using namespace pvt;

OwnershipLeases::OwnershipLeases(
    HostId self, std::vector<HostLocation> hosts, std::uint64_t seed, LeaseSettings settings)
    : m_self(std::move(self))
    , m_hosts(std::move(hosts))
    , m_random(seed)
    , m_settings(settings)
    , m_epoch(m_random())
{
}

void OwnershipLeases::setServices(const std::set<ServiceId>& services)
{
    std::erase_if(
        m_candidacies, [&](const auto& candidacy) { return !services.contains(candidacy.first); });
    m_observed.clear();
    for (const auto& service : services) {
        const auto& group = groupOf(service);
        const auto position = std::find(group.begin(), group.end(), m_self);
        if (position == group.end()) {
            m_observed[service] = group;
            continue;
        }
        Candidacy& candidacy = m_candidacies[service];
        candidacy.rank = static_cast<std::size_t>(position - group.begin());
        candidacy.group = group;
    }
}

void OwnershipLeases::resign(TimePoint now, Outbox& out)
{
    for (auto& [service, candidacy] : m_candidacies) {
        if (isOwner(service, now))
            log(service, "resigned");
        release(service, candidacy, out);
    }
    m_candidacies.clear();
}

bool OwnershipLeases::isOwner(const ServiceId& service, TimePoint now) const
{
    const auto candidacy = m_candidacies.find(service);
    return candidacy != m_candidacies.end() && now < candidacy->second.ownedUntil;
}

std::optional<TimePoint> OwnershipLeases::ownerSince(const ServiceId& service, TimePoint now) const
{
    if (!isOwner(service, now))
        return std::nullopt;
    return m_candidacies.find(service)->second.ownedSince;
}

std::optional<HostId> OwnershipLeases::ownerOf(const ServiceId& service, TimePoint now) const
{
    if (isOwner(service, now))
        return m_self;
    if (const Grant* grant = validGrant(service, now); grant && grant->owner != m_self)
        return grant->owner;
    const auto hint = m_ownerHints.find(service);
    if (hint != m_ownerHints.end() && now < hint->second.expires)
        return hint->second.owner;
    return std::nullopt;
}

const OwnershipLeases::Grant* OwnershipLeases::validGrant(
    const ServiceId& service, TimePoint now) const
{
    const auto grant = m_granted.find(service);
    return grant != m_granted.end() && now < grant->second.expires ? &grant->second : nullptr;
}

bool OwnershipLeases::mayGrant(TimePoint now) const
{
    return m_startTime && now >= *m_startTime + m_settings.leaseDuration;
}

Duration OwnershipLeases::ownerLease() const
{
    // Worst case: the owner's clock is slow and the voter's clock is fast.
    const double factor = (1.0 - m_settings.clockDrift) / (1.0 + m_settings.clockDrift);
    return std::chrono::duration_cast<Duration>(m_settings.leaseDuration * factor);
}

std::vector<std::string> OwnershipLeases::methods() const
{
    return { methodLeaseRequest, methodLeaseReply, methodLeaseRelease, methodLeaseAsk,
        methodLeaseOwner };
}

void OwnershipLeases::receive(const PeerMessage& message, TimePoint now, Outbox& out)
{
    if (!m_startTime)
        m_startTime = now;
    if (message.method == methodLeaseRequest)
        receiveRequest(message, now, out);
    else if (message.method == methodLeaseReply)
        receiveReply(message, now);
    else if (message.method == methodLeaseRelease)
        receiveRelease(message, now);
    else if (message.method == methodLeaseAsk)
        receiveOwnerQuery(message, now, out);
    else if (message.method == methodLeaseOwner)
        receiveOwner(message, now);
}

void OwnershipLeases::receiveRequest(const PeerMessage& message, TimePoint now, Outbox& out)
{
    const auto request = decodeLeaseRequest(message.params);
    if (!request)
        return;
    LeaseReply reply { request->service, request->epoch, request->round, false, {}, {} };
    reply.granted = tryGrant(*request, message.from, now);
    if (const Grant* grant = validGrant(request->service, now)) {
        reply.owner = grant->owner;
        reply.remaining = grant->expires - now;
    }
    out.send(message.from, methodLeaseReply, encodeLeaseReply(reply));
}

const std::vector<HostId>& OwnershipLeases::groupOf(const ServiceId& service)
{
    const auto known = m_groups.find(service);
    if (known != m_groups.end())
        return known->second;
    return m_groups[service] = voterGroup(service, m_hosts, m_settings.groupSize);
}

bool OwnershipLeases::isInGroup(const ServiceId& service, const HostId& host)
{
    const auto& group = groupOf(service);
    return std::find(group.begin(), group.end(), host) != group.end();
}

bool OwnershipLeases::tryGrant(const LeaseRequest& request, const HostId& from, TimePoint now)
{
    if (!mayGrant(now) || !isInGroup(request.service, m_self) || !isInGroup(request.service, from))
        return false;
    const Grant* held = validGrant(request.service, now);
    // An earlier run of the same host counts as another owner: its delayed messages may still
    // arrive.
    if (held && (held->owner != from || held->epoch != request.epoch))
        return false;
    // A delayed request must not replace the grant of a later round.
    if (held && request.round < held->round)
        return false;
    m_granted[request.service]
        = { from, request.epoch, request.round, now + m_settings.leaseDuration };
    return true;
}

void OwnershipLeases::receiveRelease(const PeerMessage& message, TimePoint now)
{
    const auto release = decodeLeaseRequest(message.params);
    if (!release)
        return;
    const Grant* grant = validGrant(release->service, now);
    if (grant && grant->owner == message.from && grant->epoch == release->epoch
        && grant->round <= release->round)
        m_granted.erase(release->service);
}

void OwnershipLeases::receiveReply(const PeerMessage& message, TimePoint now)
{
    const auto reply = decodeLeaseReply(message.params);
    if (!reply || reply->epoch != m_epoch)
        return;
    const auto found = m_candidacies.find(reply->service);
    if (found == m_candidacies.end() || reply->round <= found->second.cancelledRound)
        return;
    if (reply->granted) {
        addGrant(reply->service, found->second, message.from, *reply, now);
        return;
    }
    if (!reply->owner.value().empty() && reply->owner != m_self)
        m_ownerHints[reply->service] = { reply->owner, now + reply->remaining };
}

void OwnershipLeases::addGrant(const ServiceId& service, Candidacy& candidacy, const HostId& voter,
    const LeaseReply& reply, TimePoint now)
{
    const auto sent = candidacy.sentAt.find(reply.round);
    const bool isVoter
        = std::find(candidacy.group.begin(), candidacy.group.end(), voter) != candidacy.group.end();
    if (sent == candidacy.sentAt.end() || !isVoter)
        return;
    TimePoint& until = candidacy.grants[voter];
    until = std::max(until, sent->second + ownerLease());
    std::vector<TimePoint> ends;
    ends.reserve(candidacy.grants.size());
    for (const auto& [host, end] : candidacy.grants)
        ends.push_back(end);
    const std::size_t majority = candidacy.group.size() / 2 + 1;
    if (ends.size() < majority)
        return;
    std::sort(ends.rbegin(), ends.rend());
    const TimePoint end = ends[majority - 1];
    if (end <= now)
        return;
    if (now >= candidacy.ownedUntil) {
        candidacy.ownedSince = now;
        log(service, "acquired");
    }
    candidacy.ownedUntil = std::max(candidacy.ownedUntil, end);
    if (reply.round == candidacy.round)
        candidacy.requesting = false;
}

void OwnershipLeases::tick(TimePoint now, Outbox& out)
{
    if (!m_startTime)
        m_startTime = now;
    for (auto& [service, candidacy] : m_candidacies)
        tickCandidacy(service, candidacy, now, out);
    if (now >= m_nextOwnerQuery) {
        m_nextOwnerQuery = now + m_settings.ownerQueryInterval;
        for (const auto& [service, group] : m_observed)
            out.send(group[uniformBelow(m_random, group.size())], methodLeaseAsk,
                encodeLeaseRequest({ service, 0, 0 }));
    }
    for (auto& decision : std::exchange(m_pendingDecisions, {}))
        out.log(std::move(decision));
}

void OwnershipLeases::tickCandidacy(
    const ServiceId& service, Candidacy& candidacy, TimePoint now, Outbox& out)
{
    const bool owns = now < candidacy.ownedUntil;
    if (!owns && candidacy.requesting && now >= candidacy.roundSent + m_settings.requestTimeout) {
        backOff(service, candidacy, now, out);
        return;
    }
    if (!owns && !candidacy.requesting) {
        // Another host holds the lease as far as this host knows: wait until it has expired.
        const auto hint = m_ownerHints.find(service);
        const Grant* grant = validGrant(service, now);
        const bool taken = (grant && grant->owner != m_self)
            || (hint != m_ownerHints.end() && now < hint->second.expires);
        if (taken || candidacy.nextRequest == TimePoint {}) {
            candidacy.nextRequest = now + candidacyDelay(candidacy);
            return;
        }
    }
    if (now >= candidacy.nextRequest)
        request(service, candidacy, now, out);
}

Duration OwnershipLeases::candidacyDelay(const Candidacy& candidacy)
{
    const auto step = static_cast<std::uint64_t>(m_settings.rankDelay.count());
    return m_settings.rankDelay * static_cast<Duration::rep>(candidacy.rank)
        + Duration(uniformBelow(m_random, step));
}

void OwnershipLeases::request(
    const ServiceId& service, Candidacy& candidacy, TimePoint now, Outbox& out)
{
    candidacy.round = ++m_lastRound;
    candidacy.requesting = true;
    candidacy.roundSent = now;
    candidacy.nextRequest = now + m_settings.renewInterval;
    std::erase_if(candidacy.sentAt,
        [&](const auto& sent) { return sent.second + m_settings.leaseDuration <= now; });
    candidacy.sentAt[candidacy.round] = now;
    for (const auto& voter : candidacy.group)
        out.send(
            voter, methodLeaseRequest, encodeLeaseRequest({ service, m_epoch, candidacy.round }));
}

void OwnershipLeases::backOff(
    const ServiceId& service, Candidacy& candidacy, TimePoint now, Outbox& out)
{
    release(service, candidacy, out);
    candidacy.nextRequest = now + m_settings.rankDelay + candidacyDelay(candidacy);
}

/// Releases all grants; replies still in flight are ignored.
void OwnershipLeases::release(const ServiceId& service, Candidacy& candidacy, Outbox& out)
{
    candidacy.cancelledRound = candidacy.round;
    candidacy.requesting = false;
    candidacy.grants.clear();
    candidacy.sentAt.clear();
    candidacy.ownedUntil = TimePoint {};
    for (const auto& voter : candidacy.group)
        out.send(
            voter, methodLeaseRelease, encodeLeaseRequest({ service, m_epoch, candidacy.round }));
}

void OwnershipLeases::receiveOwnerQuery(const PeerMessage& message, TimePoint now, Outbox& out)
{
    const auto query = decodeLeaseRequest(message.params);
    if (!query)
        return;
    const auto owner = ownerOf(query->service, now);
    if (!owner)
        return;
    // The receiver keeps this hint for one lease duration and queries the owner again long before
    // it expires.
    out.send(message.from, methodLeaseOwner,
        encodeLeaseReply({ query->service, 0, 0, false, *owner, m_settings.leaseDuration }));
}

void OwnershipLeases::receiveOwner(const PeerMessage& message, TimePoint now)
{
    const auto reply = decodeLeaseReply(message.params);
    if (reply && m_observed.contains(reply->service))
        m_ownerHints[reply->service] = { reply->owner, now + reply->remaining };
}

void OwnershipLeases::log(const ServiceId& service, const char* reason)
{
    Decision decision { "ownership", reason };
    decision.facts["service"] = service.value();
    m_pendingDecisions.push_back(std::move(decision));
}

} // namespace laburnum
