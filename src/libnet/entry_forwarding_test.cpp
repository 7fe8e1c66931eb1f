// Byte-exact forwarding of requests and responses.

#include <catch2/catch.hpp>

#include "loopback_test.h"

using namespace laburnum;
using namespace laburnum::test;

namespace {

constexpr const char* plainResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// Sends `request`; the instance responds with `response` and closes. Returns what each side read.
struct Forwarded {
    std::string upstreamGot;
    std::string callerGot;
    bool reset = false;
};

Forwarded proxyExchange(
    const std::string& request, const std::string& response, std::size_t bodyBytes = 0)
{
    Forwarded result;
    ScriptedUpstream upstream([&](Connection& connection, int) {
        result.upstreamGot = connection.readHead();
        result.upstreamGot += connection.readBytes(bodyBytes);
        connection.send(response);
        connection.close();
    });
    EntryFixture fixture;
    fixture.addInstance(upstream.endpoint());
    Connection caller = fixture.connect();
    caller.send(request);
    result.callerGot = caller.readAll();
    result.reset = caller.wasReset();
    result.upstreamGot = withoutField(result.upstreamGot, "Laburnum-Deadline-Ms");
    return result;
}

} // namespace

TEST_CASE("every method is forwarded with its target unchanged")
{
    const auto method
        = GENERATE(as<std::string>(), "DELETE", "GET", "POST", "PUT", "OPTIONS", "TRACE", "COPY",
            "LOCK", "MKCOL", "MOVE", "PROPFIND", "PROPPATCH", "SEARCH", "UNLOCK", "BIND", "REBIND",
            "UNBIND", "ACL", "REPORT", "MKACTIVITY", "CHECKOUT", "MERGE", "M-SEARCH", "NOTIFY",
            "SUBSCRIBE", "UNSUBSCRIBE", "PATCH", "PURGE", "MKCALENDAR", "LINK", "UNLINK", "SOURCE");
    const std::string target = "/s/%2F..//a%20b;x=1?q=%41&q=b+c&&";
    const auto result = proxyExchange(
        method + ' ' + target + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", plainResponse);
    CHECK(result.upstreamGot == method + ' ' + target + " HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(result.callerGot
        == "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nLaburnum-Outcome: answered\r\n"
           "Connection: close\r\n\r\nok");
}

TEST_CASE("repeated header fields keep their order and hop-by-hop fields are removed")
{
    const auto result = proxyExchange(
        "POST /s HTTP/1.1\r\nHost: h\r\nX-A: 1\r\nx-a:  2 \r\n"
        "Connection: close, X-Hop\r\nX-Hop: 1\r\nKeep-Alive: 5\r\nTE: trailers"
        "\r\nTrailer: X-T\r\nUpgrade: h2c\r\nContent-Encoding: gzip\r\n"
        "Range: bytes=0-1\r\nLaburnum-Outcome: not-run\r\n"
        "Laburnum-Else: 1\r\nX-A: 3\r\nContent-Length: 2\r\n\r\nab",
        "HTTP/1.1 206 Part\r\nSet-Cookie: a\r\nContent-Encoding: br\r\nSet-Cookie: b\r\n"
        "Connection: X-Up\r\nX-Up: 1\r\nContent-Range: bytes 0-1/9\r\nContent-Length: 2\r\n\r\nok",
        2);
    CHECK(result.upstreamGot
        == "POST /s HTTP/1.1\r\nHost: h\r\nX-A: 1\r\nx-a: 2\r\nContent-Encoding: gzip\r\n"
           "Range: bytes=0-1\r\nX-A: 3\r\nContent-Length: 2\r\n\r\nab");
    CHECK(result.callerGot
        == "HTTP/1.1 206 Part\r\nSet-Cookie: a\r\nContent-Encoding: br\r\nSet-Cookie: b\r\n"
           "Content-Range: bytes 0-1/9\r\nContent-Length: 2\r\nLaburnum-Outcome: answered\r\n"
           "Connection: close\r\n\r\nok");
}

TEST_CASE("Connection cannot remove the fields that define framing and routing")
{
    const auto result = proxyExchange("POST /s HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
                                      "Connection: close, Host, Content-Length\r\n\r\na",
        plainResponse, 1);
    CHECK(result.upstreamGot == "POST /s HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\na");
}

TEST_CASE("a target in absolute form is forwarded in origin form")
{
    const auto result = proxyExchange(
        "GET http://other:81/s?a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", plainResponse);
    CHECK(result.upstreamGot == "GET /s?a HTTP/1.1\r\nHost: other:81\r\n\r\n");
}

TEST_CASE("bodiless responses end with their head")
{
    const auto response = GENERATE(as<std::string>(), "HTTP/1.1 204 No Content\r\nX: 1\r\n",
        "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n");
    const auto result = proxyExchange(
        "GET /s HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", response + "\r\n");
    CHECK(result.callerGot == response + "Laburnum-Outcome: answered\r\nConnection: close\r\n\r\n");
}

TEST_CASE("a response to HEAD keeps its Content-Length and has no body")
{
    const auto result = proxyExchange("HEAD /s HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n");
    CHECK(result.callerGot
        == "HTTP/1.1 200 OK\r\nContent-Length: 99\r\nLaburnum-Outcome: answered\r\n"
           "Connection: close\r\n\r\n");
}

TEST_CASE("interim responses are forwarded, except 100 to a caller that did not expect it")
{
    const auto result = proxyExchange("GET /s HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
        std::string("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n")
            + plainResponse);
    CHECK(result.callerGot
        == "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
           "Laburnum-Outcome: answered\r\nConnection: close\r\n\r\nok");
}

TEST_CASE("chunked bodies are forwarded in both directions with their trailers")
{
    const std::string request = "POST /s HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
                                "Connection: close\r\n\r\n3;ext=1\r\nabc\r\n0\r\nX-T: 1\r\n"
                                "Content-Length: 7\r\n\r\n";
    const std::string passed = "3\r\nabc\r\n0\r\nX-T: 1\r\n\r\n";
    const auto result = proxyExchange(request,
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-U: 2\r\n\r\n",
        passed.size());
    CHECK(result.upstreamGot
        == "POST /s HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + passed);
    CHECK(result.callerGot
        == "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nLaburnum-Outcome: answered\r\n"
           "Connection: close\r\n\r\n2\r\nok\r\n0\r\nX-U: 2\r\n\r\n");
}

TEST_CASE("a response delimited by connection close is reframed for the caller")
{
    const std::string response = "HTTP/1.0 200 OK\r\n\r\nabc";
    const auto chunked
        = proxyExchange("GET /s HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", response);
    CHECK(chunked.callerGot
        == "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nLaburnum-Outcome: answered\r\n"
           "Connection: close\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
    const auto old = proxyExchange("GET /s HTTP/1.0\r\nHost: h\r\n\r\n", response);
    CHECK(old.callerGot
        == "HTTP/1.1 200 OK\r\nLaburnum-Outcome: answered\r\nConnection: close\r\n\r\nabc");
    CHECK_FALSE(old.reset);
}

TEST_CASE("a truncated response never looks complete")
{
    const auto chunked = proxyExchange("GET /s HTTP/1.1\r\nHost: h\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n");
    CHECK(chunked.callerGot.find("\r\n0\r\n") == std::string::npos);
    const auto sized = proxyExchange(
        "GET /s HTTP/1.1\r\nHost: h\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok");
    CHECK(sized.callerGot.find("Content-Length: 9\r\n") != std::string::npos);
    const auto old = proxyExchange("GET /s HTTP/1.0\r\nHost: h\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n");
    CHECK(old.reset);
}

TEST_CASE("an HTTP/1.0 caller may keep its connection alive")
{
    ScriptedUpstream upstream(respondAlways("ok"));
    EntryFixture fixture;
    fixture.addInstance(upstream.endpoint());
    Connection caller = fixture.connect();
    for (int i = 0; i < 2; ++i) {
        caller.send("GET /s HTTP/1.0\r\nConnection: keep-alive\r\n\r\n");
        CHECK(caller.readMessage()
            == "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nLaburnum-Outcome: answered\r\n"
               "Connection: keep-alive\r\n\r\nok");
    }
}

TEST_CASE("pipelined requests on one connection are answered in order")
{
    ScriptedUpstream upstream([](Connection& connection, int) {
        for (auto head = connection.readHead(); !head.empty(); head = connection.readHead()) {
            const std::string target = head.substr(4, head.find(' ', 4) - 4);
            connection.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(target.size())
                + "\r\n\r\n" + target);
        }
    });
    EntryFixture fixture;
    fixture.addInstance(upstream.endpoint());
    Connection caller = fixture.connect();
    caller.send("GET /s/1 HTTP/1.1\r\nHost: h\r\n\r\nGET /s/2 HTTP/1.1\r\nHost: h\r\n\r\n"
                "GET /s/3 HTTP/1.1\r\nHost: h\r\n\r\n");
    for (const std::string target : { "/s/1", "/s/2", "/s/3" })
        CHECK(caller.readMessage().ends_with("\r\n\r\n" + target));
}

TEST_CASE("the entry host sends 100 Continue to a caller that expects it")
{
    std::string head;
    std::string body;
    ScriptedUpstream upstream([&](Connection& connection, int) {
        head = connection.readHead();
        body = connection.readBytes(3);
        connection.send(plainResponse);
    });
    EntryFixture fixture;
    fixture.addInstance(upstream.endpoint());
    Connection caller = fixture.connect();
    caller.send("PUT /s HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n");
    CHECK(caller.readHead() == "HTTP/1.1 100 Continue\r\n\r\n");
    caller.send("abc");
    CHECK(caller.readMessage().starts_with("HTTP/1.1 200 OK\r\n"));
    CHECK(body == "abc");
    CHECK(head.find("Expect") == std::string::npos);
}

TEST_CASE("a response that starts before the end of the request body is forwarded")
{
    std::string rest;
    ScriptedUpstream upstream([&](Connection& connection, int) {
        connection.readHead();
        connection.readBytes(1);
        connection.send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab");
        rest = connection.readBytes(1);
        connection.send("cd");
    });
    EntryFixture fixture;
    fixture.addInstance(upstream.endpoint());
    Connection caller = fixture.connect();
    caller.send("PUT /s HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n1");
    CHECK(caller.readHead().find("Connection: close") != std::string::npos);
    CHECK(caller.readBytes(2) == "ab");
    caller.send("2");
    CHECK(caller.readBytes(2) == "cd");
    CHECK(rest == "2");
}

TEST_CASE("a large upload is forwarded completely under back pressure")
{
    constexpr std::size_t size = std::size_t { 32 } * 1024 * 1024;
    std::size_t received = 0;
    bool intact = true;
    ScriptedUpstream upstream([&](Connection& connection, int) {
        connection.readHead();
        while (received < size) {
            const std::string part = connection.readBytes(std::size_t { 1 } << 20);
            if (part.empty())
                break;
            intact = intact && part == std::string(part.size(), 'x');
            received += part.size();
        }
        connection.send(plainResponse);
    });
    EntryFixture fixture;
    fixture.addInstance(upstream.endpoint());
    Connection caller = fixture.connect();
    caller.send(
        "PUT /s HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n");
    caller.send(std::string(size, 'x'));
    CHECK(caller.readMessage().ends_with("ok"));
    CHECK(received == size);
    CHECK(intact);
}
