/// Simulated upstreams that announce themselves once a second, each time to a random host.
#pragma once

#include <memory>
#include <set>
#include <vector>

#include <laburnumroute/instance_gossip.h>
#include <laburnumroute/random.h>

#include "fakes/fake_network.h"

namespace laburnum::fakes {

/// Hosts that gossip instance records, and the upstreams that announce to them.
class InstanceFleet {
public:
    InstanceFleet(unsigned hostCount, unsigned instances, std::uint64_t seed);

    /// Restarts host `i` with an empty instance directory.
    void restart(unsigned i);
    /// Runs for `time`, with upstreams announcing throughout, and calls `check` between
    /// announcements.
    void run(Duration time, const std::function<void()>& check = {});
    /// Sends one announcement of upstream `i` to a random host that is up.
    void announce(unsigned i);
    /// Number of hosts that list upstream `i`, unexpired, in `phase`.
    unsigned countKnown(unsigned i, InstancePhase phase) const;

    FakeNetwork network;
    std::vector<HostId> ids;
    std::vector<std::unique_ptr<InstanceGossip>> hosts;
    /// The record that each upstream announces next.
    std::vector<InstanceRecord> upstreams;
    /// Upstreams that have stopped announcing.
    std::set<unsigned> silent;
    /// Hosts to which the platform's load balancer sends no announcements.
    std::set<unsigned> down;

private:
    Random m_random;
};

} // namespace laburnum::fakes
