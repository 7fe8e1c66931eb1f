// Instances whose responses have an invalid status or field name.

#include <catch2/catch.hpp>

#include <atomic>

#include "fleet_fixture_test.h"

using namespace laburnum;
using namespace laburnum::test;

namespace {

using namespace std::chrono_literals;

const std::string sound = "HTTP/1.1 200 OK\r\nStamp: x\r\nId: 7\r\nContent-Length: 5\r\n\r\nsound";

std::string request(const std::string& method, const std::string& id = "7")
{
    return method + " /s HTTP/1.1\r\nHost: h\r\nConnection: close\r\nId: " + id
        + "\r\nContent-Length: 0\r\n\r\n";
}

/// Sends `text` in segments of `segmentBytes` bytes, or in one with 0.
void sendSegmented(Connection& connection, const std::string& text, std::size_t segmentBytes)
{
    if (segmentBytes == 0)
        return connection.send(text);
    connection.setNoDelay();
    for (std::size_t at = 0; at < text.size(); at += segmentBytes)
        connection.send(std::string_view(text).substr(at, segmentBytes));
}

/// An instance that sends `response` for a request and closes its connection. With `reused`, it
/// answers the first request of each connection first, whose id is 6.
class FaultyUpstream {
public:
    explicit FaultyUpstream(std::string response, std::size_t segmentBytes = 0, bool reused = false)
        : m_response(std::move(response))
        , m_segmentBytes(segmentBytes)
        , m_reused(reused)
        , m_scripted([this](Connection& connection, int) { run(connection); })
    {
    }

    Endpoint endpoint() const { return m_scripted.endpoint(); }
    /// Number of requests received that got `response`.
    int runs() const { return m_runs; }

private:
    void run(Connection& connection)
    {
        if (m_reused) {
            connection.readHead();
            connection.send("HTTP/1.1 200 OK\r\nStamp: x\r\nId: 6\r\nContent-Length: 2\r\n\r\nok");
        }
        if (connection.readHead().empty())
            return;
        ++m_runs;
        sendSegmented(connection, m_response, m_segmentBytes);
        connection.closeSending();
        connection.readAll();
    }

