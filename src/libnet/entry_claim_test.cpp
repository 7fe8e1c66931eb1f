// Idempotency keys on the request path, with a fake claim client.

#include <catch2/catch.hpp>

#include "loopback_test.h"

using namespace laburnum;
using namespace laburnum::test;

namespace {

using namespace std::chrono_literals;

/// Returns a configured decision and records the calls.
class FakeClaimClient final : public ClaimClient {
public:
    void begin(const ClaimSpec& spec, Callback callback) override
    {
        specs.push_back(spec);
        requested.set();
        if (silent)
            pendingCallback = std::move(callback);
        else
            callback(decision);
    }

    void finish(const ClaimId& claim, ClaimOutcome end, const StoredResponse* response) override
    {
        finishedClaim = claim;
        finishedEnd = end;
        if (response != nullptr)
            stored = *response;
        finished.set();
    }

    ClaimDecision decision;
    bool silent = false;
    Callback pendingCallback;
    std::vector<ClaimSpec> specs;
    Signal requested;
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

std::string keyedRequest(const std::string& body, const std::string& method = "POST")
{
    return method + " /s HTTP/1.1\r\nHost: h\r\nIdempotency-Key: k1\r\nConnection: close\r\n"
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

struct CountingUpstream {
    explicit CountingUpstream(std::string response)
        : upstream([this, text = std::move(response)](Connection& connection, int) {
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

TEST_CASE("a request with a granted claim runs once and its response is stored")
{
    FakeClaimClient claims;
    claims.decision = verdict(ClaimVerdict::Run);
    CountingUpstream instance(created);
    EntryFixture fixture({}, &claims);
    fixture.addInstance(instance.upstream.endpoint());
    CHECK(fixture.exchange(keyedRequest("abc")).ends_with("\r\n\r\nmade"));
    REQUIRE(claims.finished.wait());
    CHECK(instance.got.ends_with("\r\n\r\nabc"));
    CHECK(instance.got.find("Idempotency-Key: k1") != std::string::npos);
    CHECK(claims.specs.front().key.key == IdempotencyKey("k1"));
    CHECK(claims.finishedClaim == ClaimId("c1"));
    CHECK(claims.finishedEnd == ClaimOutcome::Answered);
    REQUIRE(claims.stored.has_value());
    CHECK(claims.stored->status == 201);
    CHECK(claims.stored->body == "made");
}

TEST_CASE("only non-idempotent requests with a key request a claim")
{
    FakeClaimClient claims;
    CountingUpstream instance(created);
    EntryFixture fixture({}, &claims);
    fixture.addInstance(instance.upstream.endpoint());
    fixture.exchange(keyedRequest("abc", "PUT"));
    fixture.exchange("POST /s HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    CHECK(claims.specs.empty());
    CHECK(instance.runs == 2);
}

TEST_CASE("the fingerprint distinguishes requests with the same key")
{
    FakeClaimClient claims;
    EntryFixture fixture({}, &claims);
    CountingUpstream instance(created);
    fixture.addInstance(instance.upstream.endpoint());
    for (const std::string body : { "abc", "abc", "abd" })
        fixture.exchange(keyedRequest(body));
    fixture.exchange(keyedRequest("abc", "PATCH"));
    REQUIRE(claims.specs.size() == 4);
    CHECK(claims.specs[0].fingerprint == claims.specs[1].fingerprint);
    CHECK(claims.specs[0].fingerprint != claims.specs[2].fingerprint);
    CHECK(claims.specs[0].fingerprint != claims.specs[3].fingerprint);
}

// Guards against a resent request that is taken for another one because its host is spelled
// otherwise.
TEST_CASE("the fingerprint does not depend on the spelling of the host")
{
    FakeClaimClient claims;
    EntryFixture fixture({}, &claims);
    CountingUpstream instance(created);
    fixture.addInstance(instance.upstream.endpoint());
    for (const std::string host : { "h", "H:80", "h:8080" }) {
        std::string request = keyedRequest("abc");
        const std::string original = "Host: h\r\n";
        REQUIRE(request.find(original) != std::string::npos);
        request.replace(request.find(original), original.size(), "Host: " + host + "\r\n");
        fixture.exchange(request);
    }
    REQUIRE(claims.specs.size() == 3);
    CHECK(claims.specs[0].fingerprint == claims.specs[1].fingerprint);
    CHECK(claims.specs[0].fingerprint != claims.specs[2].fingerprint);
}

TEST_CASE("the fingerprint of a large body does not depend on its segmentation")
{
    FakeClaimClient claims;
    EntryFixture fixture({}, &claims);
    CountingUpstream instance(created);
    fixture.addInstance(instance.upstream.endpoint());
    const std::string request = keyedRequest(std::string(60000, 'x'));
    fixture.exchange(request);
    FakeClaimClient second;
    EntryFixture other({}, &second);
    other.addInstance(instance.upstream.endpoint());
    Connection caller = other.connect();
    constexpr std::size_t atFirst = 52000;
    caller.send(request.substr(0, atFirst));
    REQUIRE(second.requested.wait());
    caller.send(request.substr(atFirst));
    caller.readAll();
    CHECK(claims.specs[0].fingerprint == second.specs[0].fingerprint);
}

TEST_CASE("a resent request gets the stored response and does not run")
{
    FakeClaimClient claims;
    claims.decision = verdict(ClaimVerdict::Replay);
    claims.decision.answer = { 201, { { "X-Order", "7" }, { "Content-Length", "4" } }, "made" };
    CountingUpstream instance(created);
    EntryFixture fixture({}, &claims);
    fixture.addInstance(instance.upstream.endpoint());
    CHECK(fixture.exchange(keyedRequest("abc"))
        == "HTTP/1.1 201 Created\r\nX-Order: 7\r\nContent-Length: 4\r\n"
           "Laburnum-Outcome: answered\r\nLaburnum-Reason: replayed\r\nConnection: close\r\n\r\n"
           "made");
    CHECK(instance.runs == 0);
}

TEST_CASE("a request whose claim is not granted does not run")
{
    const auto [decided, status, outcome, reason]
        = GENERATE(table<ClaimVerdict, std::string, std::string, std::string>(
            { { ClaimVerdict::InProgress, "409", "unknown", "in-progress" },
                { ClaimVerdict::Unknown, "409", "unknown", "claim-unknown" },
                { ClaimVerdict::ResponseNotStored, "409", "unknown", "answered-without-copy" },
                { ClaimVerdict::Mismatch, "409", "not-run", "key-reused" },
                { ClaimVerdict::Unavailable, "503", "not-run", "claims-unreachable" } }));
    FakeClaimClient claims;
    claims.decision = verdict(decided);
    CountingUpstream instance(created);
    EntryFixture fixture({}, &claims);
    fixture.addInstance(instance.upstream.endpoint());
    const std::string response = fixture.exchange(keyedRequest("abc"));
    CHECK(response.starts_with("HTTP/1.1 " + status + ' '));
    CHECK(response.find("\r\nLaburnum-Outcome: " + outcome + "\r\n") != std::string::npos);
    CHECK(response.find("\r\nLaburnum-Reason: " + reason + "\r\n") != std::string::npos);
    CHECK(instance.runs == 0);
}

TEST_CASE("a claim that is granted after the deadline is finished as not run")
{
    FakeClaimClient claims;
    claims.silent = true;
    CountingUpstream instance(created);
    EntryFixture fixture({}, &claims, 100ms);
    fixture.addInstance(instance.upstream.endpoint());
    const std::string response = fixture.exchange(keyedRequest("abc"));
    CHECK(response.starts_with("HTTP/1.1 503 "));
    std::exchange(claims.pendingCallback, nullptr)(verdict(ClaimVerdict::Run));
    REQUIRE(claims.finished.wait());
    CHECK(claims.finishedEnd == ClaimOutcome::NotRun);
    CHECK(instance.runs == 0);
}

TEST_CASE("a claim is finished with the outcome of its request")
{
    FakeClaimClient claims;
    claims.decision = verdict(ClaimVerdict::Run);
    SECTION("no instance could be reached")
    {
        EntryFixture fixture({}, &claims);
        const ClosedPort closed;
        fixture.addInstance(closed.endpoint());
        fixture.exchange(keyedRequest("abc"));
        REQUIRE(claims.finished.wait());
        CHECK(claims.finishedEnd == ClaimOutcome::NotRun);
    }
    SECTION("the response was lost")
    {
        CountingUpstream instance("");
        EntryFixture fixture({}, &claims);
        fixture.addInstance(instance.upstream.endpoint());
        fixture.exchange(keyedRequest("abc"));
        REQUIRE(claims.finished.wait());
        CHECK(claims.finishedEnd == ClaimOutcome::Unknown);
    }
    SECTION("the response is too large to store")
    {
        const std::string body(ClaimClient::maxStoredBodyBytes + 1, 'x');
        CountingUpstream instance("HTTP/1.1 200 OK\r\nContent-Length: "
            + std::to_string(body.size()) + "\r\n\r\n" + body);
        EntryFixture fixture({}, &claims);
        fixture.addInstance(instance.upstream.endpoint());
        CHECK(fixture.exchange(keyedRequest("abc")).ends_with(body));
        REQUIRE(claims.finished.wait());
        CHECK(claims.finishedEnd == ClaimOutcome::Answered);
        CHECK_FALSE(claims.stored.has_value());
    }
}

TEST_CASE("the response is stored completely if the caller disconnects while it is sent")
{
    FakeClaimClient claims;
    claims.decision = verdict(ClaimVerdict::Run);
    Signal callerDisconnected;
    ScriptedUpstream upstream([&](Connection& connection, int) {
        connection.readMessage();
        connection.send("HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n");
        callerDisconnected.wait();
        for (int i = 0; i < 2; ++i)
            connection.send(std::string(1000, 'x'));
        connection.peerCloses();
    });
    EntryFixture fixture({}, &claims);
    fixture.addInstance(upstream.endpoint());
    Connection caller = fixture.connect();
    caller.send(keyedRequest("abc"));
    caller.readHead();
    caller.reset();
    callerDisconnected.set();
    REQUIRE(claims.finished.wait());
    CHECK(claims.finishedEnd == ClaimOutcome::Answered);
    REQUIRE(claims.stored.has_value());
    CHECK(claims.stored->body == std::string(2000, 'x'));
}

// Guards against a response that an earlier version stored.
TEST_CASE("a stored response whose status is not final is not replayed")
{
    const auto [status, valid] = GENERATE(table<unsigned, bool>({ { 0, false }, { 99, false },
        { 100, false }, { 199, false }, { 200, true }, { 599, true }, { 600, false } }));
    FakeClaimClient claims;
    claims.decision = verdict(ClaimVerdict::Replay);
    claims.decision.answer = { status, {}, "made" };
    CountingUpstream instance(created);
    EntryFixture fixture({}, &claims);
    fixture.addInstance(instance.upstream.endpoint());
    const std::string got = fixture.exchange(keyedRequest("abc"));
    CAPTURE(status, got);
    CHECK(got.starts_with(valid ? "HTTP/1.1 " + std::to_string(status) : "HTTP/1.1 409 "));
    CHECK((got.find("answered-without-copy") != std::string::npos) == !valid);
    CHECK(instance.runs == 0);
}

TEST_CASE("a response with an invalid status or field name is not stored")
{
    const auto response
        = GENERATE(as<std::string>(), "HTTP/1.1 000 X\r\nContent-Length: 4\r\n\r\nmade",
            "HTTP/1.1 099 X\r\nContent-Length: 4\r\n\r\nmade",
            "HTTP/1.1 600 X\r\nContent-Length: 4\r\n\r\nmade",
            "HTTP/1.1 0200 X\r\nContent-Length: 4\r\n\r\nmade",
            "HTTP/1.1 201 Created\r\nX Bad: 1\r\nContent-Length: 4\r\n\r\nmade",
            "HTTP/1.1 201 Created\r\nX\001Bad: 1\r\nContent-Length: 4\r\n\r\nmade",
            "HTTP/1.1 103 X\r\nX Bad: 1\r\n\r\n" + std::string(created),
            "HTTP/1.1 201 Created\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nmade\r\n0\r\nX Bad: "
            "1\r\n\r\n");
    FakeClaimClient claims;
    claims.decision = verdict(ClaimVerdict::Run);
    CountingUpstream instance(response);
    EntryFixture fixture({}, &claims);
    fixture.addInstance(instance.upstream.endpoint());
    CAPTURE(response);
    CHECK(fixture.exchange(keyedRequest("abc")).starts_with("HTTP/1.1 502 "));
    REQUIRE(claims.finished.wait());
    CHECK(instance.runs == 1);
    CHECK(claims.finishedEnd == ClaimOutcome::Unknown);
    CHECK_FALSE(claims.stored.has_value());
}

TEST_CASE("a response that is reset while its request is being sent is not stored")
{
    const bool isReset = GENERATE(false, true);
    FakeClaimClient claims;
    claims.decision = verdict(ClaimVerdict::Run);
    Signal uploadWaits;
    ScriptedUpstream upstream([&](Connection& connection, int) {
        connection.readHead();
        connection.send("HTTP/1.1 200 OK\r\n\r\npart");
        uploadWaits.wait();
        if (isReset)
            return connection.reset();
        connection.closeSending();
        connection.waitForClose();
    });
    EntryOptions options;
    options.receiveBufferBytes = options.sendBufferBytes = 16 * 1024;
    options.lingerTimeout = 50ms;
    EntryFixture fixture(options, &claims);
    fixture.addInstance(upstream.endpoint());
    Connection caller = fixture.connect();
    caller.send("POST /s HTTP/1.1\r\nHost: h\r\nIdempotency-Key: k1\r\n"
                "Content-Length: 100000000\r\n\r\n"
        + std::string(std::size_t { 64 } * 1024, 'u'));
    CHECK(caller.readUntil("part").ends_with("part"));
    caller.sendUntilBlocked('u');
    uploadWaits.set();
    CAPTURE(isReset);
    CHECK(caller.readAll().ends_with("0\r\n\r\n") == !isReset);
    REQUIRE(claims.finished.wait());
    CHECK(claims.finishedEnd == (isReset ? ClaimOutcome::Unknown : ClaimOutcome::Answered));
    CHECK(claims.stored.has_value() == !isReset);
}

TEST_CASE("a request with a key and an incomplete body requests no claim")
{
    FakeClaimClient claims;
    EntryFixture fixture({}, &claims, 100ms);
    CountingUpstream instance(created);
    fixture.addInstance(instance.upstream.endpoint());
    const std::string whole = keyedRequest("abc");
    const std::string response = fixture.exchange(whole.substr(0, whole.size() - 1));
    CHECK(response.starts_with("HTTP/1.1 408 "));
    CHECK(response.find("\r\nLaburnum-Outcome: not-run\r\n") != std::string::npos);
    CHECK(claims.specs.empty());
}
