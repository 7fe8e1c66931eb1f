// Planned stop of an entry host with fleet placement: requests on open connections.

#include <asio/steady_timer.hpp>
#include <catch2/catch.hpp>

#include "fleet_fixture_test.h"

using namespace laburnum;
using namespace laburnum::test;

namespace {

using namespace std::chrono_literals;

constexpr const char* unsafeRequest
    = "POST /s HTTP/1.1\r\nHost: h\r\nId: 7\r\nContent-Length: 0\r\n\r\n";
constexpr const char* okResponse
    = "HTTP/1.1 200 OK\r\nId: 7\r\nStamp: x\r\nContent-Length: 2\r\n\r\nok";

/// Two requests on open connections; between them the host learns of a stop that began `elapsed`
/// before.
std::string secondResponseDuringStop(
    OrderedPlacementProvider& provider, Duration grace, Duration elapsed)
{
    OrderedFleetFixture fixture(provider);
    Connection caller = fixture.connect();
    Connection kept = fixture.connect();
    caller.send(unsafeRequest);
    CHECK(caller.readMessage().ends_with("ok"));
    fixture.server().startLameDuck(PlannedStop(grace), elapsed);
    kept.send(unsafeRequest);
    return kept.readMessage();
}

} // namespace

TEST_CASE("stop: a request that the rest of the grace period may cut is refused as not run")
{
    ScriptedUpstream upstream([](Connection& connection, int) {
        while (!connection.readHead().empty())
            connection.send(okResponse);
    });
    OrderedPlacementProvider provider;
    provider.route.kind = RequestKind::Unsafe;
    provider.route.objective = 2s;
    provider.instances = { upstream.endpoint(), upstream.endpoint() };
    SECTION("with time left it is served, and the connection is closed")
    {
        const std::string got = secondResponseDuringStop(provider, 1h, 0s);
        CHECK(got.starts_with("HTTP/1.1 200 "));
        CHECK(got.find("\r\nConnection: close\r\n") != std::string::npos);
    }
    SECTION("without time left it reaches no instance")
    {
        const std::string got = secondResponseDuringStop(provider, 6s, 6s);
        CHECK(got.starts_with("HTTP/1.1 503 "));
        CHECK(got.find("\r\nRetry-After: 0.050\r\n") != std::string::npos);
        CHECK(got.find("\r\nConnection: close\r\n") != std::string::npos);
        CHECK(provider.dispatches.wait(1).size() == 1);
        CHECK(upstream.accepted() == 1);
    }
}

TEST_CASE("stop: a placement that is granted when no time is left is returned unused")
{
    ScriptedUpstream upstream([](Connection& connection, int) { connection.peerCloses(); });
    OrderedPlacementProvider provider;
    provider.route.kind = RequestKind::Unsafe;
    provider.route.objective = 2s;
    provider.instances = { upstream.endpoint() };
    std::function<void()> beginStop;
    provider.onDispatch = [&] { beginStop(); };
    OrderedFleetFixture fixture(provider);
    beginStop = [&] { fixture.server().startLameDuck(PlannedStop(6s), 6s); };
    CHECK(fixture.exchange(unsafeRequest).starts_with("HTTP/1.1 503 "));
    CHECK(provider.reports.wait(1) == std::vector<std::string> { "unused" });
    CHECK(provider.requestEnds.wait(1) == std::vector<std::string> { "stopping not-run" });
    CHECK(upstream.accepted() == 0);
}

