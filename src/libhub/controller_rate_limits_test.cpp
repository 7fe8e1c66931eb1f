// Rate limits of instances between hosts and leaders: what one host heard binds all.

#include <cmath>
#include <deque>
#include <limits>

#include <catch2/catch.hpp>

#include "fakes/controller_fleet.h"
#include "rate_limit_coordinator_pvt.h"

using namespace laburnum;
using namespace laburnum::fakes;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t seedCount = 50;
constexpr unsigned entries = 6;
constexpr unsigned controls = 5;
const InstanceId limited("i0");
constexpr auto work = 50ms;

HostId c(unsigned i) { return ControllerFleet::control(i); }
HostId e(unsigned i) { return ControllerFleet::entry(i); }

/// A fleet before one instance that may name a limit and two that never do.
struct LimitFleet {
    explicit LimitFleet(std::uint64_t seed)
        : fleet({ .controls = controls, .entries = entries, .seed = seed })
    {
        REQUIRE(fleet.runUntil(5s, [&] { return fleet.leader().has_value(); }));
        for (unsigned i = 0; i < 3; ++i)
            REQUIRE(fleet.callAnywhere(announcement(i)));
        fleet.setAnswerObserver([this](const HostId& host, const PlacementResult& result) {
            fleet.schedule(0ms, [this, host, result] { onPlaced(host, result); });
        });
        fleet.run(3s);
    }

    AnnounceCall announcement(unsigned i)
    {
        return { instanceRecord("i" + std::to_string(i), "s", static_cast<std::uint16_t>(100 + i),
                     i == 0 ? incarnation : 1, ++version),
            0ms };
    }

    void onPlaced(const HostId& host, const PlacementResult& result)
    {
        if (!result.instance) {
            ++refused;
            return;
        }
        if (result.instance->id == limited)
            arrivals.push_back(fleet.now());
        fleet.schedule(work, [this, host, result] {
            if (!fleet.isUp(host))
                return;
            const bool isTold = !onlyTold || *onlyTold == host;
            if (result.instance->id == limited && isTold)
                fleet.reportRateLimit(host, result.dispatch, named, work);
            fleet.end(host, result.dispatch, { PlacementOutcome::Success, work });
        });
    }

    void request(const HostId& host)
    {
        PlacementRequest request;
        request.service = ServiceId("s");
        request.kind = RequestKind::Safe;
        request.remaining = 4s;
        request.objective = 2s;
        request.dataCentre = DataCentreId("d");
        request.region = RegionId("r");
        fleet.dispatch(host, request);
    }

    /// 100 requests a second from all hosts that run.
    void load(Duration time)
    {
        const TimePoint end = fleet.now() + time;
        for (unsigned i = 0; fleet.now() < end; ++i) {
            if (i % 75 == 0)
                for (unsigned each = 0; each < 3; ++each)
                    fleet.call(c(i / 75 % controls + 1), announcement(each));
            if (const HostId host = e(i % entries + 1); fleet.isUp(host))
                request(host);
            fleet.run(10ms);
        }
    }

    std::size_t fullest(TimePoint since) const
    {
        std::size_t result = 0;
        std::deque<TimePoint> inside;
        for (const TimePoint at : arrivals) {
            if (at < since)
                continue;
            inside.push_back(at);
            while (inside.front() <= at - 4s)
                inside.pop_front();
            result = std::max(result, inside.size());
        }
        return result;
    }

    std::size_t since(TimePoint from) const
    {
        return static_cast<std::size_t>(std::count_if(
            arrivals.begin(), arrivals.end(), [&](TimePoint at) { return at >= from; }));
    }

    bool isLimitedAtLeader()
    {
        const auto leader = fleet.leader();
        return leader && fleet.controller(*leader)->scheduler().rateLimits().isLimited(limited);
    }

    ControllerFleet fleet;
    std::uint64_t version = 1;
    std::uint64_t incarnation = 1;
    /// What the instance names to a host.
    std::optional<double> named;
    /// The only host that it tells, if set.
    std::optional<HostId> onlyTold;
    std::vector<TimePoint> arrivals;
    unsigned refused = 0;
};

