// What an instance said to one host, or has for all of them, binds every host with a leader: slots,
// load, warm-up, drain. Its rate limit: fleet_scheduler_rate_limits_test.cpp.

#include <catch2/catch.hpp>

#include <laburnumroute/fleet_scheduler.h>

using namespace laburnum;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start { 1000s };
constexpr std::uint32_t slots = 6;

struct Fixture {
    Fixture()
    {
        record.id = InstanceId("i");
        record.service = ServiceId("s");
        record.slots = slots;
        scheduler.upsert(record, start);
    }

    /// Whether a request of this host, the `number`-th, gets a slot at once.
    bool isGranted(std::uint64_t host, std::uint32_t number)
    {
        PlacementRequest request;
        request.key = { LinkId(host), DispatchId(number) };
        request.service = record.service;
        request.remaining = 4s;
        std::vector<PlacementReply> replies;
        scheduler.dispatch(request, now, replies);
        REQUIRE(replies.size() == 1);
        return replies.front().kind == PlacementReplyKind::Granted;
    }

    void end(std::uint64_t host, std::uint32_t number, std::int32_t load)
    {
        std::vector<PlacementReply> replies;
        scheduler.end({ LinkId(host), DispatchId(number) },
            { PlacementOutcome::Success, 10ms, load }, now, replies);
    }

    FleetScheduler scheduler { RetryBudgetLimits { 0.2, 10 } };
    InstanceRecord record;
    /// After the startup phase.
    TimePoint now = start + 2s;
};

} // namespace

TEST_CASE("the slots of an instance are those of all hosts together")
{
    Fixture fixture;
    for (std::uint32_t i = 1; i <= slots; ++i)
        CHECK(fixture.isGranted(i, 1));
    CHECK_FALSE(fixture.isGranted(slots + 1, 1));
}

TEST_CASE("the load that an instance reported to one host holds for all hosts")
{
    Fixture fixture;
    REQUIRE(fixture.isGranted(1, 1));
    fixture.end(1, 1, 7);
    CHECK_FALSE(fixture.isGranted(2, 1));
}

TEST_CASE("an instance that warms up gets its two requests from all hosts together")
{
    Fixture fixture;
    fixture.scheduler.onAnnouncement(fixture.record.id, 5s, fixture.now);
    CHECK(fixture.isGranted(1, 1));
    CHECK(fixture.isGranted(2, 1));
    CHECK_FALSE(fixture.isGranted(3, 1));
}

TEST_CASE("an instance that announced its drain gets nothing from any host")
{
    Fixture fixture;
    fixture.record.phase = InstancePhase::Draining;
    fixture.scheduler.upsert(fixture.record, fixture.now);
    CHECK_FALSE(fixture.isGranted(1, 1));
    CHECK_FALSE(fixture.isGranted(2, 1));
}
