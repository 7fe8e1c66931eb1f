// Who may end an attempt at which an instance is at work: the causes, their counters and log lines.

#include <catch2/catch.hpp>

#include "fleet_fixture_test.h"

using namespace laburnum;
using namespace laburnum::test;

namespace {

using namespace std::chrono_literals;

constexpr const char* get = "GET /s HTTP/1.1\r\nHost: h\r\nId: 7\r\n\r\n";
constexpr const char* okResponse
    = "HTTP/1.1 200 OK\r\nId: 7\r\nStamp: x\r\nContent-Length: 2\r\n\r\nok";

} // namespace

// Guards against an instance's silence that is taken for a reason to end its response.
TEST_CASE("termination: a response that pauses for longer than the idle limit goes on")
{
    constexpr std::size_t part = std::size_t { 100 } * 1024;
    ScriptedUpstream upstream([&](Connection& connection, int) {
        connection.readHead();
        connection.send("HTTP/1.1 200 OK\r\nId: 7\r\nStamp: x\r\nContent-Length: "
            + std::to_string(2 * part) + "\r\n\r\n" + std::string(part, 'a'));
        std::this_thread::sleep_for(1s);
        connection.send(std::string(part, 'b'));
        connection.readAll();
    });
    OrderedPlacementProvider provider;
    provider.instances = { upstream.endpoint() };
    EntryOptions options = fleetOptions();
    options.bodyIdleTimeout = 200ms;
    OrderedFleetFixture fixture(provider, options);
    const bool isWhole
        = fixture.exchange(get).ends_with(std::string(part, 'a') + std::string(part, 'b'));
    CHECK(isWhole);
    CHECK(provider.reports.wait(1).at(0) == "success");
}

// Guards against a caller that is held because of the rule above.
TEST_CASE("termination: a response that pauses ends at the deadline")
{
    Signal closed;
    ScriptedUpstream upstream([&](Connection& connection, int) {
        connection.readHead();
        connection.send("HTTP/1.1 200 OK\r\nId: 7\r\nStamp: x\r\nContent-Length: 200000\r\n\r\n"
            + std::string(100'000, 'a'));
        if (connection.peerCloses())
            closed.set();
    });
    OrderedPlacementProvider provider;
    provider.route.timeout = 700ms;
    provider.instances = { upstream.endpoint() };
    EntryOptions options = fleetOptions();
    options.bodyIdleTimeout = 200ms;
    OrderedFleetFixture fixture(provider, options);
    const auto before = std::chrono::steady_clock::now();
    CHECK(fixture.exchange(get).size() < 200'000);
    CHECK(std::chrono::steady_clock::now() - before >= 700ms);
    CHECK(closed.wait());
    CHECK(provider.reports.wait(1).at(0) == "failure");
}
