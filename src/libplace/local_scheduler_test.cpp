#include <catch2/catch.hpp>

#include <array>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <queue>

#include <laburnumroute/fleet_scheduler.h>
#include <laburnumroute/local_scheduler.h>

using namespace laburnum;
using namespace std::chrono_literals;

namespace {

const ServiceId service("uploads");
constexpr unsigned zones = 9;
constexpr unsigned regions = 3;
constexpr unsigned hostsPerZone = 14;
constexpr unsigned hosts = zones * hostsPerZone;
/// Instances per data centre.
constexpr std::array<unsigned, zones> instancesPerZone { 5, 4, 5, 5, 4, 3, 3, 3, 3 };
/// Requests of all hosts together.
constexpr double perSecond = 119.0;
/// An instance counts as healthy again this long after a failure.
constexpr auto recoveryTime = 2s;
/// A healthy instance must get work within any such window.
constexpr auto floorWindow = 2s;

DataCentreId zoneName(unsigned zone) { return DataCentreId("z" + std::to_string(zone)); }
RegionId regionName(unsigned zone) { return RegionId("r" + std::to_string(zone % regions)); }

struct Tally {
    unsigned arrived = 0;
    unsigned failed = 0;
    /// Checks at which more than a tenth of the last two seconds' requests was lost, and those of
    /// them at which more than 0.3 of the healthy instances had got nothing for as long.
    unsigned lossyChecks = 0;
    unsigned floorViolations = 0;
    double maxIdle = 0.0;
};

/// Simulates uploads at a large site all of whose hosts place requests locally.
class LocalFleet {
public:
    explicit LocalFleet(std::uint64_t seed)
        : m_random(seed)
    {
        for (unsigned host = 0; host < hosts; ++host) {
            const unsigned zone = host % zones;
            m_schedulers.emplace_back(HostLocation { HostId("h" + std::to_string(host)),
                                          zoneName(zone), regionName(zone) },
                seed * hosts + host);
        }
        for (unsigned zone = 0; zone < zones; ++zone) {
            for (unsigned i = 0; i < instancesPerZone[zone]; ++i)
                addInstance(zone);
        }
    }

    /// Probability that a request that reaches the instance at this time fails at once.
    std::function<double(unsigned, Duration)> fails = [](unsigned, Duration) { return 0.012; };
    /// Probability that an answer of an even-numbered instance is lost; the floor ignores these
    /// instances.
    double lostAnswers = 0.0;
    /// Probability that a request is lost with its host before it reaches an instance.
    double lostHosts = 0.0;
    /// Weight of each data centre in the distribution of callers.
    std::function<double(unsigned, Duration)> callers = [](unsigned, Duration) { return 1.0; };

    Tally run(Duration time)
    {
        Tally tally;
        for (TimePoint now = m_start; now < m_start + time; now += 5ms) {
            end(now, tally);
            std::poisson_distribution<int> arrivals(perSecond * 0.005);
            for (int i = arrivals(m_random); i > 0; --i)
                sendRequest(now, tally);
            // The schedulers have no evidence in the first seconds.
            if ((now - m_start) % Duration(50ms) == 0ms && now - m_start > 4s)
                check(now, tally);
        }
        return tally;
    }

private:
    struct Instance {
        InstanceId id;
        TimePoint used;
        TimePoint failed;
    };
    struct Running {
        TimePoint until;
        TimePoint since;
        unsigned host = 0;
        unsigned instance = 0;
        bool fails = false;
        bool operator>(const Running& other) const { return until > other.until; }
    };
    struct RecentEvent {
        TimePoint at;
        bool lost = false;
    };

    void addInstance(unsigned zone)
    {
        InstanceRecord record;
        record.id = InstanceId("i" + std::to_string(m_instances.size()));
        record.service = service;
        record.dataCentre = zoneName(zone);
        record.region = regionName(zone);
        record.slots = 6;
        for (LocalScheduler& scheduler : m_schedulers)
            scheduler.upsert(record);
        m_index[record.id] = static_cast<unsigned>(m_instances.size());
        m_instances.push_back({ record.id, m_start, TimePoint() });
    }

