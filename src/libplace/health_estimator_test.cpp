#include <catch2/catch.hpp>

#include <laburnumroute/health_estimator.h>
#include <laburnumroute/weighted_splitter.h>

using namespace laburnum;
using namespace std::chrono_literals;

TEST_CASE("one failure makes an instance doubtful, and time or successes clear it")
{
    HealthEstimator judge;
    for (int i = 0; i < 40; ++i)
        judge.onSuccess(400ms, 400ms, TimePoint(100s + i * 250ms));
    REQUIRE(judge.failureChance(TimePoint(110s)) < 0.04);
    judge.onFailure(TimePoint(110s));
    REQUIRE(judge.failureChance(TimePoint(110s)) > 0.1);
    REQUIRE(judge.failureChance(TimePoint(125s)) < 0.07);
    judge.onSuccess(400ms, 400ms, TimePoint(111s));
    judge.onSuccess(400ms, 400ms, TimePoint(111s));
    judge.onSuccess(400ms, 400ms, TimePoint(111s));
    REQUIRE(judge.failureChance(TimePoint(111s)) < 0.1);
}

TEST_CASE("an instance that failed again and again is tried last")
{
    HealthEstimator steady;
    HealthEstimator flapping;
    TimePoint now(100s);
    for (int spell = 0; spell < 3; ++spell) {
        for (int i = 0; i < 4; ++i)
            flapping.onFailure(now + i * 500ms);
        now += 9s;
    }
    steady.onFailure(now - 7s);
    REQUIRE(flapping.failureChance(now) > 2 * steady.failureChance(now));
}

TEST_CASE("a slow instance is told from a fast one, and slowness fades")
{
    HealthEstimator judge;
    for (int i = 0; i < 6; ++i)
        judge.onSuccess(4000ms, 400ms, TimePoint(100s + i * 500ms));
    REQUIRE(judge.slowness(TimePoint(103s)) > 3.0);
    REQUIRE(judge.slowness(TimePoint(125s)) < 1.2);
}

TEST_CASE("a silence says as much as sound answers are rarely that long")
{
    const auto after = [](Duration waited) {
        HealthEstimator judge;
        judge.onSilence(waited, 630ms, TimePoint(110s));
        return judge.failureChance(TimePoint(110s));
    };
    // One sound answer of eight takes a second where the mean is 630 ms: a route that gives up
    // after it must not drive its callers from instance to instance.
    REQUIRE(after(1000ms) < 0.15);
    REQUIRE(after(1300ms) < 0.2);
    REQUIRE(after(2000ms) > 0.25);
}

TEST_CASE("a split keeps its weights also over few requests")
{
    const std::vector<WeightedService> split { { ServiceId("a"), 90 }, { ServiceId("b"), 10 } };
    for (const double start : { 0.0, 0.31, 0.77 }) {
        WeightedSplitter sequence(start);
        int first = 0;
        for (int i = 0; i < 50; ++i)
            first += sequence.next(split) == ServiceId("a") ? 1 : 0;
        REQUIRE(first >= 43);
        REQUIRE(first <= 47);
    }
}
