// Requests that are in progress, or that exceed a limit, when the limits of a configuration change.

#include "fleet_fixture_test.h"

using namespace laburnum;
using namespace laburnum::test;
using namespace std::chrono_literals;

namespace {

const std::string answerHead = "HTTP/1.1 200 OK\r\nStamp: s\r\nId: 7\r\n";

CallerLimits smallLimits()
{
    CallerLimits limits;
    limits.headBytes = 200;
    limits.bodyBytes = 10;
    limits.headTimeout = 20ms;
    limits.idleTimeout = 20ms;
    return limits;
}

} // namespace

// Guards against a reset by unread input that takes the answer with it.
TEST_CASE("fleet: an answer to a request above a limit arrives while more of the request arrives")
{
    OrderedPlacementProvider provider;
    provider.callerLimits = smallLimits();
    provider.callerLimits.headTimeout = 5s;
    std::string expected = "HTTP/1.1 413 ";
    std::string head = "POST /s HTTP/1.1\r\nHost: h\r\nId: 7\r\nContent-Length: 2000000\r\n\r\n";
    SECTION("of its body") { }
    SECTION("of its head")
    {
        expected = "HTTP/1.1 431 ";
        head = "POST /s HTTP/1.1\r\nHost: h\r\nX: " + std::string(300, 'x');
    }
    OrderedFleetFixture fixture(provider);
    Connection caller = fixture.connect();
    caller.send(head);
    caller.send(std::string(2'000'000, 'x'));
    CHECK(caller.readMessage().starts_with(expected));
    CHECK(caller.readAll().empty());
    CHECK_FALSE(caller.wasReset());
}

// Guards against a change of the limits that ends what is in progress.
TEST_CASE("fleet: uploads and streamed answers go on when the limits are lowered")
{
    const std::string part(30'000, 'x');
    Signal begun;
    Signal changed;
    ScriptedUpstream upstream([&](Connection& connection, int) {
        const std::string head = connection.readHead();
        if (head.starts_with("PUT"))
            connection.readBytes(4);
        connection.send(answerHead + "Transfer-Encoding: chunked\r\n\r\n");
        for (int i = 0; i < 4; ++i) {
            connection.send("7530\r\n" + part + "\r\n");
            if (i == 1) {
                begun.set();
                changed.wait();
            }
        }
        connection.send("0\r\n\r\n");
        connection.peerCloses();
    });
    OrderedPlacementProvider provider;
    provider.instances = { upstream.endpoint() };
    provider.route.kind = RequestKind::Upload;
    OrderedFleetFixture fixture(provider);
    Connection caller = fixture.connect();
    const auto lower = [&] {
        fixture.run([&] { provider.callerLimits = smallLimits(); });
        std::this_thread::sleep_for(100ms);
        changed.set();
    };
    SECTION("a streamed answer")
    {
        caller.send("GET /s HTTP/1.1\r\nHost: h\r\nId: 7\r\n\r\n");
        REQUIRE(begun.wait());
        lower();
    }
    SECTION("an upload")
    {
        caller.send("PUT /s HTTP/1.1\r\nHost: h\r\nId: 7\r\nContent-Length: 4\r\n\r\nab");
        CHECK(provider.dispatches.wait(1).size() == 1);
        lower();
        caller.send("cd");
    }
    const std::string got = caller.readUntil("0\r\n\r\n");
    CHECK(got.starts_with("HTTP/1.1 200 "));
    CHECK(got.ends_with("0\r\n\r\n"));
    CHECK(got.size() > 4 * part.size());
}
