// Outcomes reported to callers, and retries.

#include <catch2/catch.hpp>

#include "loopback_test.h"

using namespace laburnum;
using namespace laburnum::test;

namespace {

using namespace std::chrono_literals;

constexpr const char* okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
constexpr const char* shedResponse = "HTTP/1.1 503 Busy\r\nLaburnum-Outcome: not-run\r\n"
                                     "Retry-After: 7\r\nContent-Length: 0\r\n\r\n";

std::string request(const std::string& method, std::size_t bodyBytes = 3)
{
    return method + " /s HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: "
        + std::to_string(bodyBytes) + "\r\n\r\n" + std::string(bodyBytes, 'b');
}

/// Status, outcome and reason of a response.
struct ParsedOutcome {
    std::string status;
    std::string outcome;
    std::string reason;
    bool retryAfter = false;
};

ParsedOutcome parseOutcome(const std::string& response)
{
    const auto field = [&](const std::string& name) {
        const auto at = response.find("\r\n" + name + ": ");
        const auto from = at + name.size() + 4;
        return at == std::string::npos ? std::string()
                                       : response.substr(from, response.find('\r', from) - from);
    };
    return { response.substr(0, 12).substr(std::min<std::size_t>(9, response.size())),
        field("Laburnum-Outcome"), field("Laburnum-Reason"), !field("Retry-After").empty() };
}

/// Reads one request with its body, responds and closes. Counts complete requests.
struct CountingUpstream {
    explicit CountingUpstream(std::string text)
        : upstream([this, response = std::move(text)](Connection& connection, int) {
            if (!connection.readMessage().empty())
                ++runs;
            connection.send(response);
            connection.close();
        })
    {
    }
    std::atomic<int> runs { 0 };
    ScriptedUpstream upstream;
};

} // namespace

TEST_CASE("requests that reach no instance are reported as not run")
{
    EntryFixture fixture;
    auto parsed = parseOutcome(
        fixture.exchange("GET /else HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"));
    CHECK(parsed.status == "404");
    CHECK(parsed.outcome == "not-run");
    CHECK(parsed.reason == "no-route");
    parsed = parseOutcome(fixture.exchange(request("POST")));
    CHECK(parsed.status == "503");
    CHECK(parsed.outcome == "not-run");
    CHECK(parsed.reason == "no-instance");
    CHECK(parsed.retryAfter);
    const ClosedPort closed;
    fixture.addInstance(closed.endpoint());
    parsed = parseOutcome(fixture.exchange(request("POST")));
    CHECK(parsed.status == "503");
    CHECK(parsed.outcome == "not-run");
    CHECK(parsed.reason == "not-connected");
    CHECK(parsed.retryAfter);
}

TEST_CASE("an instance's responses are forwarded, including errors")
{
    const auto status = GENERATE(as<std::string>(), "500", "502", "503", "429");
    CountingUpstream counted("HTTP/1.1 " + status + " Mine\r\nContent-Length: 0\r\n\r\n");
    EntryFixture fixture;
    fixture.addInstance(counted.upstream.endpoint());
    const auto parsed = parseOutcome(fixture.exchange(request("PUT")));
    CHECK(parsed.status == status);
    CHECK(parsed.outcome == "answered");
    CHECK(parsed.reason.empty());
    CHECK(counted.runs == 1);
}

TEST_CASE("the outcome of a lost or invalid response is unknown")
{
    const auto [text, reason] = GENERATE(table<std::string, std::string>({ { "", "no-answer" },
        { "HTTP/1.1 20", "no-answer" }, { "nonsense\r\n\r\n", "bad-answer" },
        { "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", "bad-answer" },
        { "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", "bad-answer" },
        { "HTTP/1.1 101 Switching Protocols\r\n\r\n", "bad-answer" },
        { "HTTP/1.1 200 OK\r\nX: a\r\n folded\r\nContent-Length: 0\r\n\r\n", "bad-answer" } }));
    CountingUpstream counted(text);
    EntryFixture fixture;
    fixture.addInstance(counted.upstream.endpoint());
    const auto parsed = parseOutcome(fixture.exchange(request("POST")));
    CHECK(parsed.status == "502");
    CHECK(parsed.outcome == "unknown");
    CHECK(parsed.reason == reason);
    CHECK(counted.runs == 1);
}

TEST_CASE("a non-idempotent request is not retried after it may have run")
{
    CountingUpstream silent("");
    CountingUpstream other("");
    EntryFixture fixture;
    fixture.addInstance(silent.upstream.endpoint());
    fixture.addInstance(other.upstream.endpoint());
    CHECK(parseOutcome(fixture.exchange(request("POST"))).outcome == "unknown");
    CHECK(silent.runs + other.runs == 1);
}