    bool isDisrupted(unsigned instance) const { return lostAnswers > 0 && instance % 2 == 0; }

    void sendRequest(TimePoint now, Tally& tally)
    {
        ++tally.arrived;
        m_recent.push_back({ now, false });
        if (uniformReal(m_random) < lostHosts) {
            ++tally.failed;
            m_recent.push_back({ now, true });
            return;
        }
        std::vector<double> weights;
        for (unsigned zone = 0; zone < zones; ++zone)
            weights.push_back(callers(zone, now - m_start));
        const unsigned zone
            = std::discrete_distribution<unsigned>(weights.begin(), weights.end())(m_random);
        const unsigned host
            = zone + zones * static_cast<unsigned>(uniformBelow(m_random, hostsPerZone));
        PlacementRequest placement;
        placement.service = service;
        placement.kind = RequestKind::Upload;
        placement.bodyKiB = 60;
        placement.remaining = 8s;
        const auto chosen = m_schedulers[host].choose(placement, now);
        REQUIRE(chosen);
        const unsigned i = m_index.at(*chosen);
        m_schedulers[host].begin(*chosen);
        m_instances[i].used = now;
        const bool failed = uniformReal(m_random) < fails(i, now - m_start);
        if (failed)
            m_instances[i].failed = now;
        const bool lost = isDisrupted(i) && uniformReal(m_random) < lostAnswers;
        const double work = std::lognormal_distribution<double>(std::log(0.45), 0.6)(m_random);
        const auto length = failed
            ? Duration(10ms)
            : std::chrono::duration_cast<Duration>(std::chrono::duration<double>(work));
        m_running.push({ now + length, now, host, i, failed || lost });
    }

    void end(TimePoint now, Tally& tally)
    {
        while (!m_running.empty() && m_running.top().until <= now) {
            const Running ended = m_running.top();
            m_running.pop();
            const InstanceId& id = m_instances[ended.instance].id;
            const PlacementOutcome outcome
                = ended.fails ? PlacementOutcome::Failure : PlacementOutcome::Success;
            m_schedulers[ended.host].end(id, { outcome, now - ended.since }, now);
            if (!ended.fails)
                continue;
            ++tally.failed;
            m_recent.push_back({ now, true });
            for (unsigned host = 0; host < hosts; ++host) {
                if (host != ended.host && host % regions == ended.host % regions)
                    m_schedulers[host].onPeerOutcome(id, outcome, now);
            }
        }
    }

    void check(TimePoint now, Tally& tally)
    {
        while (!m_recent.empty() && now - m_recent.front().at > floorWindow)
            m_recent.pop_front();
        const auto lost = std::count_if(
            m_recent.begin(), m_recent.end(), [](const RecentEvent& each) { return each.lost; });
        const auto arrived = static_cast<double>(m_recent.size()) - static_cast<double>(lost);
        unsigned healthy = 0;
        unsigned idle = 0;
        for (unsigned i = 0; i < m_instances.size(); ++i) {
            // Instances that were healthy during the whole window.
            bool gray = now - m_instances[i].failed < recoveryTime + floorWindow;
            for (Duration ago = 0s; ago <= recoveryTime + floorWindow; ago += 500ms)
                gray = gray || fails(i, now - m_start - ago) > 0.5;
            if (gray || isDisrupted(i))
                continue;
            ++healthy;
            idle += now - m_instances[i].used > floorWindow ? 1 : 0;
        }
        if (healthy == 0 || static_cast<double>(lost) <= 0.1 * arrived)
            return;
        const double share = static_cast<double>(idle) / healthy;
        ++tally.lossyChecks;
        tally.floorViolations += share > 0.3 ? 1 : 0;
        tally.maxIdle = std::max(tally.maxIdle, share);
    }