    std::string m_response;
    std::size_t m_segmentBytes;
    bool m_reused;
    std::atomic<int> m_runs { 0 };
    ScriptedUpstream m_scripted;
};

/// Connections are reused for requests that must not run twice.
EntryOptions reusingOptions()
{
    EntryOptions options = fleetOptions();
    options.unsafeReuseTimeout = 5s;
    return options;
}

/// All that a caller of a listed fleet gets for `text`.
std::string exchangeListed(const FaultyUpstream& upstream, const std::string& text)
{
    EntryFixture fixture;
    fixture.addInstance(upstream.endpoint());
    Connection caller = fixture.connect();
    caller.send(text);
    return caller.readAll();
}

/// All that a caller of a fleet gets for a request at an instance that may run once.
std::string exchangeOnce(OrderedPlacementProvider& provider, const FaultyUpstream& upstream,
    const std::string& method = "POST", bool reused = false)
{
    provider.route.kind = RequestKind::Unsafe;
    provider.instances = { upstream.endpoint(), upstream.endpoint() };
    OrderedFleetFixture fixture(provider, reusingOptions());
    if (reused)
        CHECK(fixture.exchange(request("POST", "6")).ends_with("\r\n\r\nok"));
    Connection caller = fixture.connect();
    caller.send(request(method));
    return caller.readAll();
}

std::string response(const std::string& status)
{
    return "HTTP/1.1 " + status + " X\r\nStamp: x\r\nId: 7\r\nContent-Length: 5\r\n\r\nwrong";
}

const std::vector<std::string> invalidStatuses { "000", "001", "099", "20", "0200", "1000", "600",
    "999", "-200", "+200", "2e2", "20x" };

/// Field names that are no tokens (RFC 9110, section 5.6.2).
const std::vector<std::string> invalidNames { "X Bad", "X\tBad", "Bad ", "Bad\t", "X\001Bad",
    "X\177Bad", std::string("X\0Bad", 5), "", "X\xe9" };

/// A response with the field `name`, by its place and its framing.
struct FieldPlace {
    std::string description;
    std::string before;
    std::string after;
};

const std::string stampedHead = "HTTP/1.1 200 OK\r\nStamp: x\r\nId: 7\r\n";
const std::string interimHead = "HTTP/1.1 103 Early Hints\r\n";

const std::vector<FieldPlace> fieldPlaces {
    { "head, with a length", stampedHead, ": 1\r\nContent-Length: 5\r\n\r\nwrong" },
    { "head, after the length", stampedHead + "Content-Length: 5\r\n", ": 1\r\n\r\nwrong" },
    { "head, chunked", stampedHead,
        ": 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwrong\r\n0\r\n\r\n" },
    { "head, until the end of the connection", stampedHead, ": 1\r\n\r\nwrong" },
    { "head without a body", "HTTP/1.1 204 X\r\nStamp: x\r\nId: 7\r\n", ": 1\r\n\r\n" },
    { "head of a response that is not modified", "HTTP/1.1 304 X\r\nStamp: x\r\nId: 7\r\n",
        ": 1\r\n\r\n" },
    { "head of an error", "HTTP/1.1 500 X\r\nStamp: x\r\nId: 7\r\n",
        ": 1\r\nContent-Length: 5\r\n\r\nwrong" },
    { "interim head", interimHead, ": 1\r\n\r\n" + sound },
    { "second interim head", interimHead + "\r\n" + interimHead, ": 1\r\n\r\n" + sound },
    { "head of 100 Continue", "HTTP/1.1 100 Continue\r\n", ": 1\r\n\r\n" + sound },
    { "trailers", stampedHead + "Transfer-Encoding: chunked\r\n\r\n5\r\nwrong\r\n0\r\n",
        ": 1\r\n\r\n" },
    { "second trailer",
        stampedHead + "Transfer-Encoding: chunked\r\n\r\n5\r\nwrong\r\n0\r\nX-A: 1\r\n",
        ": 1\r\n\r\n" },
};

/// Whether `got` is a final response that a caller takes for complete and for the instance's. A
/// response whose trailers are invalid may have begun, and is then cut within its body.
bool looksComplete(const std::string& got)
{
    const auto begin = got.find("HTTP/1.1 200 ");
    return begin != std::string::npos
        && (got.find("chunked", begin) == std::string::npos || got.ends_with("0\r\n\r\n"));
}

} // namespace

// Guards against a final status that a caller's library cannot read, or reads as another one.
TEST_CASE("a response whose status is not of three digits from 100 to 599 is never passed on")
{
    const auto status = GENERATE(from_range(invalidStatuses));
    const auto segmentBytes = GENERATE(std::size_t { 0 }, std::size_t { 1 });
    // The invalid status is that of the final response, or of an interim one before a sound one.
    const bool isInterim = GENERATE(false, true);
    const std::string text
        = isInterim ? "HTTP/1.1 " + status + " X\r\n\r\n" + sound : response(status);
    CAPTURE(status, segmentBytes, isInterim);
    SECTION("fleet, a request that may run once")
    {
        const bool reused = GENERATE(false, true);
        FaultyUpstream upstream(text, segmentBytes, reused);
        OrderedPlacementProvider provider;
        CHECK(exchangeOnce(provider, upstream, "POST", reused).starts_with("HTTP/1.1 502 "));
        CHECK(upstream.runs() == 1);
        CHECK(provider.reports.wait(reused ? 2 : 1).back() == "failure");
        CHECK(provider.requestEnds.wait(reused ? 2 : 1).back() == "bad-answer unknown");
        CHECK(provider.decisions.waitFor({ R"("attempt")", R"("cause":"not-http")",
            R"("by":"instance")", R"("error":"malformed HTTP: invalid status code")" }));
    }
    SECTION("fleet, a request that may be retried")
    {
        FaultyUpstream upstream(text, segmentBytes);
        FaultyUpstream good(sound);
        OrderedPlacementProvider provider;
        provider.instances = { upstream.endpoint(), good.endpoint() };
        OrderedFleetFixture fixture(provider);
        const std::string got = fixture.exchange(request("GET"));
        CHECK(got.starts_with("HTTP/1.1 200 "));
        CHECK(got.ends_with("\r\n\r\nsound"));
        CHECK(upstream.runs() == 1);
        CHECK(good.runs() == 1);
        CHECK(provider.reports.wait(2) == std::vector<std::string> { "failure", "success" });
    }
    SECTION("listed instances")
    {
        FaultyUpstream upstream(text, segmentBytes);
        CHECK(exchangeListed(upstream, request("POST")).starts_with("HTTP/1.1 502 "));
        CHECK(upstream.runs() == 1);
    }
}

