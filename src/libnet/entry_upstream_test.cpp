// Connections to instances: reuse, limits in time, cancellation.

#include <catch2/catch.hpp>

#include "loopback_test.h"

using namespace laburnum;
using namespace laburnum::test;

namespace {

using namespace std::chrono_literals;

constexpr const char* get = "GET /s HTTP/1.1\r\nHost: h\r\n\r\n";
constexpr const char* post = "POST /s HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\na";
constexpr const char* okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

bool hasField(const std::string& answer, const std::string& field)
{
    return answer.find("\r\n" + field + "\r\n") != std::string::npos;
}

} // namespace

TEST_CASE("idempotent requests reuse a connection, others open one")
{
    ScriptedUpstream upstream(answerAlways("ok"));
    Rig rig;
    rig.addInstance(upstream.endpoint());
    Connection caller = rig.connect();
    for (int i = 0; i < 3; ++i) {
        caller.send(get);
        CHECK(caller.readMessage().ends_with("ok"));
    }
    CHECK(upstream.accepted() == 1);
    caller.send(post);
    CHECK(caller.readMessage().ends_with("ok"));
    CHECK(upstream.accepted() == 2);
}

TEST_CASE("a connection is not reused after an answer that closes it or bytes that belong to none")
{
    const auto answer = GENERATE(as<std::string>(),
        "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n"
        "Content-Length: 3\r\n\r\nbad");
    ScriptedUpstream upstream([&](Connection& connection, int) {
        while (!connection.readHead().empty())
            connection.send(answer);
    });
    Rig rig;
    rig.addInstance(upstream.endpoint());
    Connection caller = rig.connect();
    for (int i = 0; i < 2; ++i) {
        caller.send(get);
        CHECK(caller.readMessage().ends_with("ok"));
    }
    CHECK(upstream.accepted() == 2);
}

TEST_CASE("a reused connection that the instance closes is replaced for an idempotent request")
{
    // The first connection is closed upon its second request, so that no check can foresee it.
    ScriptedUpstream upstream([](Connection& connection, int) {
        connection.readHead();
        connection.send(okAnswer);
        connection.readHead();
        connection.close();
    });
    Rig rig;
    rig.addInstance(upstream.endpoint());
    Connection caller = rig.connect();
    for (int i = 0; i < 2; ++i) {
        caller.send(get);
        CHECK(caller.readMessage().ends_with("ok"));
    }
    CHECK(upstream.accepted() == 2);
}

TEST_CASE("the deadline ends a request that the instance does not answer")
{
    Signal cancelled;
    ScriptedUpstream upstream([&](Connection& connection, int) {
        connection.readHead();
        if (connection.peerCloses())
            cancelled.set();
    });
    Rig rig({}, nullptr, 100ms);
    rig.addInstance(upstream.endpoint());
    Connection caller = rig.connect();
    caller.send(get);
    const std::string answer = caller.readMessage();
    CHECK(answer.starts_with("HTTP/1.1 504 "));
    CHECK(hasField(answer, "Laburnum-Outcome: unknown"));
    CHECK(hasField(answer, "Laburnum-Reason: deadline"));
    CHECK(cancelled.wait());
}

TEST_CASE("the instance learns the time that remains, the caller's limit if that is smaller")
{
    std::string head;
    ScriptedUpstream upstream([&](Connection& connection, int) {
        head = connection.readHead();
        connection.send(okAnswer);
    });
    Rig rig({}, nullptr, 1h);
    rig.addInstance(upstream.endpoint());
    Connection caller = rig.connect();
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

TEST_CASE("a caller that goes away cancels its request at the instance")
{
    Signal arrived;
    Signal cancelled;
    ScriptedUpstream upstream([&](Connection& connection, int) {
        connection.readHead();
        arrived.set();
        if (connection.peerCloses())
            cancelled.set();
    });
    Rig rig;
    rig.addInstance(upstream.endpoint());
    Connection caller = rig.connect();
    caller.send(get);
    REQUIRE(arrived.wait());
    caller.close();
    CHECK(cancelled.wait());
}

TEST_CASE("a caller that goes away during its upload leaves no whole request")
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
    Rig rig;
    rig.addInstance(upstream.endpoint());
    Connection caller = rig.connect();
    caller.send("PUT /s HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\na");
    REQUIRE(arrived.wait());
    caller.close();
    CHECK(ended.wait());
    CHECK(rest.empty());
}

TEST_CASE("a slow head gets 408, an idle connection is closed")
{
    EntryOptions options;
    options.callerHeadTimeout = 50ms;
    options.callerIdleTimeout = 50ms;
    Rig rig(options);
    CHECK(rig.connect().peerCloses());
    const std::string answer = rig.exchange("GET /s HTTP/1.1\r\nHo");
    CHECK(answer.starts_with("HTTP/1.1 408 "));
    CHECK(hasField(answer, "Laburnum-Outcome: not-run"));
    CHECK(hasField(answer, "Laburnum-Reason: slow-head"));
}

TEST_CASE("a body that the caller does not finish by the deadline gets 408")
{
    ScriptedUpstream upstream([](Connection& connection, int) { connection.readAll(); });
    Rig rig({}, nullptr, 100ms);
    rig.addInstance(upstream.endpoint());
    const std::string answer
        = rig.exchange("PUT /s HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\na");
    CHECK(answer.starts_with("HTTP/1.1 408 "));
    CHECK(hasField(answer, "Laburnum-Reason: slow-body"));
}

TEST_CASE("hundreds of half-way callers and uploads leave a lookup unharmed")
{
    constexpr int crowd = 300;
    ScriptedUpstream upstream(answerAlways("ok"));
    Rig rig;
    rig.addInstance(upstream.endpoint());
    std::vector<Connection> halfWay;
    for (int i = 0; i < crowd; ++i) {
        halfWay.push_back(rig.connect());
        halfWay.back().send(i % 3 == 0 ? "GET /s HTT" : "");
    }
    for (int i = 0; i < 20; ++i) {
        halfWay.push_back(rig.connect());
        halfWay.back().send("PUT /s HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\na");
    }
    Connection caller = rig.connect();
    caller.send(get);
    CHECK(caller.readMessage().ends_with("ok"));
    halfWay.front().send("P/1.1\r\nHost: h\r\n\r\n");
    CHECK(halfWay.front().readMessage().ends_with("ok"));
}

TEST_CASE("an answer that stalls is cut")
{
    EntryOptions options;
    options.bodyIdleTimeout = 50ms;
    ScriptedUpstream upstream([](Connection& connection, int) {
        connection.readHead();
        connection.send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok");
        connection.readAll();
    });
    Rig rig(options);
    rig.addInstance(upstream.endpoint());
    CHECK(rig.exchange(get).find("Content-Length: 9\r\n") != std::string::npos);
}
