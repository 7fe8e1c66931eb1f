/// Connects the InstanceRateLimits of the leader's scheduler with what the Controller knows: which
/// entry hosts it hears, the lease, and what hosts heard from instances. No I/O.
///
/// Load pattern: after a change of leader all entry hosts state the same limits at once.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <laburnumroute/fleet_scheduler.h>

#include "controller_messages_pvt.h"

namespace laburnum::pvt {

RateLimitRow toRow(const InstanceRateLimit& limit, TimePoint now);
/// Empty if the row has values that no host sends. `delay`: time since the row arrived.
std::optional<InstanceRateLimit> fromRow(const RateLimitRow& row, Duration delay, TimePoint now);
/// The rows that can be read.
std::vector<InstanceRateLimit> fromRows(
    const std::vector<RateLimitRow>& rows, Duration delay, TimePoint now);
std::vector<RateLimitRow> toRows(const std::vector<InstanceRateLimit>& limits, TimePoint now);

class RateLimitCoordinator {
public:
    explicit RateLimitCoordinator(FleetScheduler& scheduler)
        : m_scheduler(scheduler)
    {
    }

    /// This host became the leader, or ceased to be. The InstanceRateLimits were restarted.
    void restart(TimePoint now);
    /// An entry host joined, or its only connection was lost.
    void onHostFound(const HostId& host);
    void onHostLost(const HostId& host, TimePoint now);
    /// A frame of an entry host that arrived `delay` ago.
    void onStatements(const RateLimitsFrame& frame, Duration delay, TimePoint now);
    /// To be called at each tick, with whether the leader holds its lease.
    void onTick(bool isLeaseHeld, TimePoint now);

    /// Entry hosts in the fleet, as far as known.
    std::uint32_t hosts() const;
    /// The limits in force, for a host that joins.
    std::string listFrame(TimePoint now) const;
    /// For all hosts, the limits that changed since the last call, if there are any.
    std::optional<std::string> takeUpdate(TimePoint now);

private:
    double share(TimePoint now) const;

    FleetScheduler& m_scheduler;
    std::set<HostId> m_hosts;
    std::map<HostId, TimePoint> m_lostHosts;
    /// What the hosts were told by the last leader.
    std::uint32_t m_statedHosts = 0;
    TimePoint m_startedAt {};
    /// Latest time at which the lease was seen to be held.
    TimePoint m_leaseHeldAt {};
};

} // namespace laburnum::pvt
