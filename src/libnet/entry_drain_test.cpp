// Planned stop of an entry server, and waiting for a slot.

#include <catch2/catch.hpp>

#include "loopback_test.h"

using namespace laburnum;
using namespace laburnum::test;

namespace {

using namespace std::chrono_literals;

constexpr const char* get = "GET /s HTTP/1.1\r\nHost: h\r\n\r\n";
constexpr const char* okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// True once `port` takes no connection.
bool refuses(std::uint16_t port)
{
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    std::error_code code;
    socket.connect({ asio::ip::address_v4::loopback(), port }, code);
    return code == asio::error::connection_refused;
}

/// A drain that was asked for.
struct Drain {
    void start(EntryServer& server)
    {
        server.drain([this](DrainReport r) {
            report = r;
            done.set();
        });
    }
    Signal done;
    DrainReport report;
};

} // namespace

TEST_CASE("a drain closes idle connections and refuses new ones")
{
    ScriptedUpstream upstream(answerAlways("ok"));
    Rig rig;
    rig.addInstance(upstream.endpoint());
    Connection used = rig.connect();
    used.send(get);
    CHECK(used.readMessage().ends_with("ok"));
    Connection unused = rig.connect();
    const std::uint16_t port = rig.server().localEndpoint().port;
    Drain drain;
    drain.start(rig.server());
    REQUIRE(drain.done.wait());
    CHECK(drain.report.cut == 0);
    CHECK(used.peerCloses());
    CHECK(unused.peerCloses());
    CHECK(refuses(port));
}

TEST_CASE("a drain lets uploads and answers in flight run to their end")
{
    Signal uploadStarted;
    Signal lookupStarted;
    Signal release;
    std::string body;
    ScriptedUpstream upstream([&](Connection& connection, int) {
        const std::string head = connection.readHead();
        if (head.starts_with("PUT")) {
            body = connection.readBytes(1);
            uploadStarted.set();
            body += connection.readBytes(2);
        } else {
            lookupStarted.set();
            release.wait();
        }
        connection.send(okAnswer);
        connection.peerCloses();
    });
    Rig rig;
    rig.addInstance(upstream.endpoint());
    Connection upload = rig.connect();
    upload.send("PUT /s HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\na");
    Connection lookup = rig.connect();
    lookup.send(get);
    REQUIRE(uploadStarted.wait());
    REQUIRE(lookupStarted.wait());
    const std::uint16_t port = rig.server().localEndpoint().port;
    Drain drain;
    drain.start(rig.server());
    while (!refuses(port))
        std::this_thread::yield();
    release.set();
    const std::string looked = lookup.readMessage();
    CHECK(looked.ends_with("ok"));
    CHECK(looked.find("\r\nConnection: close\r\n") != std::string::npos);
    upload.send("bc");
    const std::string answer = upload.readMessage();
    CHECK(answer.ends_with("ok"));
    CHECK(answer.find("\r\nConnection: close\r\n") != std::string::npos);
    CHECK(body == "abc");
    upload.close();
    lookup.close();
    REQUIRE(drain.done.wait());
    CHECK(drain.report.cut == 0);
}

TEST_CASE("a drain's deadline or a second call cuts what is in flight and counts it")
{
    const bool byDeadline = GENERATE(true, false);
    EntryOptions options;
    options.drainTimeout = byDeadline ? Duration(50ms) : Duration(1h);
    Signal started;
    ScriptedUpstream upstream([&](Connection& connection, int) {
        connection.readHead();
        started.set();
        connection.peerCloses();
    });
    Rig rig(options);
    rig.addInstance(upstream.endpoint());
    Connection caller = rig.connect();
    caller.send(get);
    REQUIRE(started.wait());
    Drain drain;
    drain.start(rig.server());
    Drain second;
    if (!byDeadline) {
        second.start(rig.server());
        REQUIRE(second.done.wait());
    }
    REQUIRE(drain.done.wait());
    CHECK(drain.report.cut == 1);
    CHECK(caller.readAll().empty());
}

