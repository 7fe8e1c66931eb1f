// Instances that repeat an earlier response, break off within the head of one, or close themselves.

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>

#include "fleet_fixture_test.h"

using namespace laburnum;
using namespace laburnum::test;

namespace {

using namespace std::chrono_literals;

std::string request(const std::string& id, const std::string& method = "POST")
{
    return method + " /s HTTP/1.1\r\nHost: h\r\nId: " + id + "\r\nContent-Length: 0\r\n\r\n";
}

std::string response(const std::string& id)
{
    return "HTTP/1.1 200 OK\r\nStamp: x\r\nId: " + id + "\r\nContent-Length: 2\r\n\r\nok";
}

const std::string refusal = "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nId: 7\r\nContent-Length: 0\r\n\r\n";
const std::string anonymousRefusal = "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
const std::string anonymousResponse
    = "HTTP/1.1 200 OK\r\nStamp: x\r\nContent-Length: 5\r\n\r\nstray";

/// Connections are reused for requests that must not run twice.
EntryOptions reusingOptions()
{
    EntryOptions options = fleetOptions();
    options.unsafeReuseTimeout = 5s;
    return options;
}

} // namespace

// Guards against a refusal that is read as the response to a later attempt, which the instance
// runs.
TEST_CASE("fleet: a repeated refusal is not the response to a second attempt of the request")
{
    std::atomic<int> runs { 0 };
    ScriptedUpstream upstream([&](Connection& connection, int index) {
        connection.readHead();
        if (index == 0) {
            connection.send(refusal);
            if (connection.readHead().empty())
                return;
            ++runs;
            connection.send(refusal);
        } else {
            ++runs;
            connection.send(response("7"));
        }
        connection.readAll();
    });
    OrderedPlacementProvider provider;
    provider.route.kind = RequestKind::Unsafe;
    provider.instances = { upstream.endpoint(), upstream.endpoint() };
    OrderedFleetFixture fixture(provider, reusingOptions());
    CHECK(fixture.exchange(request("7")).starts_with("HTTP/1.1 200 "));
    CHECK(runs == 1);
    CHECK(provider.requestEnds.wait(1).at(0) == "answered answered");
}

TEST_CASE("fleet: a repeated refusal of an earlier request is discarded")
{
    ScriptedUpstream upstream([&](Connection& connection, int) {
        connection.readHead();
        connection.send(response("6"));
        connection.readHead();
        connection.send(refusal + response("8"));
        connection.readAll();
    });
    OrderedPlacementProvider provider;
    provider.route.kind = RequestKind::Unsafe;
    provider.instances = { upstream.endpoint(), upstream.endpoint() };
    OrderedFleetFixture fixture(provider, reusingOptions());
    CHECK(fixture.exchange(request("6")).ends_with("\r\n\r\nok"));
    CHECK(fixture.exchange(request("8")).ends_with("\r\n\r\nok"));
    CHECK(upstream.accepted() == 1);
}

// Guards against a request that is broken off because of an earlier one's response, while its
// instance is at work.
TEST_CASE("fleet: on a reused connection a response without request id belongs to no request")
{
    const auto late = GENERATE(as<std::string>(), anonymousRefusal, anonymousResponse,
        anonymousRefusal + anonymousResponse);
    const auto method = GENERATE(as<std::string>(), "POST", "GET");
    ScriptedUpstream upstream([&](Connection& connection, int) {
        connection.readHead();
        connection.send(response("6"));
        connection.readHead();
        connection.send(late);
        std::this_thread::sleep_for(100ms);
        connection.send(response("7"));
        connection.readAll();
    });
    OrderedPlacementProvider provider;
    provider.route.kind = method == "GET" ? RequestKind::Safe : RequestKind::Unsafe;
    provider.instances = { upstream.endpoint(), upstream.endpoint() };
    OrderedFleetFixture fixture(provider, reusingOptions());
    CHECK(fixture.exchange(request("6")).ends_with("\r\n\r\nok"));
    CAPTURE(late);
    const std::string got = fixture.exchange(request("7", method));
    CHECK(got.starts_with("HTTP/1.1 200 "));
    CHECK(got.find("\r\nId: 7\r\n") != std::string::npos);
    CHECK(got.ends_with("\r\n\r\nok"));
    CHECK(upstream.accepted() == 1);
    CHECK(provider.dispatches.wait(2).size() == 2);
}

TEST_CASE("fleet: a response without request id on a reused connection is never the answer")
{
    const auto late = GENERATE(as<std::string>(), anonymousRefusal, anonymousResponse);
    const bool isSilent = GENERATE(false, true);
    ScriptedUpstream upstream([&](Connection& connection, int) {
        connection.readHead();
        connection.send(response("6"));
        connection.readHead();
        connection.send(late);
        if (isSilent)
            connection.readAll();
        else
            connection.closeSending();
    });
    OrderedPlacementProvider provider;
    provider.route.kind = RequestKind::Unsafe;
    provider.route.timeout = 700ms;
    provider.instances = { upstream.endpoint(), upstream.endpoint() };
    OrderedFleetFixture fixture(provider, reusingOptions());
    CHECK(fixture.exchange(request("6")).ends_with("\r\n\r\nok"));
    CAPTURE(late, isSilent);
    // It may have run: neither refused nor answered.
    CHECK(fixture.exchange(request("7")).starts_with(isSilent ? "HTTP/1.1 504 " : "HTTP/1.1 502 "));
    CHECK(provider.requestEnds.wait(2).at(1)
        == (isSilent ? "deadline unknown" : "no-answer unknown"));
    CHECK(upstream.accepted() == 1);
}

