/// Chooses instances with one host's knowledge: while the fleet's view is out of reach, and to keep
/// requests off paths that only this host finds broken. No I/O.
///
/// Load pattern: many hosts are cut off from the view at once for many seconds, while instances
/// turn gray. Each judges instances by its own outcomes and those that its neighbours tell it, and
/// draws among the good ones at random, so that hosts that believe the same do not all choose the
/// same.
///
/// Load pattern: requests fail everywhere while all hosts are alone (answers lost on their way,
/// instances that fail by turns). Hosts hear of failures only, leave most of a service as doubtful
/// and meet on what is left, and what is well again idles. A part of each host's requests goes to
/// all instances whatever they cost, but not within three seconds of a failure.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include <laburnumroute/health_estimator.h>
#include <laburnumroute/host_place.h>
#include <laburnumroute/instance.h>
#include <laburnumroute/placement_types.h>
#include <laburnumroute/random.h>
#include <laburnumroute/retry_window.h>

namespace laburnum {

/// Not thread-safe; `now` never goes back.
class LocalScheduler {
public:
    LocalScheduler(HostPlace place, std::uint64_t seed);

    void upsert(const InstanceRecord& record);
    void remove(const InstanceId& id);
    const InstanceRecord* find(const InstanceId& id) const;
    const std::map<InstanceId, InstanceRecord>& instances() const noexcept { return m_records; }
    /// Replaces what the fleet's view last held for likely to fail.
    void setDoubtfulInstances(const std::vector<InstanceId>& ids, TimePoint now);

    /// An attempt of this host began or ended at `id`.
    void begin(const InstanceId& id) { ++m_busy[id]; }
    void end(const InstanceId& id, const PlacementReport& report, TimePoint now);
    /// An attempt of this host at `id` has had no answer for `silence`, and goes on.
    void reportOverdue(const InstanceId& id, Duration silence, TimePoint now);
    /// An attempt of another host ended at `id`.
    void onPeerOutcome(const InstanceId& id, PlacementOutcome how, TimePoint now);
    /// Instances that this host alone found out of reach lately.
    std::vector<InstanceId> unreachableInstances(TimePoint now) const;

    /// The instance for a request of `demand`, drawn among those that serve it at little cost.
    std::optional<InstanceId> choose(const PlacementRequest& demand, TimePoint now);
    /// Takes one repeat from this host's own budget (RetryBudgetShares).
    bool takeRetry(const ServiceId& service, TimePoint now);
    /// A new request came. It counts whole when choose() follows at the same time, and as one that
    /// a view was asked for otherwise.
    void onRequest(const ServiceId& service, TimePoint now);

private:
    void judge(const InstanceId& id, const PlacementReport& report, TimePoint now);
    double cost(const InstanceRecord& record, const PlacementRequest& demand, TimePoint now) const;
    std::uint32_t busy(const InstanceId& id) const;
    bool isBroken(const InstanceId& id, TimePoint now) const;
    double spreadWeight(const InstanceRecord& record, TimePoint now) const;

    HostPlace m_place;
    Random m_random;
    std::map<InstanceId, InstanceRecord> m_records;
    std::map<InstanceId, std::uint32_t> m_busy;
    std::map<InstanceId, HealthEstimator> m_judges;
    std::map<InstanceId, TimePoint> m_brokenUntil;
    std::map<InstanceId, TimePoint> m_failedAt;
    std::set<InstanceId> m_doubtful;
    TimePoint m_doubtfulAt {};
    std::map<ServiceId, RetryWindow> m_repeats;
    std::optional<std::pair<ServiceId, TimePoint>> m_newRequest;
};

} // namespace laburnum
