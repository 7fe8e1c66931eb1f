/// Fleet-wide placement scheduler: grants each attempt a slot at an instance, queues attempts that
/// have to wait, and refuses those that cannot be served in time. Runs in the Controller of the
/// control host that leads the replicated log and serves the entry hosts, which accept the callers'
/// requests. A state machine without I/O.
///
/// An entry host dispatches each attempt under its own DispatchKey. The attempt is granted a slot
/// (a placement, held until end() or cancel()), refused, or queued (a waiter) until it is granted
/// or refused.
///
/// Load patterns that it handles, most of them replayed in fleet_scheduler_test.cpp:
/// - Hosts that select instances independently collide on one; here all grants are counted in one
///   process.
/// - A burst beyond all slots: the queue holds only what can still be served in time; the rest is
///   refused at once.
/// - Under overload, queued requests of a higher priority (0 is the highest) are served first;
///   those of a lower one may be refused.
/// - Instances that fail, hang or slow down for seconds: one estimator per instance collects the
///   outcomes of all hosts.
/// - Instances that have just started and are still cold (warming up): they get at most two
///   requests at a time.
/// - Thousands of queued requests at a large site: queued requests of one class (RequestClass) see
///   the same costs, so the work for a dispatch, end or tick grows with the number of classes and
///   of grants, not with the queue.
/// - More requests than the best instances can take while others have free slots: a queue that
///   stands in front of the best ones delays every request and serves none more, so a request
///   waits only briefly for a better slot than one that is free, and less the longer the queue
///   stands.
/// - Hosts behind slow or distant links: a slot counts as used from its grant to the report of its
///   end, but the instance works on the request only for a part of that time. What is on its way
///   takes no slot, as far as the reports show.
/// - Instances that fail at once are always free: they get few requests, however many wait.
/// - Accounts that send more than their cap: UsageCaps, asked at the first dispatch of a request.
/// - Instances that name a rate limit: InstanceRateLimits, asked for each grant.
/// - An account that sends several times its usual rate: requests of one priority are queued in the
///   fair order of FairShares, and those beyond their account's share are refused first. The rules
///   for accounts apply to a service from its first request that carries one.
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <laburnumroute/configuration.h>
#include <laburnumroute/decision.h>
#include <laburnumroute/fair_shares.h>
#include <laburnumroute/health_estimator.h>
#include <laburnumroute/instance.h>
#include <laburnumroute/instance_rate_limits.h>
#include <laburnumroute/placement_types.h>
#include <laburnumroute/priority_room.h>
#include <laburnumroute/retry_rationing.h>
#include <laburnumroute/retry_window.h>
#include <laburnumroute/spillover_policy.h>
#include <laburnumroute/usage_caps.h>
#include <laburnumroute/waiter_order.h>

namespace laburnum {

/// Not thread-safe; `now` never goes back. Replies are appended to `replies`; the key of a reply
/// names the connection that it goes to.
class FleetScheduler {
public:
    explicit FleetScheduler(RetryBudgetLimits limits)
        : m_retryLimits(limits)
    {
    }

    /// Adds an instance or updates its record.
    void upsert(const InstanceRecord& record, TimePoint now);
    /// Removes an instance; attempts in flight at it are still ended by end().
    void remove(const InstanceId& id, TimePoint now);
    /// Clears all state, instances included, without replies; called when this host becomes leader
    /// or ceases to be. RetryBudgetLimits::slack counts as used for one window, because the
    /// previous leader's grants are unknown. The caps stay, with levels as after a change of
    /// leader.
    void restart(TimePoint now);
    /// The instance sent an announcement; it is cold for another `warmupRemaining`.
    void onAnnouncement(const InstanceId& id, Duration warmupRemaining, TimePoint now);

    /// A host heard what an instance said about its rate limit. Statements of other starts of the
    /// instance than the registered one change nothing.
    void onRateLimit(const InstanceRateLimit& limit, TimePoint now);

    /// One-way delay between data centres of a region from which on SpilloverPolicy decides which
    /// requests leave their data centre; zero: never.
    void setSpilloverThreshold(Duration from) { m_spillover.setThreshold(from); }
    /// A host measured the delay between two data centres.
    void onDelay(
        const DataCentreId& one, const DataCentreId& other, bool isSameRegion, Duration oneWay);
    const SpilloverPolicy& spillover() const noexcept { return m_spillover; }