TEST_CASE("fleet: responses without request id on a reused connection are limited")
{
    std::string flood;
    while (flood.size() < 400'000)
        flood += anonymousResponse;
    ScriptedUpstream upstream([&](Connection& connection, int) {
        connection.readHead();
        connection.send(response("6"));
        connection.readHead();
        connection.send(flood);
        connection.readAll();
    });
    OrderedPlacementProvider provider;
    provider.route.kind = RequestKind::Unsafe;
    provider.instances = { upstream.endpoint(), upstream.endpoint() };
    OrderedFleetFixture fixture(provider, reusingOptions());
    CHECK(fixture.exchange(request("6")).ends_with("\r\n\r\nok"));
    CHECK(fixture.exchange(request("7")).starts_with("HTTP/1.1 502 "));
    CHECK(provider.requestEnds.wait(2).at(1) == "bad-answer unknown");
}

TEST_CASE("fleet: on a new connection a refusal without request id is the request's own")
{
    ScriptedUpstream upstream([&](Connection& connection, int) {
        connection.readHead();
        connection.send(anonymousRefusal);
        connection.readAll();
    });
    OrderedPlacementProvider provider;
    provider.route.kind = RequestKind::Unsafe;
    provider.instances = { upstream.endpoint() };
    OrderedFleetFixture fixture(provider, reusingOptions());
    CHECK(fixture.exchange(request("7")).starts_with("HTTP/1.1 503 "));
}

// Guards against a cut head that is passed on as a whole response with an empty or short body.
TEST_CASE("a response that ends within its head is never passed on as a whole one")
{
    const auto framing = GENERATE(as<std::string>(), "Content-Length: 2\r\n\r\nok",
        "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "\r\nok");
    const bool isReset = GENERATE(false, true);
    const std::string whole = "HTTP/1.1 200 OK\r\nStamp: x\r\nId: 7\r\n" + framing;
    const std::size_t headEnd = whole.find("\r\n\r\n") + 4;
    std::atomic<std::size_t> cutAt { 0 };
    ScriptedUpstream upstream([&](Connection& connection, int) {
        connection.readHead();
        connection.send(whole.substr(0, cutAt));
        if (isReset)
            connection.reset();
        else
            connection.close();
    });
    const auto expectFailure = [&](const std::string& got) {
        CAPTURE(got, cutAt.load());
        CHECK_FALSE(got.starts_with("HTTP/1.1 200"));
        CHECK_FALSE(got.starts_with("HTTP/1.1 503"));
    };
    SECTION("fleet")
    {
        OrderedPlacementProvider provider;
        provider.route.kind = RequestKind::Unsafe;
        for (std::size_t i = 0; i < headEnd; ++i)
            provider.instances.push_back(upstream.endpoint());
        OrderedFleetFixture fixture(provider);
        for (cutAt = 0; cutAt < headEnd; ++cutAt)
            expectFailure(fixture.exchange(request("7")));
    }
    SECTION("listed instances")
    {
        EntryFixture fixture;
        fixture.addInstance(upstream.endpoint());
        for (cutAt = 0; cutAt < headEnd; ++cutAt) {
            Connection caller = fixture.connect();
            caller.send(request("7"));
            expectFailure(caller.readMessage());
        }
    }
}

TEST_CASE("fleet: a response that closes its instance is reported so and passed on unchanged")
{
    struct Case {
        std::string status;
        std::string fields;
        std::string closure;
    };
    const std::string stamp = "Stamp: x\r\n";
    const std::string notRun = "Not-Run: 1\r\n";
    const auto each
        = GENERATE_COPY(values<Case>({ { "200 OK", stamp + "Leaving: 1\r\n", "leaving 0" },
            { "200 OK", stamp + "Leaving: 0\r\n", "open 0" }, { "200 OK", stamp, "open 0" },
            { "500 Oops", stamp + "Leaving: 1\r\n", "leaving 0" },
            { "200 OK", stamp + "Retry-After: 3\r\n", "open 0" },
            { "503 Full", stamp + "Retry-After: 3\r\n", "open 3000" },
            { "503 Full", notRun + "Retry-After: 1.5\r\nLeaving: 1\r\n", "leaving 1500" },
            { "503 Full", notRun + "Retry-After: 99999999999\r\n", "open 86400000" },
            { "503 Full", notRun + "Retry-After: -2\r\n", "open 0" },
            { "503 Full", notRun + "Retry-After: soon\r\n", "open 0" },
            { "503 Full", notRun + "Retry-After: nan\r\n", "open 0" },
            { "503 Full", "Retry-After: 3\r\n", "open 0" } }));
    CAPTURE(each.status, each.fields);
    ScriptedUpstream upstream([&](Connection& connection, int) {
        connection.readHead();
        connection.send("HTTP/1.1 " + each.status + "\r\nId: 7\r\n" + each.fields
            + "Content-Length: 0\r\n\r\n");
        connection.readAll();
    });
    OrderedPlacementProvider provider;
    provider.route.kind = RequestKind::Unsafe;
    provider.instances = { upstream.endpoint() };
    OrderedFleetFixture fixture(provider);
    const std::string got = fixture.exchange(request("7"));
    CHECK(provider.closures.wait(1).at(0) == each.closure);
    if (each.fields.starts_with(stamp))
        CHECK(got.find(each.fields) != std::string::npos);
}
