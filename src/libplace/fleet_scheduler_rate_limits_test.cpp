#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <map>

#include <laburnumroute/fleet_scheduler.h>
#include <laburnumroute/random.h>

using namespace laburnum;
using namespace std::chrono_literals;

namespace {

const ServiceId service("s");
const InstanceId limited("i0");
constexpr TimePoint start { 1000s };
constexpr auto tick = 50ms;
constexpr auto work = 300ms;
/// Of the users' rule.
constexpr auto window = 4s;

/// A scheduler of one service without caps, long after its start.
struct Fixture {
    explicit Fixture(unsigned instances)
    {
        scheduler.restart(start);
        for (unsigned i = 0; i < instances; ++i)
            scheduler.upsert(record(i), start);
        now = start + 10s;
        scheduler.rateLimits().setShare(1.0, now);
    }

    static InstanceRecord record(unsigned i, std::uint64_t incarnation = 1)
    {
        InstanceRecord result;
        result.id = InstanceId("i" + std::to_string(i));
        result.service = service;
        result.slots = 6;
        result.incarnation = incarnation;
        return result;
    }

    /// A response to a request that was sent just before named a limit, or none.
    void state(std::optional<double> perSecond, const InstanceId& id = limited,
        std::uint64_t incarnation = 1)
    {
        scheduler.onRateLimit({ id, incarnation, { perSecond, now - 1ms, now } }, now);
    }

    PlacementRequest request()
    {
        PlacementRequest result;
        result.key = { LinkId(1), DispatchId(++dispatched) };
        result.service = service;
        result.kind = RequestKind::Safe;
        result.remaining = 4s;
        result.objective = 2s;
        return result;
    }

    PlacementReply dispatch(const PlacementRequest& request)
    {
        std::vector<PlacementReply> all;
        scheduler.dispatch(request, now, all);
        const auto own = std::find_if(all.begin(), all.end(),
            [&](const PlacementReply& reply) { return reply.key == request.key; });
        REQUIRE(own != all.end());
        return *own;
    }
    PlacementReply dispatch() { return dispatch(request()); }

    void announce()
    {
        for (unsigned i = 0; i < 20; ++i)
            scheduler.onAnnouncement(InstanceId("i" + std::to_string(i)), Duration::zero(), now);
    }

    FleetScheduler scheduler { RetryBudgetLimits { 0.2, 1000 } };
    TimePoint now;
    std::uint32_t dispatched = 0;
    std::vector<PlacementReply> replies;
};

/// Requests at equal intervals, each of which takes `work` at its instance.
struct Load {
    Load(Fixture& f, double perSecond)
        : fixture(f)
        , interval(fromSeconds(1.0 / perSecond))
    {
    }

    void run(Duration time)
    {
        const TimePoint end = fixture.now + time;
        while (fixture.now < end) {
            fixture.now += 1ms;
            endWork();
            if (fixture.now >= nextTick) {
                nextTick = fixture.now + tick;
                fixture.announce();
                fixture.scheduler.tick(fixture.now, replies);
            }
            if (fixture.now >= nextRequest) {
                nextRequest = fixture.now + interval;
                const PlacementRequest request = fixture.request();
                sentAt[request.key] = fixture.now;
                fixture.scheduler.dispatch(request, fixture.now, replies);
            }
            take();
        }
    }

    void take()
    {
        for (const PlacementReply& reply : std::exchange(replies, {})) {
            if (reply.kind == PlacementReplyKind::Granted) {
                grants[reply.instance].push_back(fixture.now);
                atWork.emplace_back(fixture.now + work, reply.key);
                longestWait = std::max(longestWait, fixture.now - sentAt[reply.key]);
            } else if (reply.kind == PlacementReplyKind::Refused) {
                ++refusals[reply.refusal];
                longestDelay = std::max(longestDelay, reply.delay);
                longestUntilRefusal
                    = std::max(longestUntilRefusal, fixture.now - sentAt[reply.key]);
            }
        }
    }

    void endWork()
    {
        while (!atWork.empty() && atWork.front().first <= fixture.now) {
            const DispatchKey key = atWork.front().second;
            atWork.pop_front();
            fixture.scheduler.end(key, { PlacementOutcome::Success, work }, fixture.now, replies);
        }
        take();
    }

    /// Most grants of the limited instance in a window.
    std::size_t fullest(TimePoint since) const
    {
        const auto found = grants.find(limited);
        if (found == grants.end())
            return 0;
        std::size_t result = 0;
        std::deque<TimePoint> inside;
        for (const TimePoint at : found->second) {
            if (at < since)
                continue;
            inside.push_back(at);
            while (inside.front() <= at - window)
                inside.pop_front();
            result = std::max(result, inside.size());
        }
        return result;
    }

    std::size_t granted(TimePoint since) const
    {
        const auto found = grants.find(limited);
        if (found == grants.end())
            return 0;
        return static_cast<std::size_t>(std::count_if(
            found->second.begin(), found->second.end(), [&](TimePoint at) { return at >= since; }));
    }

