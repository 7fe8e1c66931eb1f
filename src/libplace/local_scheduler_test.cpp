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
/// Instances of each data centre.
constexpr std::array<unsigned, zones> spread { 5, 4, 5, 5, 4, 3, 3, 3, 3 };
/// Requests of all hosts together.
constexpr double perSecond = 119.0;
/// An instance that has failed is sound again after this.
constexpr auto soundAfter = 2s;
/// A sound instance has to get work as often.
constexpr auto floorTime = 2s;

DataCentreId zoneName(unsigned zone) { return DataCentreId("z" + std::to_string(zone)); }
RegionId regionName(unsigned zone) { return RegionId("r" + std::to_string(zone % regions)); }

struct Tally {
    unsigned asked = 0;
    unsigned failed = 0;
    /// Moments at which over a tenth of two seconds' requests was lost, and those of them at which
    /// over 0.3 of the sound instances had got nothing for as long.
    unsigned lossy = 0;
    unsigned broken = 0;
    double mostIdle = 0.0;
};

/// Plays uploads at a grown site whose hosts are all alone.
class LoneFleet {
public:
    explicit LoneFleet(std::uint64_t seed)
        : m_random(seed)
    {
        for (unsigned host = 0; host < hosts; ++host) {
            const unsigned zone = host % zones;
            m_placers.emplace_back(
                HostPlace { HostId("h" + std::to_string(host)), zoneName(zone), regionName(zone) },
                seed * hosts + host);
        }
        for (unsigned zone = 0; zone < zones; ++zone) {
            for (unsigned i = 0; i < spread[zone]; ++i)
                addInstance(zone);
        }
    }

    /// Whether a request that reaches the instance at this time fails at once.
    std::function<double(unsigned, Duration)> fails = [](unsigned, Duration) { return 0.012; };
    /// Chance that an answer of every second instance is lost on its way; these aren't counted.
    double lostAnswers = 0.0;
    /// Chance that a request is lost with its host, before it reaches an instance.
    double lostHosts = 0.0;
    /// Where callers are, as a weight of each data centre.
    std::function<double(unsigned, Duration)> callers = [](unsigned, Duration) { return 1.0; };

    Tally run(Duration time)
    {
        Tally tally;
        for (TimePoint now = m_start; now < m_start + time; now += 5ms) {
            end(now, tally);
            std::poisson_distribution<int> arrivals(perSecond * 0.005);
            for (int i = arrivals(m_random); i > 0; --i)
                request(now, tally);
            // The first seconds know nothing yet.
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
    struct Lately {
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
        for (LocalScheduler& placer : m_placers)
            placer.upsert(record);
        m_index[record.id] = static_cast<unsigned>(m_instances.size());
        m_instances.push_back({ record.id, m_start, TimePoint() });
    }

    bool isDisrupted(unsigned instance) const { return lostAnswers > 0 && instance % 2 == 0; }

    void request(TimePoint now, Tally& tally)
    {
        ++tally.asked;
        m_lately.push_back({ now, false });
        if (uniformReal(m_random) < lostHosts) {
            ++tally.failed;
            m_lately.push_back({ now, true });
            return;
        }
        std::vector<double> weights;
        for (unsigned zone = 0; zone < zones; ++zone)
            weights.push_back(callers(zone, now - m_start));
        const unsigned zone
            = std::discrete_distribution<unsigned>(weights.begin(), weights.end())(m_random);
        const unsigned host
            = zone + zones * static_cast<unsigned>(uniformBelow(m_random, hostsPerZone));
        PlacementRequest demand;
        demand.service = service;
        demand.kind = RequestKind::Upload;
        demand.bodyKiB = 60;
        demand.remaining = 8s;
        const auto chosen = m_placers[host].choose(demand, now);
        REQUIRE(chosen);
        const unsigned i = m_index.at(*chosen);
        m_placers[host].begin(*chosen);
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
            const PlacementOutcome how
                = ended.fails ? PlacementOutcome::Failure : PlacementOutcome::Success;
            m_placers[ended.host].end(id, { how, now - ended.since }, now);
            if (!ended.fails)
                continue;
            ++tally.failed;
            m_lately.push_back({ now, true });
            for (unsigned host = 0; host < hosts; ++host) {
                if (host != ended.host && host % regions == ended.host % regions)
                    m_placers[host].onPeerOutcome(id, how, now);
            }
        }
    }

    void check(TimePoint now, Tally& tally)
    {
        while (!m_lately.empty() && now - m_lately.front().at > floorTime)
            m_lately.pop_front();
        const auto lost = std::count_if(
            m_lately.begin(), m_lately.end(), [](const Lately& each) { return each.lost; });
        const auto asked = static_cast<double>(m_lately.size()) - static_cast<double>(lost);
        unsigned sound = 0;
        unsigned idle = 0;
        for (unsigned i = 0; i < m_instances.size(); ++i) {
            // Sound for the whole time of the floor.
            bool gray = now - m_instances[i].failed < soundAfter + floorTime;
            for (Duration ago = 0s; ago <= soundAfter + floorTime; ago += 500ms)
                gray = gray || fails(i, now - m_start - ago) > 0.5;
            if (gray || isDisrupted(i))
                continue;
            ++sound;
            idle += now - m_instances[i].used > floorTime ? 1 : 0;
        }
        if (sound == 0 || static_cast<double>(lost) <= 0.1 * asked)
            return;
        const double share = static_cast<double>(idle) / sound;
        ++tally.lossy;
        tally.broken += share > 0.3 ? 1 : 0;
        tally.mostIdle = std::max(tally.mostIdle, share);
    }

    static constexpr TimePoint m_start { std::chrono::seconds(100) };
    Random m_random;
    std::vector<LocalScheduler> m_placers;
    std::vector<Instance> m_instances;
    std::map<InstanceId, unsigned> m_index;
    std::deque<Lately> m_lately;
    std::priority_queue<Running, std::vector<Running>, std::greater<>> m_running;
};

} // namespace

