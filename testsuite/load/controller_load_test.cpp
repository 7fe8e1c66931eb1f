// Control hosts whose work takes time, under the load of a large site.

#include <catch2/catch.hpp>

#include "fakes/controller_load.h"

using namespace laburnum;
using namespace laburnum::fakes;
using namespace std::chrono_literals;

namespace {

/// As long as the users' bench freezes a host.
constexpr auto freezeTime = 7s;
constexpr auto electionLimit = 2s;
/// A leader's lease, see libhub/controller.cpp.
constexpr auto lease = 240ms;
constexpr auto watchTime = electionLimit + 10s;
/// So long without a leader settles the verdict.
constexpr auto giveUp = 3s;
/// One for the freeze and one that collided.
constexpr std::uint64_t electionsLimit = 2;
constexpr double aloneLimit = 0.1;

void loseNoSecondLeader(unsigned entries, std::uint64_t seed)
{
    CAPTURE(entries, seed);
    ControllerLoad load(entries, seed);
    REQUIRE(load.start());
    const FreezeOutcome outcome = load.freezeLeader(freezeTime, watchTime, giveUp);
    CAPTURE(load.calm().leaderBusy, outcome.leaders, outcome.elections, outcome.aloneShare,
        outcome.busyShare, toMillis(outcome.withoutLeader), toMillis(outcome.longestGap),
        toMillis(outcome.longestTurn), toMillis(outcome.longestWait));
    REQUIRE(outcome.untilLeader.has_value());
    CHECK(*outcome.untilLeader <= electionLimit);
    CHECK(outcome.watched == watchTime);
    CHECK(outcome.leaders == 1);
    CHECK(outcome.longestGap <= lease);
    CHECK(outcome.elections <= electionsLimit);
    CHECK(outcome.aloneShare < aloneLimit);
}

} // namespace

TEST_CASE("a leader that thaws, or a new one, keeps its lead under the load of 30 hosts")
{
    loseNoSecondLeader(30, 1);
}

TEST_CASE("a leader that thaws, or a new one, keeps its lead under the load of 130 hosts")
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed)
        loseNoSecondLeader(130, seed);
}