    /// Requests a slot. Each dispatch gets exactly one Granted or Refused reply, possibly after a
    /// Waiting reply, unless cancel(), dropLink() or restart() removes it before.
    void dispatch(
        const PlacementRequest& request, TimePoint now, std::vector<PlacementReply>& replies);
    /// Cancels a dispatch, without a reply to it. A slot that has been granted meanwhile is
    /// released as unused. A retry stays counted in the retry budget.
    void cancel(DispatchKey key, TimePoint now, std::vector<PlacementReply>& replies);
    /// Ends an attempt and frees its slot, which may be granted to a waiter. Unknown keys are
    /// ignored.
    void end(DispatchKey key, const PlacementReport& report, TimePoint now,
        std::vector<PlacementReply>& replies);
    /// Registers an attempt that an entry host placed locally, or under an earlier leader. It
    /// counts even if the instance has no free slot. Its key must not be registered yet.
    void adopt(const ActivePlacement& placement, TimePoint now);
    /// The connection `link` to an entry host closed: drops its queued requests without replies.
    /// Its placements can still be ended; without an end their slots are freed within about 2 s.
    void dropLink(LinkId link, TimePoint now);
    /// Grants a free slot to requests that have waited long enough for a better one, grants any
    /// free slot to requests that have waited for their maximum time, or refuses them, and serves
    /// other waiters. Reports attempts that run for more than three typical latencies (at least 1
    /// s) to the estimators. Frees slots whose attempts were not ended 1 s after their deadline.
    void tick(TimePoint now, std::vector<PlacementReply>& replies);

    /// Instances that are not usable or fail the next request with a probability above 0.12, for
    /// entry hosts that fall back to local placement.
    std::vector<InstanceId> doubtful(TimePoint now) const;
    /// The caps of client accounts; dispatch() takes from them.
    UsageCaps& caps() noexcept { return m_caps; }
    const UsageCaps& caps() const noexcept { return m_caps; }
    /// The rate limits of instances; each grant takes from them.
    InstanceRateLimits& rateLimits() noexcept { return m_rateLimits; }
    const InstanceRateLimits& rateLimits() const noexcept { return m_rateLimits; }

    /// Number of queued requests.
    std::size_t waiting() const noexcept;
    /// Number of placements not yet ended.
    std::size_t granted() const noexcept { return m_placements.size(); }
    /// Refusals since construction by cause; the last member of PlacementRefusal is the largest.
    std::uint64_t refusals(PlacementRefusal cause) const
    {
        return m_refusals.at(static_cast<std::size_t>(cause));
    }
    /// Instances evaluated since construction, as a measure of the work done.
    std::uint64_t evaluations() const noexcept { return m_evaluations; }

private:
    /// Cached result of the estimator, valid for healthCacheTime.
    struct Health {
        double failureProbability = 0.0;
        double failureBound = 0.0;
        double declineProbability = 0.0;
        /// Latency as a multiple of the service's typical latency.
        double slowness = 1.0;
        TimePoint at;
    };

    struct Instance {
        InstanceRecord record;
        HealthEstimator estimator;
        /// Slots in use by this scheduler's placements.
        std::uint32_t busy = 0;
        /// Slots granted beyond those of the record, see updateTransitSlots().
        std::uint32_t transitSlots = 0;
        TimePoint lastAnnouncement;
        TimePoint coldUntil;
        TimePoint lastGranted;
        TimePoint lastFailure;
        /// One of the at most three, and at most 10 %, of the service's instances that are most
        /// likely to fail. Their idle limit, the time without a grant after which an instance gets
        /// a request as a probe, is longer.
        bool idleExempt = false;
        TimePoint lastUnreachable;
        /// Slots in use beyond `busy`, derived from the load that the instance reported.
        double externalLoad = 0.0;
        TimePoint externalLoadAt;
        mutable std::optional<Health> health;
    };

    struct Placement {
        InstanceId instance;
        ServiceId service;
        TimePoint since;
        TimePoint until;
        bool overdue = false;
        // What FairShares counted for it.
        ClientAccountId account;
        std::uint32_t priority = 0;
        FairShares::Charge charge;
        /// The request's and the instance's data centre; empty for an adopted placement.
        DataCentreId home {};
        DataCentreId destination {};
        /// See SpilloverPolicy::onGrant().
        bool hasLeft = false;
    };

    /// Requests of one class see the same cost of every instance, nearly: sizes are rounded up.
    struct RequestClass {
        RequestKind kind = RequestKind::Unsafe;
        DataCentreId dataCentre;
        RegionId region;
        std::uint32_t bodyKiB = 0;

        friend auto operator<=>(const RequestClass&, const RequestClass&) = default;
    };

    struct Waiter {
        PlacementRequest request;
        TimePoint since;
        /// From then on any free slot but a grave one is taken, see SelectionPolicy.
        TimePoint settleAt;
        TimePoint until;
        FairShares::Charge charge;
    };
    using Waiters = std::map<WaiterOrder, Waiter>;