TEST_CASE("fleet: a response to another request with an invalid status ends the attempt")
{
    const auto status = GENERATE(from_range(invalidStatuses));
    FaultyUpstream upstream(
        "HTTP/1.1 " + status + " X\r\nId: 6\r\nContent-Length: 0\r\n\r\n" + sound, 0, true);
    OrderedPlacementProvider provider;
    CAPTURE(status);
    CHECK(exchangeOnce(provider, upstream, "POST", true).starts_with("HTTP/1.1 502 "));
    CHECK(upstream.runs() == 1);
}

TEST_CASE("each final status from 200 to 599 is passed on")
{
    const auto status = GENERATE(as<std::string>(), "200", "299", "399", "400", "499", "599");
    const auto segmentBytes = GENERATE(std::size_t { 0 }, std::size_t { 1 });
    FaultyUpstream upstream(response(status), segmentBytes);
    CAPTURE(status, segmentBytes);
    SECTION("fleet")
    {
        OrderedPlacementProvider provider;
        const std::string got = exchangeOnce(provider, upstream);
        CHECK(got.starts_with("HTTP/1.1 " + status + " X\r\n"));
        CHECK(got.ends_with("\r\n\r\nwrong"));
    }
    SECTION("listed instances")
    {
        const std::string got = exchangeListed(upstream, request("POST"));
        CHECK(got.starts_with("HTTP/1.1 " + status + " X\r\n"));
        CHECK(got.ends_with("\r\n\r\nwrong"));
    }
}

TEST_CASE("each status from 102 to 199 is an interim response and is passed on as one")
{
    const auto status = GENERATE(as<std::string>(), "102", "103", "199");
    const auto segmentBytes = GENERATE(std::size_t { 0 }, std::size_t { 1 });
    const std::string interim = "HTTP/1.1 " + status + " X\r\n\r\n";
    FaultyUpstream upstream(interim + sound, segmentBytes);
    CAPTURE(status, segmentBytes);
    SECTION("fleet")
    {
        OrderedPlacementProvider provider;
        const std::string got = exchangeOnce(provider, upstream);
        CHECK(got.starts_with(interim + "HTTP/1.1 200 "));
        CHECK(got.ends_with("\r\n\r\nsound"));
    }
    SECTION("listed instances")
    {
        const std::string got = exchangeListed(upstream, request("POST"));
        CHECK(got.starts_with(interim + "HTTP/1.1 200 "));
        CHECK(got.ends_with("\r\n\r\nsound"));
    }
}

TEST_CASE("100 Continue is not passed on, and 101 ends the attempt")
{
    const bool switches = GENERATE(false, true);
    FaultyUpstream upstream(
        (switches ? "HTTP/1.1 101 X\r\n\r\n" : "HTTP/1.1 100 Continue\r\n\r\n") + sound);
    OrderedPlacementProvider provider;
    const std::string got = exchangeOnce(provider, upstream);
    CHECK(got.starts_with(switches ? "HTTP/1.1 502 " : "HTTP/1.1 200 "));
}

