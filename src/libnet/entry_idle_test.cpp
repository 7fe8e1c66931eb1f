// Requests on connections that are closed because they were idle.

#include "fleet_fixture_test.h"

using namespace laburnum;
using namespace laburnum::test;
using namespace std::chrono_literals;

namespace {

const std::string get = "GET /s HTTP/1.1\r\nHost: h\r\n\r\n";

void answerAll(Connection& connection, int)
{
    while (!connection.readHead().empty())
        connection.send("HTTP/1.1 200 OK\r\nStamp: s\r\nContent-Length: 2\r\n\r\nok");
}

} // namespace

// Guards against a request that was received and then neither answered nor refused.
TEST_CASE("fleet: a request received while the event loop is held up past the idle limit is served")
{
    ScriptedUpstream upstream(answerAll);
    OrderedPlacementProvider provider;
    provider.callerLimits.idleTimeout = 200ms;
    provider.instances = { upstream.endpoint(), upstream.endpoint() };
    OrderedFleetFixture fixture(provider);
    Connection caller = fixture.connect();
    caller.send(get);
    REQUIRE(caller.readMessage().ends_with("ok"));
    fixture.run([&] {
        caller.send(get);
        std::this_thread::sleep_for(400ms);
    });
    CHECK(caller.readMessage().ends_with("ok"));
    CHECK(provider.requestEnds.wait(2).back() == "answered answered");
}

// Guards against a request that was received and then neither answered nor refused.
TEST_CASE("fleet: a request received while a drain begins is served")
{
    ScriptedUpstream upstream(answerAll);
    OrderedPlacementProvider provider;
    provider.instances = { upstream.endpoint(), upstream.endpoint() };
    OrderedFleetFixture fixture(provider);
    Connection caller = fixture.connect();
    caller.send(get);
    REQUIRE(caller.readMessage().ends_with("ok"));
    Signal drained;
    fixture.run([&] {
        fixture.server().drain([&] { drained.set(); });
        caller.send(get);
        std::this_thread::sleep_for(50ms);
    });
    CHECK(caller.readMessage().ends_with("ok"));
    caller.close();
    CHECK(drained.wait());
}

TEST_CASE("fleet: an idle connection is closed at its limit")
{
    OrderedPlacementProvider provider;
    provider.callerLimits.idleTimeout = 50ms;
    OrderedFleetFixture fixture(provider);
    Connection caller = fixture.connect();
    CHECK(caller.peerCloses());
    const auto logged = provider.decisions.wait(1);
    REQUIRE_FALSE(logged.empty());
    CHECK(logged.front().find("\"limit_ms\":50") != std::string::npos);
    const std::string metrics = fixture.server().metrics().render();
    CHECK(
        metrics.find("laburnum_connections_ended_total{cause=\"idle\"} 1\n") != std::string::npos);
}

// Guards against closing a connection that its caller may still use by the limit in force.
TEST_CASE("fleet: a raised idle limit applies to connections that are idle already")
{
    ScriptedUpstream upstream(answerAll);
    OrderedPlacementProvider provider;
    provider.callerLimits.idleTimeout = 300ms;
    provider.instances = { upstream.endpoint(), upstream.endpoint() };
    OrderedFleetFixture fixture(provider);
    Connection caller = fixture.connect();
    caller.send(get);
    REQUIRE(caller.readMessage().ends_with("ok"));
    fixture.run([&] { provider.callerLimits.idleTimeout = 1200ms; });
    std::this_thread::sleep_for(600ms);
    caller.send(get);
    CHECK(caller.readMessage().ends_with("ok"));
    CHECK(caller.peerCloses());
}
