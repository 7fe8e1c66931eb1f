// Placement at the size of the users' largest site, replayed on the scheduler alone.

#include <catch2/catch.hpp>

#include <numeric>

#include "fakes/placement_load.h"

using namespace laburnum;
using namespace laburnum::fakes;
using namespace std::chrono_literals;

namespace {

/// Longest median time from arrival to the first grant, outside a shortage.
constexpr Duration medianLimit = 200ms;

unsigned total(const std::vector<PlacementSecond>& seconds, unsigned PlacementSecond::*field)
{
    return std::accumulate(seconds.begin(), seconds.end(), 0U,
        [&](unsigned sum, const PlacementSecond& each) { return sum + each.*field; });
}

} // namespace

TEST_CASE("load pattern: slots of a large site do not stay idle while thousands of requests wait")
{
    PlacementLoad load(badDayOfHosts(443), 1);
    auto seconds = load.run(30s);
    for (std::size_t i = 0; i < seconds.size(); ++i) {
        const bool isShedding = i >= 13 && i < 22;
        CAPTURE(i, seconds[i].waiting, seconds[i].idleWhileWaiting, seconds[i].refused,
            seconds[i].failed, seconds[i].inTime);
        if (!isShedding && i != 3)
            CHECK(seconds[i].medianFirstGrant() < medianLimit);
    }
    // After the last trouble there is no second wave.
    std::vector<PlacementSecond> after(seconds.begin() + 23, seconds.end());
    CHECK(total(after, &PlacementSecond::refused) == 0);
    CHECK(total(after, &PlacementSecond::inTime)
        > total(after, &PlacementSecond::arrived) * 92 / 100);
}
