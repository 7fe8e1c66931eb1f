/// Ownership of services: the owner of a service merges its health evidence and grants its
/// ejections. A service has at most one owner at a time.
#pragma once

#include <optional>

#include <laburnumroute/clock.h>
#include <laburnumroute/ids.h>

namespace laburnum {

/// One host's view of service ownership. The leases of two owners of a service never overlap.
class Ownership {
public:
    virtual ~Ownership() = default;
    /// Whether this host holds the lease of the service.
    virtual bool isOwner(const ServiceId& service, TimePoint now) const = 0;
    /// The owner as last known to this host; may be out of date.
    virtual std::optional<HostId> ownerOf(const ServiceId& service, TimePoint now) const = 0;
    /// Time since which this host has owned the service; nullopt when it is not the owner.
    virtual std::optional<TimePoint> ownerSince(const ServiceId& service, TimePoint now) const = 0;
};

} // namespace laburnum
