#include <catch2/catch.hpp>

#include <laburnumroute/log_rate_limiter.h>

using namespace laburnum;
using namespace std::chrono_literals;

TEST_CASE("lines of one sort beyond the bound are counted and summed up; failed requests never")
{
    LogRateLimiter volume(10);
    const Decision ordinary { "request", "answered" };
    Decision failed { "request", "answered" };
    failed.alwaysLog = true;
    unsigned written = 0;
    unsigned kept = 0;
    for (int i = 0; i < 500; ++i) {
        const TimePoint now = TimePoint(100s) + i * 1ms;
        written += volume.admit(ordinary, now) ? 1 : 0;
        kept += volume.admit(failed, now) ? 1 : 0;
        REQUIRE(volume.summaries(now).empty());
    }
    REQUIRE(written == 10);
    REQUIRE(kept == 500);
    REQUIRE(volume.admit({ "leader", "lost" }, TimePoint(100500ms)));

    const auto lines = volume.summaries(TimePoint(101s));
    REQUIRE(lines.size() == 1);
    REQUIRE(lines.front().alwaysLog);
    REQUIRE(lines.front().facts["of_kind"] == "request");
    REQUIRE(lines.front().facts["lines"].asUInt64() == 490);
    REQUIRE(volume.summaries(TimePoint(102s)).empty());
    REQUIRE(volume.admit(ordinary, TimePoint(101s)));
}

TEST_CASE("a few lines in each second are all written")
{
    LogRateLimiter volume(10);
    for (int i = 0; i < 100; ++i) {
        const TimePoint now = TimePoint(100s) + i * 110ms;
        REQUIRE(volume.admit({ "judge", "doubtful" }, now));
        REQUIRE(volume.summaries(now).empty());
    }
}
