// Requests whose handling throws an exception.

#include "fleet_fixture_test.h"

using namespace laburnum;
using namespace laburnum::test;
using namespace std::chrono_literals;

namespace {

const std::string get = "GET /s HTTP/1.1\r\nHost: h\r\nId: 7\r\n\r\n";

void answerAll(Connection& connection, int)
{
    while (!connection.readHead().empty())
        connection.send("HTTP/1.1 200 OK\r\nStamp: s\r\nId: 7\r\nContent-Length: 2\r\n\r\nok");
}

void failInternally() { throw std::runtime_error("out of order"); }

} // namespace

// Guards against a request that gets neither an answer nor a refusal, and leaves no trace.
TEST_CASE("fleet: a request whose handling throws is answered, logged and counted")
{
    ScriptedUpstream upstream(answerAll);
    OrderedPlacementProvider provider;
    provider.instances = { upstream.endpoint() };
    std::string expected = "HTTP/1.1 503 ";
    std::string outcome = "not-run";
    SECTION("by its plan")
    {
        provider.planRequest = [](const PlanQuery&) -> tl::expected<RequestPlan, PlanRefusal> {
            failInternally();
            return {};
        };
    }
    SECTION("by its placement") { provider.onDispatch = failInternally; }
    SECTION("after its attempt")
    {
        // An instance has run it.
        expected = "HTTP/1.1 502 ";
        outcome = "unknown";
        provider.onEnd = failInternally;
        provider.route.kind = GENERATE(RequestKind::Safe, RequestKind::Unsafe);
    }
    OrderedFleetFixture fixture(provider);
    const std::string got = fixture.exchange(get);
    CHECK(got.starts_with(expected));
    CHECK(got.find("Laburnum-Outcome: " + outcome + "\r\n") != std::string::npos);
    CHECK(got.find("Connection: close\r\n") != std::string::npos);
    CHECK(provider.requestEnds.wait(1) == std::vector<std::string> { "internal-error " + outcome });
    const std::string metrics = fixture.server().metrics().render();
    CHECK(metrics.find("laburnum_internal_errors_total 1\n") != std::string::npos);
    const auto logged = provider.decisions.wait(1);
    REQUIRE_FALSE(logged.empty());
    CHECK(logged.front().find("out of order") != std::string::npos);
}

// Guards against a response of the host's own that is written into an instance's response.
TEST_CASE("fleet: a request that throws while a hedged attempt relays gets no second response")
{
    constexpr std::size_t length = std::size_t { 200 } * 1024;
    ScriptedUpstream silent([](Connection& connection, int) {
        connection.readHead();
        connection.peerCloses();
    });
    ScriptedUpstream streaming([&](Connection& connection, int) {
        connection.readHead();
        connection.send("HTTP/1.1 200 OK\r\nStamp: s\r\nId: 7\r\nContent-Length: "
            + std::to_string(length) + "\r\n\r\n" + std::string(length, 'a'));
        connection.peerCloses();
    });
    OrderedPlacementProvider provider;
    provider.route.objective = 200ms;
    provider.instances = { silent.endpoint(), streaming.endpoint() };
    // The first attempt ends when the other one begins to relay, the other one with its response.
    provider.onEnd = [ends = 0]() mutable {
        if (++ends == 2)
            failInternally();
    };
    OrderedFleetFixture fixture(provider);
    Connection caller = fixture.connect();
    caller.send(get);
    const std::string got = caller.readAll();
    CHECK(got.starts_with("HTTP/1.1 200 "));
    CHECK(got.find("HTTP/1.1 502 ") == std::string::npos);
}