TEST_CASE("load pattern: hosts alone keep sound instances at work while many requests fail")
{
    struct Pattern {
        double lostAnswers;
        double lostHosts;
        /// Callers at every second data centre, for one elsewhere.
        double uneven;
    };
    const auto pattern = GENERATE(Pattern { 0.2, 0.0, 1.0 }, Pattern { 0.2, 0.0, 10.0 },
        Pattern { 0.0, 0.12, 1.0 }, Pattern { 0.0, 0.12, 10.0 });
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        LoneFleet fleet(seed);
        // A fifth of the instances fails at a time, each for 3 s in every 15 s.
        fleet.fails = [](unsigned i, Duration at) {
            return (at + i * 3100ms) % Duration(15s) < Duration(3s) ? 0.9 : 0.012;
        };
        fleet.lostAnswers = pattern.lostAnswers;
        fleet.lostHosts = pattern.lostHosts;
        fleet.callers
            = [&](unsigned zone, Duration) { return zone % 2 == 0 ? pattern.uneven : 1.0; };
        const Tally tally = fleet.run(24s);
        CAPTURE(pattern.lostAnswers, pattern.lostHosts, pattern.uneven, seed, tally.mostIdle);
        REQUIRE(tally.lossy > 0);
        REQUIRE(tally.broken == 0);
    }
}

namespace {

/// 126 hosts that draw on every retry they can get, from a view or alone.
class GreedyFleet {
public:
    explicit GreedyFleet(std::uint64_t seed)
        : m_random(seed)
        , m_view({ terms.ratio * RetryBudgetShares::fleetShare,
              terms.slack * RetryBudgetShares::fleetSlackShare, terms.window })
    {
        InstanceRecord record;
        record.id = InstanceId("i");
        record.service = service;
        record.slots = 1000000;
        m_view.restart(m_start);
        m_view.upsert(record, m_start);
        for (unsigned host = 0; host < hosts; ++host) {
            m_placers.emplace_back(HostPlace {}, host);
            m_placers.back().upsert(record);
        }
    }

    /// Whether a host is alone at a time from the start.
    std::function<bool(unsigned, Duration)> isAlone;
    /// Part of the asks that the view counts, but answers too late.
    double late = 0.0;