    /// The highest costs at which a slot is worth taking: while a request waits for a cheaper one
    /// than is free, and after that (SelectionPolicy::Settle).
    struct CostLimits {
        double waiting = 0.0;
        double settled = 0.0;
    };

    /// The queued requests of one class.
    struct ClassQueue {
        std::set<WaiterOrder> waiters;
        /// The same by the time from which they take any slot but a grave one.
        std::set<std::pair<TimePoint, WaiterOrder>> bySettleTime;
        /// Result of the latest scan.
        CostLimits limits;
    };

    struct RankedInstance {
        double cost = 0.0;
        Instance* instance = nullptr;
    };
    /// The usable instances of a service by their cost for a class of requests at time `at`.
    /// Costs rise with grants and are evaluated again; the rare ones that fall since then are seen
    /// in the next ranking.
    struct Ranking {
        std::vector<RankedInstance> instances;
        TimePoint at;
    };

    /// Total slots of a service's usable instances, cached for capacityCacheTime. Of an instance
    /// with a rate limit, those that count are the ones that the limit keeps in use.
    struct Capacity {
        double slots = 0.0;
        std::size_t instances = 0;
        std::size_t limited = 0;
        TimePoint at;

        /// All instances have a rate limit.
        bool isRateBound() const { return limited > 0 && limited == instances; }
    };

    struct Service {
        /// Sorted by id.
        std::vector<Instance*> instances;
        Waiters waiters;
        WaiterRanks ranks;
        /// By priority; empty until a request carries an account.
        std::map<std::uint32_t, FairShares> shares;
        PriorityRoom room;
        std::map<RequestClass, ClassQueue> classes;
        /// Scales the wait for cheaper slots; falls while the queue stands, see updateWaitFactor().
        double waitFactor = 1.0;
        /// Whether the queue was empty at some moment since the last tick.
        bool queueEmptied = true;
        mutable std::map<RequestClass, Ranking> rankings;
        std::optional<Capacity> capacity;
        RetryWindow retries;
        RetryRationing rationing;
        /// Smoothed latency of successful attempts; 0 before the first.
        double typicalSeconds = 0.0;
        /// Smoothed share of the time between grant and end in which no instance worked on the
        /// request.
        double transitShare = 0.0;
    };

    /// An instance without a free slot, and the cost of a slot there.
    struct FullInstance {
        double cost = 0.0;
        std::uint32_t slots = 0;
    };
    /// Result of a scan. `instance` is null when no instance qualifies.
    struct Choice {
        Instance* instance = nullptr;
        CostLimits limits;
    };

    Service& serviceOf(const ServiceId& id);
    void detach(Instance& instance);
    Duration typicalLatencyOf(const Service& service) const;
    const Health& healthOf(const Instance& instance, TimePoint now) const;
    const Capacity& capacityOf(Service& service, TimePoint now) const;
    /// CostAware skips a free slot when waiting for a cheaper one costs less. Settle takes any free
    /// slot but a grave one, which costs more than the best full instance by as much as a gray
    /// spell does: a request there is likely to be lost, and an instance that fails at once would
    /// attract the whole queue. AnyFree takes any. None takes one that is held back.
    enum class SelectionPolicy { CostAware, Settle, AnyFree };

    static RequestClass classOf(const PlacementRequest& request);
    const Ranking& rankingOf(
        const PlacementRequest& request, const Service& service, TimePoint now) const;
    std::vector<const Instance*> excludedBy(const PlacementRequest& request) const;
    Choice choose(const PlacementRequest& request, const Service& service, TimePoint now,
        SelectionPolicy policy) const;
    static double computeMaxCost(const std::vector<FullInstance>& full, Duration typicalLatency,
        Duration maxWait, std::size_t waiters);
    /// Expected delay in milliseconds (placement_cost_pvt.h), less a bonus when a probe is due.
    double cost(const Instance& instance, const Service& service, const PlacementRequest& request,
        TimePoint now) const;
    double awayCost(
        const Instance& instance, const PlacementRequest& request, double probability) const;
    void updateSpillover(const ServiceId& id, const Service& service, TimePoint now);
    /// True if the instance has been idle for so long that it should get a request as a probe.
    bool isProbeDue(const Instance& instance, const PlacementRequest& request, TimePoint now) const;
    void exemptWorst(TimePoint now);
    /// Takes a retry from the budget; false if the request may not have one.
    static bool takeRetry(Service& service, const PlacementRequest& request, TimePoint now);
    void dispatchHedge(const PlacementRequest& request, Service& service, TimePoint now,
        std::vector<PlacementReply>& replies);
    void refuse(const PlacementRequest& request, PlacementRefusal refusal, Duration delay,
        TimePoint now, std::vector<PlacementReply>& replies);
    bool hasFreeSlot(const Instance& instance, TimePoint now) const;
    /// True if the instance is likely to be in a gray spell and has just got a request.
    bool isHeldBack(const Instance& instance, TimePoint now) const;
    /// Longest wait for a cheaper slot than one that is free.
    static Duration maxWaitForCheaper(const PlacementRequest& request, const Service& service);
    bool usable(const Instance& instance, TimePoint now) const;
    /// Grants a slot to a request that was not queued.
    void grantAtOnce(const PlacementRequest& request, Instance& instance, TimePoint now,
        std::vector<PlacementReply>& replies);
    void grant(const PlacementRequest& request, const FairShares::Charge& charge,
        Instance& instance, TimePoint now, std::vector<PlacementReply>& replies);
    void checkPlacements(TimePoint now);
    void recordOutcome(const Placement& placement, const PlacementReport& report, TimePoint now);
    void release(const Placement& placement);
    static void updateTransitShare(Service& service, Duration held, Duration latency);
    static void updateTransitSlots(Service& service);

