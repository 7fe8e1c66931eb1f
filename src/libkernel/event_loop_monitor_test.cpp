#include <catch2/catch.hpp>

#include <laburnumroute/event_loop_monitor.h>

using namespace laburnum;
using namespace std::chrono_literals;

namespace {

TimePoint at(Duration d) { return TimePoint(d); }

} // namespace

TEST_CASE("an interval with little work is not reported")
{
    EventLoopMonitor monitor;
    monitor.report(at(10s));
    monitor.recordTurn("ask", at(10s), at(10s + 20ms));
    REQUIRE_FALSE(monitor.report(at(10s + 999ms)));
    REQUIRE_FALSE(monitor.report(at(11s)));
}

TEST_CASE("a busy interval is reported by kind of work, and the next one starts empty")
{
    EventLoopMonitor monitor;
    monitor.report(at(10s));
    for (int i = 0; i < 10; ++i)
        monitor.recordTurn("hello", at(10s), at(10s + 30ms));
    monitor.recordTurn("ask", at(10s), at(10s + 1ms));
    monitor.recordSent(100);
    const auto line = monitor.report(at(11s));
    REQUIRE(line);
    REQUIRE(line->kind == "loop");
    REQUIRE(line->facts["busy_ms"].asInt() == 301);
    REQUIRE(line->facts["longest_work"].asString() == "hello");
    REQUIRE(line->facts["work"]["hello"]["turns"].asInt() == 10);
    REQUIRE(line->facts["work"]["hello"]["ms"].asInt() == 300);
    REQUIRE(line->facts["bytes"].asInt() == 100);
    REQUIRE_FALSE(monitor.report(at(12s)));
}

TEST_CASE("a long turn or a late timer is reported")
{
    EventLoopMonitor monitor;
    monitor.report(at(10s));
    monitor.recordTurn("config", at(10s), at(10s + 60ms));
    REQUIRE(monitor.report(at(11s)));
    monitor.recordTimerDelay(80ms);
    const auto line = monitor.report(at(12s));
    REQUIRE(line);
    REQUIRE(line->facts["timer_late_ms"].asInt() == 80);
}
