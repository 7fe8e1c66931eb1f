#include <catch2/catch.hpp>

#include <cmath>
#include <random>

#include <laburnumroute/stop_allowance.h>

using namespace laburnum;
using namespace std::chrono_literals;

namespace {

constexpr Duration grace = 6s;
constexpr Duration untilAbort = 5500ms;

struct StopTally {
    int cut = 0;
    int refused = 0;
};

/// Requests arrive on open connections during a whole stop. Latencies are log-normal with a mean of
/// a third of the objective and a deviation of 0.5. Requests that arrive when less than `reserved`
/// is left are refused. Only those that arrive after half of the grace period are counted.
StopTally replayStop(Duration objective, Duration reserved)
{
    std::mt19937_64 random(7);
    std::lognormal_distribution<double> latency(
        std::log(std::chrono::duration<double>(objective).count() / 3.0) - 0.125, 0.5);
    StopTally tally;
    for (int i = 0; i < 20'000; ++i) {
        const Duration arrival = grace * i / 20'000;
        const bool isRefused = untilAbort - arrival < reserved;
        const auto end = arrival
            + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(latency(random)));
        tally.refused += isRefused ? 1 : 0;
        tally.cut += !isRefused && arrival > grace / 2 && end > untilAbort ? 1 : 0;
    }
    return tally;
}

} // namespace

TEST_CASE("load pattern: requests on open connections during a stop are answered or not run")
{
    REQUIRE(replayStop(1200ms, 0ms).cut > 500);
    const StopTally tally = replayStop(1200ms, stopAllowance(1200ms, 8s, grace));
    CHECK(tally.cut <= 2);
    // No more than those that arrive in the second half of the grace period.
    CHECK(tally.refused < 10'000);
}

TEST_CASE(
    "the time reserved for an attempt at a stop follows the objective, the timeout, the grace")
{
    CHECK(stopAllowance(1200ms, 8s, 10s) == 2400ms);
    CHECK(stopAllowance(2500ms, 8s, 6s) == 3s);
    CHECK(stopAllowance(0ms, 1s, 10s) == 1s);
    CHECK(stopAllowance(0ms, 60s, 10s) == 5s);
}
