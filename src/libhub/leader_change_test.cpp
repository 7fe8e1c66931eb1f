// What a change of the leader does to attempts at which instances are at work: nothing.

#include <catch2/catch.hpp>

#include "fakes/controller_fleet.h"

using namespace laburnum;
using namespace laburnum::fakes;
using namespace std::chrono_literals;

namespace {

constexpr unsigned controls = 5;
constexpr unsigned entries = 4;
constexpr std::uint64_t seedCount = 50;
constexpr auto remaining = 12s;
/// Time before the deadline at which the leader must still count the placement.
constexpr auto deadlineMargin = 500ms;

/// What becomes of the leader.
enum class Fate { Killed, Silent, BackAsAnotherMember, Reset, RefusesAfterReset, CutFromHost };

HostId c(unsigned i) { return ControllerFleet::control(i); }
const HostId host = ControllerFleet::entry(1);

PlacementRequest placementRequest()
{
    PlacementRequest request;
    request.service = ServiceId("s");
    request.kind = RequestKind::Safe;
    request.remaining = remaining;
    request.objective = 1s;
    request.dataCentre = DataCentreId("d");
    request.region = RegionId("r");
    return request;
}

/// The second attempt of a request whose first one is at the only instance.
PlacementRequest hedgeRequest()
{
    PlacementRequest request = placementRequest();
    request.retry = true;
    request.resubmitted = true;
    request.isHedge = true;
    request.avoid = { InstanceId("a") };
    return request;
}

void befall(ControllerFleet& fleet, const HostId& leader, Fate fate)
{
    switch (fate) {
    case Fate::Killed:
        fleet.kill(leader);
        break;
    case Fate::Silent:
        fleet.freeze(leader);
        break;
    case Fate::BackAsAnotherMember:
        fleet.wipe(leader);
        fleet.schedule(200ms, [&fleet, leader] { fleet.startControl(leader); });
        break;
    case Fate::RefusesAfterReset:
        fleet.refuseConnections(leader);
        fleet.resetConnections(leader);
        break;
    case Fate::Reset:
        fleet.resetConnections(leader);
        break;
    case Fate::CutFromHost:
        for (unsigned i = 1; i <= controls; ++i)
            fleet.cut(host, c(i));
        break;
    }
}

void mend(ControllerFleet& fleet, const HostId& leader, Fate fate)
{
    if (fate == Fate::Killed)
        fleet.startControl(leader);
    else if (fate == Fate::Silent)
        fleet.freeze(leader, false);
    else if (fate == Fate::RefusesAfterReset)
        fleet.refuseConnections(leader, false);
    for (unsigned i = 1; i <= controls; ++i)
        fleet.cut(host, c(i), false);
}

} // namespace

// Guards against a change of the leader that withdraws the placement of a request at which its
// instance is at work, or a refused second attempt that does (LOST).
TEST_CASE("an attempt keeps its placement and its deadline whatever becomes of the leader")
{
    const auto fate = GENERATE(Fate::Killed, Fate::Silent, Fate::BackAsAnotherMember, Fate::Reset,
        Fate::RefusesAfterReset, Fate::CutFromHost);
    CAPTURE(static_cast<int>(fate));
    for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
        CAPTURE(seed);
        ControllerFleet fleet({ .controls = controls, .entries = entries, .seed = seed });
        REQUIRE(fleet.runUntil(5s, [&] { return fleet.leader().has_value(); }));
        REQUIRE(fleet.callAnywhere(AnnounceCall { instanceRecord("a", "s", 80) }));
        REQUIRE(fleet.runUntil(5s, [&] {
            return fleet.client(host).hasLeader()
                && !fleet.client(host).localScheduler().instances().empty();
        }));
        const TimePoint deadline = fleet.now() + remaining;
        const DispatchId first = fleet.dispatch(host, placementRequest());
        REQUIRE(fleet.runUntil(200ms, [&] { return fleet.answers(host).contains(first); }));
        REQUIRE(fleet.answers(host).at(first).instance);
        REQUIRE_FALSE(fleet.answers(host).at(first).alone);

        const HostId leader = *fleet.leader();
        const std::uint64_t lost = fleet.decisions("leader", "lost");
        befall(fleet, leader, fate);
        REQUIRE(fleet.runUntil(3s, [&] { return fleet.decisions("leader", "lost") > lost; }));
        REQUIRE(fleet.runUntil(3s, [&] { return !fleet.client(host).hasLeader(); }));
        const DispatchId hedge = fleet.dispatch(host, hedgeRequest());
        REQUIRE(fleet.runUntil(1s, [&] { return fleet.answers(host).contains(hedge); }));
        CHECK_FALSE(fleet.answers(host).at(hedge).instance);
        CHECK(fleet.answers(host).at(hedge).alone);
        for (int i = 0; i < 300; ++i) {
            fleet.run(10ms);
            REQUIRE(fleet.client(host).activePlacements() == 1);
        }
        mend(fleet, leader, fate);

        // The leader of then counts the placement, once, until it ends.
        const auto isCounted = [&] {
            return fleet.leader() && fleet.client(host).hasLeader()
                && fleet.controller(*fleet.leader())->scheduler().granted() == 1;
        };
        REQUIRE(fleet.runUntil(5s, isCounted));
        while (fleet.now() < deadline - deadlineMargin) {
            fleet.run(50ms);
            REQUIRE(fleet.client(host).activePlacements() == 1);
        }
        CHECK(isCounted());
        fleet.end(host, first, { PlacementOutcome::Success, remaining - deadlineMargin });
        CHECK(fleet.client(host).activePlacements() == 0);
        fleet.run(200ms);
        CHECK(fleet.controller(*fleet.leader())->scheduler().granted() == 0);
        CHECK(fleet.answers(host).size() == 2);
    }
}
