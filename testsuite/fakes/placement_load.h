/// The load of a large site on one FleetScheduler, without a network: callers of several data
/// centres and accounts, instances that fail, shed and cannot be reached from some hosts, and a
/// loss of the leader. Deterministic for a seed.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <vector>

#include <laburnumroute/fleet_scheduler.h>
#include <laburnumroute/random.h>

namespace laburnum::fakes {

/// Size of a site, in proportions of the users' largest: 443 entry hosts, 720 instances and 3,300
/// requests a second.
struct PlacementLoadOptions {
    unsigned hosts = 443;
    unsigned instances = 720;
    double requestsPerSecond = 3300.0;
    /// While the leader is lost, hosts place alone; the attempts of the last seconds are adopted by
    /// its successor. Relative to the start; equal times mean no loss.
    Duration leaderLost {};
    Duration leaderBack {};
    /// A part of the hosts can't reach an instance during this time.
    Duration pathsLost {};
    Duration pathsBack {};
    double pathLossShare = 0.0;
    /// The busiest service sheds this share of its requests during this time.
    Duration shedFrom {};
    Duration shedUntil {};
    double shedShare = 0.0;
    /// Share of that service's instances that shed.
    double sheddingInstances = 1.0;
    RetryBudgetLimits retries { 0.2, 630.0, std::chrono::seconds(10) };
    /// Accounts, the i-th largest with a demand in proportion to 1/i; none if 0.
    unsigned accounts = 0;
    /// The i-th largest account has priority (i - 1) modulo this.
    unsigned priorities = 1;
    /// During this time the largest accounts send a multiple of their usual demand, and the busiest
    /// service gets a multiple of its own.
    Duration surgeFrom {};
    Duration surgeUntil {};
    unsigned surgingAccounts = 0;
    double accountSurge = 1.0;
    double serviceSurge = 1.0;
    /// Outcomes by account cover the requests that arrive during this time.
    Duration measureFrom {};
    Duration measureUntil {};
    /// Data centres, three in each region.
    unsigned dataCentres = 9;
    /// The demand of a data centre swings by this share, each in another phase.
    double demandSwing = 0.0;
    Duration swingPeriod = std::chrono::seconds(17);
    /// The first data centre loses seven of ten instances of each service during this time. They
    /// refuse connections, and announce themselves no more.
    Duration instancesLost {};
    Duration instancesBack {};
    /// All instances take this many times as long during this time.
    Duration slowFrom {};
    Duration slowUntil {};
    double slowness = 1.0;
    /// Attempts between the first data centre and others take longer by this during this time.
    Duration narrowFrom {};
    Duration narrowUntil {};
    Duration narrowDelay {};
    /// Share of instances that are gray at times.
    double grayInstances = 0.3;
    /// Zero: SpilloverPolicy is off.
    Duration spilloverFrom {};
    /// Measured one-way delay within a region.
    Duration regionDelay = std::chrono::microseconds(5400);
};

/// A site of this many entry hosts in the same proportions, in calm.
PlacementLoadOptions siteOfHosts(unsigned hosts);
/// The same with the troubles of a bad day: control hosts without power, paths from hosts to
/// instances lost, then a service that sheds half of its work.
PlacementLoadOptions badDayOfHosts(unsigned hosts);

/// A site of 127 entry hosts, 246 instances and 85 accounts with 1,240 requests a second, or a
/// smaller one in the same proportions.
PlacementLoadOptions siteWithAccounts(double scale);

/// Outcomes of one account's requests.
struct AccountOutcome {
    std::uint32_t priority = 0;
    unsigned arrived = 0;
    /// Answered within the objective of 2 s.
    unsigned inTime = 0;
    std::map<PlacementRefusal, unsigned> refused;
    /// From arrival to the refusal.
    std::vector<Duration> refusedAfter;
};

/// What was seen in one second.
struct PlacementSecond {
    unsigned arrived = 0;
    unsigned answered = 0;
    /// Answered within the objective of 2 s.
    unsigned inTime = 0;
    /// Failed by an instance.
    unsigned failed = 0;
    unsigned refused = 0;
    /// First grants, and those of them at an instance of another data centre or region.
    unsigned granted = 0;
    unsigned leftDataCentre = 0;
    unsigned leftRegion = 0;
    /// First grants of a service by the data centre of the host and of the instance.
    std::map<std::pair<unsigned, unsigned>, unsigned> flows;
    /// From arrival to the first grant.
    std::vector<Duration> firstGrant;
    /// Mean number of requests that wait.
    double waiting = 0.0;
    /// Mean share of slots that are free at instances that can serve, while requests of their
    /// service wait.
    double idleWhileWaiting = 0.0;
    /// Median of `firstGrant`; zero if there is none.
    Duration medianFirstGrant();
};

/// Runs once. Each step is 1 ms of virtual time.
class PlacementLoad {
public:
    PlacementLoad(const PlacementLoadOptions& options, std::uint64_t seed);

