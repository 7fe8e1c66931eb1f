/// Ejection permits, the floor rule that owners and hosts share, and the interface to a host's
/// traffic.
#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <vector>

#include <laburnumroute/configuration.h>
#include <laburnumroute/evidence.h>

namespace laburnum {

/// Effect of a permit on its instance.
enum class PermitState {
    /// The instance gets no request.
    Ejected,
    /// The instance gets a few idempotent requests.
    OnTrial,
    /// No longer in force, but hosts may still apply it; counts against the floor.
    Withdrawn,
};

/// Permission to keep traffic from one instance.
struct Permit {
    /// Increases with each grant.
    std::uint64_t sequence = 0;
    InstanceId instance;
    /// The data centre whose hosts avoid the instance; empty for all hosts.
    DataCentreId scope;
    PermitState state = PermitState::Ejected;

    friend bool operator==(const Permit&, const Permit&) = default;
};

/// All permits of a service that may be in force at any host, sorted by sequence. A host drops the
/// set at `expires`.
struct PermitSet {
    std::vector<Permit> permits;
    TimePoint expires {};
};

/// Slots of the serving instances: known, not draining, lease not expired.
using ServingSlots = std::map<InstanceId, std::uint32_t>;

/// Returns the number of leading `permits` that leave at least `floorSlots` (and one slot) in
/// service. Hosts with different versions of a set agree on a prefix, so that the permits they
/// apply together respect the floor.
std::size_t permitsWithinFloor(
    std::uint32_t floorSlots, const ServingSlots& serving, std::span<const Permit> permits);

/// One host's traffic, as used by EjectionOwner and EjectionClient. Implemented by Dispatcher,
/// which the serving process wraps with a lock.
class TrafficView {
public:
    virtual ~TrafficView() = default;
    /// The services of the configuration in force.
    virtual std::vector<ServiceSpec> declaredServices() const = 0;
    virtual ServingSlots servingSlots(const ServiceId& service) const = 0;
    /// Returns the outcomes since the previous call, for services with traffic. Only `service` and
    /// `instances` are set.
    virtual std::vector<EvidenceDelta> takeEvidence(TimePoint now) = 0;
    /// Replaces the set of permits in force, as far as the floor allows.
    virtual void applyPermits(const ServiceId& service, const PermitSet& permits, TimePoint now)
        = 0;
};

} // namespace laburnum
