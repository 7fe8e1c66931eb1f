#include <catch2/catch.hpp>

#include <cmath>
#include <random>

#include <laburnumroute/planned_stop.h>

using namespace laburnum;
using namespace std::chrono_literals;

namespace {

struct StopTally {
    /// Requests cut by the abort that were read after the time in which a cut is excused.
    int cutLate = 0;
    /// Requests cut before the last sixth of the grace period.
    int cutEarly = 0;
    int servedLate = 0;
};

/// Requests are read during a whole stop, and their instances work for up to ten times the usual
/// latency, which is a third of the objective.
StopTally replayStop(std::uint64_t seed, Duration grace, Duration objective, Duration timeout)
{
    constexpr int requests = 2000;
    constexpr double slowest = 10.0;
    std::mt19937_64 random(seed);
    std::uniform_real_distribution<double> slowness(0.1, slowest);
    std::uniform_real_distribution<double> limitShare(0.05, 1.0);
    const PlannedStop stop(grace);
    StopTally tally;
    for (int i = 0; i < requests; ++i) {
        const Duration read = grace * i / requests;
        const double share = limitShare(random);
        const auto limit = std::chrono::duration_cast<Duration>(timeout * share);
        const double factor = slowness(random);
        const auto work = std::chrono::duration_cast<Duration>(objective / 3 * factor);
        if (!stop.mayStart({ read, read, read + limit, objective, timeout }))
            continue;
        const Duration end = read + std::min(work, limit);
        const bool isLate = read > std::min<Duration>(3s, grace / 2);
        const bool isCut = end > stop.abortAfter();
        tally.cutLate += isLate && isCut ? 1 : 0;
        tally.servedLate += isLate && !isCut ? 1 : 0;
        tally.cutEarly += isCut && stop.abortAfter() < grace - grace / 6 ? 1 : 0;
    }
    return tally;
}

} // namespace

// Guards against the cut that was seen: a grace period of 6 s, an objective of 800 ms, a request
// read after 3.8 s whose instance worked for longer than the 1.7 s that were left.
TEST_CASE("load pattern: a request read late in a stop is never cut, however slow its instance is")
{
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        CAPTURE(seed);
        const StopTally usual = replayStop(seed, 6s, 800ms, 6s);
        CHECK(usual.cutLate == 0);
        CHECK(usual.cutEarly == 0);
        // Requests whose own limit ends in time are still served.
        CHECK(usual.servedLate > 0);
        CHECK(replayStop(seed, 30s, 2500ms, 20s).cutLate == 0);
        CHECK(replayStop(seed, 1s, 800ms, 6s).cutEarly == 0);
    }
}

TEST_CASE("a stopping host refuses what it reads late unless the deadline ends before the abort")
{
    const PlannedStop stop(6s);
    CHECK_FALSE(stop.mayStart({ 3800ms, 3800ms, 9800ms, 800ms, 6s }));
    CHECK(stop.mayStart({ 3800ms, 3800ms, 5s, 800ms, 6s }));
    CHECK_FALSE(stop.mayStart({ 3800ms, 3800ms, 5400ms, 800ms, 6s }));
    CHECK(stop.mayStart({ 2900ms, 2900ms, 8900ms, 800ms, 6s }));
    // A request that was read early but waited for its placement.
    CHECK_FALSE(stop.mayStart({ 2900ms, 4500ms, 8900ms, 800ms, 6s }));
}

TEST_CASE("the times of a stop are ordered and the abort falls into the last sixth of the grace")
{
    for (const Duration grace : { Duration(300ms), Duration(2s), Duration(6s), Duration(30s) }) {
        const PlannedStop stop(grace);
        CHECK(stop.lateAfter() < stop.drainAfter());
        CHECK(stop.drainAfter() < stop.abortAfter());
        CHECK(stop.abortAfter() < stop.exitAfter());
        CHECK(stop.exitAfter() < grace);
        CHECK(stop.abortAfter() >= grace - grace / 6);
    }
    CHECK(PlannedStop(6s).abortAfter() == 5500ms);
}

// Guards against requests that a repeated signal cuts in the first instant of a stop (LOST).
TEST_CASE("only a later interrupt forces a stop")
{
    for (const Duration elapsed : { Duration(0ms), Duration(1ms), Duration(999ms) }) {
        CHECK_FALSE(PlannedStop::isForcedBy(StopSignal::Terminate, elapsed));
        CHECK_FALSE(PlannedStop::isForcedBy(StopSignal::Interrupt, elapsed));
    }
    for (const Duration elapsed : { Duration(1s), Duration(3s), Duration(24h) }) {
        CHECK_FALSE(PlannedStop::isForcedBy(StopSignal::Terminate, elapsed));
        CHECK(PlannedStop::isForcedBy(StopSignal::Interrupt, elapsed));
    }
}
