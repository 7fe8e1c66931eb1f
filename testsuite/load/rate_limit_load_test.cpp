// Rate limits of instances on loaded, simulated fleets in virtual time: what an instance said to
// one host binds all hosts together, whoever places the requests. Further seeds and larger fleets
// are hidden cases: build/bin/libhub_rate_limit_test "[hunt]", "[grown]".

#include <sstream>

#include <catch2/catch.hpp>

#include "fakes/request_fleet.h"

using namespace laburnum;
using namespace laburnum::fakes;
using namespace std::chrono_literals;

namespace {

constexpr unsigned quarterSite = 30;
constexpr unsigned grownSite = 120;
constexpr std::uint64_t seedCount = 50;
constexpr std::uint64_t huntSeeds = 250;
constexpr std::uint64_t grownSeeds = 6;

std::string describe(const RequestFleet& fleet, const RateLimitViolation& violation)
{
    std::ostringstream text;
    text << violation.instance.value() << " named " << violation.perSecond << " a second and got "
         << violation.requests << " requests in 4 s up to "
         << toMillis(violation.at - fleet.began()) << " ms; allowed " << violation.allowed;
    return text.str();
}

void checkRateLimits(
    unsigned entries, RateLimitDay limits, AloneDay alone, std::uint64_t first, std::uint64_t last)
{
    for (std::uint64_t seed = first; seed <= last; ++seed) {
        CAPTURE(entries, seed);
        RequestFleetOptions options;
        options.entries = entries;
        options.seed = seed;
        options.rateLimits = limits;
        options.alone = alone;
        RequestFleet fleet(options);
        REQUIRE(fleet.run());
        const auto violations = fleet.rateLimits().violations();
        if (!violations.empty())
            UNSCOPED_INFO(
                violations.size() << " in all, first: " << describe(fleet, violations.front()));
        CHECK(violations.empty());
        // Limited instances get some work, and the others serve their service.
        CHECK(fleet.rateLimits().counted() > 0);
        CHECK(fleet.checker().served() > fleet.checker().requests() / 2);
        CHECK(fleet.checker().unended() == 0);
        CHECK(fleet.checker().violations().empty());
    }
}

/// Reports the fullest window and the share of requests that were served, of 50 days.
void reportFigures(const char* name, RateLimitDay limits, AloneDay alone)
{
    double fullest = 0.0;
    std::uint64_t served = 0;
    std::uint64_t requests = 0;
    std::uint64_t arrived = 0;
    for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
        RequestFleetOptions options;
        options.entries = quarterSite;
        options.seed = seed;
        options.rateLimits = limits;
        options.alone = alone;
        RequestFleet fleet(options);
        REQUIRE(fleet.run());
        fullest = std::max(fullest, fleet.rateLimits().fullestWindow());
        arrived += fleet.rateLimits().counted();
        served += fleet.checker().served();
        requests += fleet.checker().requests();
    }
    WARN(name << ": fullest window " << fullest << " of what is allowed, served "
              << static_cast<double>(served) / static_cast<double>(requests) << " of " << requests
              << ", " << arrived << " at limited instances");
}

} // namespace

// Guards against a limit that is kept by each host for itself, or by none (LIMIT).
TEST_CASE("rate limits: an instance gets no more than it named, from all hosts together")
{
    checkRateLimits(quarterSite, RateLimitDay::Some, AloneDay::None, 1, seedCount);
}

TEST_CASE("rate limits: the same while all hosts are alone for seconds")
{
    checkRateLimits(quarterSite, RateLimitDay::Some, AloneDay::All, 1, seedCount);
}

TEST_CASE("rate limits: the same while half of the hosts are alone for seconds")
{
    checkRateLimits(quarterSite, RateLimitDay::Some, AloneDay::Half, 1, seedCount);
}

TEST_CASE("rate limits: the same if all instances of a service name one")
{
    const auto alone = GENERATE(AloneDay::None, AloneDay::All);
    checkRateLimits(quarterSite, RateLimitDay::WholeService, alone, 1, seedCount);
}

TEST_CASE("rate limits: the same on the grown site", "[.grown]")
{
    const auto alone = GENERATE(AloneDay::None, AloneDay::Half, AloneDay::All);
    checkRateLimits(grownSite, RateLimitDay::WholeService, alone, 1, grownSeeds);
}

TEST_CASE("rate limits: the same with further seeds", "[.hunt]")
{
    const auto limits = GENERATE(RateLimitDay::Some, RateLimitDay::WholeService);
    const auto alone = GENERATE(AloneDay::None, AloneDay::Half, AloneDay::All);
    checkRateLimits(quarterSite, limits, alone, seedCount + 1, huntSeeds);
}

TEST_CASE("rate limits: figures of the days", "[.figures]")
{
    reportFigures("no limits", RateLimitDay::None, AloneDay::None);
    reportFigures("a quarter of the instances", RateLimitDay::Some, AloneDay::None);
    reportFigures("the same, half of the hosts alone", RateLimitDay::Some, AloneDay::Half);
    reportFigures("the same, all hosts alone", RateLimitDay::Some, AloneDay::All);
    reportFigures("a whole service besides", RateLimitDay::WholeService, AloneDay::None);
    reportFigures("the same, all hosts alone", RateLimitDay::WholeService, AloneDay::All);
}
