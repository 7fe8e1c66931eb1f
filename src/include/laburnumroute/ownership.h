/// Ownership of services: at most one host at a time merges a service's evidence and grants its
/// ejections.
#pragma once

#include <optional>

#include <laburnumroute/clock.h>
#include <laburnumroute/ids.h>

namespace laburnum {

/// What a host knows of ownership. Leases of two owners of one service never overlap.
class Ownership {
public:
    virtual ~Ownership() = default;
    /// True while this host holds the service's lease.
    virtual bool isOwner(const ServiceId& service, TimePoint now) const = 0;
    /// The owner to the best of this host's knowledge; may be out of date.
    virtual std::optional<HostId> ownerOf(const ServiceId& service, TimePoint now) const = 0;
    /// The instant since which this host has owned the service; nothing when it does not.
    virtual std::optional<TimePoint> ownerSince(const ServiceId& service, TimePoint now) const = 0;
};

} // namespace laburnum