    static constexpr TimePoint m_start { std::chrono::seconds(100) };
    Random m_random;
    std::vector<LocalScheduler> m_schedulers;
    std::vector<Instance> m_instances;
    std::map<InstanceId, unsigned> m_index;
    std::deque<RecentEvent> m_recent;
    std::priority_queue<Running, std::vector<Running>, std::greater<>> m_running;
};

} // namespace

TEST_CASE("load pattern: local placement keeps healthy instances in use while many requests fail")
{
    struct Pattern {
        double lostAnswers;
        double lostHosts;
        /// Weight of every second data centre relative to the others.
        double uneven;
    };
    const auto pattern = GENERATE(Pattern { 0.2, 0.0, 1.0 }, Pattern { 0.2, 0.0, 10.0 },
        Pattern { 0.0, 0.12, 1.0 }, Pattern { 0.0, 0.12, 10.0 });
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        LocalFleet fleet(seed);
        // A fifth of the instances fails at any time, each for 3 s in every 15 s.
        fleet.fails = [](unsigned i, Duration at) {
            return (at + i * 3100ms) % Duration(15s) < Duration(3s) ? 0.9 : 0.012;
        };
        fleet.lostAnswers = pattern.lostAnswers;
        fleet.lostHosts = pattern.lostHosts;
        fleet.callers
            = [&](unsigned zone, Duration) { return zone % 2 == 0 ? pattern.uneven : 1.0; };
        const Tally tally = fleet.run(24s);
        CAPTURE(pattern.lostAnswers, pattern.lostHosts, pattern.uneven, seed, tally.maxIdle);
        REQUIRE(tally.lossyChecks > 0);
        REQUIRE(tally.floorViolations == 0);
    }
}

namespace {

/// 126 hosts that take every retry they can get, from the fleet scheduler or locally.
class GreedyFleet {
public:
    explicit GreedyFleet(std::uint64_t seed)
        : m_random(seed)
        , m_fleetScheduler({ limits.ratio * RetryBudgetShares::fleetShare,
              limits.slack * RetryBudgetShares::fleetSlackShare, limits.window })
    {
        InstanceRecord record;
        record.id = InstanceId("i");
        record.service = service;
        record.slots = 1000000;
        m_fleetScheduler.restart(m_start);
        m_fleetScheduler.upsert(record, m_start);
        for (unsigned host = 0; host < hosts; ++host) {
            m_schedulers.emplace_back(HostLocation {}, host);
            m_schedulers.back().upsert(record);
        }
    }

    /// Whether a host is cut off from the fleet scheduler, as a function of the time since the
    /// start.
    std::function<bool(unsigned, Duration)> isCutOff;
    /// Share of dispatches that the fleet scheduler counts but answers too late.
    double lateShare = 0.0;

    /// Runs the simulation; returns the largest excess of retries over the limits in any window.
    double run(Duration time, double requestsPerSecond)
    {
        std::vector<TimePoint> requests;
        std::vector<TimePoint> retries;
        for (TimePoint now = m_start; now < m_start + time; now += 10ms) {
            std::poisson_distribution<int> arrivals(requestsPerSecond / 100.0);
            for (int i = arrivals(m_random); i > 0; --i) {
                const auto host = static_cast<unsigned>(uniformBelow(m_random, hosts));
                requests.push_back(now);
                const bool cutOff = isCutOff(host, now - m_start);
                sendRequest(host, now, cutOff);
                while (retry(host, now, cutOff))
                    retries.push_back(now);
            }
        }
        double over = -limits.slack;
        std::size_t first = 0;
        std::size_t firstRequest = 0;
        std::size_t nextRequest = 0;
        for (std::size_t last = 0; last < retries.size(); ++last) {
            while (retries[last] - retries[first] >= limits.window)
                ++first;
            while (nextRequest < requests.size() && requests[nextRequest] <= retries[last])
                ++nextRequest;
            while (requests[firstRequest] <= retries[last] - limits.window)
                ++firstRequest;
            over = std::max(over,
                static_cast<double>(last + 1 - first)
                    - limits.ratio * static_cast<double>(nextRequest - firstRequest)
                    - limits.slack);
        }
        return over;
    }

private:
    void sendRequest(unsigned host, TimePoint now, bool cutOff)
    {
        LocalScheduler& scheduler = m_schedulers[host];
        scheduler.onRequest(service, now);
        const PlacementRequest request = makeRequest(false);
        if (!cutOff)
            askFleetScheduler(request, now);
        // A request that gets no answer from the fleet scheduler is placed locally a little later.
        if (cutOff)
            scheduler.choose(request, now);
        else if (uniformReal(m_random) < lateShare)
            scheduler.choose(request, now + 1ms);
    }

