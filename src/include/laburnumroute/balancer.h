/// Load balancers: plug-ins that pick one of the instances that can take a request.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>

#include <laburnumroute/ids.h>
#include <laburnumroute/random.h>
#include <laburnumroute/registry.h>

namespace laburnum {

/// An eligible instance, as a balancer sees it.
struct Candidate {
    InstanceId id;
    /// Requests that the instance processes concurrently.
    std::uint32_t slots = 1;
    /// This host's own attempts in flight at the instance.
    std::uint32_t inFlight = 0;
    /// Share of slots in use as reported by the instance, 0 to 1.
    double reportedLoad = 0.0;
    /// Slow-start weight, 0 to 1. Informational: the dispatcher has already left out candidates
    /// according to it.
    double weight = 1.0;
};

/// Picks instances for one service at one host. Not thread-safe.
class Balancer {
public:
    virtual ~Balancer() = default;
    /// Returns an index into `candidates`, which is not empty and sorted by id.
    virtual std::size_t pick(std::span<const Candidate> candidates, Random& random) = 0;
};

using BalancerRegistry = Registry<Balancer>;

} // namespace laburnum
