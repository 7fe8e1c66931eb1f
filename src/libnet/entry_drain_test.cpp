// Draining of an entry server, and waiting for a free slot.

#include <catch2/catch.hpp>

#include "loopback_test.h"

using namespace laburnum;
using namespace laburnum::test;

namespace {

using namespace std::chrono_literals;

constexpr const char* get = "GET /s HTTP/1.1\r\nHost: h\r\n\r\n";
constexpr const char* okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// Whether connections to `port` are refused.
bool refuses(std::uint16_t port)
{
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    std::error_code code;
    socket.connect({ asio::ip::address_v4::loopback(), port }, code);
    return code == asio::error::connection_refused;
}

/// A drain and its report.
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
    ScriptedUpstream upstream(respondAlways("ok"));
    EntryFixture fixture;
    fixture.addInstance(upstream.endpoint());
    Connection used = fixture.connect();
    used.send(get);
    CHECK(used.readMessage().ends_with("ok"));
    Connection unused = fixture.connect();
    const std::uint16_t port = fixture.server().localEndpoint().port;
    Drain drain;
    drain.start(fixture.server());
    REQUIRE(drain.done.wait());
    CHECK(drain.report.cut == 0);
    CHECK(used.peerCloses());
    CHECK(unused.peerCloses());
    CHECK(refuses(port));
}

TEST_CASE("a drain completes uploads and responses in flight")
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
        connection.send(okResponse);
        connection.peerCloses();
    });
    EntryFixture fixture;
    fixture.addInstance(upstream.endpoint());
    Connection upload = fixture.connect();
    upload.send("PUT /s HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\na");
    Connection lookup = fixture.connect();
    lookup.send(get);
    REQUIRE(uploadStarted.wait());
    REQUIRE(lookupStarted.wait());
    const std::uint16_t port = fixture.server().localEndpoint().port;
    Drain drain;
    drain.start(fixture.server());
    while (!refuses(port))
        std::this_thread::yield();
    release.set();
    const std::string lookupResponse = lookup.readMessage();
    CHECK(lookupResponse.ends_with("ok"));
    CHECK(lookupResponse.find("\r\nConnection: close\r\n") != std::string::npos);
    upload.send("bc");
    const std::string response = upload.readMessage();
    CHECK(response.ends_with("ok"));
    CHECK(response.find("\r\nConnection: close\r\n") != std::string::npos);
    CHECK(body == "abc");
    upload.close();
    lookup.close();
    REQUIRE(drain.done.wait());
    CHECK(drain.report.cut == 0);
}

TEST_CASE("the drain timeout or a second call aborts and counts the requests in flight")
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
    EntryFixture fixture(options);
    fixture.addInstance(upstream.endpoint());
    Connection caller = fixture.connect();
    caller.send(get);
    REQUIRE(started.wait());
    Drain drain;
    drain.start(fixture.server());
    Drain second;
    if (!byDeadline) {
        second.start(fixture.server());
        REQUIRE(second.done.wait());
    }
    REQUIRE(drain.done.wait());
    CHECK(drain.report.cut == 1);
    CHECK(caller.readAll().empty());
}

TEST_CASE("an aborting drain still delivers a response that the caller has not read yet")
{
    const std::string body(40000, 'x');
    Signal sent;
    ScriptedUpstream upstream([&](Connection& connection, int) {
        connection.readHead();
        connection.send("HTTP/1.1 200 OK\r\nContent-Length: 40000\r\n\r\n" + body);
        sent.set();
        connection.peerCloses();
    });
    EntryFixture fixture;
    fixture.addInstance(upstream.endpoint());
    asio::io_context context;
    asio::ip::tcp::socket socket(context, asio::ip::tcp::v4());
    // The smallest buffer that the system grants, so that the entry host still holds the rest
    // of the response.
    socket.set_option(asio::socket_base::receive_buffer_size(1));
    const std::uint16_t port = fixture.server().localEndpoint().port;
    socket.connect({ asio::ip::address_v4::loopback(), port });
    Connection caller(std::move(socket));
    caller.send("GET /s HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    REQUIRE(sent.wait());
    const auto limit = std::chrono::steady_clock::now() + 10s;
    while (fixture.server().inFlight() > 0 && std::chrono::steady_clock::now() < limit)
        std::this_thread::yield();
    Drain drain;
    drain.start(fixture.server());
    Drain second;
    second.start(fixture.server());
    REQUIRE(drain.done.wait());
    REQUIRE(second.done.wait());
    CHECK(drain.report.cut == 0);
    const bool whole = caller.readMessage().ends_with(body);
    CHECK(whole);
}

TEST_CASE("a request waits for a slot until another request releases it")
{
    Signal started;
    Signal release;
    ScriptedUpstream upstream([&](Connection& connection, int) {
        while (!connection.readHead().empty()) {
            started.set();
            release.wait();
            connection.send(okResponse);
        }
    });
    EntryOptions options;
    options.slotWaitTimeout = 10s;
    EntryFixture fixture(options);
    fixture.addInstance(upstream.endpoint(), 1);
    Connection first = fixture.connect();
    first.send(get);
    REQUIRE(started.wait());
    Connection second = fixture.connect();
    second.send(get);
    while (fixture.server().inFlight() < 2)
        std::this_thread::yield();
    release.set();
    CHECK(first.readMessage().ends_with("ok"));
    CHECK(second.readMessage().ends_with("ok"));
}

TEST_CASE("a caller that disconnects no longer waits for a slot")
{
    Signal started;
    ScriptedUpstream upstream([&](Connection& connection, int) {
        connection.readHead();
        started.set();
        connection.peerCloses();
    });
    EntryOptions options;
    options.slotWaitTimeout = 1h;
    EntryFixture fixture(options, nullptr, 1h);
    fixture.addInstance(upstream.endpoint(), 1);
    Connection first = fixture.connect();
    first.send(get);
    REQUIRE(started.wait());
    Connection second = fixture.connect();
    second.send(get);
    while (fixture.server().inFlight() < 2)
        std::this_thread::yield();
    second.close();
    const auto limit = std::chrono::steady_clock::now() + 10s;
    while (fixture.server().inFlight() > 1 && std::chrono::steady_clock::now() < limit)
        std::this_thread::yield();
    CHECK(fixture.server().inFlight() == 1);
}

TEST_CASE("a request that gets no slot in time is reported as not run")
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
    EntryFixture fixture(options);
    fixture.addInstance(upstream.endpoint(), 1);
    Connection first = fixture.connect();
    first.send(get);
    REQUIRE(started.wait());
    Connection second = fixture.connect();
    second.send(get);
    const std::string response = second.readMessage();
    CHECK(response.starts_with("HTTP/1.1 503 "));
    CHECK(response.find("\r\nLaburnum-Outcome: not-run\r\n") != std::string::npos);
    CHECK(response.find("\r\nLaburnum-Reason: no-slot\r\n") != std::string::npos);
    CHECK(runs == 1);
}