// Guards against a line that other parsers read as another field, or as a different framing.
TEST_CASE("a response with a field name that is no token is never passed on")
{
    const auto name = GENERATE(from_range(invalidNames));
    const auto place = GENERATE(from_range(fieldPlaces));
    const auto segmentBytes = GENERATE(std::size_t { 0 }, std::size_t { 1 });
    const std::string text = place.before + name + place.after;
    CAPTURE(place.description, text, segmentBytes);
    const bool mayBegin = place.description.ends_with("trailer") || place.description == "trailers";
    const auto expectFailure = [&](const std::string& got) {
        CHECK_FALSE(looksComplete(got));
        CHECK((mayBegin || got.find("HTTP/1.1 502 ") != std::string::npos));
        if (!name.empty())
            CHECK(got.find(name + ": 1") == std::string::npos);
    };
    SECTION("fleet, a request that may run once")
    {
        const auto [method, reused] = GENERATE(
            table<std::string, bool>({ { "POST", false }, { "POST", true }, { "GET", false } }));
        FaultyUpstream upstream(text, segmentBytes, reused);
        OrderedPlacementProvider provider;
        expectFailure(exchangeOnce(provider, upstream, method, reused));
        CHECK(upstream.runs() == 1);
        CHECK(provider.reports.wait(reused ? 2 : 1).back() == "failure");
    }
    SECTION("listed instances")
    {
        FaultyUpstream upstream(text, segmentBytes);
        expectFailure(exchangeListed(upstream, request("POST")));
        CHECK(upstream.runs() == 1);
    }
}

TEST_CASE("a response to HEAD with a field name that is no token is never passed on")
{
    const auto name = GENERATE(from_range(invalidNames));
    const auto framing = GENERATE(
        as<std::string>(), "Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n", "");
    const auto segmentBytes = GENERATE(std::size_t { 0 }, std::size_t { 1 });
    FaultyUpstream upstream(stampedHead + framing + name + ": 1\r\n\r\n", segmentBytes);
    CAPTURE(name, framing, segmentBytes);
    OrderedPlacementProvider provider;
    CHECK(exchangeOnce(provider, upstream, "HEAD").starts_with("HTTP/1.1 502 "));
    CHECK(exchangeListed(upstream, request("HEAD")).starts_with("HTTP/1.1 502 "));
}

TEST_CASE(
    "fleet: a response to another request with a field name that is no token ends the attempt")
{
    const auto name = GENERATE(from_range(invalidNames));
    const auto late = GENERATE(as<std::string>(), "HTTP/1.1 200 OK\r\nStamp: x\r\nId: 6\r\n",
        "HTTP/1.1 200 OK\r\nStamp: x\r\n");
    const auto rest = GENERATE(as<std::string>(), ": 1\r\nContent-Length: 2\r\n\r\nok",
        ": 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n");
    const auto segmentBytes = GENERATE(std::size_t { 0 }, std::size_t { 1 });
    FaultyUpstream upstream(late + name + rest + sound, segmentBytes, true);
    CAPTURE(name, late, segmentBytes);
    OrderedPlacementProvider provider;
    CHECK(exchangeOnce(provider, upstream, "POST", true).starts_with("HTTP/1.1 502 "));
    CHECK(upstream.runs() == 1);
    CHECK(provider.reports.wait(2).back() == "failure");
}

TEST_CASE("fleet: trailers of a response to another request with an invalid name end the attempt")
{
    const auto name = GENERATE(from_range(invalidNames));
    FaultyUpstream upstream("HTTP/1.1 200 OK\r\nId: 6\r\nTransfer-Encoding: chunked\r\n\r\n"
                            "2\r\nok\r\n0\r\n"
            + name + ": 1\r\n\r\n" + sound,
        0, true);
    CAPTURE(name);
    OrderedPlacementProvider provider;
    CHECK(exchangeOnce(provider, upstream, "POST", true).starts_with("HTTP/1.1 502 "));
    CHECK(upstream.runs() == 1);
}

TEST_CASE("a safe request whose response has an invalid field name is retried")
{
    const auto name = GENERATE(from_range(invalidNames));
    FaultyUpstream upstream(stampedHead + name + ": 1\r\nContent-Length: 5\r\n\r\nwrong");
    FaultyUpstream good(sound);
    OrderedPlacementProvider provider;
    provider.instances = { upstream.endpoint(), good.endpoint() };
    OrderedFleetFixture fixture(provider);
    CAPTURE(name);
    CHECK(fixture.exchange(request("GET")).ends_with("\r\n\r\nsound"));
    CHECK(upstream.runs() == 1);
    CHECK(good.runs() == 1);
    CHECK(provider.reports.wait(2) == std::vector<std::string> { "failure", "success" });
}