    Fixture& fixture;
    Duration interval;
    TimePoint nextTick {};
    TimePoint nextRequest {};
    std::deque<std::pair<TimePoint, DispatchKey>> atWork;
    std::map<InstanceId, std::vector<TimePoint>> grants;
    std::map<PlacementRefusal, unsigned> refusals;
    std::map<DispatchKey, TimePoint> sentAt;
    Duration longestWait {};
    Duration longestDelay {};
    Duration longestUntilRefusal {};
    std::vector<PlacementReply> replies;
};

} // namespace

// Guards against a limit that is not kept, or kept so that nothing is asked of the instance
// (LIMIT).
TEST_CASE("load pattern: a limited instance gets its limit, and the others serve the rest")
{
    const double limit = GENERATE(0.0, 0.2, 0.5, 1.0, 1.3, 5.0, 20.0, maxRateLimit);
    CAPTURE(limit);
    Fixture fixture(6);
    Load load(fixture, 60.0);
    load.run(5s);
    fixture.state(limit);
    const TimePoint named = fixture.now;
    load.run(40s);
    CHECK(static_cast<double>(load.fullest(named)) <= limit * 4.0 + std::max(1.0, limit / 4.0) + 1);
    CHECK(load.refusals.empty());
    CHECK(load.longestWait < 500ms);
    // An instance that no one asks can't say that its limit has ended.
    const double asked = std::min(std::max(limit, RateLimitShares::minPerSecond), 8.0);
    CHECK(static_cast<double>(load.granted(named)) >= 0.8 * asked * 40.0 - 1.0);
    CHECK(fixture.scheduler.doubtful(fixture.now).empty());
}

TEST_CASE("load pattern: an instance gets its full work again once it names no limit")
{
    const double limit = GENERATE(0.0, 0.2, 1.0, 5.0);
    CAPTURE(limit);
    Fixture fixture(6);
    Load load(fixture, 60.0);
    load.run(5s);
    const auto usual = load.granted(start);
    fixture.state(limit);
    load.run(20s);
    // Only a request that is sent now can say so.
    const TimePoint ended = fixture.now;
    const std::size_t before = load.granted(start);
    while (load.granted(start) == before && fixture.now < ended + 20s)
        load.run(50ms);
    load.run(work);
    fixture.state(std::nullopt);
    CHECK(fixture.now - ended <= 10s);
    const TimePoint lifted = fixture.now;
    load.run(5s);
    CHECK(load.granted(lifted) >= usual * 3 / 4);
}

TEST_CASE("a limit that falls or rises holds at once")
{
    Fixture fixture(6);
    Load load(fixture, 60.0);
    fixture.state(5.0);
    load.run(5s);
    fixture.state(1.0);
    const TimePoint fell = fixture.now;
    load.run(20s);
    CHECK(load.fullest(fell) <= 6);
    fixture.state(8.0);
    const TimePoint rose = fixture.now;
    load.run(20s);
    CHECK(load.fullest(rose) <= 35);
    CHECK(load.granted(rose) >= 100);
}

TEST_CASE("all instances limited: rate is the room, what exceeds it is refused at once")
{
    Fixture fixture(4);
    for (unsigned i = 0; i < 4; ++i)
        fixture.state(1.5, InstanceId("i" + std::to_string(i)));
    Load load(fixture, 60.0);
    load.run(30s);
    std::size_t granted = 0;
    for (const auto& [id, times] : load.grants)
        granted += times.size();
    CHECK(granted >= 170);
    CHECK(granted <= 190);
    REQUIRE(load.refusals.size() == 1);
    CHECK(load.refusals.begin()->first == PlacementRefusal::RateLimited);
    // A quarter of the time that is left, in which six requests are granted.
    CHECK(load.longestUntilRefusal <= 1s + tick);
    CHECK(load.longestDelay >= 1s);
    CHECK(load.longestDelay <= 1500ms);
    // Waiters are served before requests that come later.
    CHECK(load.longestWait >= 500ms);
}

TEST_CASE("all instances limited to nothing: refused at once, to return when one is asked again")
{
    Fixture fixture(2);
    for (unsigned i = 0; i < 2; ++i)
        fixture.state(0.0, InstanceId("i" + std::to_string(i)));
    const PlacementReply refused = fixture.dispatch();
    CHECK(refused.refusal == PlacementRefusal::RateLimited);
    CHECK(refused.delay > 2490ms);
    CHECK(refused.delay <= 2500ms);
}

