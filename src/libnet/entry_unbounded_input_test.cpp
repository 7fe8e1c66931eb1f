// Instances that send without end what is no answer, and callers that do.

#include <catch2/catch.hpp>

#include <atomic>

#include "fleet_fixture_test.h"

using namespace laburnum;
using namespace laburnum::test;

namespace {

using namespace std::chrono_literals;

using Steady = std::chrono::steady_clock;

/// What an instance sends to a request: once `first`, then `again` without end.
struct Shape {
    std::string name;
    std::string first;
    std::string again;
};

/// An instance that sends a shape to each request, as fast as it is taken or one part in each
/// `pause`.
class EndlessUpstream {
public:
    EndlessUpstream(Shape shape, Duration pause)
        : m_shape(std::move(shape))
        , m_pause(pause)
        , m_scripted([this](Connection& connection, int) { run(connection); })
    {
    }

    Endpoint endpoint() const { return m_scripted.endpoint(); }
    /// Bytes that went out.
    std::uint64_t sent() const { return m_sent; }
    /// Whether the entry host closed the first connection.
    bool wasClosed() { return m_ended.wait() && m_closed; }

private:
    void run(Connection& connection)
    {
        constexpr std::size_t burstBytes = std::size_t { 64 } * 1024;
        constexpr auto limit = 5s;
        connection.readHead();
        connection.send(m_shape.first);
        std::string part = m_shape.again;
        while (m_pause == Duration::zero() && part.size() < burstBytes)
            part += m_shape.again;
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

    const Shape m_shape;
    const Duration m_pause;
    std::atomic<std::uint64_t> m_sent { 0 };
    std::atomic<bool> m_closed { false };
    Signal m_ended;
    ScriptedUpstream m_scripted;
};

std::string answer(const std::string& body, const std::string& id = "7")
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

/// Shapes in which nothing is an answer to the request.
std::vector<Shape> noAnswers()
{
    return {
        { "a status line without end", "HTTP/1.1 200 ", "x" },
        { "empty lines before a status line", "", "\r\n" },
        { "bytes that are no HTTP", "", "garbage" },
        { "a field without end", stampedHead + "A: ", "x" },
        { "a head without end", stampedHead, "A: b\r\n" },
        { "100 without end", "", "HTTP/1.1 100 Continue\r\n\r\n" },
        { "early hints without end", "", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" },
        { "whole answers to another request", "", answer("stray", "6") },
        { "the body until close of an answer to another request", otherHead + "\r\n", "x" },
        { "chunks of an answer to another request", otherHead + chunked, "4\r\nabcd\r\n" },
        { "a long body of an answer to another request",
            otherHead + "Content-Length: 99999999999\r\n\r\n", "x" },
    };
}

/// Errors that no instance made, and that never end.
std::vector<Shape> strayErrors()
{
    return {
        { "an error without stamp until close", "HTTP/1.1 500 Oops\r\nId: 7\r\n\r\n", "x" },
        { "an error without stamp in chunks", "HTTP/1.1 502 Oops\r\n" + chunked, "4\r\nabcd\r\n" },
        { "a long error without stamp", "HTTP/1.1 404 No\r\nContent-Length: 99999999999\r\n\r\n",
            "x" },
    };
}

/// Answers whose framing never ends.
std::vector<Shape> endlessFraming()
{
    const std::string begun = stampedHead + chunked + "4\r\nabcd\r\n";
    return {
        { "an extension without end", begun + "1;", "x" },
        { "extensions without end", begun, "1;" + std::string(2000, 'x') + "\r\na\r\n" },
        { "trailers without end", begun + "0\r\n", "A: b\r\n" },
    };
}

/// The host may take so much of it, and the sockets' buffers what they hold.
constexpr std::uint64_t takenAtMost = std::uint64_t { 16 } * 1024 * 1024;

Duration since(Steady::time_point start) { return Steady::now() - start; }

} // namespace

TEST_CASE("fleet: a flood that is no answer ends the attempt; only a repeatable request goes on")
{
    auto shapes = noAnswers();
    for (const Shape& shape : strayErrors())
        shapes.push_back(shape);
    const bool safe = GENERATE(true, false);
    for (const Shape& shape : shapes) {
        EndlessUpstream bad(shape, 0s);
        ScriptedUpstream good([](Connection& connection, int) {
            connection.readHead();
            connection.send(answer("ok"));
            connection.readAll();
        });
        OrderedDesk desk;
        desk.route.kind = safe ? RequestKind::Safe : RequestKind::Unsafe;
        desk.instances = { bad.endpoint(), good.endpoint() };
        OrderedRig rig(desk);
        const auto start = Steady::now();
        Connection caller = rig.connect();
        caller.send(request("POST", "Content-Length: 0\r\n"));
        std::string got = caller.readHead();
        while (got.starts_with("HTTP/1.1 1"))
            got = caller.readHead();
        CAPTURE(shape.name, safe, got);
        CHECK(got.starts_with(safe ? "HTTP/1.1 200 " : "HTTP/1.1 502 "));
        CHECK(since(start) < 3s);
        CHECK(bad.wasClosed());
        CHECK(bad.sent() < takenAtMost);
        CHECK(desk.reports.wait(1).at(0) == "failure");
        if (!safe)
            CHECK(desk.ends.wait(1).at(0) == "bad-answer unknown");
    }
}

TEST_CASE("fleet: bytes that are no answer come slowly without end and do not move the deadline")
{
    auto shapes = noAnswers();
    for (const Shape& shape : strayErrors())
        shapes.push_back(shape);
    std::erase_if(shapes, [](const Shape& shape) { return shape.again == "garbage"; });
    for (const Shape& shape : shapes) {
        EndlessUpstream bad(shape, 20ms);
        OrderedDesk desk;
        desk.route.kind = RequestKind::Unsafe;
        desk.instances = { bad.endpoint() };
        OrderedRig rig(desk);
        const auto start = Steady::now();
        Connection caller = rig.connect();
        caller.send(request("POST", "Content-Length: 0\r\nLaburnum-Deadline-Ms: 150\r\n"));
        std::string got = caller.readHead();
        while (got.starts_with("HTTP/1.1 1"))
            got = caller.readHead();
        CAPTURE(shape.name, got);
        CHECK(got.starts_with("HTTP/1.1 504 "));
        CHECK(since(start) < 2s);
        CHECK(bad.wasClosed());
        CHECK(desk.reports.wait(1).at(0) == "silence");
        CHECK(desk.ends.wait(1).at(0) == "deadline unknown");
    }
}

TEST_CASE("fleet: a flood during the upload ends the attempt and the upload")
{
    for (const Shape& shape : noAnswers()) {
        EndlessUpstream bad(shape, 0s);
        OrderedDesk desk;
        desk.instances = { bad.endpoint() };
        OrderedRig rig(desk);
        const auto start = Steady::now();
        Connection caller = rig.connect();
        caller.send(request("POST", "Content-Length: 100000000\r\n") + std::string(100000, 'x'));
        std::string got = caller.readHead();
        while (got.starts_with("HTTP/1.1 1"))
            got = caller.readHead();
        CAPTURE(shape.name, got);
        CHECK(got.starts_with("HTTP/1.1 502 "));
        CHECK(since(start) < 3s);
        CHECK(bad.wasClosed());
        CHECK(desk.reports.wait(1).at(0) == "failure");
    }
}

TEST_CASE("fleet: an upload that goes on does not move the deadline of a held answer")
{
    ScriptedUpstream upstream([](Connection& connection, int) {
        connection.readHead();
        connection.send(stampedHead + "Content-Length: 2\r\n\r\n");
        connection.readAll();
    });
    OrderedDesk desk;
    desk.instances = { upstream.endpoint() };
    OrderedRig rig(desk);
    Connection caller = rig.connect();
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

TEST_CASE("fleet: a refusal whose body never ends counts as not run and its connection closes")
{
    const auto status = GENERATE(as<std::string>(), "503 Full", "421 Other");
    const bool flood = GENERATE(true, false);
    EndlessUpstream bad({ "", "HTTP/1.1 " + status + "\r\nNot-Run: 1\r\nId: 7\r\n\r\n", "x" },
        flood ? Duration(0s) : Duration(20ms));
    ScriptedUpstream good([](Connection& connection, int) {
        connection.readHead();
        connection.send(answer("ok"));
        connection.readAll();
    });
    OrderedDesk desk;
    desk.route.kind = RequestKind::Unsafe;
    desk.instances = { bad.endpoint(), good.endpoint() };
    OrderedRig rig(desk);
    CHECK(rig.exchange(request("POST", "Content-Length: 0\r\n")).ends_with("\r\n\r\nok"));
    CHECK(bad.wasClosed());
    CHECK(desk.reports.wait(1).at(0) == (status.starts_with("503") ? "shed" : "refused"));
}

TEST_CASE("fleet: an answer whose framing never ends is broken off")
{
    for (const Shape& shape : endlessFraming()) {
        for (const bool flood : { true, false }) {
            // One extension after the other carries body bytes: its limit is in bytes alone.
            if (!flood && shape.name == "extensions without end")
                continue;
            EndlessUpstream bad(shape, flood ? Duration(0s) : Duration(20ms));
            OrderedDesk desk;
            desk.route.kind = RequestKind::Unsafe;
            desk.instances = { bad.endpoint() };
            EntryOptions options = fleetOptions();
            options.bodyIdleTimeout = 300ms;
            OrderedRig rig(desk, options);
            const auto start = Steady::now();
            Connection caller = rig.connect();
            caller.send(request("POST", "Content-Length: 0\r\n"));
            const std::string got = caller.readAll();
            CAPTURE(shape.name, flood, got.substr(0, 200));
            CHECK_FALSE(got.ends_with("\r\n0\r\n\r\n"));
            CHECK(since(start) < 3s);
            CHECK(bad.wasClosed());
            CHECK(bad.sent() < takenAtMost);
            CHECK(desk.reports.wait(1).at(0) == "failure");
            CHECK(desk.ends.wait(1).at(0) == "cut unknown");
        }
    }
}

TEST_CASE("fleet: bytes without end after a whole answer do not reach the next request")
{
    const auto again = GENERATE(as<std::string>(), "garbage", answer("forged"), "\r\n");
    std::atomic<int> connections { 0 };
    ScriptedUpstream upstream([&](Connection& connection, int index) {
        ++connections;
        connection.readHead();
        connection.send(answer("ok" + std::to_string(index)) + again);
        while (connection.trySend(again + again)) { }
    });
    OrderedDesk desk;
    desk.instances = { upstream.endpoint(), upstream.endpoint() };
    OrderedRig rig(desk);
    Connection caller = rig.connect();
    for (int i = 0; i < 2; ++i) {
        caller.send(request());
        CHECK(caller.readMessage().ends_with("ok" + std::to_string(i)));
    }
    CHECK(connections == 2);
}

TEST_CASE(
    "fleet: a long stamped answer passes whole while others are served, not beyond its caller")
{
    const auto shape = GENERATE(values<Shape>({ { "chunks", stampedHead + chunked, "1\r\na\r\n" },
        { "until close", stampedHead + "\r\n", "a" } }));
    EndlessUpstream endless(shape, 0s);
    ScriptedUpstream good([](Connection& connection, int) {
        connection.readHead();
        connection.send(answer("ok"));
        connection.readAll();
    });
    OrderedDesk desk;
    desk.instances = { endless.endpoint(), good.endpoint() };
    OrderedRig rig(desk);
    {
        Connection caller = rig.connect();
        caller.send(request());
        constexpr std::size_t much = std::size_t { 4 } * 1024 * 1024;
        CHECK(caller.readBytes(much).size() == much);
        CHECK(rig.exchange(request()).ends_with("\r\n\r\nok"));
        CHECK(caller.readBytes(much).size() == much);
        caller.close();
    }
    CAPTURE(shape.name);
    CHECK(endless.wasClosed());
    CHECK(desk.reports.wait(2).at(1) == "unused");
}

TEST_CASE("a listed instance's flood that is no answer ends the attempt as unknown")
{
    const auto method = GENERATE(as<std::string>(), "GET", "POST");
    for (const Shape& shape : noAnswers()) {
        EndlessUpstream bad(shape, 0s);
        Rig rig(fleetOptions());
        rig.addInstance(bad.endpoint());
        const auto start = Steady::now();
        Connection caller = rig.connect();
        caller.send(request(method, "Content-Length: 0\r\n"));
        std::string got = caller.readHead();
        while (got.starts_with("HTTP/1.1 1"))
            got = caller.readHead();
        CAPTURE(shape.name, method, got);
        CHECK(got.starts_with("HTTP/1.1 502 "));
        CHECK(got.find("\r\nLaburnum-Outcome: unknown\r\n") != std::string::npos);
        CHECK(since(start) < 3s);
        CHECK(bad.wasClosed());
        CHECK(bad.sent() < takenAtMost);
    }
}

TEST_CASE("a caller that sends without end after its refusal holds nobody up")
{
    EntryOptions options = fleetOptions();
    options.lingerTimeout = 300ms;
    ScriptedUpstream good([](Connection& connection, int) {
        connection.readHead();
        connection.send(answer("ok"));
        connection.readAll();
    });
    OrderedDesk desk;
    desk.instances = { good.endpoint() };
    OrderedRig rig(desk, options);
    Connection caller = rig.connect();
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
    CHECK(rig.exchange(request()).ends_with("\r\n\r\nok"));
    sending.join();
    CHECK(since(start) < 3s);
}

namespace {

/// Grants every claim.
class OpenGate final : public ClaimClient {
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

TEST_CASE("an answer to be stored that comes slowly without end is given up after its caller")
{
    EndlessUpstream endless({ "", "HTTP/1.1 200 OK\r\n\r\n", "a" }, 20ms);
    EntryOptions options;
    options.bodyIdleTimeout = 300ms;
    OpenGate gate;
    Rig rig(options, &gate);
    rig.addInstance(endless.endpoint());
    Connection caller = rig.connect();
    caller.send("POST /s HTTP/1.1\r\nHost: h\r\nIdempotency-Key: k\r\nContent-Length: 0\r\n\r\n");
    caller.readHead();
    const auto left = Steady::now();
    caller.close();
    CHECK(gate.finished.wait());
    CHECK(endless.wasClosed());
    CHECK(since(left) < 3s);
}