    std::vector<PlacementSecond> run(Duration time);
    /// Instances evaluated for each request that arrived.
    double evaluationsPerRequest() const;
    /// By rank; empty without accounts.
    const std::vector<AccountOutcome>& accounts() const { return m_accounts; }

private:
    struct Service {
        ServiceId id;
        RequestKind kind = RequestKind::Unsafe;
        double share = 0.0;
        double meanSeconds = 0.0;
        std::uint32_t bodyKiB = 0;
        std::vector<unsigned> instances;
    };
    struct Instance {
        InstanceRecord record;
        std::size_t service = 0;
        /// Number within the service.
        unsigned number = 0;
        unsigned running = 0;
        bool isGrayAtTimes = false;
        Duration phase {};
    };
    struct Request {
        std::size_t service = 0;
        unsigned host = 0;
        TimePoint arrived;
        unsigned account = 0;
        bool isGranted = false;
        bool wasSent = false;
        std::vector<InstanceId> avoid;
    };
    struct End {
        TimePoint at;
        DispatchKey key;
        unsigned instance = 0;
        PlacementReport report;
        bool operator>(const End& other) const { return at > other.at; }
    };

    bool isSurge(TimePoint now) const;
    /// Expected arrivals in a second.
    double demand(TimePoint now) const;
    double accountWeight(unsigned account, TimePoint now) const;
    unsigned drawAccount(TimePoint now);
    std::size_t drawService(TimePoint now);
    /// The outcome of the request's account if the request counts.
    AccountOutcome* outcomeOf(const Request& request);
    void arrive(TimePoint now);
    void dispatch(const DispatchKey& key, TimePoint now);
    void handleReplies(const std::vector<PlacementReply>& replies, TimePoint now);
    void attempt(const DispatchKey& key, unsigned instance, TimePoint now);
    PlacementReport outcome(const Request& request, unsigned instance, TimePoint now);
    void endDue(TimePoint now);
    void finish(const End& end, TimePoint now);
    void restartLeader(TimePoint now);
    void measure(TimePoint now);
    void measureDelays();
    unsigned drawHost(TimePoint now);
    bool isLost(unsigned instance, TimePoint now) const;
    DataCentreId dataCentre(unsigned i) const;
    RegionId region(unsigned i) const;
    bool within(TimePoint now, Duration from, Duration until) const;
    PlacementSecond& second(TimePoint at);

    const PlacementLoadOptions m_options;
    Random m_random;
    FleetScheduler m_scheduler;
    std::vector<Service> m_services;
    std::vector<Instance> m_instances;
    std::map<InstanceId, unsigned> m_byId;
    std::map<DispatchKey, Request> m_requests;
    std::priority_queue<End, std::vector<End>, std::greater<>> m_ends;
    std::vector<PlacementSecond> m_seconds;
    std::vector<AccountOutcome> m_accounts;
    std::uint32_t m_lastDispatch = 0;
    std::uint64_t m_arrived = 0;
    bool m_hasLeader = true;
};

} // namespace laburnum::fakes
