// The promise on attempts, on simulated fleets in virtual time: nobody ends an attempt at which an
// instance is at work, but for the causes that the promise names. The day has the shape of the
// record of issue 41 (docs/incidents/2026-12-06-given-up.md).
//
// CI plays a quarter of the users' grown site. The grown site itself is a hidden case:
// build/bin/libhub_promise_test "[grown]"

#include <cstdlib>
#include <iostream>

#include <catch2/catch.hpp>

#include "fakes/request_fleet.h"

using namespace laburnum;
using namespace laburnum::fakes;
using namespace std::chrono_literals;

namespace {

constexpr unsigned smallSite = 30;
constexpr unsigned grownSite = 120;
constexpr std::uint64_t seeds = 50;

/// What the days of all seeds had of the conditions under which the promise could break.
struct Coverage {
    AllowedEnds allowed;
    std::uint64_t longQueued = 0;
    std::uint64_t refusedHedges = 0;
    std::uint64_t placedAlone = 0;
    std::uint64_t refusedAlone = 0;
};

void print(const RequestFleet& fleet, std::uint64_t seed)
{
    const RequestFleetStats& stats = fleet.stats();
    const AllowedEnds allowed = fleet.checker().allowedEnds();
    std::cout << "seed " << seed << ": " << fleet.checker().requests() << " requests, "
              << fleet.checker().attempts() << " attempts, " << fleet.checker().served()
              << " served, hedges " << stats.hedges << ", refused " << stats.refusedHedges
              << ", alone " << stats.placedAlone << '/' << stats.refusedAlone << ", queued > 1 s "
              << fleet.checker().queuedLongerThan(1s) << ", stops " << stats.stops << ", stopping "
              << stats.stopping << ", trouble " << static_cast<int>(fleet.leaderTrouble())
              << ", ends: left " << allowed.callerLeft << ", deadline " << allowed.deadline
              << ", other " << allowed.otherAnswer << ", stop " << allowed.lateInStop
              << ", violations " << fleet.checker().violations().size() << ", statuses";
    for (const auto& [status, count] : stats.statuses)
        std::cout << ' ' << status << ':' << count;
    std::cout << '\n';
}

} // namespace

TEST_CASE("trial", "[.trial]")
{
    const char* seed = std::getenv("SEED");
    const char* entries = std::getenv("ENTRIES");
    const char* fault = std::getenv("FAULT");
    RequestFleet fleet(
        { static_cast<unsigned>(std::atoi(entries)), static_cast<std::uint64_t>(std::atoll(seed)),
            static_cast<PromiseFault>(fault == nullptr ? 0 : std::atoi(fault)) });
    REQUIRE(fleet.run());
    print(fleet, static_cast<std::uint64_t>(std::atoll(seed)));
}