    // The queue (fleet_scheduler_queue.cpp).
    /// Expected time until a request with this place in the queue gets a slot.
    Duration expectedWait(Service& service, const WaiterOrder& order, TimePoint now) const;
    /// Why a request for which there is no room is refused.
    PlacementRefusal causeOfNoRoom(Service& service, const WaiterOrder& order, TimePoint now) const;
    /// When a request should come back whose slot is expected after `wait`.
    Duration retryAfter(Service& service, Duration wait, TimePoint now) const;
    void refuseWaiter(Service& service, Waiters::iterator waiter, TimePoint now,
        std::vector<PlacementReply>& replies);
    /// Refuses the last requests of each priority that can no longer be served in time.
    void refuseExcess(Service& service, TimePoint now, std::vector<PlacementReply>& replies);
    void grantWaiter(Service& service, Waiters::iterator waiter, Instance& instance, TimePoint now,
        std::vector<PlacementReply>& replies);
    void enqueue(const PlacementRequest& request, std::optional<CostLimits> limits, TimePoint now,
        std::vector<PlacementReply>& replies);
    bool isAnyUsable(const PlacementRequest& request, Service& service, TimePoint now) const;
    /// Removes a request that is about to be granted.
    Waiters::iterator removeWaiter(Service& service, Waiters::iterator waiter);
    /// Removes a request that gets no grant.
    Waiters::iterator dropWaiter(Service& service, Waiters::iterator waiter);
    FairShares::Charge chargeFor(Service& service, const PlacementRequest& request) const;
    /// Where the request would stand in the queue.
    WaiterOrder orderOf(const Service& service, const PlacementRequest& request) const;
    static void advanceShares(
        Service& service, const PlacementRequest& request, const FairShares::Charge& charge);
    static void correctCharge(Service& service, const Placement& placement, Duration held);
    void offer(
        Service& service, Instance& instance, TimePoint now, std::vector<PlacementReply>& replies);
    /// The first queued request not before `from` that takes a slot at `instance`; end() if none
    /// does.
    Waiters::iterator firstTaker(
        Service& service, const Instance& instance, const WaiterOrder& from, TimePoint now);
    /// The same of one class.
    Waiters::iterator firstTaker(Service& service, const ClassQueue& queue,
        const Instance& instance, const WaiterOrder& from, TimePoint now);
    /// The request of the class that has waited longest, if it takes a slot of this cost that the
    /// first ones do not take; end() if not.
    static Waiters::iterator settledTaker(Service& service, const ClassQueue& queue,
        const Instance& instance, double cost, TimePoint now);
    static std::vector<std::uint32_t> waitingPriorities(const Service& service);
    void serveWaiters(Service& service, TimePoint now, std::vector<PlacementReply>& replies);
    static void updateWaitFactor(Service& service);
    Duration expectedWait(Service& service, std::size_t ahead, TimePoint now) const;

    RetryBudgetLimits m_retryLimits;
    /// Time of the latest restart(); the clock's epoch before the first.
    TimePoint m_startedAt {};
    mutable std::uint64_t m_evaluations = 0;
    std::array<std::uint64_t, static_cast<std::size_t>(PlacementRefusal::RateLimited) + 1>
        m_refusals {};
    std::map<InstanceId, Instance> m_instances;
    std::map<ServiceId, Service> m_services;
    std::map<DispatchKey, Placement> m_placements;
    SpilloverPolicy m_spillover;
    std::map<DispatchKey, std::pair<Service*, WaiterOrder>> m_waiterIndex;
    std::uint64_t m_lastWaiterNumber = 0;
    UsageCaps m_caps;
    InstanceRateLimits m_rateLimits;
};

} // namespace laburnum