// Guards against a request with an objective of 800 ms that was read 3.8 s after the signal, passed
// on and cut when the grace period of 6 s ended.
TEST_CASE("stop: a request that is read late reaches an instance only if it ends in time")
{
    ScriptedUpstream upstream([](Connection& connection, int) {
        while (!connection.readHead().empty())
            connection.send(okResponse);
    });
    OrderedPlacementProvider provider;
    provider.route.kind = RequestKind::Unsafe;
    provider.route.objective = 800ms;
    SECTION("its route allows it to run beyond the abort")
    {
        provider.route.timeout = 6s;
        provider.instances = { upstream.endpoint(), upstream.endpoint() };
        const std::string got = secondResponseDuringStop(provider, 6s, 3800ms);
        CHECK(got.starts_with("HTTP/1.1 503 "));
        CHECK(got.find("\r\nLaburnum-Outcome: not-run\r\n") != std::string::npos);
        CHECK(got.find("\r\nConnection: close\r\n") != std::string::npos);
        CHECK(upstream.accepted() == 1);
    }
    SECTION("it ends before the abort at the latest")
    {
        provider.route.timeout = 1s;
        provider.instances = { upstream.endpoint(), upstream.endpoint() };
        CHECK(secondResponseDuringStop(provider, 6s, 3800ms).starts_with("HTTP/1.1 200 "));
    }
}

// Guards against requests that became readable while the process was suspended and are passed on
// before the stop signal, which is handled after them.
TEST_CASE("stop: after a suspension a request is handled only after pending signals")
{
    ScriptedUpstream upstream([](Connection& connection, int) {
        while (!connection.readHead().empty())
            connection.send(okResponse);
    });
    OrderedPlacementProvider provider;
    provider.route.kind = RequestKind::Unsafe;
    provider.instances = { upstream.endpoint() };
    OrderedFleetFixture fixture(provider);
    asio::steady_timer signal(fixture.context());
    fixture.run([&] {
        SuspensionGuard& guard = fixture.server().suspension();
        guard = SuspensionGuard(SteadyClock().now() - 5s);
        guard.alive(SteadyClock().now());
        // Both timers belong to the server's thread, so that the signal is handled before the hold
        // ends even if the thread is late.
        signal.expires_after(10ms);
        signal.async_wait(
            [&](std::error_code) { fixture.server().startLameDuck(PlannedStop(6s), 5s); });
    });
    CHECK(fixture.exchange(unsafeRequest).starts_with("HTTP/1.1 503 "));
    CHECK(upstream.accepted() == 0);
}

// Guards against a stop, or what it does to a second attempt, that ends the first one (LOST).
TEST_CASE("fleet: an active attempt continues when the stop leaves no time for its hedge")
{
    constexpr auto hedgeTime = 1s;
    OrderedPlacementProvider provider;
    provider.route.objective = 1s;
    std::function<void()> whileAtWork;
    ScriptedUpstream slow([&](Connection& connection, int) {
        connection.readHead();
        whileAtWork();
        connection.send(okResponse);
    });
    provider.instances = { slow.endpoint() };
    OrderedFleetFixture fixture(provider);
    std::size_t dispatches = 0;
    SECTION("with time left its hedge is refused")
    {
        whileAtWork = [&] {
            fixture.run([&] { fixture.server().startLameDuck(PlannedStop(1h), 0s); });
            provider.dispatches.wait(2);
        };
        dispatches = 2;
    }
    SECTION("without time left there is none")
    {
        whileAtWork = [&] {
            Signal passed;
            asio::steady_timer timer(fixture.context());
            fixture.run([&] {
                fixture.server().startLameDuck(PlannedStop(6s), 5s);
                timer.expires_after(hedgeTime + 300ms);
                timer.async_wait([&](std::error_code) { passed.set(); });
            });
            CHECK(passed.wait());
        };
        dispatches = 1;
    }
    const std::string got = fixture.exchange("GET /s HTTP/1.1\r\nHost: h\r\nId: 7\r\n\r\n");
    CHECK(got.starts_with("HTTP/1.1 200 "));
    CHECK(got.ends_with("ok"));
    CHECK(provider.reports.wait(1) == std::vector<std::string> { "success" });
    CHECK(provider.dispatches.wait(dispatches).size() == dispatches);
}