    bool retry(unsigned host, TimePoint now, bool cutOff)
    {
        return cutOff ? m_schedulers[host].takeRetry(service, now)
                      : askFleetScheduler(makeRequest(true), now);
    }

    bool askFleetScheduler(const PlacementRequest& request, TimePoint now)
    {
        std::vector<PlacementReply> replies;
        m_fleetScheduler.dispatch(request, now, replies);
        m_fleetScheduler.end(request.key, {}, now, replies);
        return replies.front().kind == PlacementReplyKind::Granted;
    }

    PlacementRequest makeRequest(bool retry)
    {
        PlacementRequest request;
        request.key = { LinkId(1), DispatchId(++m_lastDispatch) };
        request.service = service;
        request.kind = RequestKind::Safe;
        request.remaining = 4s;
        request.retry = request.resubmitted = retry;
        return request;
    }

    static constexpr RetryBudgetLimits limits { 0.2, 200.0, std::chrono::seconds(10) };
    static constexpr TimePoint m_start { std::chrono::seconds(100) };
    Random m_random;
    FleetScheduler m_fleetScheduler;
    std::vector<LocalScheduler> m_schedulers;
    std::uint32_t m_lastDispatch = 0;
};

} // namespace

TEST_CASE("local placement and the fleet scheduler together stay within the retry limits")
{
    GreedyFleet fleet(1);
    SECTION("all hosts cut off")
    {
        fleet.isCutOff = [](unsigned, Duration) { return true; };
        REQUIRE(fleet.run(25s, 1100.0) <= 0.0);
    }
    SECTION("all hosts cut off at once, after a full window")
    {
        fleet.isCutOff = [](unsigned, Duration at) { return at > 22s; };
        REQUIRE(fleet.run(34s, 1100.0) <= 0.0);
    }
    SECTION("half of the hosts, alternating")
    {
        fleet.isCutOff = [](unsigned host, Duration at) { return (at / 1s + host) % 2 == 0; };
        REQUIRE(fleet.run(34s, 1100.0) <= 0.0);
    }
    SECTION("a fleet scheduler that is late for half of the requests, then most hosts cut off")
    {
        fleet.lateShare = 0.5;
        fleet.isCutOff = [](unsigned host, Duration at) { return at > 15s && host % 3 != 0; };
        REQUIRE(fleet.run(34s, 1100.0) <= 0.0);
    }
    SECTION("few requests")
    {
        fleet.isCutOff = [](unsigned, Duration at) { return at > 22s; };
        REQUIRE(fleet.run(34s, 60.0) <= 0.0);
    }
}

TEST_CASE("a host that is cut off can retry its own requests at once")
{
    LocalScheduler scheduler(HostLocation {}, 1);
    InstanceRecord record;
    record.id = InstanceId("i");
    record.service = service;
    scheduler.upsert(record);
    PlacementRequest request;
    request.service = service;
    const TimePoint start(100s);
    // Two requests per second; the fleet scheduler answers for ten seconds, then the host is cut
    // off.
    for (unsigned i = 0; i < 20; ++i)
        scheduler.onRequest(service, start + i * 500ms);
    REQUIRE(scheduler.takeRetry(service, start + 10s));
    unsigned retries = 0;
    for (unsigned i = 20; i < 60; ++i) {
        const TimePoint now = start + i * 500ms;
        scheduler.onRequest(service, now);
        scheduler.choose(request, now);
        retries += i >= 40 && scheduler.takeRetry(service, now) ? 1 : 0;
    }
    // If retries were limited to a tenth of the requests, two would be granted.
    REQUIRE(retries >= 3);
}

