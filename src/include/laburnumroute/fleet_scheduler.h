/// One view of all instances of the fleet: grants each attempt a place, lets attempts wait their
/// turn, refuses what cannot be served in time. Lives at the leading control host; entry hosts
/// dispatch it. A state machine without I/O.
///
/// Load patterns that it answers, each replayed by a test: hosts that choose alone collide on an
/// instance (grants are counted in one place); a burst beyond all slots (the queue is bounded by
/// what can still be in time, the rest is refused at once); a rank that must not starve a higher
/// one; instances that fail, hang or slow down for seconds (evidence of all hosts in one judge);
/// instances that start cold; a grown site whose requests wait by the hundred (no dispatch, end or
/// tick looks at more than a bounded number of them, and a look weighs each instance once).
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <laburnumroute/configuration.h>
#include <laburnumroute/decision.h>
#include <laburnumroute/health_estimator.h>
#include <laburnumroute/instance.h>
#include <laburnumroute/placement_types.h>
#include <laburnumroute/retry_window.h>

namespace laburnum {

/// Not thread-safe; `now` never goes back.
class FleetScheduler {
public:
    explicit FleetScheduler(RetryBudgetLimits terms)
        : m_terms(terms)
    {
    }

    /// Adds an instance or takes up its newer record.
    void upsert(const InstanceRecord& record, TimePoint now);
    /// Forgets an instance; attempts at it still end by end().
    void remove(const InstanceId& id);
    /// Forgets everything and starts at `now`, for a host that begins to lead: what an earlier
    /// leader granted of the budget of repeats counts as used up for a window.
    void restart(TimePoint now);
    /// The instance announced itself; it stays cold for `coldFor` more.
    void onAnnouncement(const InstanceId& id, Duration coldFor, TimePoint now);

    /// Asks for a place. Each dispatch is answered once by Granted or Refused, maybe after Waiting.
    void dispatch(
        const PlacementRequest& demand, TimePoint now, std::vector<PlacementReply>& replies);
    /// The asker no longer waits. A place that was granted meanwhile is ended as unused.
    void cancel(DispatchKey key, TimePoint now, std::vector<PlacementReply>& replies);
    /// An attempt ended; its place is free.
    void end(DispatchKey key, const PlacementReport& report, TimePoint now,
        std::vector<PlacementReply>& replies);
    /// An attempt that an entry host placed without this view, or under an earlier leader.
    void adopt(const ActivePlacement& place, TimePoint now);
    /// An entry host's connection ended: its asks are void, and its attempts end soon.
    void dropLink(LinkId link, TimePoint now);
    /// Refuses what waited too long, and takes note of attempts that are overdue.
    void tick(TimePoint now, std::vector<PlacementReply>& replies);

    /// Instances that are likely to fail now, for hosts that must choose alone.
    std::vector<InstanceId> doubtful(TimePoint now) const;
    std::size_t waiting() const noexcept;
    std::size_t granted() const noexcept { return m_places.size(); }
    /// Instances that were weighed since the start, as a measure of the work done.
    std::uint64_t evaluations() const noexcept { return m_weighed; }

private:
    /// What the judge says, kept for some milliseconds.
    struct Health {
        double failureChance = 0.0;
        double slowness = 1.0;
        TimePoint at;
    };

    struct Instance {
        InstanceRecord record;
        HealthEstimator judge;
        std::uint32_t busy = 0;
        TimePoint heard;
        TimePoint coldUntil;
        TimePoint lastGranted;
        TimePoint lastFailure;
        /// Among the likeliest to fail; may stay idle.
        bool leftOut = false;
        TimePoint lastUnreachable;
        /// Places that other askers hold besides `busy`, as the instance reported.
        double foreign = 0.0;
        TimePoint foreignAt;
        mutable std::optional<Health> health;
    };

    struct Place {
        InstanceId instance;
        ServiceId service;
        TimePoint since;
        TimePoint until;
        bool overdue = false;
    };

    /// Lower ranks first, then those that came first.
    using WaiterOrder = std::pair<std::uint32_t, std::uint64_t>;

    struct Waiter {
        PlacementRequest demand;
        TimePoint since;
        TimePoint until;
        /// Waiting is better than a place that costs more; as of the last look at all instances.
        double acceptable = 0.0;
        std::optional<TimePoint> lookedAt;
    };
    using Waiters = std::map<WaiterOrder, Waiter>;

