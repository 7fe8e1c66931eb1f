// Responses in which instances name the requests per second that they take from all hosts together.

#include <algorithm>
#include <future>
#include <sstream>

#include <catch2/catch.hpp>

#include "fleet_fixture_test.h"

using namespace laburnum;
using namespace laburnum::test;
using namespace std::chrono_literals;

namespace {

const std::string request = "POST /s HTTP/1.1\r\nHost: h\r\nId: 7\r\nContent-Length: 0\r\n\r\n";

} // namespace

TEST_CASE("fleet: the rate limit in a response is reported and passed on unchanged")
{
    struct Case {
        std::string status;
        std::string fields;
        std::vector<std::string> reported;
        bool isUnreadable = false;
    };
    const std::string stamp = "Stamp: x\r\n";
    const std::string notRun = "Not-Run: 1\r\n";
    const auto limit = [](const std::string& value) { return "Rate-Limit: " + value + "\r\n"; };
    const auto each = GENERATE_COPY(values<Case>({ { "200 OK", stamp + limit("1.3"), { "1.3" } },
        { "200 OK", stamp + limit("0"), { "0" } }, { "200 OK", stamp, { "none" } },
        { "200 OK", stamp + limit(std::string(400, '9')), { "1e+06" } },
        { "200 OK", stamp + limit("5") + limit("soon") + limit("2"), { "2" } },
        { "500 Oops", stamp + limit("4"), { "4" } }, { "503 Full", notRun + limit("2"), { "2" } },
        // Says nothing about the limit.
        { "503 Full", notRun, {} },
        // Not from the instance, or from another one.
        { "500 Oops", limit("3"), {} }, { "421 Other", notRun + limit("3"), {} },
        { "421 Other", stamp + limit("3"), {} }, { "200 OK", stamp + limit("-1"), {}, true },
        { "200 OK", stamp + limit("nan"), {}, true }, { "200 OK", stamp + limit("1e3"), {}, true },
        { "200 OK", stamp + limit(""), {}, true },
        { "200 OK", stamp + limit(std::string(4000, 'x')), {}, true },
        { "200 OK", stamp + limit("\xff\xfe"), {}, true } }));
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
    const std::string got = fixture.exchange(request);
    REQUIRE(provider.closures.wait(1).size() == 1);
    CHECK(provider.rateLimits.wait(0) == each.reported);
    if (each.status == "200 OK")
        CHECK(got.find(each.fields) != std::string::npos);
    const auto decisions = provider.decisions.wait(0);
    const auto unreadable = std::find_if(decisions.begin(), decisions.end(),
        [](const std::string& line) { return line.find("\"rate-limit\"") != std::string::npos; });
    REQUIRE((unreadable != decisions.end()) == each.isUnreadable);
    if (each.isUnreadable)
        CHECK(unreadable->size() < 200);
}

// Guards against a limit that is learned only when a slow caller has read the response.
TEST_CASE("fleet: the rate limit in a long response is reported before its body has arrived")
{
    std::promise<void> reported;
    ScriptedUpstream upstream([&](Connection& connection, int) {
        connection.readHead();
        connection.send("HTTP/1.1 200 OK\r\nId: 7\r\nStamp: x\r\nRate-Limit: 1\r\n"
                        "Content-Length: 200000\r\n\r\nfirst");
        reported.get_future().wait_for(5s);
        connection.send(std::string(199995, 'x'));
    });
    OrderedPlacementProvider provider;
    provider.instances = { upstream.endpoint() };
    OrderedFleetFixture fixture(provider);
    Connection caller = fixture.connect();
    caller.send(request);
    CHECK(provider.rateLimits.wait(1) == std::vector<std::string> { "1" });
    CHECK(provider.reports.wait(0).empty());
    reported.set_value();
    caller.readMessage();
    CHECK(provider.reports.wait(1) == std::vector<std::string> { "success" });
}
