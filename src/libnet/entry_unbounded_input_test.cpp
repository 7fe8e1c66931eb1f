// Instances and callers that send unbounded data which is not a response or a request.

#include <catch2/catch.hpp>

#include <atomic>

#include "fleet_fixture_test.h"

using namespace laburnum;
using namespace laburnum::test;

namespace {

using namespace std::chrono_literals;

using Steady = std::chrono::steady_clock;

/// What an instance sends in reply to a request: `first` once, then `repeated` endlessly.
struct UnboundedStream {
    std::string name;
    std::string first;
    std::string repeated;
};

/// An instance that replies to each request with a stream. It sends as fast as possible if `pause`
/// is zero, otherwise one part per `pause`.
class UnboundedUpstream {
public:
    UnboundedUpstream(UnboundedStream stream, Duration pause)
        : m_stream(std::move(stream))
        , m_pause(pause)
        , m_scripted([this](Connection& connection, int) { run(connection); })
    {
    }

    Endpoint endpoint() const { return m_scripted.endpoint(); }
    /// Number of bytes sent.
    std::uint64_t sent() const { return m_sent; }
    /// Whether the entry host closed the first connection.
    bool wasClosed() { return m_ended.wait() && m_closed; }

private:
    void run(Connection& connection)
    {
        constexpr std::size_t burstBytes = std::size_t { 64 } * 1024;
        constexpr auto limit = 5s;
        connection.readHead();
        connection.send(m_stream.first);
        std::string part = m_stream.repeated;
        while (m_pause == Duration::zero() && part.size() < burstBytes)
            part += m_stream.repeated;
        const auto start = Steady::now();
        while (connection.trySend(part)) {
            m_sent += part.size();
            if (Steady::now() - start > limit) {
                m_ended.set();
                return;
            }
            std::this_thread::sleep_for(m_pause);
        }
        m_closed = true;
        m_ended.set();
    }

