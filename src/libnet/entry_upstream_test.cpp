// Connections to instances: reuse, timeouts, cancellation.

#include <catch2/catch.hpp>

#include "loopback_test.h"

using namespace laburnum;
using namespace laburnum::test;

namespace {

using namespace std::chrono_literals;

constexpr const char* get = "GET /s HTTP/1.1\r\nHost: h\r\n\r\n";
constexpr const char* post = "POST /s HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\na";
constexpr const char* okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

bool hasField(const std::string& response, const std::string& field)
{
    return response.find("\r\n" + field + "\r\n") != std::string::npos;
}

} // namespace

TEST_CASE("only idempotent requests are sent on a reused connection")
{
    ScriptedUpstream upstream(respondAlways("ok"));
    EntryFixture fixture;
    fixture.addInstance(upstream.endpoint());
    Connection caller = fixture.connect();
    for (int i = 0; i < 3; ++i) {
        caller.send(get);
        CHECK(caller.readMessage().ends_with("ok"));
    }
    CHECK(upstream.accepted() == 1);
    caller.send(post);
    CHECK(caller.readMessage().ends_with("ok"));
    CHECK(upstream.accepted() == 2);
}

TEST_CASE("a connection is not reused after Connection: close or surplus bytes")
{
    const auto response = GENERATE(as<std::string>(),
        "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n"
        "Content-Length: 3\r\n\r\nbad");
    ScriptedUpstream upstream([&](Connection& connection, int) {
        while (!connection.readHead().empty())
            connection.send(response);
    });
    EntryFixture fixture;
    fixture.addInstance(upstream.endpoint());
    Connection caller = fixture.connect();
    for (int i = 0; i < 2; ++i) {
        caller.send(get);
        CHECK(caller.readMessage().ends_with("ok"));
    }
    CHECK(upstream.accepted() == 2);
}

TEST_CASE(
    "an idempotent request is retried on a new connection if the instance closes a reused one")
{
    // The first connection is closed on its second request, which no check of the idle connection
    // can detect.
    ScriptedUpstream upstream([](Connection& connection, int) {
        connection.readHead();
        connection.send(okResponse);
        connection.readHead();
        connection.close();
    });
    EntryFixture fixture;
    fixture.addInstance(upstream.endpoint());
    Connection caller = fixture.connect();
    for (int i = 0; i < 2; ++i) {
        caller.send(get);
        CHECK(caller.readMessage().ends_with("ok"));
    }
    CHECK(upstream.accepted() == 2);
}

TEST_CASE("the deadline ends a request that the instance does not respond to")
{
    Signal cancelled;
    ScriptedUpstream upstream([&](Connection& connection, int) {
        connection.readHead();
        if (connection.peerCloses())
            cancelled.set();
    });
    EntryFixture fixture({}, nullptr, 100ms);
    fixture.addInstance(upstream.endpoint());
    Connection caller = fixture.connect();
    caller.send(get);
    const std::string response = caller.readMessage();
    CHECK(response.starts_with("HTTP/1.1 504 "));
    CHECK(hasField(response, "Laburnum-Outcome: unknown"));
    CHECK(hasField(response, "Laburnum-Reason: deadline"));
    CHECK(cancelled.wait());
}

TEST_CASE("the instance receives the remaining time, limited by the caller's deadline")
{
    std::string head;
    ScriptedUpstream upstream([&](Connection& connection, int) {
        head = connection.readHead();
        connection.send(okResponse);
    });
    EntryFixture fixture({}, nullptr, 1h);
    fixture.addInstance(upstream.endpoint());
    Connection caller = fixture.connect();
    const auto [stated, limit] = GENERATE(table<std::string, unsigned long>(
        { { "50000", 50000 }, { "99999999", 3600000 }, { "x", 3600000 }, { "-1", 3600000 } }));
    caller.send("GET /s HTTP/1.1\r\nHost: h\r\nLaburnum-Deadline-Ms: " + stated + "\r\n\r\n");
    CHECK(caller.readMessage().ends_with("ok"));
    const auto at = head.find("\r\nLaburnum-Deadline-Ms: ");
    REQUIRE(at != std::string::npos);
    const unsigned long passed = std::stoul(head.substr(at + 24));
    CHECK(passed <= limit);
    CHECK(passed > limit / 2);
    CHECK(head.find("Laburnum-Deadline-Ms", at + 24) == std::string::npos);
}

