// Who may end an attempt at which an instance is at work: the causes, their counters and log lines.

#include <algorithm>
#include <atomic>
#include <thread>

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

namespace {

/// Value of a counter by cause.
std::string counter(OrderedFleetFixture& fixture, const std::string& name, const std::string& cause)
{
    const std::string text = fixture.server().metrics().render();
    const std::string start = name + "{cause=\"" + cause + "\"} ";
    const auto at = text.find(start);
    if (at == std::string::npos)
        return "";
    const auto value = at + start.size();
    return text.substr(value, text.find('\n', value) - value);
}

std::string terminated(OrderedFleetFixture& fixture, const std::string& cause)
{
    return counter(fixture, "laburnum_attempts_terminated_total", cause);
}

/// Number of attempts that were ended for any cause.
int terminatedInAll(OrderedFleetFixture& fixture)
{
    int sum = 0;
    for (const TerminationRule& rule : terminationRules())
        sum += std::stoi(terminated(fixture, rule.name));
    return sum;
}

/// Ends a connection once it has received a request.
struct FaultCase {
    std::string cause;
    std::string by;
    std::string response;
};

} // namespace

TEST_CASE("termination: what an instance sends or does is counted and logged by cause")
{
    const auto fault = GENERATE(values<FaultCase>({
        { "connection-lost", "instance", "" },
        { "not-http", "instance", "bytes of no protocol\r\n\r\n" },
        { "too-long", "instance",
            "HTTP/1.1 500 Oops\r\nId: 7\r\n\r\n" + std::string(400'000, 'x') },
        { "no-stamp", "instance", "HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 2\r\n\r\nok" },
    }));
    CAPTURE(fault.cause);
    ScriptedUpstream upstream([&](Connection& connection, int) {
        connection.readHead();
        connection.send(fault.response);
        connection.closeSending();
        connection.readAll();
    });
    OrderedPlacementProvider provider;
    provider.route.kind = RequestKind::Unsafe;
    provider.instances = { upstream.endpoint() };
    OrderedFleetFixture fixture(provider);
    CHECK(fixture.exchange(get).starts_with("HTTP/1.1 502 "));
    CHECK(provider.decisions.waitFor(
        { "attempt", "\"cause\":\"" + fault.cause + '"', "\"by\":\"" + fault.by + '"' }));
    CHECK(terminated(fixture, fault.cause) == "1");
    CHECK(terminatedInAll(fixture) == 1);
}

TEST_CASE("termination: a caller that leaves is counted and logged")
{
    Signal received;
    ScriptedUpstream upstream([&](Connection& connection, int) {
        connection.readHead();
        received.set();
        connection.readAll();
    });
    OrderedPlacementProvider provider;
    provider.instances = { upstream.endpoint() };
    OrderedFleetFixture fixture(provider);
    Connection caller = fixture.connect();
    caller.send(get);
    REQUIRE(received.wait());
    caller.close();
    CHECK(
        provider.decisions.waitFor({ "attempt", R"("by":"caller")", R"("cause":"caller-gone")" }));
    CHECK(terminated(fixture, "caller-gone") == "1");
    CHECK(terminatedInAll(fixture) == 1);
}

TEST_CASE("termination: the deadline is counted and logged")
{
    ScriptedUpstream upstream([&](Connection& connection, int) {
        connection.readHead();
        connection.readAll();
    });
    OrderedPlacementProvider provider;
    provider.route.timeout = 300ms;
    provider.instances = { upstream.endpoint() };
    OrderedFleetFixture fixture(provider);
    CHECK(fixture.exchange(get).starts_with("HTTP/1.1 504 "));
    CHECK(provider.decisions.waitFor({ "attempt", R"("by":"operator")", R"("cause":"deadline")" }));
    CHECK(terminated(fixture, "deadline") == "1");
    CHECK(terminatedInAll(fixture) == 1);
}

TEST_CASE("termination: an attempt that another one's response ends is counted and logged")
{
    ScriptedUpstream slow([&](Connection& connection, int) {
        connection.readHead();
        connection.readAll();
    });
    const auto length = GENERATE(std::size_t { 2 }, std::size_t { 300'000 });
    ScriptedUpstream good([&](Connection& connection, int) {
        connection.readHead();
        connection.send("HTTP/1.1 200 OK\r\nId: 7\r\nStamp: x\r\nContent-Length: "
            + std::to_string(length) + "\r\n\r\n" + std::string(length, 'o'));
        connection.readAll();
    });
    OrderedPlacementProvider provider;
    provider.route.objective = 1s;
    provider.instances = { slow.endpoint(), good.endpoint() };
    OrderedFleetFixture fixture(provider);
    const bool isWhole = fixture.exchange(get).ends_with(std::string(length, 'o'));
    CHECK(isWhole);
    CHECK(
        provider.decisions.waitFor({ "attempt", R"("by":"host")", R"("cause":"other-response")" }));
    CHECK(terminated(fixture, "other-response") == "1");
    CHECK(terminatedInAll(fixture) == 1);
}

// Guards against an error page of something in front of one instance that ends the work of another.
TEST_CASE("termination: an error that no instance stamped ends no attempt at work")
{
    const bool secondFails = GENERATE(false, true);
    Signal secondSent;
    ScriptedUpstream slow([&](Connection& connection, int) {
        connection.readHead();
        secondSent.wait();
        std::this_thread::sleep_for(200ms);
        if (!secondFails)
            connection.send(okResponse);
        connection.closeSending();
        connection.readAll();
    });
    ScriptedUpstream front([&](Connection& connection, int) {
        connection.readHead();
        connection.send("HTTP/1.1 404 Not Found\r\nContent-Length: 4\r\n\r\nnone");
        secondSent.set();
        connection.readAll();
    });
    OrderedPlacementProvider provider;
    provider.route.objective = 1s;
    provider.instances = { slow.endpoint(), front.endpoint() };
    OrderedFleetFixture fixture(provider);
    const std::string got = fixture.exchange(get);
    // It is passed on if there is nothing else.
    CHECK(got.starts_with(secondFails ? "HTTP/1.1 404 " : "HTTP/1.1 200 "));
    CHECK(terminated(fixture, "other-response") == "0");
}

TEST_CASE("termination: a response that is complete is counted for no cause")
{
    ScriptedUpstream upstream([&](Connection& connection, int) {
        while (!connection.readHead().empty())
            connection.send(okResponse);
    });
    OrderedPlacementProvider provider;
    provider.instances = { upstream.endpoint() };
    OrderedFleetFixture fixture(provider);
    CHECK(fixture.exchange(get).ends_with("ok"));
    CHECK(terminatedInAll(fixture) == 0);
}

// Guards against requests cut by a stop that nothing names.
TEST_CASE("termination: each request that a stop cuts is logged, and its attempt is counted")
{
    struct Cut {
        TerminationCause cause;
        StopProgress progress;
        std::string stopMillis;
    };
    const PlannedStop stop(12s);
    const auto cut = GENERATE_COPY(values<Cut>({
        { TerminationCause::StopAbort, { 1, stop.abortAfter() }, "11500" },
        { TerminationCause::StopExit, { 1, stop.exitAfter() }, "11800" },
        { TerminationCause::SecondSignal, { 2, 70ms }, "70" },
    }));
    const std::string cause = terminationCauseName(cut.cause);
    CAPTURE(cause);
    Signal received;
    ScriptedUpstream upstream([&](Connection& connection, int) {
        connection.readHead();
        received.set();
        connection.readAll();
    });
    OrderedPlacementProvider provider;
    provider.instances = { upstream.endpoint() };
    OrderedFleetFixture fixture(provider);
    Connection caller = fixture.connect();
    Connection idle = fixture.connect();
    caller.send(get);
    REQUIRE(received.wait());
    bool aborted = false;
    std::vector<std::string> atOnce;
    fixture.run([&] {
        fixture.server().startLameDuck(stop);
        aborted = fixture.server().abort(cut.cause, cut.progress);
        // The process may end right after this.
        atOnce = provider.decisions.wait(0);
    });
    CHECK(aborted);
    REQUIRE(atOnce.size() == 1);
    for (const std::string& part : { std::string("request-cut"), "\"cause\":\"" + cause + '"',
             std::string(R"("id":"7")"), std::string(R"("service":"s")"),
             "\"instance\":\"" + std::to_string(upstream.endpoint().port) + '"',
             "\"stop_ms\":" + cut.stopMillis, std::string("\"ms\":") }) {
        CAPTURE(part, atOnce.front());
        CHECK(atOnce.front().find(part) != std::string::npos);
    }
    CHECK(caller.readAll().empty());
    CHECK(caller.wasReset());
    CHECK(provider.decisions.waitFor(
        { "attempt", R"("by":"operator")", "\"cause\":\"" + cause + '"', R"("id":"7")" }));
    CHECK(terminated(fixture, cause) == "1");
    CHECK(terminatedInAll(fixture) == 1);
}

TEST_CASE("termination: an abort before its time ends nothing and counts as a defect")
{
    struct Early {
        TerminationCause cause;
        StopProgress progress;
    };
    const auto grace = GENERATE(Duration(12s), Duration(2h));
    const PlannedStop stop(grace);
    const auto early = GENERATE_COPY(values<Early>({
        { TerminationCause::StopAbort, { 1, stop.abortAfter() - 1ns } },
        { TerminationCause::StopAbort, { 0, stop.abortAfter() } },
        { TerminationCause::StopExit, { 1, stop.exitAfter() - 1ns } },
        { TerminationCause::SecondSignal, { 1, 5s } },
        { TerminationCause::Deadline, { 1, 5s } },
    }));
    const std::string cause = terminationCauseName(early.cause);
    CAPTURE(cause);
    Signal received;
    Signal release;
    ScriptedUpstream upstream([&](Connection& connection, int) {
        connection.readHead();
        received.set();
        release.wait();
        connection.send(okResponse);
        connection.readAll();
    });
    OrderedPlacementProvider provider;
    provider.instances = { upstream.endpoint() };
    OrderedFleetFixture fixture(provider);
    Connection caller = fixture.connect();
    caller.send(get);
    REQUIRE(received.wait());
    bool aborted = true;
    fixture.run([&] {
        fixture.server().startLameDuck(stop);
        aborted = fixture.server().abort(early.cause, early.progress);
    });
    CHECK_FALSE(aborted);
    CHECK(provider.decisions.waitFor({ "stop", "abort-refused", "\"cause\":\"" + cause + '"' }));
    release.set();
    CHECK(caller.readMessage().ends_with("ok"));
    CHECK(counter(fixture, "laburnum_attempt_terminations_refused_total", cause) == "1");
    CHECK(terminatedInAll(fixture) == 0);
}

// Guards against a key, a leader or a configuration that is asked again for a request at work.
TEST_CASE(
    "termination: a request at work outlives its account key, its configuration and all places")
{
    const auto refusal = GENERATE(PlanRefusal::KeyUnknown, PlanRefusal::KeyUnconfirmed,
        PlanRefusal::NoRoute, PlanRefusal::NoConfiguration);
    std::atomic<bool> withdrawn { false };
    Signal received;
    ScriptedUpstream upstream([&](Connection& connection, int) {
        connection.readHead();
        received.set();
        // Longer than the hedge delay, so that a place for a hedge is refused meanwhile.
        std::this_thread::sleep_for(1300ms);
        connection.send(okResponse);
        connection.readAll();
    });
    OrderedPlacementProvider provider;
    provider.route.objective = 1s;
    provider.planRequest = [&](const PlanQuery&) -> tl::expected<RequestPlan, PlanRefusal> {
        if (withdrawn)
            return tl::unexpected<PlanRefusal>(refusal);
        return provider.route;
    };
    provider.instances = { upstream.endpoint() };
    OrderedFleetFixture fixture(provider);
    Connection caller = fixture.connect();
    caller.send(get);
    REQUIRE(received.wait());
    withdrawn = true;
    CHECK_FALSE(fixture.exchange(get).starts_with("HTTP/1.1 200 "));
    CHECK(caller.readMessage().ends_with("ok"));
    CHECK(provider.decisions.waitFor({ "hedge", "refused" }));
    CHECK(terminatedInAll(fixture) == 0);
}
