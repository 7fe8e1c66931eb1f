// Leader changes of control hosts with simulated processing costs, under the load of a large site.
// Guards against a second change of leader after a freeze, when the load delays the new leader or
// the old one resumes.

#include <catch2/catch.hpp>

#include "fakes/controller_load.h"

using namespace laburnum;
using namespace laburnum::fakes;
using namespace std::chrono_literals;

namespace {

/// Duration for which the users' bench freezes a host.
constexpr auto freezeTime = 7s;
constexpr auto electionLimit = 2s;
/// A leader's lease, see libhub/controller.cpp.
constexpr auto lease = 240ms;
constexpr auto watchTime = electionLimit + 10s;
/// The test fails when the fleet has been without a leader this long.
constexpr auto giveUp = 3s;
/// One election for the freeze and one after a split vote.
constexpr std::uint64_t electionsLimit = 2;
constexpr double locallyPlacedLimit = 0.1;

void checkSingleLeaderChange(unsigned entries, std::uint64_t seed)
{
    CAPTURE(entries, seed);
    ControllerLoad load(entries, seed);
    REQUIRE(load.start());
    const FreezeOutcome outcome = load.freezeLeader(freezeTime, watchTime, giveUp);
    CAPTURE(load.steadyState().leaderBusy, outcome.leaders, outcome.elections,
        outcome.locallyPlacedShare, outcome.busyShare, toMillis(outcome.withoutLeader),
        toMillis(outcome.longestGap), toMillis(outcome.longestTurn), toMillis(outcome.longestWait));
    REQUIRE(outcome.untilLeader.has_value());
    CHECK(*outcome.untilLeader <= electionLimit);
    CHECK(outcome.watched == watchTime);
    CHECK(outcome.leaders == 1);
    CHECK(outcome.longestGap <= lease);
    CHECK(outcome.elections <= electionsLimit);
    CHECK(outcome.locallyPlacedShare < locallyPlacedLimit);
}

} // namespace

TEST_CASE("a leader freeze causes only one change of leader under the load of 30 hosts")
{
    checkSingleLeaderChange(30, 1);
}

TEST_CASE("a leader freeze causes only one change of leader under the load of 130 hosts")
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed)
        checkSingleLeaderChange(130, seed);
}