constexpr double limit = 1.0;
/// The users' rule: 1.5 times the limit in 4 s, and 5.
constexpr std::size_t allowed = 11;

} // namespace

// Guards against a limit that binds only the host that heard it (LIMIT).
TEST_CASE("a limit that one host heard binds all hosts, and ends for all")
{
    for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
        CAPTURE(seed);
        LimitFleet fleet(seed);
        fleet.onlyTold = e(1);
        fleet.named = limit;
        fleet.load(3s);
        REQUIRE(fleet.isLimitedAtLeader());
        const TimePoint bound = fleet.fleet.now();
        fleet.load(10s);
        CHECK(fleet.fullest(bound) <= 6);
        CHECK(fleet.since(bound) >= 7);
        CHECK(fleet.refused == 0);
        // Alone, each of them has a share of one in this number.
        for (unsigned i = 1; i <= entries; ++i)
            CHECK(fleet.fleet.client(e(i)).localScheduler().rateLimits().hosts() >= entries);
        for (unsigned i = 1; i <= entries; ++i)
            CHECK(
                fleet.fleet.client(e(i)).localScheduler().rateLimits().perSecond(limited) == limit);
        // The end is heard by a host to which the instance never named the limit.
        fleet.onlyTold = e(2);
        fleet.named.reset();
        const TimePoint ended = fleet.fleet.now();
        while (fleet.isLimitedAtLeader() && fleet.fleet.now() < ended + 30s)
            fleet.load(100ms);
        REQUIRE_FALSE(fleet.isLimitedAtLeader());
        const TimePoint lifted = fleet.fleet.now();
        fleet.load(2s);
        CHECK(fleet.since(lifted) >= 30);
    }
}

TEST_CASE("a new leader that never heard of a limit learns it from any host")
{
    const bool isFrozen = GENERATE(true, false);
    for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
        CAPTURE(seed, isFrozen);
        LimitFleet fleet(seed);
        fleet.onlyTold = e(1);
        fleet.named = limit;
        fleet.load(3s);
        REQUIRE(fleet.isLimitedAtLeader());
        // The others know of it from the leader alone.
        fleet.fleet.kill(e(1));
        const HostId old = *fleet.fleet.leader();
        if (isFrozen)
            fleet.fleet.freeze(old);
        else
            fleet.fleet.kill(old);
        const TimePoint since = fleet.fleet.now();
        fleet.load(5s);
        REQUIRE(fleet.fleet.leader());
        REQUIRE(*fleet.fleet.leader() != old);
        CHECK(fleet.isLimitedAtLeader());
        if (isFrozen)
            fleet.fleet.freeze(old, false);
        fleet.load(10s);
        CHECK(fleet.fullest(since) <= allowed);
        // Served on, by its limit.
        CHECK(fleet.since(since) >= 6);
        CHECK(fleet.isLimitedAtLeader());
    }
}

// Guards against two leaders, or a leader and hosts alone, that grant the same limit.
TEST_CASE("a limit holds while a deposed leader serves some hosts and others are alone")
{
    for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
        CAPTURE(seed);
        LimitFleet fleet(seed);
        fleet.named = limit;
        fleet.load(3s);
        REQUIRE(fleet.isLimitedAtLeader());
        const HostId old = *fleet.fleet.leader();
        const TimePoint since = fleet.fleet.now();
        for (unsigned i = 1; i <= controls; ++i)
            if (c(i) != old)
                fleet.fleet.cut(old, c(i));
        // Two hosts reach no control host, two the deposed leader alone.
        for (unsigned i = 1; i <= controls; ++i) {
            for (const unsigned alone : { 1U, 2U })
                fleet.fleet.cut(e(alone), c(i));
            for (const unsigned left : { 3U, 4U })
                if (c(i) != old)
                    fleet.fleet.cut(e(left), c(i));
        }
        fleet.load(12s);
        CHECK(fleet.fullest(since) <= allowed);
        for (unsigned i = 1; i <= controls; ++i) {
            fleet.fleet.cut(old, c(i), false);
            for (unsigned host = 1; host <= 4; ++host)
                fleet.fleet.cut(e(host), c(i), false);
        }
        fleet.load(10s);
        CHECK(fleet.fullest(since) <= allowed);
        CHECK(fleet.isLimitedAtLeader());
    }
}

