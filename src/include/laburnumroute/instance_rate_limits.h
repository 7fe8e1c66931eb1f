/// Rate limits of instances at the leader: one token bucket for each instance that named a limit,
/// consulted by the FleetScheduler for each grant. No I/O.
///
/// Load patterns that it handles:
/// - An instance names a limit of one request a second before dozens of hosts: a share for each
///   host is less than one request, so that all grants are counted here.
/// - The leader changes: the levels are unknown to the new one, whose buckets start empty. The
///   hosts state the limits that they know.
/// - Hosts place requests alone, without this leader: they have a part of each limit, which the
///   leader leaves them while hosts are lost, and in the first seconds after its start.
/// - A deposed leader that does not know it yet: its buckets do not refill while it holds no lease.
/// - The limit ends: the instance is asked at least at RateLimitShares::minPerSecond, and its first
///   response without a limit to a request that was sent later ends it.
/// - All instances of a service name limits: the rates, not the slots, are its room; see
///   usableSlots().
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <laburnumroute/decision.h>
#include <laburnumroute/placement_types.h>
#include <laburnumroute/rate_limit_bucket.h>

namespace laburnum {

/// Not thread-safe; `now` never goes back.
class InstanceRateLimits {
public:
    /// This host became the leader, or ceased to be: limits and levels are unknown.
    void restart(TimePoint now);
    /// A host heard a response that names a limit, or none.
    void onStatement(const InstanceRateLimit& limit, TimePoint now);
    /// The instance is registered as this start.
    void onInstance(const InstanceId& id, std::uint64_t incarnation, TimePoint now);
    void remove(const InstanceId& id, TimePoint now);

    /// Part of the limits that this leader grants, from 0 to 1.
    void setShare(double share, TimePoint now);
    /// Buckets do not refill from `now` until resumeRefill(), which credits the time in between.
    void suspendRefill(TimePoint now);
    void resumeRefill() { m_refillUntil.reset(); }

    bool mayGrant(const InstanceId& id, TimePoint now) const;
    /// The same, asked for a request that would take a slot there; counts what the limit held back.
    bool admits(const InstanceId& id, TimePoint now) const;
    /// The instance was granted to the dispatch `key`.
    void take(const InstanceId& id, DispatchKey key, TimePoint now);
    /// The request of `key` was not sent. Unknown keys are ignored.
    void giveBack(DispatchKey key, TimePoint now);
    /// The request of `key` was sent: its token is spent.
    void settle(DispatchKey key) { m_takes.erase(key); }
    /// A host placed a request there by itself, and this leader could not refuse it.
    void takeByForce(const InstanceId& id, TimePoint now);

    /// Slots of the instance that requests at its limit keep in use, if each takes `latency`; all
    /// without a limit.
    double usableSlots(const InstanceId& id, std::uint32_t slots, Duration latency) const;
    bool isLimited(const InstanceId& id) const { return m_buckets.contains(id); }
    std::size_t size() const noexcept { return m_buckets.size(); }
    /// The limits in force, and those that ended in the last minute.
    std::vector<InstanceRateLimit> statements() const { return m_stated.statements(); }
    /// Those of them that changed since the last call. A limit that ended because its instance did
    /// is not among them.
    std::vector<InstanceRateLimit> takeChanges();

    /// The log lines `rate-limit: in-force` and `rate-limit: lifted` due since the last call.
    std::vector<Decision> takeDecisions();
    /// Prometheus text.
    std::string render() const;

private:
    struct Bucket {
        RateLimitBucket tokens;
        TimePoint since;
        std::uint64_t granted = 0;
        mutable std::uint64_t withheld = 0;
    };

    /// A limit changed: creates, adapts or removes the bucket.
    void onChange(const InstanceId& id, TimePoint now);
    void setRate(const InstanceId& id, Bucket& bucket, TimePoint now) const;
    TimePoint refillTime(TimePoint now) const;

    StatedRateLimits m_stated;
    std::map<InstanceId, Bucket> m_buckets;
    std::map<DispatchKey, InstanceId> m_takes;
    double m_share = 1.0;
    std::optional<TimePoint> m_refillUntil;
    std::set<InstanceId> m_changed;
    std::uint64_t m_learned = 0;
    std::uint64_t m_lifted = 0;
    std::uint64_t m_granted = 0;
    mutable std::uint64_t m_withheld = 0;
    std::vector<Decision> m_decisions;
};

} // namespace laburnum
