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
    std::erase_if(m_claims, [&](const auto& claim) { return !services.contains(claim.first); });
    m_foreign.clear();
    for (const auto& service : services) {
        const auto& group = groupOf(service);
        const auto place = std::find(group.begin(), group.end(), m_self);
        if (place == group.end()) {
            m_foreign[service] = group;
            continue;
        }
        Claim& claim = m_claims[service];
        claim.rank = static_cast<std::size_t>(place - group.begin());
        claim.group = group;
    }
}

void OwnershipLeases::resign(TimePoint now, Outbox& out)
{
    for (auto& [service, claim] : m_claims) {
        if (isOwner(service, now))
            log(service, "resigned");
        release(service, claim, out);
    }
    m_claims.clear();
}

bool OwnershipLeases::isOwner(const ServiceId& service, TimePoint now) const
{
    const auto claim = m_claims.find(service);
    return claim != m_claims.end() && now < claim->second.ownedUntil;
}

std::optional<TimePoint> OwnershipLeases::ownerSince(const ServiceId& service, TimePoint now) const
{
    if (!isOwner(service, now))
        return std::nullopt;
    return m_claims.find(service)->second.ownedSince;
}

std::optional<HostId> OwnershipLeases::ownerOf(const ServiceId& service, TimePoint now) const
{
    if (isOwner(service, now))
        return m_self;
    if (const Grant* grant = liveGrant(service, now); grant && grant->owner != m_self)
        return grant->owner;
    const auto hint = m_hints.find(service);
    if (hint != m_hints.end() && now < hint->second.expires)
        return hint->second.owner;
    return std::nullopt;
}

const OwnershipLeases::Grant* OwnershipLeases::liveGrant(
    const ServiceId& service, TimePoint now) const
{
    const auto grant = m_granted.find(service);
    return grant != m_granted.end() && now < grant->second.expires ? &grant->second : nullptr;
}

bool OwnershipLeases::mayGrant(TimePoint now) const
{
    return m_started && now >= *m_started + m_settings.lease;
}

Duration OwnershipLeases::ownerLease() const
{
    // The owner's clock may be slow and the voter's fast at the same time.
    const double factor = (1.0 - m_settings.clockSkew) / (1.0 + m_settings.clockSkew);
    return std::chrono::duration_cast<Duration>(m_settings.lease * factor);
}

std::vector<std::string> OwnershipLeases::methods() const
{
    return { methodLeaseRequest, methodLeaseReply, methodLeaseRelease, methodLeaseAsk,
        methodLeaseOwner };
}