TEST_CASE("all instances limited: hosts alone refuse at once and say when to return")
{
    LimitFleet fleet(1);
    fleet.named = 0.5;
    fleet.load(3s);
    // The two others leave.
    for (unsigned i = 1; i < 3; ++i)
        REQUIRE(fleet.fleet.callAnywhere(
            DeregisterCall { { InstanceId("i" + std::to_string(i)), 1, true, ~0ULL >> 1U } }));
    fleet.fleet.setAnswerObserver({});
    fleet.fleet.run(1s);
    for (unsigned i = 1; i <= controls; ++i)
        fleet.fleet.kill(c(i));
    fleet.fleet.run(2s);
    unsigned refused = 0;
    for (unsigned i = 1; i <= entries; ++i) {
        fleet.request(e(i));
        fleet.fleet.run(1ms);
        const auto& answers = fleet.fleet.answers(e(i));
        REQUIRE(answers.size() == 1);
        const PlacementResult& answer = answers.begin()->second;
        if (answer.instance)
            continue;
        ++refused;
        CHECK(answer.refusal == PlacementRefusal::RateLimited);
        CHECK(answer.delay == 4s);
    }
    CHECK(refused >= entries - 2);
}

TEST_CASE("an instance that starts again under its id has its full work on all hosts")
{
    LimitFleet fleet(3);
    fleet.named = 0.0;
    fleet.load(3s);
    REQUIRE(fleet.isLimitedAtLeader());
    fleet.named.reset();
    fleet.incarnation = 2;
    REQUIRE(fleet.fleet.callAnywhere(fleet.announcement(0)));
    fleet.fleet.run(1s);
    CHECK_FALSE(fleet.isLimitedAtLeader());
    for (unsigned i = 1; i <= entries; ++i)
        CHECK_FALSE(fleet.fleet.client(e(i)).localScheduler().rateLimits().perSecond(limited));
    // Served again within 10 s.
    fleet.load(8s);
    const TimePoint restored = fleet.fleet.now();
    fleet.load(2s);
    CHECK(fleet.since(restored) >= 30);
}

TEST_CASE("rows with values that no host sends are dropped")
{
    using namespace pvt;
    const TimePoint now { 1000s };
    const RateLimitRow row { "i", 1, true, 2.0, 30, 20 };
    const auto read = [&](auto change) {
        RateLimitRow changed = row;
        change(changed);
        return fromRow(changed, 5ms, now);
    };
    const auto plain = read([](RateLimitRow&) {});
    REQUIRE(plain);
    CHECK(plain->statement.perSecond == 2.0);
    CHECK(plain->statement.sentAt == now - 35ms);
    CHECK(plain->statement.headAt == now - 25ms);
    CHECK(toRow(*plain, now - 5ms).headAgeMs == 20);
    constexpr double infinity = std::numeric_limits<double>::infinity();
    CHECK_FALSE(read([](RateLimitRow& r) { r.perSecond = std::nan(""); }));
    CHECK_FALSE(read([](RateLimitRow& r) { r.perSecond = -1.0; }));
    CHECK_FALSE(read([](RateLimitRow& r) { r.perSecond = -infinity; }));
    CHECK_FALSE(read([](RateLimitRow& r) { r.sentAgeMs = 10; }));
    CHECK(
        read([](RateLimitRow& r) { r.perSecond = infinity; })->statement.perSecond == maxRateLimit);
    CHECK_FALSE(read([](RateLimitRow& r) { r.isLimited = false; })->statement.perSecond);
    CHECK(read([](RateLimitRow& r) { r.sentAgeMs = std::numeric_limits<std::uint32_t>::max(); }));
    CHECK(fromRows({ row, { "x", 1, true, std::nan(""), 0, 0 }, row }, {}, now).size() == 2);
}
