/// Ejection permits, the floor rule that owner and hosts share, and what the ejection machinery
/// sees of a host's traffic.
#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <vector>

#include <laburnumroute/configuration.h>
#include <laburnumroute/evidence.h>

namespace laburnum {

/// What a permit makes of its instance.
enum class PermitState {
    /// The instance gets no request.
    Ejected,
    /// The instance gets a trickle of idempotent requests.
    OnTrial,
    /// No longer in force, but some host may not know yet; still counts against the floor.
    Withdrawn,
};

/// Permission to keep traffic from one instance.
struct Permit {
    /// Order of granting; grows.
    std::uint64_t sequence = 0;
    InstanceId instance;
    /// The one data centre whose hosts avoid the instance; empty for all hosts.
    DataCentreId scope;
    PermitState state = PermitState::Ejected;

    friend bool operator==(const Permit&, const Permit&) = default;
};

/// All permits of a service that may be in force anywhere, sorted by sequence. A host drops the set
/// at `expires`.
struct PermitSet {
    std::vector<Permit> permits;
    TimePoint expires {};
};

/// Slots of the instances that serve: known, not draining, lease unexpired.
using ServingSlots = std::map<InstanceId, std::uint32_t>;

/// Number of leading `permits` that leave at least `floorSlots` (and one slot) in service. Hosts
/// that hold different versions of a set still agree on a prefix, so that what they keep together
/// leaves the floor.
std::size_t permitsWithinFloor(
    std::uint32_t floorSlots, const ServingSlots& serving, std::span<const Permit> permits);

/// One host's traffic as EjectionOwner and EjectionClient see it. The Dispatcher implements it; the
/// serving process wraps that with its lock.
class TrafficView {
public:
    virtual ~TrafficView() = default;
    /// The declared services.
    virtual std::vector<ServiceSpec> declaredServices() const = 0;
    virtual ServingSlots servingSlots(const ServiceId& service) const = 0;
    /// Outcomes since the previous call, for services with traffic. Only `service` and `instances`
    /// are filled.
    virtual std::vector<EvidenceDelta> takeEvidence(TimePoint now) = 0;
    /// Puts `permits` in force in place of the previous set, as far as the floor allows.
    virtual void applyPermits(const ServiceId& service, const PermitSet& permits, TimePoint now)
        = 0;
};

} // namespace laburnum
