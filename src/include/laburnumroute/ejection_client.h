/// The part of every host in ejections: reports evidence to the owners of services and puts the
/// permits that come back in force, for as long as they live.
#pragma once

#include <map>

#include <laburnumroute/ownership.h>
#include <laburnumroute/participant.h>
#include <laburnumroute/permit_message.h>

namespace laburnum {

/// Keeps references to the ownership and the traffic, which must outlive it.
class EjectionClient final : public Participant {
public:
    /// `incarnation` is drawn anew at each start of the process.
    EjectionClient(DataCentreId dataCentre, std::uint64_t incarnation, const Ownership& ownership,
        TrafficView& traffic);

    std::vector<std::string> methods() const override { return { methodPermits }; }
    void receive(const PeerMessage& message, TimePoint now, Outbox& out) override;
    /// Sends evidence twice a second.
    void tick(TimePoint now, Outbox& out) override;

private:
    /// What is in force for one service.
    struct Held {
        HostId owner;
        std::int64_t sentAt = 0;
        std::uint64_t version = 0;
        TimePoint expires {};
        bool hasPermits = false;
    };

    void report(EvidenceDelta delta, TimePoint now, Outbox& out);
    static bool isNewer(const PermitGrant& grant, const HostId& owner, const Held& held);

    DataCentreId m_dataCentre;
    std::uint64_t m_incarnation;
    const Ownership& m_ownership;
    TrafficView& m_traffic;
    std::uint64_t m_sequence = 0;
    TimePoint m_nextReport {};
    std::map<ServiceId, Held> m_held;
};

} // namespace laburnum
