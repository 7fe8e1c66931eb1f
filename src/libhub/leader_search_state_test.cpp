#include <catch2/catch.hpp>

#include <laburnumroute/leader_search.h>

using namespace laburnum;
using namespace std::chrono_literals;

namespace {

std::vector<std::string> names(unsigned count, const std::string& prefix)
{
    std::vector<std::string> result;
    for (unsigned i = 0; i < count; ++i)
        result.push_back(prefix + std::to_string(i));
    return result;
}

} // namespace

TEST_CASE("leader search: candidates are the seeds and what was discovered, each once, in turn")
{
    LeaderSearch search({ HostId("a"), HostId("b") }, 1);
    search.setControlHosts({ "b", "c" });
    search.addControlHosts({ "c", "d" });
    const auto candidates = search.candidates();
    REQUIRE(
        candidates == std::vector<HostId> { HostId("a"), HostId("b"), HostId("c"), HostId("d") });
    for (const char* expected : { "b", "c", "d", "a", "b" })
        CHECK(search.nextCandidate(candidates) == HostId(expected));
    search.setControlHosts({ "e" });
    search.setSeeds({ HostId("f") });
    CHECK(search.candidates() == std::vector<HostId> { HostId("f"), HostId("e") });
}

// Guards against memory that grows with the names that other hosts send.
TEST_CASE("leader search: the number of discovered hosts is bounded")
{
    LeaderSearch search({}, 0);
    search.addControlHosts(names(1000, "x"));
    search.addControlHosts(names(1000, "y"));
    CHECK(search.discoveredHosts().size() == LeaderSearch::maxDiscoveredHosts);
    search.setControlHosts({ "z" });
    CHECK(search.discoveredHosts() == std::vector<HostId> { HostId("z") });
}

TEST_CASE("leader search: other entry hosts are asked from one second on, twice a second")
{
    LeaderSearch search({}, 0);
    const TimePoint start(100s);
    CHECK_FALSE(search.takeNeighbourQuery(start));
    search.onSearching(start);
    unsigned queries = 0;
    for (Duration time {}; time < 4s; time += 50ms) {
        search.onSearching(start + time);
        const bool asks = search.takeNeighbourQuery(start + time);
        CHECK((time >= 1s || !asks));
        queries += asks ? 1 : 0;
    }
    CHECK(queries == 6);
    CHECK(search.searchTime(start + 4s) == 4s);
    search.onJoined();
    CHECK_FALSE(search.takeNeighbourQuery(start + 10s));
    CHECK(search.searchTime(start + 10s) == Duration::zero());
}

TEST_CASE("leader search: reports come at intervals that double, with the results since the loss")
{
    LeaderSearch search({ HostId("a") }, 0);
    const TimePoint start(100s);
    search.count(ConnectResult::Opened);
    search.onSearching(start);
    search.count(ConnectResult::Failed);
    search.count(ConnectResult::Failed);
    search.count(ConnectResult::TimedOut);
    std::vector<Duration> times;
    for (Duration time {}; time <= 60s; time += 250ms) {
        const auto report = search.takeReport(start + time);
        if (!report)
            continue;
        times.push_back(time);
        CHECK(report->facts["opened"].asUInt64() == 0);
        CHECK(report->facts["failed"].asUInt64() == 2);
        CHECK(report->facts["timed_out"].asUInt64() == 1);
        CHECK(report->facts["for_ms"].asInt64() == toMillis(time));
        CHECK(report->facts["candidates"].size() == 1);
    }
    CHECK(times == std::vector<Duration> { 1s, 3s, 7s, 15s, 31s });
    CHECK(search.render().find("laburnum_leader_connections_total{result=\"opened\"} 1\n")
        != std::string::npos);
}
