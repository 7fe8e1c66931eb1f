/// Runs at every host: reports evidence to the owners of services, and applies the permits that
/// they return until these expire.
#pragma once

#include <map>

#include <laburnumroute/ownership.h>
#include <laburnumroute/participant.h>
#include <laburnumroute/permit_message.h>

namespace laburnum {

/// Keeps references to `ownership` and `traffic`, which must outlive it.
class EjectionClient final : public Participant {
public:
    /// `incarnation` is a random number drawn at each process start.
    EjectionClient(DataCentreId dataCentre, std::uint64_t incarnation, const Ownership& ownership,
        TrafficView& traffic);

    std::vector<std::string> methods() const override { return { methodPermits }; }
    void receive(const PeerMessage& message, TimePoint now, Outbox& out) override;
    /// Sends evidence every half second.
    void tick(TimePoint now, Outbox& out) override;

private:
    /// The permits in force for one service.
    struct HeldPermits {
        HostId owner;
        std::int64_t sentAt = 0;
        std::uint64_t version = 0;
        TimePoint expires {};
        bool hasPermits = false;
    };

    void report(EvidenceDelta delta, TimePoint now, Outbox& out);
    static bool isNewer(const PermitGrant& grant, const HostId& owner, const HeldPermits& held);

    DataCentreId m_dataCentre;
    std::uint64_t m_incarnation;
    const Ownership& m_ownership;
    TrafficView& m_traffic;
    std::uint64_t m_sequence = 0;
    TimePoint m_nextReport {};
    std::map<ServiceId, HeldPermits> m_heldPermits;
};

} // namespace laburnum