TEST_CASE("the request at the instance is cancelled on a caller disconnect")
{
    Signal arrived;
    Signal cancelled;
    ScriptedUpstream upstream([&](Connection& connection, int) {
        connection.readHead();
        arrived.set();
        if (connection.peerCloses())
            cancelled.set();
    });
    EntryFixture fixture;
    fixture.addInstance(upstream.endpoint());
    Connection caller = fixture.connect();
    caller.send(get);
    REQUIRE(arrived.wait());
    caller.close();
    CHECK(cancelled.wait());
}

TEST_CASE("a caller disconnect during the upload leaves an incomplete request")
{
    Signal arrived;
    std::string rest;
    Signal ended;
    ScriptedUpstream upstream([&](Connection& connection, int) {
        connection.readHead();
        connection.readBytes(1);
        arrived.set();
        rest = connection.readAll();
        ended.set();
    });
    EntryFixture fixture;
    fixture.addInstance(upstream.endpoint());
    Connection caller = fixture.connect();
    caller.send("PUT /s HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\na");
    REQUIRE(arrived.wait());
    caller.close();
    CHECK(ended.wait());
    CHECK(rest.empty());
}

TEST_CASE("a slow head gets 408 and an idle connection is closed on timeout")
{
    EntryOptions options;
    options.callerHeadTimeout = 50ms;
    options.callerIdleTimeout = 50ms;
    EntryFixture fixture(options);
    CHECK(fixture.connect().peerCloses());
    const std::string response = fixture.exchange("GET /s HTTP/1.1\r\nHo");
    CHECK(response.starts_with("HTTP/1.1 408 "));
    CHECK(hasField(response, "Laburnum-Outcome: not-run"));
    CHECK(hasField(response, "Laburnum-Reason: slow-head"));
}

TEST_CASE("a body that is incomplete at the deadline gets 408")
{
    ScriptedUpstream upstream([](Connection& connection, int) { connection.readAll(); });
    EntryFixture fixture({}, nullptr, 100ms);
    fixture.addInstance(upstream.endpoint());
    const std::string response
        = fixture.exchange("PUT /s HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\na");
    CHECK(response.starts_with("HTTP/1.1 408 "));
    CHECK(hasField(response, "Laburnum-Reason: slow-body"));
}

TEST_CASE("hundreds of incomplete requests and uploads do not block other requests")
{
    constexpr int connectionCount = 300;
    ScriptedUpstream upstream(respondAlways("ok"));
    EntryFixture fixture;
    fixture.addInstance(upstream.endpoint());
    std::vector<Connection> incomplete;
    for (int i = 0; i < connectionCount; ++i) {
        incomplete.push_back(fixture.connect());
        incomplete.back().send(i % 3 == 0 ? "GET /s HTT" : "");
    }
    for (int i = 0; i < 20; ++i) {
        incomplete.push_back(fixture.connect());
        incomplete.back().send("PUT /s HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\na");
    }
    Connection caller = fixture.connect();
    caller.send(get);
    CHECK(caller.readMessage().ends_with("ok"));
    incomplete.front().send("P/1.1\r\nHost: h\r\n\r\n");
    CHECK(incomplete.front().readMessage().ends_with("ok"));
}

TEST_CASE("a stalled response is aborted")
{
    EntryOptions options;
    options.bodyIdleTimeout = 50ms;
    ScriptedUpstream upstream([](Connection& connection, int) {
        connection.readHead();
        connection.send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok");
        connection.readAll();
    });
    EntryFixture fixture(options);
    fixture.addInstance(upstream.endpoint());
    CHECK(fixture.exchange(get).find("Content-Length: 9\r\n") != std::string::npos);
}
