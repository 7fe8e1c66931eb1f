#include <catch2/catch.hpp>

#include <laburnumroute/log_rate_limiter.h>

using namespace laburnum;
using namespace std::chrono_literals;

TEST_CASE(
    "lines of one kind beyond the limit are counted and summarized, except for failed requests")
{
    LogRateLimiter limiter(10);
    const Decision ordinary { "request", "answered" };
    Decision failed { "request", "answered" };
    failed.alwaysLog = true;
    unsigned written = 0;
    unsigned kept = 0;
    for (int i = 0; i < 500; ++i) {
        const TimePoint now = TimePoint(100s) + i * 1ms;
        written += limiter.admit(ordinary, now) ? 1 : 0;
        kept += limiter.admit(failed, now) ? 1 : 0;
        REQUIRE(limiter.summaries(now).empty());
    }
    REQUIRE(written == 10);
    REQUIRE(kept == 500);
    REQUIRE(limiter.admit({ "leader", "lost" }, TimePoint(100500ms)));

    const auto lines = limiter.summaries(TimePoint(101s));
    REQUIRE(lines.size() == 1);
    REQUIRE(lines.front().alwaysLog);
    REQUIRE(lines.front().facts["of_kind"] == "request");
    REQUIRE(lines.front().facts["lines"].asUInt64() == 490);
    REQUIRE(limiter.summaries(TimePoint(102s)).empty());
    REQUIRE(limiter.admit(ordinary, TimePoint(101s)));
}

TEST_CASE("lines below the limit are all written")
{
    LogRateLimiter limiter(10);
    for (int i = 0; i < 100; ++i) {
        const TimePoint now = TimePoint(100s) + i * 110ms;
        REQUIRE(limiter.admit({ "judge", "doubtful" }, now));
        REQUIRE(limiter.summaries(now).empty());
    }
}