    const UnboundedStream m_stream;
    const Duration m_pause;
    std::atomic<std::uint64_t> m_sent { 0 };
    std::atomic<bool> m_closed { false };
    Signal m_ended;
    ScriptedUpstream m_scripted;
};

std::string response(const std::string& body, const std::string& id = "7")
{
    return "HTTP/1.1 200 OK\r\nStamp: x\r\nId: " + id
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string request(const std::string& method = "GET", const std::string& rest = "")
{
    return method + " /s HTTP/1.1\r\nHost: h\r\nId: 7\r\n" + rest + "\r\n";
}

const std::string stampedHead = "HTTP/1.1 200 OK\r\nStamp: x\r\nId: 7\r\n";
const std::string otherHead = "HTTP/1.1 200 OK\r\nStamp: x\r\nId: 6\r\n";
const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";

/// Streams that contain no response to the request.
std::vector<UnboundedStream> nonResponses()
{
    return {
        { "a status line without end", "HTTP/1.1 200 ", "x" },
        { "empty lines before a status line", "", "\r\n" },
        { "bytes that are not HTTP", "", "garbage" },
        { "a field without end", stampedHead + "A: ", "x" },
        { "a head without end", stampedHead, "A: b\r\n" },
        { "100 without end", "", "HTTP/1.1 100 Continue\r\n\r\n" },
        { "early hints without end", "", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" },
        { "complete responses to another request", "", response("stray", "6") },
        { "the body until close of a response to another request", otherHead + "\r\n", "x" },
        { "chunks of a response to another request", otherHead + chunked, "4\r\nabcd\r\n" },
        { "a long body of a response to another request",
            otherHead + "Content-Length: 99999999999\r\n\r\n", "x" },
    };
}

/// Endless error responses without the stamp of an instance.
std::vector<UnboundedStream> unstampedErrors()
{
    return {
        { "an error without stamp until close", "HTTP/1.1 500 Oops\r\nId: 7\r\n\r\n", "x" },
        { "an error without stamp in chunks", "HTTP/1.1 502 Oops\r\n" + chunked, "4\r\nabcd\r\n" },
        { "a long error without stamp", "HTTP/1.1 404 No\r\nContent-Length: 99999999999\r\n\r\n",
            "x" },
    };
}

/// Responses whose framing never ends.
std::vector<UnboundedStream> unboundedFraming()
{
    const std::string begun = stampedHead + chunked + "4\r\nabcd\r\n";
    return {
        { "an extension without end", begun + "1;", "x" },
        { "extensions without end", begun, "1;" + std::string(2000, 'x') + "\r\na\r\n" },
        { "trailers without end", begun + "0\r\n", "A: b\r\n" },
    };
}

/// Limit on the bytes sent before the host closes the connection, including the socket buffers.
constexpr std::uint64_t maxBytesSent = std::uint64_t { 16 } * 1024 * 1024;

Duration since(Steady::time_point start) { return Steady::now() - start; }

} // namespace

TEST_CASE("fleet: a flood without a response ends the attempt and only a safe request is retried")
{
    auto streams = nonResponses();
    for (const UnboundedStream& stream : unstampedErrors())
        streams.push_back(stream);
    const bool safe = GENERATE(true, false);
    for (const UnboundedStream& stream : streams) {
        UnboundedUpstream failing(stream, 0s);
        ScriptedUpstream good([](Connection& connection, int) {
            connection.readHead();
            connection.send(response("ok"));
            connection.readAll();
        });
        OrderedPlacementProvider provider;
        provider.route.kind = safe ? RequestKind::Safe : RequestKind::Unsafe;
        provider.instances = { failing.endpoint(), good.endpoint() };
        OrderedFleetFixture fixture(provider);
        const auto start = Steady::now();
        Connection caller = fixture.connect();
        caller.send(request("POST", "Content-Length: 0\r\n"));
        std::string got = caller.readHead();
        while (got.starts_with("HTTP/1.1 1"))
            got = caller.readHead();
        CAPTURE(stream.name, safe, got);
        CHECK(got.starts_with(safe ? "HTTP/1.1 200 " : "HTTP/1.1 502 "));
        CHECK(since(start) < 3s);
        CHECK(failing.wasClosed());
        CHECK(failing.sent() < maxBytesSent);
        CHECK(provider.reports.wait(1).at(0) == "failure");
        if (!safe)
            CHECK(provider.requestEnds.wait(1).at(0) == "bad-answer unknown");
    }
}

TEST_CASE("fleet: slow endless bytes without a response do not extend the deadline")
{
    auto streams = nonResponses();
    for (const UnboundedStream& stream : unstampedErrors())
        streams.push_back(stream);
    std::erase_if(
        streams, [](const UnboundedStream& stream) { return stream.repeated == "garbage"; });
    for (const UnboundedStream& stream : streams) {
        UnboundedUpstream failing(stream, 20ms);
        OrderedPlacementProvider provider;
        provider.route.kind = RequestKind::Unsafe;
        provider.instances = { failing.endpoint() };
        OrderedFleetFixture fixture(provider);
        const auto start = Steady::now();
        Connection caller = fixture.connect();
        caller.send(request("POST", "Content-Length: 0\r\nLaburnum-Deadline-Ms: 150\r\n"));
        std::string got = caller.readHead();
        while (got.starts_with("HTTP/1.1 1"))
            got = caller.readHead();
        CAPTURE(stream.name, got);
        CHECK(got.starts_with("HTTP/1.1 504 "));
        CHECK(since(start) < 2s);
        CHECK(failing.wasClosed());
        CHECK(provider.reports.wait(1).at(0) == "silence");
        CHECK(provider.requestEnds.wait(1).at(0) == "deadline unknown");
    }
}

TEST_CASE("fleet: a flood without a response ends an attempt during the upload")
{
    for (const UnboundedStream& stream : nonResponses()) {
        UnboundedUpstream failing(stream, 0s);
        OrderedPlacementProvider provider;
        provider.instances = { failing.endpoint() };
        OrderedFleetFixture fixture(provider);
        const auto start = Steady::now();
        Connection caller = fixture.connect();
        caller.send(request("POST", "Content-Length: 100000000\r\n") + std::string(100000, 'x'));
        std::string got = caller.readHead();
        while (got.starts_with("HTTP/1.1 1"))
            got = caller.readHead();
        CAPTURE(stream.name, got);
        CHECK(got.starts_with("HTTP/1.1 502 "));
        CHECK(since(start) < 3s);
        CHECK(failing.wasClosed());
        CHECK(provider.reports.wait(1).at(0) == "failure");
    }
}

TEST_CASE("fleet: a continuing upload does not extend the deadline of a buffered response")
{
    ScriptedUpstream upstream([](Connection& connection, int) {
        connection.readHead();
        connection.send(stampedHead + "Content-Length: 2\r\n\r\n");
        connection.readAll();
    });
    OrderedPlacementProvider provider;
    provider.instances = { upstream.endpoint() };
    OrderedFleetFixture fixture(provider);
    Connection caller = fixture.connect();
    const auto start = Steady::now();
    caller.send(request("POST", "Content-Length: 100000\r\nLaburnum-Deadline-Ms: 200\r\n"));
    std::atomic<bool> answered { false };
    std::thread uploading([&] {
        while (!answered && since(start) < 3s) {
            caller.send("x");
            std::this_thread::sleep_for(10ms);
        }
    });
    const std::string got = caller.readHead();
    answered = true;
    uploading.join();
    CHECK(since(start) < 2s);
    CHECK(got.starts_with("HTTP/1.1 "));
    CHECK_FALSE(got.starts_with("HTTP/1.1 200 "));
}

TEST_CASE("fleet: a rejection with an endless body counts as not run and its connection is closed")
{
    const auto status = GENERATE(as<std::string>(), "503 Full", "421 Other");
    const bool flood = GENERATE(true, false);
    UnboundedUpstream failing({ "", "HTTP/1.1 " + status + "\r\nNot-Run: 1\r\nId: 7\r\n\r\n", "x" },
        flood ? Duration(0s) : Duration(20ms));
    ScriptedUpstream good([](Connection& connection, int) {
        connection.readHead();
        connection.send(response("ok"));
        connection.readAll();
    });
    OrderedPlacementProvider provider;
    provider.route.kind = RequestKind::Unsafe;
    provider.instances = { failing.endpoint(), good.endpoint() };
    OrderedFleetFixture fixture(provider);
    CHECK(fixture.exchange(request("POST", "Content-Length: 0\r\n")).ends_with("\r\n\r\nok"));
    CHECK(failing.wasClosed());
    CHECK(provider.reports.wait(1).at(0) == (status.starts_with("503") ? "shed" : "refused"));
}

TEST_CASE("fleet: a response with endless framing is aborted")
{
    for (const UnboundedStream& stream : unboundedFraming()) {
        for (const bool flood : { true, false }) {
            // Each extension is followed by a body byte, so that only the byte limit applies.
            if (!flood && stream.name == "extensions without end")
                continue;
            UnboundedUpstream failing(stream, flood ? Duration(0s) : Duration(20ms));
            OrderedPlacementProvider provider;
            provider.route.kind = RequestKind::Unsafe;
            provider.instances = { failing.endpoint() };
            EntryOptions options = fleetOptions();
            options.bodyIdleTimeout = 300ms;
            OrderedFleetFixture fixture(provider, options);
            const auto start = Steady::now();
            Connection caller = fixture.connect();
            caller.send(request("POST", "Content-Length: 0\r\n"));
            const std::string got = caller.readAll();
            CAPTURE(stream.name, flood, got.substr(0, 200));
            CHECK_FALSE(got.ends_with("\r\n0\r\n\r\n"));
            CHECK(since(start) < 3s);
            CHECK(failing.wasClosed());
            CHECK(failing.sent() < maxBytesSent);
            CHECK(provider.reports.wait(1).at(0) == "failure");
            CHECK(provider.requestEnds.wait(1).at(0) == "cut unknown");
        }
    }
}

TEST_CASE("fleet: endless bytes after a complete response do not reach the next request")
{
    const auto repeated = GENERATE(as<std::string>(), "garbage", response("forged"), "\r\n");
    std::atomic<int> connections { 0 };
    ScriptedUpstream upstream([&](Connection& connection, int index) {
        ++connections;
        connection.readHead();
        connection.send(response("ok" + std::to_string(index)) + repeated);
        while (connection.trySend(repeated + repeated)) { }
    });
    OrderedPlacementProvider provider;
    provider.instances = { upstream.endpoint(), upstream.endpoint() };
    OrderedFleetFixture fixture(provider);
    Connection caller = fixture.connect();
    for (int i = 0; i < 2; ++i) {
        caller.send(request());
        CHECK(caller.readMessage().ends_with("ok" + std::to_string(i)));
    }
    CHECK(connections == 2);
}

// Guards against callers that wait beyond the timeout for the end of a response whose instance fell
// silent, or goes on slowly, after the head.
TEST_CASE("fleet: the deadline ends a response that has begun")
{
    struct Case {
        std::string head;
        std::string part;
    };
    const auto each = GENERATE(values<Case>({ { stampedHead + chunked, "1\r\na\r\n" },
        { stampedHead + "\r\n", "a" }, { stampedHead + "Content-Length: 900000\r\n\r\n", "a" } }));
    const bool isSilent = GENERATE(true, false);
    CAPTURE(each.head, isSilent);
    ScriptedUpstream failing([&](Connection& connection, int) {
        connection.readHead();
        connection.send(each.head + each.part);
        const auto start = Steady::now();
        while (since(start) < 2s && (isSilent || connection.trySend(each.part)))
            std::this_thread::sleep_for(20ms);
    });
    OrderedPlacementProvider provider;
    // Time for the head to arrive, on a busy machine too.
    constexpr auto timeout = 1s;
    provider.route.timeout = timeout;
    provider.instances = { failing.endpoint() };
    OrderedFleetFixture fixture(provider);
    Connection caller = fixture.connect();
    const auto start = Steady::now();
    caller.send(request("GET", "Laburnum-Deadline-Ms: 9000\r\n"));
    const std::string got = caller.readAll();
    CAPTURE(got.substr(0, 200));
    CHECK(got.starts_with("HTTP/1.1 200 "));
    CHECK_FALSE(got.ends_with("\r\n0\r\n\r\n"));
    CHECK(got.size() < 900000);
    CHECK(since(start) >= timeout);
    CHECK(since(start) < timeout + 500ms);
    CHECK(provider.requestEnds.wait(1).at(0) == "cut unknown");
}

// Guards against a hedged attempt that keeps the limits of the first one only up to its head.
TEST_CASE("fleet: the deadline ends a response of a hedged attempt that has begun")
{
    ScriptedUpstream silent([](Connection& connection, int) {
        connection.readHead();
        connection.readAll();
    });
    ScriptedUpstream failing([](Connection& connection, int) {
        connection.readHead();
        connection.send(stampedHead + chunked + "1\r\na\r\n");
        std::this_thread::sleep_for(3s);
    });
    OrderedPlacementProvider provider;
    provider.route.timeout = 1600ms;
    provider.route.objective = 200ms;
    provider.instances = { silent.endpoint(), failing.endpoint() };
    OrderedFleetFixture fixture(provider);
    Connection caller = fixture.connect();
    const auto start = Steady::now();
    caller.send(request());
    const std::string got = caller.readAll();
    CHECK(got.starts_with("HTTP/1.1 200 "));
    CHECK_FALSE(got.ends_with("\r\n0\r\n\r\n"));
    CHECK(since(start) < 1600ms + 500ms);
}

TEST_CASE("listed instances: the deadline ends the wait for a response, not a long response")
{
    ScriptedUpstream slow([](Connection& connection, int) {
        connection.readHead();
        connection.send(stampedHead + chunked + "1\r\na\r\n");
        std::this_thread::sleep_for(500ms);
        connection.send("1\r\nb\r\n0\r\n\r\n");
        connection.readAll();
    });
    EntryFixture fixture({}, nullptr, 300ms);
    fixture.addInstance(slow.endpoint());
    Connection caller = fixture.connect();
    caller.send(request());
    CHECK(caller.readUntil("0\r\n\r\n").ends_with("1\r\nb\r\n0\r\n\r\n"));
}

TEST_CASE("fleet: a long stamped response is streamed to its caller and blocks no other request")
{
    const auto stream
        = GENERATE(values<UnboundedStream>({ { "chunks", stampedHead + chunked, "1\r\na\r\n" },
            { "until close", stampedHead + "\r\n", "a" } }));
    UnboundedUpstream unbounded(stream, 0s);
    ScriptedUpstream good([](Connection& connection, int) {
        connection.readHead();
        connection.send(response("ok"));
        connection.readAll();
    });
    OrderedPlacementProvider provider;
    provider.instances = { unbounded.endpoint(), good.endpoint() };
    OrderedFleetFixture fixture(provider);
    {
        Connection caller = fixture.connect();
        caller.send(request());
        constexpr std::size_t much = std::size_t { 4 } * 1024 * 1024;
        CHECK(caller.readBytes(much).size() == much);
        CHECK(fixture.exchange(request()).ends_with("\r\n\r\nok"));
        CHECK(caller.readBytes(much).size() == much);
        caller.close();
    }
    CAPTURE(stream.name);
    CHECK(unbounded.wasClosed());
    CHECK(provider.reports.wait(2).at(1) == "unused");
}

TEST_CASE("listed instances: a flood without a response ends the request as unknown")
{
    const auto method = GENERATE(as<std::string>(), "GET", "POST");
    for (const UnboundedStream& stream : nonResponses()) {
        UnboundedUpstream failing(stream, 0s);
        EntryFixture fixture(fleetOptions());
        fixture.addInstance(failing.endpoint());
        const auto start = Steady::now();
        Connection caller = fixture.connect();
        caller.send(request(method, "Content-Length: 0\r\n"));
        std::string got = caller.readHead();
        while (got.starts_with("HTTP/1.1 1"))
            got = caller.readHead();
        CAPTURE(stream.name, method, got);
        CHECK(got.starts_with("HTTP/1.1 502 "));
        CHECK(got.find("\r\nLaburnum-Outcome: unknown\r\n") != std::string::npos);
        CHECK(since(start) < 3s);
        CHECK(failing.wasClosed());
        CHECK(failing.sent() < maxBytesSent);
    }
}

TEST_CASE("a caller that keeps sending after its request was rejected blocks no other request")
{
    EntryOptions options = fleetOptions();
    options.lingerTimeout = 300ms;
    ScriptedUpstream good([](Connection& connection, int) {
        connection.readHead();
        connection.send(response("ok"));
        connection.readAll();
    });
    OrderedPlacementProvider provider;
    provider.instances = { good.endpoint() };
    OrderedFleetFixture fixture(provider, options);
    Connection caller = fixture.connect();
    caller.send("nonsense\r\n\r\n");
    CHECK(caller.readHead().starts_with("HTTP/1.1 400 "));
    const std::string part(100000, 'x');
    const auto start = Steady::now();
    std::thread sending([&] {
        while (since(start) < 5s) {
            if (!caller.trySend(part))
                return;
        }
    });
    CHECK(fixture.exchange(request()).ends_with("\r\n\r\nok"));
    sending.join();
    CHECK(since(start) < 3s);
}

namespace {

/// Grants every claim.
class GrantingClaimClient final : public ClaimClient {
public:
    void begin(const ClaimSpec&, Callback callback) override
    {
        ClaimDecision decision;
        decision.verdict = ClaimVerdict::Run;
        decision.claim = ClaimId("c1");
        callback(decision);
    }
    void finish(const ClaimId&, ClaimOutcome, const StoredResponse*) override { finished.set(); }

    Signal finished;
};

} // namespace

TEST_CASE("a slow endless response to be stored is aborted after the caller disconnects")
{
    UnboundedUpstream unbounded({ "", "HTTP/1.1 200 OK\r\n\r\n", "a" }, 20ms);
    EntryOptions options;
    options.bodyIdleTimeout = 300ms;
    GrantingClaimClient claims;
    EntryFixture fixture(options, &claims);
    fixture.addInstance(unbounded.endpoint());
    Connection caller = fixture.connect();
    caller.send("POST /s HTTP/1.1\r\nHost: h\r\nIdempotency-Key: k\r\nContent-Length: 0\r\n\r\n");
    caller.readHead();
    const auto disconnectTime = Steady::now();
    caller.close();
    CHECK(claims.finished.wait());
    CHECK(unbounded.wasClosed());
    CHECK(since(disconnectTime) < 3s);
}
