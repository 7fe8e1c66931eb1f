/// Upstreams that announce themselves once a second, each time to a random host.
#pragma once

#include <memory>
#include <set>
#include <vector>

#include <laburnumroute/instance_gossip.h>
#include <laburnumroute/random.h>

#include "fakes/fake_network.h"

namespace laburnum::fakes {

/// Hosts that spread instances, and the upstreams that announce to them.
class InstanceFleet {
public:
    InstanceFleet(unsigned hostCount, unsigned instances, std::uint64_t seed);

    /// Replaces host `i` by a new process without memory.
    void restart(unsigned i);
    /// Runs for `time`; upstreams announce all along.
    void run(Duration time, const std::function<void()>& check = {});
    /// One announcement of upstream `i` to a random host that is up.
    void announce(unsigned i);
    /// Number of hosts at which upstream `i` is known in `phase`.
    unsigned countKnown(unsigned i, InstancePhase phase) const;

    FakeNetwork network;
    std::vector<HostId> ids;
    std::vector<std::unique_ptr<InstanceGossip>> hosts;
    /// The next announcement of each upstream.
    std::vector<InstanceRecord> upstreams;
    /// Upstreams that have fallen silent.
    std::set<unsigned> silent;
    /// Hosts that the platform's balancer does not choose.
    std::set<unsigned> down;

private:
    Random m_random;
};

} // namespace laburnum::fakes
