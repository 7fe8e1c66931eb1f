// Outcomes that the caller learns, and what is repeated.

#include <catch2/catch.hpp>

#include "loopback_test.h"

using namespace laburnum;
using namespace laburnum::test;

namespace {

using namespace std::chrono_literals;

constexpr const char* okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
constexpr const char* shedAnswer = "HTTP/1.1 503 Busy\r\nLaburnum-Outcome: not-run\r\n"
                                   "Retry-After: 7\r\nContent-Length: 0\r\n\r\n";

std::string request(const std::string& method, std::size_t bodyBytes = 3)
{
    return method + " /s HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: "
        + std::to_string(bodyBytes) + "\r\n\r\n" + std::string(bodyBytes, 'b');
}

/// Status, outcome and reason of `answer`.
struct Learned {
    std::string status;
    std::string outcome;
    std::string reason;
    bool retryAfter = false;
};

Learned learn(const std::string& answer)
{
    const auto field = [&](const std::string& name) {
        const auto at = answer.find("\r\n" + name + ": ");
        const auto from = at + name.size() + 4;
        return at == std::string::npos ? std::string()
                                       : answer.substr(from, answer.find('\r', from) - from);
    };
    return { answer.substr(0, 12).substr(std::min<std::size_t>(9, answer.size())),
        field("Laburnum-Outcome"), field("Laburnum-Reason"), !field("Retry-After").empty() };
}

/// Reads one request with its body, answers and closes; counts whole requests.
struct Counted {
    explicit Counted(std::string text)
        : upstream([this, answer = std::move(text)](Connection& connection, int) {
            if (!connection.readMessage().empty())
                ++runs;
            connection.send(answer);
            connection.close();
        })
    {
    }
    std::atomic<int> runs { 0 };
    ScriptedUpstream upstream;
};

} // namespace

TEST_CASE("requests that reach no instance were not run")
{
    Rig rig;
    auto learned
        = learn(rig.exchange("GET /else HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"));
    CHECK(learned.status == "404");
    CHECK(learned.outcome == "not-run");
    CHECK(learned.reason == "no-route");
    learned = learn(rig.exchange(request("POST")));
    CHECK(learned.status == "503");
    CHECK(learned.outcome == "not-run");
    CHECK(learned.reason == "no-instance");
    CHECK(learned.retryAfter);
    const ClosedPort closed;
    rig.addInstance(closed.endpoint());
    learned = learn(rig.exchange(request("POST")));
    CHECK(learned.status == "503");
    CHECK(learned.outcome == "not-run");
    CHECK(learned.reason == "not-connected");
    CHECK(learned.retryAfter);
}

TEST_CASE("an instance's own answers pass, errors as well")
{
    const auto status = GENERATE(as<std::string>(), "500", "502", "503", "429");
    Counted counted("HTTP/1.1 " + status + " Mine\r\nContent-Length: 0\r\n\r\n");
    Rig rig;
    rig.addInstance(counted.upstream.endpoint());
    const auto learned = learn(rig.exchange(request("PUT")));
    CHECK(learned.status == status);
    CHECK(learned.outcome == "answered");
    CHECK(learned.reason.empty());
    CHECK(counted.runs == 1);
}

TEST_CASE("a lost answer is unknown; what is no valid HTTP as well")
{
    const auto [text, reason] = GENERATE(table<std::string, std::string>({ { "", "no-answer" },
        { "HTTP/1.1 20", "no-answer" }, { "nonsense\r\n\r\n", "bad-answer" },
        { "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", "bad-answer" },
        { "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", "bad-answer" },
        { "HTTP/1.1 101 Switching Protocols\r\n\r\n", "bad-answer" },
        { "HTTP/1.1 200 OK\r\nX: a\r\n folded\r\nContent-Length: 0\r\n\r\n", "bad-answer" } }));
    Counted counted(text);
    Rig rig;
    rig.addInstance(counted.upstream.endpoint());
    const auto learned = learn(rig.exchange(request("POST")));
    CHECK(learned.status == "502");
    CHECK(learned.outcome == "unknown");
    CHECK(learned.reason == reason);
    CHECK(counted.runs == 1);
}

TEST_CASE("a request that is not idempotent is never sent again after it may have run")
{
    Counted silent("");
    Counted other("");
    Rig rig;
    rig.addInstance(silent.upstream.endpoint());
    rig.addInstance(other.upstream.endpoint());
    CHECK(learn(rig.exchange(request("POST"))).outcome == "unknown");
    CHECK(silent.runs + other.runs == 1);
}