    /// What the usable instances of a service hold together, kept for some milliseconds.
    struct Capacity {
        std::uint32_t slots = 0;
        std::size_t instances = 0;
        TimePoint at;
    };

    struct Service {
        /// By id.
        std::vector<Instance*> instances;
        Waiters waiters;
        std::map<std::uint32_t, std::size_t> waitersOfRank;
        /// The waiter that the next tick looks at first, after those of the lowest ranks.
        WaiterOrder nextLook;
        std::optional<Capacity> capacity;
        RetryWindow repeats;
        /// Typical latency of a success, in seconds.
        double typical = 0.0;
    };

    /// An instance without room, and what a place there would cost.
    struct FullInstance {
        double cost = 0.0;
        std::uint32_t slots = 0;
    };
    /// The place for a demand, or up to which cost it takes one.
    struct Choice {
        Instance* instance = nullptr;
        double acceptable = 0.0;
    };

    Service& serviceOf(const ServiceId& id);
    void detach(Instance& instance);
    Duration typicalOf(const Service& service) const;
    const Health& healthOf(const Instance& instance, TimePoint now) const;
    const Capacity& capacityOf(Service& service, TimePoint now) const;
    /// Sensible leaves a place alone when waiting for a better one costs less.
    enum class Pick { Sensible, Any };

    std::vector<const Instance*> avoidedBy(const PlacementRequest& demand) const;
    Choice choose(
        const PlacementRequest& demand, const Service& service, TimePoint now, Pick pick) const;
    static double acceptableCost(
        std::vector<FullInstance>& full, Duration typical, std::size_t waiters);
    double cost(const Instance& instance, const Service& service, const PlacementRequest& demand,
        TimePoint now) const;
    bool isDue(const Instance& instance, const PlacementRequest& demand, TimePoint now) const;
    void leaveOutWorst(TimePoint now);
    void askBeside(const PlacementRequest& demand, Service& service, TimePoint now,
        std::vector<PlacementReply>& replies);
    static void refuse(const PlacementRequest& demand, PlacementRefusal refusal, Duration delay,
        std::vector<PlacementReply>& replies);
    bool hasRoom(const Instance& instance, TimePoint now) const;
    bool usable(const Instance& instance, TimePoint now) const;
    void grant(const PlacementRequest& demand, Instance& instance, TimePoint now,
        std::vector<PlacementReply>& replies);
    void grantWaiter(Service& service, Waiters::iterator waiter, Instance& instance, TimePoint now,
        std::vector<PlacementReply>& replies);
    void enqueue(const PlacementRequest& demand, const std::optional<Choice>& looked, TimePoint now,
        std::vector<PlacementReply>& replies);
    bool isAnyUsable(const PlacementRequest& demand, Service& service, TimePoint now) const;
    Waiters::iterator forget(Service& service, Waiters::iterator waiter);
    bool look(Service& service, Waiters::iterator waiter, TimePoint now,
        std::vector<PlacementReply>& replies);
    void offer(
        Service& service, Instance& instance, TimePoint now, std::vector<PlacementReply>& replies);
    std::vector<Instance*> withRoom(const Service& service, TimePoint now) const;
    std::size_t endWaits(Service& service, std::vector<Instance*>& free, TimePoint now,
        std::vector<PlacementReply>& replies);
    void serveWaiters(
        Service& service, std::size_t looks, TimePoint now, std::vector<PlacementReply>& replies);
    void tickPlaces(TimePoint now);
    void judge(const Place& place, const PlacementReport& report, TimePoint now);
    Duration expectedWait(Service& service, std::size_t ahead, TimePoint now) const;
    void release(const Place& place);

    RetryBudgetLimits m_terms;
    TimePoint m_startedAt {};
    mutable std::uint64_t m_weighed = 0;
    std::map<InstanceId, Instance> m_instances;
    std::map<ServiceId, Service> m_services;
    std::map<DispatchKey, Place> m_places;
    std::map<DispatchKey, std::pair<Service*, WaiterOrder>> m_waiting;
    std::uint64_t m_lastWaiter = 0;
};

} // namespace laburnum