TEST_CASE("mutation: the count of runs exposes instances that run a request and claim not to have")
{
    CountingUpstream lying(shedResponse);
    CountingUpstream other(shedResponse);
    EntryFixture fixture;
    fixture.addInstance(lying.upstream.endpoint());
    fixture.addInstance(other.upstream.endpoint());
    fixture.exchange(request("POST"));
    CHECK(lying.runs + other.runs == 2);
}

TEST_CASE("a non-idempotent request is retried if it was not run")
{
    CountingUpstream shedding(shedResponse);
    CountingUpstream healthy(okResponse);
    EntryFixture fixture;
    fixture.addInstance(shedding.upstream.endpoint());
    const ClosedPort closed;
    fixture.addInstance(closed.endpoint());
    fixture.addInstance(healthy.upstream.endpoint());
    for (int i = 0; i < 6; ++i) {
        const auto parsed = parseOutcome(fixture.exchange(request("POST")));
        CHECK((parsed.outcome == "answered" || parsed.outcome == "not-run"));
    }
    CHECK(healthy.runs > 0);
}

TEST_CASE("an idempotent request is retried on another instance with its body")
{
    CountingUpstream silent("");
    std::string got;
    ScriptedUpstream healthy([&](Connection& connection, int) {
        got = connection.readMessage();
        connection.send(okResponse);
        connection.close();
    });
    EntryFixture fixture;
    fixture.addInstance(silent.upstream.endpoint());
    fixture.addInstance(healthy.endpoint());
    for (int i = 0; i < 8; ++i) {
        CHECK(parseOutcome(fixture.exchange(request("PUT"))).outcome == "answered");
        CHECK(got.ends_with("\r\n\r\nbbb"));
    }
    CHECK(silent.runs > 0);
}

TEST_CASE("a server error is retried on another instance for idempotent requests only")
{
    CountingUpstream failing("HTTP/1.1 500 Mine\r\nContent-Length: 0\r\n\r\n");
    ScriptedUpstream healthy([&](Connection& connection, int) {
        connection.readMessage();
        connection.send(okResponse);
        connection.close();
    });
    EntryFixture fixture;
    fixture.addInstance(failing.upstream.endpoint());
    fixture.addInstance(healthy.endpoint());
    for (int i = 0; i < 8; ++i)
        CHECK(parseOutcome(fixture.exchange(request("PUT"))).status == "200");
    CHECK(failing.runs > 0);
    const int before = failing.runs;
    int passed = 0;
    for (int i = 0; i < 8; ++i)
        passed += parseOutcome(fixture.exchange(request("POST"))).status == "500" ? 1 : 0;
    CHECK(passed == failing.runs - before);
}

TEST_CASE("a request with a body larger than the replay buffer is not retried")
{
    EntryOptions options;
    options.replayBytes = 100;
    CountingUpstream first("");
    CountingUpstream second("");
    EntryFixture fixture(options);
    fixture.addInstance(first.upstream.endpoint());
    fixture.addInstance(second.upstream.endpoint());
    CHECK(parseOutcome(fixture.exchange(request("PUT", 101))).outcome == "unknown");
    CHECK(first.runs + second.runs == 1);
}

TEST_CASE("a request that may have run at one instance stays unknown if the next sheds it")
{
    CountingUpstream silent("");
    CountingUpstream shedding(shedResponse);
    EntryFixture fixture;
    fixture.addInstance(silent.upstream.endpoint());
    fixture.addInstance(shedding.upstream.endpoint());
    for (int i = 0; i < 2; ++i) {
        const auto parsed = parseOutcome(fixture.exchange(request("PUT")));
        CHECK(parsed.status == "502");
        CHECK(parsed.outcome == "unknown");
        CHECK_FALSE(parsed.retryAfter);
    }
}

TEST_CASE("a request that is shed by the only instance is reported as not run")
{
    CountingUpstream shedding(shedResponse);
    EntryFixture fixture;
    fixture.addInstance(shedding.upstream.endpoint());
    const std::string response = fixture.exchange(request("POST"));
    const auto parsed = parseOutcome(response);
    CHECK(parsed.status == "503");
    CHECK(parsed.outcome == "not-run");
    CHECK(parsed.reason == "shed");
    CHECK(response.find("\r\nRetry-After: 7\r\n") != std::string::npos);
}

TEST_CASE("local responses to HEAD have no body")
{
    EntryFixture fixture;
    CHECK(fixture.exchange("HEAD /else HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
              .ends_with("\r\n\r\n"));
}