TEST_CASE("mutation: instances that run a request and deny it make the count of runs red")
{
    Counted lying(shedAnswer);
    Counted other(shedAnswer);
    Rig rig;
    rig.addInstance(lying.upstream.endpoint());
    rig.addInstance(other.upstream.endpoint());
    rig.exchange(request("POST"));
    CHECK(lying.runs + other.runs == 2);
}

TEST_CASE("a request that is not idempotent goes on when it is proved not run")
{
    Counted shedding(shedAnswer);
    Counted healthy(okAnswer);
    Rig rig;
    rig.addInstance(shedding.upstream.endpoint());
    const ClosedPort closed;
    rig.addInstance(closed.endpoint());
    rig.addInstance(healthy.upstream.endpoint());
    for (int i = 0; i < 6; ++i) {
        const auto learned = learn(rig.exchange(request("POST")));
        CHECK((learned.outcome == "answered" || learned.outcome == "not-run"));
    }
    CHECK(healthy.runs > 0);
}

TEST_CASE("an idempotent request is repeated at another instance with its body")
{
    Counted silent("");
    std::string got;
    ScriptedUpstream healthy([&](Connection& connection, int) {
        got = connection.readMessage();
        connection.send(okAnswer);
        connection.close();
    });
    Rig rig;
    rig.addInstance(silent.upstream.endpoint());
    rig.addInstance(healthy.endpoint());
    for (int i = 0; i < 8; ++i) {
        CHECK(learn(rig.exchange(request("PUT"))).outcome == "answered");
        CHECK(got.ends_with("\r\n\r\nbbb"));
    }
    CHECK(silent.runs > 0);
}

TEST_CASE("a server error is replaced by another instance's answer, for idempotent requests only")
{
    Counted failing("HTTP/1.1 500 Mine\r\nContent-Length: 0\r\n\r\n");
    ScriptedUpstream healthy([&](Connection& connection, int) {
        connection.readMessage();
        connection.send(okAnswer);
        connection.close();
    });
    Rig rig;
    rig.addInstance(failing.upstream.endpoint());
    rig.addInstance(healthy.endpoint());
    for (int i = 0; i < 8; ++i)
        CHECK(learn(rig.exchange(request("PUT"))).status == "200");
    CHECK(failing.runs > 0);
    const int before = failing.runs;
    int passed = 0;
    for (int i = 0; i < 8; ++i)
        passed += learn(rig.exchange(request("POST"))).status == "500" ? 1 : 0;
    CHECK(passed == failing.runs - before);
}

TEST_CASE("a body larger than the replay buffer is not sent again")
{
    EntryOptions options;
    options.replayBytes = 100;
    Counted first("");
    Counted second("");
    Rig rig(options);
    rig.addInstance(first.upstream.endpoint());
    rig.addInstance(second.upstream.endpoint());
    CHECK(learn(rig.exchange(request("PUT", 101))).outcome == "unknown");
    CHECK(first.runs + second.runs == 1);
}

TEST_CASE("a request that may have run at one instance is unknown when the next sheds it")
{
    Counted silent("");
    Counted shedding(shedAnswer);
    Rig rig;
    rig.addInstance(silent.upstream.endpoint());
    rig.addInstance(shedding.upstream.endpoint());
    for (int i = 0; i < 2; ++i) {
        const auto learned = learn(rig.exchange(request("PUT")));
        CHECK(learned.status == "502");
        CHECK(learned.outcome == "unknown");
        CHECK_FALSE(learned.retryAfter);
    }
}

TEST_CASE("a shed request that no other instance takes was not run")
{
    Counted shedding(shedAnswer);
    Rig rig;
    rig.addInstance(shedding.upstream.endpoint());
    const std::string answer = rig.exchange(request("POST"));
    const auto learned = learn(answer);
    CHECK(learned.status == "503");
    CHECK(learned.outcome == "not-run");
    CHECK(learned.reason == "shed");
    CHECK(answer.find("\r\nRetry-After: 7\r\n") != std::string::npos);
}

TEST_CASE("answers to HEAD have no body, also the entry host's own")
{
    Rig rig;
    CHECK(rig.exchange("HEAD /else HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
              .ends_with("\r\n\r\n"));
}