TEST_CASE("a grant that is not used gives its token back, one that was sent does not")
{
    Fixture fixture(1);
    fixture.state(1.0);
    fixture.now += 1s;
    PlacementReply granted = fixture.dispatch();
    REQUIRE(granted.kind == PlacementReplyKind::Granted);
    PlacementReport unsent;
    unsent.isUnsent = true;

    SECTION("unsent")
    {
        fixture.scheduler.end(granted.key, unsent, fixture.now, fixture.replies);
        CHECK(fixture.dispatch().kind == PlacementReplyKind::Granted);
    }
    SECTION("cancelled")
    {
        fixture.scheduler.cancel(granted.key, fixture.now, fixture.replies);
        CHECK(fixture.dispatch().kind == PlacementReplyKind::Granted);
    }
    SECTION("given back twice")
    {
        fixture.scheduler.cancel(granted.key, fixture.now, fixture.replies);
        fixture.scheduler.end(granted.key, unsent, fixture.now, fixture.replies);
        CHECK(fixture.dispatch().kind == PlacementReplyKind::Granted);
        CHECK(fixture.dispatch().kind != PlacementReplyKind::Granted);
    }
    SECTION("sent, however it ended")
    {
        const auto outcome = GENERATE(PlacementOutcome::Success, PlacementOutcome::Shed,
            PlacementOutcome::Failure, PlacementOutcome::TimedOut, PlacementOutcome::Unused);
        fixture.scheduler.end(granted.key, { outcome, 10ms }, fixture.now, fixture.replies);
        CHECK(fixture.dispatch().kind != PlacementReplyKind::Granted);
    }
    SECTION("of a limit that ended meanwhile and returned")
    {
        fixture.state(std::nullopt);
        fixture.now += 10ms;
        fixture.state(1.0);
        fixture.scheduler.end(granted.key, unsent, fixture.now, fixture.replies);
        CHECK(fixture.dispatch().kind != PlacementReplyKind::Granted);
    }
}

TEST_CASE("retries and hedges take tokens as first attempts do")
{
    Fixture fixture(1);
    fixture.state(1.0);
    fixture.now += 1s;
    PlacementRequest other = fixture.request();
    other.retry = GENERATE(true, false);
    other.isHedge = GENERATE(true, false);
    CHECK(fixture.dispatch(other).kind == PlacementReplyKind::Granted);
    PlacementRequest further = fixture.request();
    further.isHedge = other.isHedge;
    CHECK(fixture.dispatch(further).kind != PlacementReplyKind::Granted);
}

TEST_CASE("what hosts placed alone under this leader is deducted, for a few seconds at most")
{
    Fixture fixture(1);
    fixture.state(1.0);
    fixture.now += 1s;
    const auto adopt = [&](std::uint32_t id, Duration age) {
        fixture.scheduler.adopt(
            { { LinkId(2), DispatchId(id) }, limited, service, age, 4s, {} }, fixture.now);
        fixture.scheduler.end({ LinkId(2), DispatchId(id) }, { PlacementOutcome::Success, 10ms },
            fixture.now, fixture.replies);
    };

    SECTION("placed before this leader's start")
    {
        adopt(1, 60s);
        CHECK(fixture.dispatch().kind == PlacementReplyKind::Granted);
    }
    SECTION("placed since then")
    {
        adopt(1, 0s);
        CHECK(fixture.dispatch().kind != PlacementReplyKind::Granted);
    }
    SECTION("many")
    {
        for (std::uint32_t i = 1; i <= 100; ++i)
            adopt(i, 0s);
        fixture.now += 5s;
        fixture.announce();
        fixture.scheduler.tick(fixture.now, fixture.replies);
        CHECK(fixture.dispatch().kind == PlacementReplyKind::Granted);
    }
}

TEST_CASE("an instance that starts again under its id has no limit until it names one")
{
    Fixture fixture(1);
    fixture.state(0.0);
    CHECK(fixture.dispatch().kind == PlacementReplyKind::Refused);
    fixture.scheduler.upsert(Fixture::record(0, 2), fixture.now);
    for (int i = 0; i < 3; ++i)
        CHECK(fixture.dispatch().kind == PlacementReplyKind::Granted);
    // A late response of the earlier start.
    fixture.now += 10ms;
    fixture.state(0.0, limited, 1);
    CHECK(fixture.dispatch().kind == PlacementReplyKind::Granted);
    fixture.state(0.0, limited, 2);
    CHECK(fixture.dispatch().kind == PlacementReplyKind::Refused);
}

TEST_CASE("a leader without its lease grants what its buckets hold and no more")
{
    Fixture fixture(6);
    Load load(fixture, 60.0);
    fixture.state(1.0);
    load.run(5s);
    fixture.scheduler.rateLimits().suspendRefill(fixture.now);
    const TimePoint suspended = fixture.now;
    load.run(10s);
    CHECK(load.granted(suspended) <= 1);
    fixture.scheduler.rateLimits().resumeRefill();
    const TimePoint resumed = fixture.now;
    load.run(10s);
    CHECK(load.granted(resumed) >= 9);
    CHECK(load.fullest(suspended) <= 6);
}

TEST_CASE("a new leader leaves the hosts their part, and starts without tokens")
{
    Fixture fixture(6);
    fixture.scheduler.restart(fixture.now);
    for (unsigned i = 0; i < 6; ++i)
        fixture.scheduler.upsert(Fixture::record(i), fixture.now);
    fixture.state(2.0);
    const TimePoint restarted = fixture.now;
    Load load(fixture, 60.0);
    load.run(4s);
    CHECK(load.granted(restarted) <= 4);
    CHECK(load.granted(restarted) >= 3);
}
