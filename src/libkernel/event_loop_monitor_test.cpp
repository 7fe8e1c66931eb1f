#include <catch2/catch.hpp>

#include <laburnumroute/event_loop_monitor.h>

using namespace laburnum;
using namespace std::chrono_literals;

namespace {

TimePoint at(Duration d) { return TimePoint(d); }

} // namespace

TEST_CASE("a calm interval has no line")
{
    EventLoopMonitor meter;
    meter.report(at(10s));
    meter.recordTurn("ask", at(10s), at(10s + 20ms));
    REQUIRE_FALSE(meter.report(at(10s + 999ms)));
    REQUIRE_FALSE(meter.report(at(11s)));
}

TEST_CASE("a busy interval names its work, and the next one starts from nothing")
{
    EventLoopMonitor meter;
    meter.report(at(10s));
    for (int i = 0; i < 10; ++i)
        meter.recordTurn("hello", at(10s), at(10s + 30ms));
    meter.recordTurn("ask", at(10s), at(10s + 1ms));
    meter.recordSent(100);
    const auto line = meter.report(at(11s));
    REQUIRE(line);
    REQUIRE(line->kind == "loop");
    REQUIRE(line->facts["busy_ms"].asInt() == 301);
    REQUIRE(line->facts["longest_work"].asString() == "hello");
    REQUIRE(line->facts["work"]["hello"]["turns"].asInt() == 10);
    REQUIRE(line->facts["work"]["hello"]["ms"].asInt() == 300);
    REQUIRE(line->facts["bytes"].asInt() == 100);
    REQUIRE_FALSE(meter.report(at(12s)));
}

TEST_CASE("one long turn, or a late timer, is worth a line")
{
    EventLoopMonitor meter;
    meter.report(at(10s));
    meter.recordTurn("config", at(10s), at(10s + 60ms));
    REQUIRE(meter.report(at(11s)));
    meter.recordTimerDelay(80ms);
    const auto line = meter.report(at(12s));
    REQUIRE(line);
    REQUIRE(line->facts["timer_late_ms"].asInt() == 80);
}