void OwnershipLeases::receive(const PeerMessage& message, TimePoint now, Outbox& out)
{
    if (!m_started)
        m_started = now;
    if (message.method == methodLeaseRequest)
        receiveRequest(message, now, out);
    else if (message.method == methodLeaseReply)
        receiveReply(message, now);
    else if (message.method == methodLeaseRelease)
        receiveRelease(message, now);
    else if (message.method == methodLeaseAsk)
        receiveAsk(message, now, out);
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
    if (const Grant* grant = liveGrant(request->service, now)) {
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
    const Grant* held = liveGrant(request.service, now);
    // A former life of the same host counts as another owner: its late messages may still come.
    if (held && (held->owner != from || held->epoch != request.epoch))
        return false;
    // A late request must not undo what a later round was granted.
    if (held && request.round < held->round)
        return false;
    m_granted[request.service] = { from, request.epoch, request.round, now + m_settings.lease };
    return true;
}

void OwnershipLeases::receiveRelease(const PeerMessage& message, TimePoint now)
{
    const auto release = decodeLeaseRequest(message.params);
    if (!release)
        return;
    const Grant* grant = liveGrant(release->service, now);
    if (grant && grant->owner == message.from && grant->epoch == release->epoch
        && grant->round <= release->round)
        m_granted.erase(release->service);
}

void OwnershipLeases::receiveReply(const PeerMessage& message, TimePoint now)
{
    const auto reply = decodeLeaseReply(message.params);
    if (!reply || reply->epoch != m_epoch)
        return;
    const auto found = m_claims.find(reply->service);
    if (found == m_claims.end() || reply->round <= found->second.voidRound)
        return;
    if (reply->granted) {
        takeGrant(reply->service, found->second, message.from, *reply, now);
        return;
    }
    if (!reply->owner.value().empty() && reply->owner != m_self)
        m_hints[reply->service] = { reply->owner, now + reply->remaining };
}

void OwnershipLeases::takeGrant(const ServiceId& service, Claim& claim, const HostId& voter,
    const LeaseReply& reply, TimePoint now)
{
    const auto sent = claim.sentAt.find(reply.round);
    const bool isVoter
        = std::find(claim.group.begin(), claim.group.end(), voter) != claim.group.end();
    if (sent == claim.sentAt.end() || !isVoter)
        return;
    TimePoint& until = claim.grants[voter];
    until = std::max(until, sent->second + ownerLease());
    std::vector<TimePoint> ends;
    ends.reserve(claim.grants.size());
    for (const auto& [host, end] : claim.grants)
        ends.push_back(end);
    const std::size_t majority = claim.group.size() / 2 + 1;
    if (ends.size() < majority)
        return;
    std::sort(ends.rbegin(), ends.rend());
    const TimePoint end = ends[majority - 1];
    if (end <= now)
        return;
    if (now >= claim.ownedUntil) {
        claim.ownedSince = now;
        log(service, "acquired");
    }
    claim.ownedUntil = std::max(claim.ownedUntil, end);
    if (reply.round == claim.round)
        claim.requesting = false;
}

void OwnershipLeases::tick(TimePoint now, Outbox& out)
{
    if (!m_started)
        m_started = now;
    for (auto& [service, claim] : m_claims)
        tickClaim(service, claim, now, out);
    if (now >= m_nextAsk) {
        m_nextAsk = now + m_settings.askInterval;
        for (const auto& [service, group] : m_foreign)
            out.send(group[uniformBelow(m_random, group.size())], methodLeaseAsk,
                encodeLeaseRequest({ service, 0, 0 }));
    }
    for (auto& decision : std::exchange(m_unlogged, {}))
        out.log(std::move(decision));
}

void OwnershipLeases::tickClaim(const ServiceId& service, Claim& claim, TimePoint now, Outbox& out)
{
    const bool owns = now < claim.ownedUntil;
    if (!owns && claim.requesting && now >= claim.roundSent + m_settings.requestTimeout) {
        backOff(service, claim, now, out);
        return;
    }
    if (!owns && !claim.requesting) {
        // Somebody else holds the lease as far as this host knows: come after it.
        const auto hint = m_hints.find(service);
        const Grant* grant = liveGrant(service, now);
        const bool taken = (grant && grant->owner != m_self)
            || (hint != m_hints.end() && now < hint->second.expires);
        if (taken || claim.nextRequest == TimePoint {}) {
            claim.nextRequest = now + candidacyDelay(claim);
            return;
        }
    }
    if (now >= claim.nextRequest)
        request(service, claim, now, out);
}

Duration OwnershipLeases::candidacyDelay(const Claim& claim)
{
    const auto step = static_cast<std::uint64_t>(m_settings.rankDelay.count());
    return m_settings.rankDelay * static_cast<Duration::rep>(claim.rank)
        + Duration(uniformBelow(m_random, step));
}

void OwnershipLeases::request(const ServiceId& service, Claim& claim, TimePoint now, Outbox& out)
{
    claim.round = ++m_lastRound;
    claim.requesting = true;
    claim.roundSent = now;
    claim.nextRequest = now + m_settings.renewInterval;
    std::erase_if(
        claim.sentAt, [&](const auto& sent) { return sent.second + m_settings.lease <= now; });
    claim.sentAt[claim.round] = now;
    for (const auto& voter : claim.group)
        out.send(voter, methodLeaseRequest, encodeLeaseRequest({ service, m_epoch, claim.round }));
}

void OwnershipLeases::backOff(const ServiceId& service, Claim& claim, TimePoint now, Outbox& out)
{
    release(service, claim, out);
    claim.nextRequest = now + m_settings.rankDelay + candidacyDelay(claim);
}

/// Gives up what was granted; replies that are still under way are void.
void OwnershipLeases::release(const ServiceId& service, Claim& claim, Outbox& out)
{
    claim.voidRound = claim.round;
    claim.requesting = false;
    claim.grants.clear();
    claim.sentAt.clear();
    claim.ownedUntil = TimePoint {};
    for (const auto& voter : claim.group)
        out.send(voter, methodLeaseRelease, encodeLeaseRequest({ service, m_epoch, claim.round }));
}

void OwnershipLeases::receiveAsk(const PeerMessage& message, TimePoint now, Outbox& out)
{
    const auto ask = decodeLeaseRequest(message.params);
    if (!ask)
        return;
    const auto owner = ownerOf(ask->service, now);
    if (!owner)
        return;
    // A hint lives as long as a lease may: it is asked for again long before.
    out.send(message.from, methodLeaseOwner,
        encodeLeaseReply({ ask->service, 0, 0, false, *owner, m_settings.lease }));
}

void OwnershipLeases::receiveOwner(const PeerMessage& message, TimePoint now)
{
    const auto reply = decodeLeaseReply(message.params);
    if (reply && m_foreign.contains(reply->service))
        m_hints[reply->service] = { reply->owner, now + reply->remaining };
}

void OwnershipLeases::log(const ServiceId& service, const char* reason)
{
    Decision decision { "ownership", reason };
    decision.facts["service"] = service.value();
    m_unlogged.push_back(std::move(decision));
}

} // namespace laburnum