// Guards against a change that ends a request which was read before it (LOST).
TEST_CASE("fleet: a request at work keeps its plan when the configuration changes")
{
    OrderedPlacementProvider provider;
    provider.route.kind = GENERATE(RequestKind::Safe, RequestKind::Unsafe);
    std::function<void()> whileAtWork;
    ScriptedUpstream upstream([&](Connection& connection, int) {
        connection.readHead();
        whileAtWork();
        connection.send(okResponse);
    });
    provider.instances = { upstream.endpoint() };
    OrderedFleetFixture fixture(provider);
    whileAtWork = [&] {
        fixture.run([&] {
            provider.route.service = ServiceId("other");
            provider.route.timeout = provider.route.objective = 1ms;
            provider.route.attempts = 1;
        });
    };
    const std::string got = fixture.exchange(unsafeRequest);
    CHECK(got.starts_with("HTTP/1.1 200 "));
    CHECK(got.ends_with("ok"));
    CHECK(provider.requestEnds.wait(1) == std::vector<std::string> { "answered answered" });
}

// Guards against a host that gives up an attempt at work because a second one is refused while it
// has no leader (LOST).
TEST_CASE("fleet: an active attempt continues whatever refuses its hedge, by the leader or alone")
{
    OrderedPlacementProvider provider;
    provider.route.objective = 1s;
    provider.refusal = GENERATE(PlacementRefusal::NoInstance, PlacementRefusal::Busy,
        PlacementRefusal::NoBudget, PlacementRefusal::OverCap, PlacementRefusal::OverShare);
    provider.alone = GENERATE(true, false);
    ScriptedUpstream slow([&](Connection& connection, int) {
        connection.readHead();
        provider.dispatches.wait(2);
        connection.send(okResponse);
    });
    provider.instances = { slow.endpoint() };
    OrderedFleetFixture fixture(provider);
    const std::string got = fixture.exchange("GET /s HTTP/1.1\r\nHost: h\r\nId: 7\r\n\r\n");
    CHECK(got.starts_with("HTTP/1.1 200 "));
    CHECK(got.ends_with("ok"));
    CHECK(provider.dispatches.wait(2).size() == 2);
    CHECK(provider.reports.wait(1) == std::vector<std::string> { "success" });
}

// Guards against keys that are withdrawn, and a configuration that is gone, while an instance is at
// work: what was read before ends as it would have (LOST). Both are asked for again only by the
// next request.
TEST_CASE("fleet: a request at work goes on when its key or the configuration is withdrawn")
{
    const auto withdrawn = GENERATE(PlanRefusal::KeyUnknown, PlanRefusal::KeyUnconfirmed,
        PlanRefusal::KeyConfirmationPending, PlanRefusal::NoConfiguration, PlanRefusal::NoRoute);
    const bool isMidway = GENERATE(false, true);
    const std::string request = std::string(GENERATE("GET", "POST"))
        + " /s HTTP/1.1\r\nHost: h\r\nId: 7\r\nApi-Key: k\r\n" + "Content-Length: 0\r\n\r\n";
    OrderedPlacementProvider provider;
    provider.route.account = ClientAccountId("a");
    provider.route.kind = request.starts_with("GET") ? RequestKind::Safe : RequestKind::Unsafe;
    std::optional<PlanRefusal> refusal;
    provider.planRequest = [&](const PlanQuery&) -> tl::expected<RequestPlan, PlanRefusal> {
        if (refusal)
            return tl::unexpected<PlanRefusal>(*refusal);
        return provider.route;
    };
    std::function<void()> whileAtWork;
    const std::string response = okResponse;
    const std::size_t begun = isMidway ? response.size() - 1 : 0;
    ScriptedUpstream upstream([&](Connection& connection, int) {
        connection.readHead();
        connection.send(response.substr(0, begun));
        whileAtWork();
        connection.send(response.substr(begun));
    });
    provider.instances = { upstream.endpoint() };
    OrderedFleetFixture fixture(provider);
    whileAtWork = [&] { fixture.run([&] { refusal = withdrawn; }); };
    const std::string got = fixture.exchange(request);
    CHECK(got.starts_with("HTTP/1.1 200 "));
    CHECK(got.ends_with("ok"));
    CHECK(provider.requestEnds.wait(1) == std::vector<std::string> { "answered answered" });
    CHECK(provider.dispatches.wait(1).size() == 1);
}