// Guards against a broken response that ends another attempt, or that is taken as its response.
TEST_CASE("fleet: an invalid response of a hedged attempt leaves the other one at work")
{
    const bool isFirst = GENERATE(false, true);
    const auto invalid = GENERATE(as<std::string>(), response("000"), response("099"),
        response("600"), "HTTP/1.1 000 X\r\n\r\n" + sound,
        stampedHead + "X Bad: 1\r\nContent-Length: 5\r\n\r\nwrong",
        interimHead + "X\001Bad: 1\r\n\r\n" + sound);
    Signal hedged;
    Signal ended;
    ScriptedUpstream upstream([&](Connection& connection, int index) {
        connection.readHead();
        if (index == 1)
            hedged.set();
        hedged.wait();
        if ((index == 0) == isFirst) {
            connection.send(invalid);
            connection.waitForClose();
            return ended.set();
        }
        ended.wait();
        connection.send(sound);
        connection.readAll();
    });
    OrderedPlacementProvider provider;
    provider.route.objective = 300ms;
    provider.instances = { upstream.endpoint(), upstream.endpoint() };
    OrderedFleetFixture fixture(provider);
    CAPTURE(isFirst, invalid);
    const std::string got = fixture.exchange(request("GET"));
    CHECK(got.starts_with("HTTP/1.1 200 "));
    CHECK(got.ends_with("\r\n\r\nsound"));
    CHECK(provider.reports.wait(2) == std::vector<std::string> { "failure", "success" });
}

TEST_CASE("every character of a token is passed on in a field name")
{
    const std::string name = "aZ09!#$%&'*+-.^_`|~";
    const auto segmentBytes = GENERATE(std::size_t { 0 }, std::size_t { 1 });
    FaultyUpstream upstream(
        stampedHead + name + ": 1\r\nContent-Length: 5\r\n\r\nright", segmentBytes);
    OrderedPlacementProvider provider;
    const std::string got = exchangeOnce(provider, upstream);
    CHECK(got.find("\r\n" + name + ": 1\r\n") != std::string::npos);
    CHECK(got.ends_with("\r\n\r\nright"));
}

TEST_CASE("the log says what was wrong with a response")
{
    const auto [text, cause, error] = GENERATE(table<std::string, std::string, std::string>({
        { response("000"), "not-http", "malformed HTTP: invalid status code" },
        { response("600"), "not-http", "malformed HTTP: invalid status code" },
        { stampedHead + "X Bad: 1\r\nContent-Length: 5\r\n\r\nwrong", "not-http",
            "malformed HTTP: header field name is not a token" },
        { stampedHead + "X\001Bad: 1\r\n\r\nwrong", "not-http",
            "malformed HTTP: forbidden byte in the head" },
        { stampedHead + "Transfer-Encoding: chunked\r\n\r\n5\r\nwrong\r\n0\r\nX Bad: 1\r\n\r\n",
            "not-http", "malformed HTTP: malformed trailer field" },
        { "", "connection-lost", "read: End of file" },
        { stampedHead + "Content-Length: 200000\r\n\r\nwrong", "connection-lost",
            "connection closed before the end of the HTTP message" },
    }));
    const std::vector<std::string> parts { R"("kind":"attempt")", R"("may_have_run":true)",
        R"("by":"instance")", R"("cause":")" + cause + '"', R"("error":")" + error + '"' };
    FaultyUpstream upstream(text);
    CAPTURE(text);
    SECTION("fleet")
    {
        OrderedPlacementProvider provider;
        exchangeOnce(provider, upstream);
        CHECK(provider.decisions.waitFor(parts));
    }
    SECTION("listed instances")
    {
        EntryFixture fixture;
        fixture.addInstance(upstream.endpoint());
        fixture.exchange(request("POST"));
        CHECK(fixture.decisions().waitFor(parts));
    }
}

TEST_CASE("listed instances: a response that is passed on is no line of its own")
{
    FaultyUpstream upstream(sound);
    EntryFixture fixture;
    fixture.addInstance(upstream.endpoint());
    CHECK(fixture.exchange(request("POST")).ends_with("\r\n\r\nsound"));
    for (const std::string& line : fixture.decisions().wait(1))
        CHECK(line.find(R"("kind":"attempt")") == std::string::npos);
}