// Guards against hosts without a leader that retry by another budget than the operators' one.
TEST_CASE("a host without a leader takes its share of the retry budget that was set")
{
    const auto retriesWith = [](const RetryBudgetLimits& budget) {
        LocalScheduler scheduler(HostLocation {}, 1);
        scheduler.setRetryBudget(budget);
        InstanceRecord record;
        record.id = InstanceId("i");
        record.service = service;
        scheduler.upsert(record);
        PlacementRequest request;
        request.service = service;
        unsigned retries = 0;
        // 1,000 requests in 10 s, each of which would retry once.
        for (unsigned i = 0; i < 1000; ++i) {
            const TimePoint now = TimePoint(100s) + i * 10ms;
            scheduler.onRequest(service, now);
            scheduler.choose(request, now);
            retries += scheduler.takeRetry(service, now) ? 1 : 0;
        }
        return retries;
    };
    CHECK(retriesWith({ 0.0, 64.0, 10s }) == 0);
    CHECK(retriesWith({ 0.05, 64.0, 10s }) <= 45);
    CHECK(retriesWith({ 0.05, 64.0, 10s }) >= 40);
    CHECK(retriesWith({ 0.2, 0.0, 10s }) <= 180);
    CHECK(retriesWith({ 0.2, 0.0, 10s }) >= 170);
    CHECK(retriesWith({ 1000.0, 1'000'000.0, 10s }) == 1000);
    // Ends of the range of windows: no window of 1 ms holds the requests for a retry.
    CHECK(retriesWith({ 0.2, 0.0, 1ms }) == 0);
    CHECK(retriesWith({ 0.2, 0.0, std::chrono::hours(24 * 365) }) <= 180);
    CHECK(retriesWith({ 0.2, 0.0, 7500ms }) > 150);
}

// Guards against work for an instance that said that it is leaving, or wants nothing for a time.
TEST_CASE("an instance that closed itself gets nothing until it starts again or its pause is over")
{
    LocalScheduler scheduler({ HostId("h"), DataCentreId("d"), RegionId("r") }, 1);
    InstanceRecord record;
    record.id = InstanceId("i");
    record.service = service;
    record.incarnation = 7;
    scheduler.upsert(record);
    PlacementRequest request;
    request.service = service;
    const TimePoint start { 10s };
    const auto isUsed = [&](TimePoint now) { return scheduler.choose(request, now).has_value(); };
    const auto end = [&](const PlacementReport& report) {
        scheduler.begin(record.id);
        scheduler.end(record.id, report, start);
    };
    SECTION("leaving")
    {
        end({ PlacementOutcome::Success, 50ms, -1, true });
        CHECK_FALSE(isUsed(start + 1h));
        CHECK(scheduler.closedInstances(service, start) == std::vector { record.id });
        // Requests for other services are not burdened with it.
        CHECK(scheduler.closedInstances(ServiceId("other"), start).empty());
        // A renewal, or a return after the record was removed, does not open it.
        scheduler.upsert(record);
        CHECK_FALSE(isUsed(start));
        scheduler.remove(record.id);
        CHECK(scheduler.closedInstances(service, start).empty());
        scheduler.upsert(record);
        CHECK_FALSE(isUsed(start));
        record.incarnation = 8;
        scheduler.upsert(record);
        CHECK(isUsed(start));
        CHECK(scheduler.closedInstances(service, start).empty());
    }
    SECTION("paused")
    {
        end({ PlacementOutcome::Shed, 5ms, -1, false, 3s });
        CHECK_FALSE(isUsed(start + 2999ms));
        // A shorter pause does not end a longer one.
        end({ PlacementOutcome::Shed, 5ms, -1, false, 1s });
        CHECK_FALSE(isUsed(start + 2999ms));
        CHECK(isUsed(start + 3s));
        CHECK(scheduler.closedInstances(service, start + 3s).empty());
    }
}