TEST_CASE("a drain that cuts loses no answer that its caller has not read yet")
{
    const std::string body(40000, 'x');
    Signal sent;
    ScriptedUpstream upstream([&](Connection& connection, int) {
        connection.readHead();
        connection.send("HTTP/1.1 200 OK\r\nContent-Length: 40000\r\n\r\n" + body);
        sent.set();
        connection.peerCloses();
    });
    Rig rig;
    rig.addInstance(upstream.endpoint());
    asio::io_context context;
    asio::ip::tcp::socket socket(context, asio::ip::tcp::v4());
    // The smallest that the system grants: the rest of the answer waits at the entry host.
    socket.set_option(asio::socket_base::receive_buffer_size(1));
    const std::uint16_t port = rig.server().localEndpoint().port;
    socket.connect({ asio::ip::address_v4::loopback(), port });
    Connection caller(std::move(socket));
    caller.send("GET /s HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    REQUIRE(sent.wait());
    const auto limit = std::chrono::steady_clock::now() + 10s;
    while (rig.server().inFlight() > 0 && std::chrono::steady_clock::now() < limit)
        std::this_thread::yield();
    Drain drain;
    drain.start(rig.server());
    Drain second;
    second.start(rig.server());
    REQUIRE(drain.done.wait());
    REQUIRE(second.done.wait());
    CHECK(drain.report.cut == 0);
    const bool whole = caller.readMessage().ends_with(body);
    CHECK(whole);
}

TEST_CASE("a request waits for a slot that another frees")
{
    Signal started;
    Signal release;
    ScriptedUpstream upstream([&](Connection& connection, int) {
        while (!connection.readHead().empty()) {
            started.set();
            release.wait();
            connection.send(okAnswer);
        }
    });
    EntryOptions options;
    options.slotWaitTimeout = 10s;
    Rig rig(options);
    rig.addInstance(upstream.endpoint(), 1);
    Connection first = rig.connect();
    first.send(get);
    REQUIRE(started.wait());
    Connection second = rig.connect();
    second.send(get);
    while (rig.server().inFlight() < 2)
        std::this_thread::yield();
    release.set();
    CHECK(first.readMessage().ends_with("ok"));
    CHECK(second.readMessage().ends_with("ok"));
}

TEST_CASE("a caller that goes away no longer waits for a slot")
{
    Signal started;
    ScriptedUpstream upstream([&](Connection& connection, int) {
        connection.readHead();
        started.set();
        connection.peerCloses();
    });
    EntryOptions options;
    options.slotWaitTimeout = 1h;
    Rig rig(options, nullptr, 1h);
    rig.addInstance(upstream.endpoint(), 1);
    Connection first = rig.connect();
    first.send(get);
    REQUIRE(started.wait());
    Connection second = rig.connect();
    second.send(get);
    while (rig.server().inFlight() < 2)
        std::this_thread::yield();
    second.close();
    const auto limit = std::chrono::steady_clock::now() + 10s;
    while (rig.server().inFlight() > 1 && std::chrono::steady_clock::now() < limit)
        std::this_thread::yield();
    CHECK(rig.server().inFlight() == 1);
}

TEST_CASE("a request that finds no slot in time was not run")
{
    Signal started;
    std::atomic<int> runs { 0 };
    ScriptedUpstream upstream([&](Connection& connection, int) {
        if (!connection.readHead().empty())
            ++runs;
        started.set();
        connection.peerCloses();
    });
    EntryOptions options;
    options.slotWaitTimeout = 50ms;
    Rig rig(options);
    rig.addInstance(upstream.endpoint(), 1);
    Connection first = rig.connect();
    first.send(get);
    REQUIRE(started.wait());
    Connection second = rig.connect();
    second.send(get);
    const std::string answer = second.readMessage();
    CHECK(answer.starts_with("HTTP/1.1 503 "));
    CHECK(answer.find("\r\nLaburnum-Outcome: not-run\r\n") != std::string::npos);
    CHECK(answer.find("\r\nLaburnum-Reason: no-slot\r\n") != std::string::npos);
    CHECK(runs == 1);
}
