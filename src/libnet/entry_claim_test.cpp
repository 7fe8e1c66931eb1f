// Idempotency keys on the request path, against a fake claim gate.

#include <catch2/catch.hpp>

#include "loopback_test.h"

using namespace laburnum;
using namespace laburnum::test;

namespace {

using namespace std::chrono_literals;

/// Decides as told and remembers what it was asked.
class FakeGate final : public ClaimClient {
public:
    void begin(const ClaimSpec& demand, Callback callback) override
    {
        demands.push_back(demand);
        asked.set();
        if (silent)
            kept = std::move(callback);
        else
            callback(decision);
    }

    void finish(const ClaimId& claim, ClaimOutcome end, const StoredResponse* answer) override
    {
        finishedClaim = claim;
        finishedEnd = end;
        if (answer != nullptr)
            stored = *answer;
        finished.set();
    }

    ClaimDecision decision;
    bool silent = false;
    Callback kept;
    std::vector<ClaimSpec> demands;
    Signal asked;
    Signal finished;
    ClaimId finishedClaim;
    ClaimOutcome finishedEnd = ClaimOutcome::Unknown;
    std::optional<StoredResponse> stored;
};

ClaimDecision verdict(ClaimVerdict v)
{
    ClaimDecision decision;
    decision.verdict = v;
    decision.claim = ClaimId("c1");
    return decision;
}

std::string keyed(const std::string& body, const std::string& method = "POST")
{
    return method + " /s HTTP/1.1\r\nHost: h\r\nIdempotency-Key: k1\r\nConnection: close\r\n"
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

struct Order {
    explicit Order(std::string answer)
        : upstream([this, text = std::move(answer)](Connection& connection, int) {
            got = connection.readMessage();
            ++runs;
            connection.send(text);
            connection.close();
        })
    {
    }
    std::atomic<int> runs { 0 };
    std::string got;
    ScriptedUpstream upstream;
};

constexpr const char* created
    = "HTTP/1.1 201 Created\r\nX-Order: 7\r\nContent-Length: 4\r\n\r\nmade";

} // namespace

TEST_CASE("a granted claim runs once and stores the answer")
{
    FakeGate gate;
    gate.decision = verdict(ClaimVerdict::Run);
    Order order(created);
    Rig rig({}, &gate);
    rig.addInstance(order.upstream.endpoint());
    CHECK(rig.exchange(keyed("abc")).ends_with("\r\n\r\nmade"));
    REQUIRE(gate.finished.wait());
    CHECK(order.got.ends_with("\r\n\r\nabc"));
    CHECK(order.got.find("Idempotency-Key: k1") != std::string::npos);
    CHECK(gate.demands.front().key.key == IdempotencyKey("k1"));
    CHECK(gate.finishedClaim == ClaimId("c1"));
    CHECK(gate.finishedEnd == ClaimOutcome::Answered);
    REQUIRE(gate.stored.has_value());
    CHECK(gate.stored->status == 201);
    CHECK(gate.stored->body == "made");
}

TEST_CASE("only keyed requests that are not idempotent ask for a claim")
{
    FakeGate gate;
    Order order(created);
    Rig rig({}, &gate);
    rig.addInstance(order.upstream.endpoint());
    rig.exchange(keyed("abc", "PUT"));
    rig.exchange("POST /s HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    CHECK(gate.demands.empty());
    CHECK(order.runs == 2);
}

TEST_CASE("the fingerprint tells requests with one key apart")
{
    FakeGate gate;
    Rig rig({}, &gate);
    Order order(created);
    rig.addInstance(order.upstream.endpoint());
    for (const std::string body : { "abc", "abc", "abd" })
        rig.exchange(keyed(body));
    rig.exchange(keyed("abc", "PATCH"));
    REQUIRE(gate.demands.size() == 4);
    CHECK(gate.demands[0].fingerprint == gate.demands[1].fingerprint);
    CHECK(gate.demands[0].fingerprint != gate.demands[2].fingerprint);
    CHECK(gate.demands[0].fingerprint != gate.demands[3].fingerprint);
}

TEST_CASE("the fingerprint of a large body does not depend on how it arrives")
{
    FakeGate gate;
    Rig rig({}, &gate);
    Order order(created);
    rig.addInstance(order.upstream.endpoint());
    const std::string request = keyed(std::string(60000, 'x'));
    rig.exchange(request);
    FakeGate second;
    Rig other({}, &second);
    other.addInstance(order.upstream.endpoint());
    Connection caller = other.connect();
    constexpr std::size_t atFirst = 52000;
    caller.send(request.substr(0, atFirst));
    REQUIRE(second.asked.wait());
    caller.send(request.substr(atFirst));
    caller.readAll();
    CHECK(gate.demands[0].fingerprint == second.demands[0].fingerprint);
}

TEST_CASE("a resent request gets the stored answer and does not run")
{
    FakeGate gate;
    gate.decision = verdict(ClaimVerdict::Replay);
    gate.decision.answer = { 201, { { "X-Order", "7" }, { "Content-Length", "4" } }, "made" };
    Order order(created);
    Rig rig({}, &gate);
    rig.addInstance(order.upstream.endpoint());
    CHECK(rig.exchange(keyed("abc"))
        == "HTTP/1.1 201 Created\r\nX-Order: 7\r\nContent-Length: 4\r\n"
           "Laburnum-Outcome: answered\r\nLaburnum-Reason: replayed\r\nConnection: close\r\n\r\n"
           "made");
    CHECK(order.runs == 0);
}

TEST_CASE("a request without its claim does not run")
{
    const auto [told, status, outcome, reason]
        = GENERATE(table<ClaimVerdict, std::string, std::string, std::string>(
            { { ClaimVerdict::InProgress, "409", "unknown", "in-progress" },
                { ClaimVerdict::Unknown, "409", "unknown", "claim-unknown" },
                { ClaimVerdict::ResponseNotStored, "409", "unknown", "answered-without-copy" },
                { ClaimVerdict::Mismatch, "409", "not-run", "key-reused" },
                { ClaimVerdict::Unavailable, "503", "not-run", "claims-unreachable" } }));
    FakeGate gate;
    gate.decision = verdict(told);
    Order order(created);
    Rig rig({}, &gate);
    rig.addInstance(order.upstream.endpoint());
    const std::string answer = rig.exchange(keyed("abc"));
    CHECK(answer.starts_with("HTTP/1.1 " + status + ' '));
    CHECK(answer.find("\r\nLaburnum-Outcome: " + outcome + "\r\n") != std::string::npos);
    CHECK(answer.find("\r\nLaburnum-Reason: " + reason + "\r\n") != std::string::npos);
    CHECK(order.runs == 0);
}

TEST_CASE("a claim that is granted too late is given back as not run")
{
    FakeGate gate;
    gate.silent = true;
    Order order(created);
    Rig rig({}, &gate, 100ms);
    rig.addInstance(order.upstream.endpoint());
    const std::string answer = rig.exchange(keyed("abc"));
    CHECK(answer.starts_with("HTTP/1.1 503 "));
    std::exchange(gate.kept, nullptr)(verdict(ClaimVerdict::Run));
    REQUIRE(gate.finished.wait());
    CHECK(gate.finishedEnd == ClaimOutcome::NotRun);
    CHECK(order.runs == 0);
}

TEST_CASE("a claim ends as its request did")
{
    FakeGate gate;
    gate.decision = verdict(ClaimVerdict::Run);
    SECTION("no instance could be reached")
    {
        Rig rig({}, &gate);
        const ClosedPort closed;
        rig.addInstance(closed.endpoint());
        rig.exchange(keyed("abc"));
        REQUIRE(gate.finished.wait());
        CHECK(gate.finishedEnd == ClaimOutcome::NotRun);
    }
    SECTION("the answer was lost")
    {
        Order order("");
        Rig rig({}, &gate);
        rig.addInstance(order.upstream.endpoint());
        rig.exchange(keyed("abc"));
        REQUIRE(gate.finished.wait());
        CHECK(gate.finishedEnd == ClaimOutcome::Unknown);
    }
    SECTION("the answer is too large to store")
    {
        const std::string body(ClaimClient::maxStoredBodyBytes + 1, 'x');
        Order order("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
            + body);
        Rig rig({}, &gate);
        rig.addInstance(order.upstream.endpoint());
        CHECK(rig.exchange(keyed("abc")).ends_with(body));
        REQUIRE(gate.finished.wait());
        CHECK(gate.finishedEnd == ClaimOutcome::Answered);
        CHECK_FALSE(gate.stored.has_value());
    }
}

TEST_CASE("a caller that goes away within the answer leaves it whole in the claim")
{
    FakeGate gate;
    gate.decision = verdict(ClaimVerdict::Run);
    Signal callerGone;
    ScriptedUpstream upstream([&](Connection& connection, int) {
        connection.readMessage();
        connection.send("HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n");
        callerGone.wait();
        for (int i = 0; i < 2; ++i)
            connection.send(std::string(1000, 'x'));
        connection.peerCloses();
    });
    Rig rig({}, &gate);
    rig.addInstance(upstream.endpoint());
    Connection caller = rig.connect();
    caller.send(keyed("abc"));
    caller.readHead();
    caller.reset();
    callerGone.set();
    REQUIRE(gate.finished.wait());
    CHECK(gate.finishedEnd == ClaimOutcome::Answered);
    REQUIRE(gate.stored.has_value());
    CHECK(gate.stored->body == std::string(2000, 'x'));
}

TEST_CASE("a keyed request whose body never comes whole does not ask for a claim")
{
    FakeGate gate;
    Rig rig({}, &gate, 100ms);
    Order order(created);
    rig.addInstance(order.upstream.endpoint());
    const std::string whole = keyed("abc");
    const std::string answer = rig.exchange(whole.substr(0, whole.size() - 1));
    CHECK(answer.starts_with("HTTP/1.1 408 "));
    CHECK(answer.find("\r\nLaburnum-Outcome: not-run\r\n") != std::string::npos);
    CHECK(gate.demands.empty());
}
