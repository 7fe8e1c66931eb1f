// Malformed requests are rejected and never reach an instance as a complete request.

#include <catch2/catch.hpp>

#include <laburnumroute/http_decoder.h>

#include "loopback_test.h"

using namespace laburnum;
using namespace laburnum::test;

namespace {

using namespace std::string_literals;

const std::string start = "POST /s HTTP/1.1\r\nHost: h\r\n";

} // namespace

TEST_CASE("a malformed head gets 400, the connection is closed and nothing is forwarded")
{
    const auto request
        = GENERATE(as<std::string>(), start + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
            start + "Content-Length: 1\r\nContent-Length: 1\r\n\r\na",
            start + "Content-Length: 1, 1\r\n\r\na", start + "Content-Length: -1\r\n\r\n",
            start + "Content-Length: +1\r\n\r\na", start + "Content-Length: 1x\r\n\r\na",
            start + "Content-Length:\r\n\r\n",
            start + "Content-Length: 99999999999999999999999\r\n\r\na",
            start + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            start + "Transfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n0\r\n\r\n",
            start + "Transfer-Encoding: gzip\r\n\r\n",
            start + "Transfer-Encoding: chunked, gzip\r\n\r\n",
            start + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
            start + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            start + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
            start + "Content-Length : 1\r\n\r\na", start + "Content Length: 1\r\n\r\na",
            start + " folded: 1\r\n\r\n", start + "X: a\r\n folded\r\n\r\n",
            start + "X: a\r\n\tfolded\r\n\r\n", start + "X: a\0b\r\n\r\n"s,
            start + "X\0: a\r\n\r\n"s, start + "X: a\rb\r\n\r\n", start + "X: a\r\r\n\r\n",
            start + "X: a\nY: b\r\n\r\n", start + "X: a\r\n\n", start + "X: a\x01\r\n\r\n",
            start + ": a\r\n\r\n", start + "X\r\n\r\n", "POST /s HTTP/1.1\r\n\r\n",
            start + "Host: h\r\n\r\n", "POST /s HTTP/1.1\r\nHost: a b\r\n\r\n",
            "POST /s HTTP/1.1\r\nHost: a/b\r\n\r\n", "POST /s HTTP/1.1\r\nHost: a,b\r\n\r\n",
            "POST /s HTTP/2.0\r\nHost: h\r\n\r\n", "POST  /s HTTP/1.1\r\nHost: h\r\n\r\n",
            "POST /s\0 HTTP/1.1\r\nHost: h\r\n\r\n"s, "POST s HTTP/1.1\r\nHost: h\r\n\r\n",
            "CONNECT h:1 HTTP/1.1\r\nHost: h:1\r\n\r\n", "NONSENSE /s HTTP/1.1\r\nHost: h\r\n\r\n",
            "POST /s HTTP/1.0\r\nTransfer-Encoding: "
            "chunked\r\n\r\n0\r\n\r\n",
            "\x16\x03\x01\r\n\r\n", start + "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
            start + "Transfer-Encoding: chunked\r\n\r\n-1\r\n",
            start + "Transfer-Encoding: chunked\r\n\r\n1\r\nab\r\n0\r\n\r\n");
    CAPTURE(request);
    ScriptedUpstream upstream([](Connection& connection, int) { connection.readAll(); });
    EntryFixture fixture;
    fixture.addInstance(upstream.endpoint());
    const std::string response = fixture.exchange(request + "GET /s HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(response.starts_with("HTTP/1.1 400 "));
    CHECK(response.find("\r\nLaburnum-Outcome: not-run\r\n") != std::string::npos);
    CHECK(response.find("\r\nConnection: close\r\n") != std::string::npos);
    CHECK(response.find("HTTP/1.1", 1) == std::string::npos);
    CHECK(upstream.accepted() == 0);
}

TEST_CASE("an oversized head gets 431")
{
    const std::string large(HttpDecoder::maxHeadBytes + 1, 'x');
    const auto request = GENERATE_COPY(as<std::string>(), start + "X: " + large + "\r\n\r\n",
        "GET /s" + large + " HTTP/1.1\r\nHost: h\r\n\r\n", start + large);
    ScriptedUpstream upstream([](Connection& connection, int) { connection.readAll(); });
    EntryFixture fixture;
    fixture.addInstance(upstream.endpoint());
    const std::string response = fixture.exchange(request);
    CHECK(response.starts_with("HTTP/1.1 431 "));
    CHECK(response.find("\r\nLaburnum-Reason: head-too-large\r\n") != std::string::npos);
    CHECK(upstream.accepted() == 0);
}

TEST_CASE("a malformed body is never forwarded as a complete request")
{
    const auto rest = GENERATE(
        as<std::string>(), "zz\r\n", "1\r\nab\r\n0\r\n\r\n", "-1\r\n\r\n", "0\r\nX Y: 1\r\n\r\n");
    Signal headArrived;
    Signal ended;
    std::string got;
    ScriptedUpstream upstream([&](Connection& connection, int) {
        got = connection.readUntil("3\r\nabc\r\n");
        headArrived.set();
        got += connection.readAll();
        ended.set();
    });
    std::string response;
    {
        EntryFixture fixture;
        fixture.addInstance(upstream.endpoint());
        Connection caller = fixture.connect();
        caller.send(start + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
        REQUIRE(headArrived.wait());
        caller.send(rest);
        response = caller.readAll();
    }
    CHECK(response.starts_with("HTTP/1.1 400 "));
    CHECK(response.find("\r\nLaburnum-Outcome: unknown\r\n") != std::string::npos);
    REQUIRE(ended.wait());
    CHECK(got.find("\r\n0\r\n") == std::string::npos);
}