    /// Plays, and returns the most repeats of a window over what the terms allow for it.
    double run(Duration time, double requestsPerSecond)
    {
        std::vector<TimePoint> requests;
        std::vector<TimePoint> repeats;
        for (TimePoint now = m_start; now < m_start + time; now += 10ms) {
            std::poisson_distribution<int> arrivals(requestsPerSecond / 100.0);
            for (int i = arrivals(m_random); i > 0; --i) {
                const auto host = static_cast<unsigned>(uniformBelow(m_random, hosts));
                requests.push_back(now);
                const bool alone = isAlone(host, now - m_start);
                place(host, now, alone);
                while (retry(host, now, alone))
                    repeats.push_back(now);
            }
        }
        double over = -terms.slack;
        std::size_t first = 0;
        std::size_t firstRequest = 0;
        std::size_t request = 0;
        for (std::size_t last = 0; last < repeats.size(); ++last) {
            while (repeats[last] - repeats[first] >= terms.window)
                ++first;
            while (request < requests.size() && requests[request] <= repeats[last])
                ++request;
            while (requests[firstRequest] <= repeats[last] - terms.window)
                ++firstRequest;
            over = std::max(over,
                static_cast<double>(last + 1 - first)
                    - terms.ratio * static_cast<double>(request - firstRequest) - terms.slack);
        }
        return over;
    }

private:
    void place(unsigned host, TimePoint now, bool alone)
    {
        LocalScheduler& placer = m_placers[host];
        placer.onRequest(service, now);
        const PlacementRequest wanted = demand(false);
        if (!alone)
            askView(wanted, now);
        // One that waited for the view in vain is placed alone a little later.
        if (alone)
            placer.choose(wanted, now);
        else if (uniformReal(m_random) < late)
            placer.choose(wanted, now + 1ms);
    }

    bool retry(unsigned host, TimePoint now, bool alone)
    {
        return alone ? m_placers[host].takeRetry(service, now) : askView(demand(true), now);
    }

    bool askView(const PlacementRequest& wanted, TimePoint now)
    {
        std::vector<PlacementReply> replies;
        m_view.dispatch(wanted, now, replies);
        m_view.end(wanted.key, {}, now, replies);
        return replies.front().kind == PlacementReplyKind::Granted;
    }

    PlacementRequest demand(bool retry)
    {
        PlacementRequest wanted;
        wanted.key = { LinkId(1), DispatchId(++m_ask) };
        wanted.service = service;
        wanted.kind = RequestKind::Safe;
        wanted.remaining = 4s;
        wanted.retry = wanted.resubmitted = retry;
        return wanted;
    }

    static constexpr RetryBudgetLimits terms { 0.2, 200.0, std::chrono::seconds(10) };
    static constexpr TimePoint m_start { std::chrono::seconds(100) };
    Random m_random;
    FleetScheduler m_view;
    std::vector<LocalScheduler> m_placers;
    std::uint32_t m_ask = 0;
};

} // namespace

TEST_CASE("hosts alone and a view together never repeat more than the terms allow")
{
    GreedyFleet fleet(1);
    SECTION("all alone")
    {
        fleet.isAlone = [](unsigned, Duration) { return true; };
        REQUIRE(fleet.run(25s, 1100.0) <= 0.0);
    }
    SECTION("all leave a view at once, after its window")
    {
        fleet.isAlone = [](unsigned, Duration at) { return at > 22s; };
        REQUIRE(fleet.run(34s, 1100.0) <= 0.0);
    }
    SECTION("half of them, by turns")
    {
        fleet.isAlone = [](unsigned host, Duration at) { return (at / 1s + host) % 2 == 0; };
        REQUIRE(fleet.run(34s, 1100.0) <= 0.0);
    }
    SECTION("a view that is slow for half of the asks, then for all")
    {
        fleet.late = 0.5;
        fleet.isAlone = [](unsigned host, Duration at) { return at > 15s && host % 3 != 0; };
        REQUIRE(fleet.run(34s, 1100.0) <= 0.0);
    }
    SECTION("few requests")
    {
        fleet.isAlone = [](unsigned, Duration at) { return at > 22s; };
        REQUIRE(fleet.run(34s, 60.0) <= 0.0);
    }
}

TEST_CASE("a host that is left alone has repeats for its own requests at once")
{
    LocalScheduler placer(HostPlace {}, 1);
    InstanceRecord record;
    record.id = InstanceId("i");
    record.service = service;
    placer.upsert(record);
    PlacementRequest wanted;
    wanted.service = service;
    const TimePoint start(100s);
    // Two requests a second; the view answers for ten seconds, then the host is alone.
    for (unsigned i = 0; i < 20; ++i)
        placer.onRequest(service, start + i * 500ms);
    REQUIRE(placer.takeRetry(service, start + 10s));
    unsigned repeats = 0;
    for (unsigned i = 20; i < 60; ++i) {
        const TimePoint now = start + i * 500ms;
        placer.onRequest(service, now);
        placer.choose(wanted, now);
        repeats += i >= 40 && placer.takeRetry(service, now) ? 1 : 0;
    }
    // A tenth of the requests gave two.
    REQUIRE(repeats >= 3);
}
