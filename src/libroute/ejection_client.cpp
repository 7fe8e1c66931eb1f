#include <laburnumroute/ejection_client.h>

#include <set>

namespace laburnum {

namespace {

    constexpr auto reportInterval = std::chrono::milliseconds(500);

} // namespace

EjectionClient::EjectionClient(DataCentreId dataCentre, std::uint64_t incarnation,
    const Ownership& ownership, TrafficView& traffic)
    : m_dataCentre(std::move(dataCentre))
    , m_incarnation(incarnation)
    , m_ownership(ownership)
    , m_traffic(traffic)
{
}

void EjectionClient::receive(const PeerMessage& message, TimePoint now, Outbox& /*out*/)
{
    const auto grant = decodePermitGrant(message.params);
    if (!grant || grant->incarnation != m_incarnation)
        return;
    const TimePoint sent { Duration(grant->sentAt) };
    if (sent > now || sent + permitLease <= now)
        return;
    HeldPermits& held = m_heldPermits[grant->service];
    if (!isNewer(*grant, message.from, held))
        return;
    held = { message.from, grant->sentAt, grant->version, sent + permitLease,
        !grant->permits.empty() };
    m_traffic.applyPermits(grant->service, { grant->permits, held.expires }, now);
}

void EjectionClient::tick(TimePoint now, Outbox& out)
{
    if (now < m_nextReport)
        return;
    m_nextReport = now + reportInterval;
    std::set<ServiceId> reported;
    for (auto& delta : m_traffic.takeEvidence(now)) {
        reported.insert(delta.service);
        report(std::move(delta), now, out);
    }
    for (const auto& [service, held] : m_heldPermits) {
        if (!held.hasPermits || held.expires <= now || reported.contains(service))
            continue;
        EvidenceDelta renewal;
        renewal.service = service;
        report(std::move(renewal), now, out);
    }
}

void EjectionClient::report(EvidenceDelta delta, TimePoint now, Outbox& out)
{
    const auto owner = m_ownership.ownerOf(delta.service, now);
    if (!owner)
        return;
    delta.observer = m_dataCentre;
    delta.incarnation = m_incarnation;
    delta.sequence = ++m_sequence;
    delta.sentAt = now.time_since_epoch().count();
    out.send(*owner, methodEvidence, encodeEvidence(delta));
}

bool EjectionClient::isNewer(const PermitGrant& grant, const HostId& owner, const HeldPermits& held)
{
    if (grant.sentAt != held.sentAt)
        return grant.sentAt > held.sentAt;
    return owner != held.owner || grant.version >= held.version;
}

} // namespace laburnum
