// Instances that end the connection within or after a response, while its request is being sent.

#include <catch2/catch.hpp>

#include <atomic>

#include "fleet_fixture_test.h"

using namespace laburnum;
using namespace laburnum::test;

namespace {

using namespace std::chrono_literals;

const std::string stampedHead = "HTTP/1.1 200 OK\r\nStamp: x\r\nId: 7\r\n";

/// The beginning of a response.
struct ResponseForm {
    std::string name;
    std::string text;
};

const std::vector<ResponseForm> responseForms {
    { "until the end of the connection", stampedHead + "\r\npart" },
    { "with a length", stampedHead + "Content-Length: 200000\r\n\r\npart" },
    { "chunked", stampedHead + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n" },
};

/// When an instance ends its connection.
enum class Moment {
    /// Together with the beginning of its response, as soon as it has the request's head.
    WithHead,
    /// Together with the beginning of its response, when the upload waits for the instance.
    WithResponse,
    /// After the caller has the beginning of the response, when the upload waits for the instance.
    AfterResponse,
};

/// How an instance ends its connection.
using Ending = std::function<void(Connection&)>;

void reset(Connection& connection) { connection.reset(); }

/// Sends a FIN and keeps the connection.
void finish(Connection& connection)
{
    connection.closeSending();
    connection.waitForClose();
}

/// Sends a FIN, and a reset for whatever is or will be unread.
void finishAndClose(Connection& connection)
{
    connection.closeSending();
    connection.close();
}

/// An instance that responds to an upload that it does not read.
class EndingUpstream {
public:
    EndingUpstream(std::string response, Moment moment, Ending ending)
        : m_response(std::move(response))
        , m_moment(moment)
        , m_ending(std::move(ending))
        , m_scripted([this](Connection& connection, int) { run(connection); })
    {
    }

    Endpoint endpoint() const { return m_scripted.endpoint(); }
    int runs() const { return m_runs; }

    /// Sends `head` and as much of a body as is accepted. Returns all that the caller gets.
    std::string upload(Connection& caller, const std::string& head)
    {
        caller.send(head);
        std::string got;
        if (m_moment == Moment::AfterResponse)
            got = caller.readUntil("part");
        if (m_moment != Moment::WithHead)
            caller.sendUntilBlocked('u');
        m_uploadWaits.set();
        return got + caller.readAll();
    }

private:
    void run(Connection& connection)
    {
        connection.readHead();
        ++m_runs;
        if (m_moment == Moment::AfterResponse)
            connection.send(m_response);
        if (m_moment != Moment::WithHead)
            m_uploadWaits.wait();
        if (m_moment != Moment::AfterResponse)
            connection.send(m_response);
        m_ending(connection);
    }

    std::string m_response;
    Moment m_moment;
    Ending m_ending;
    std::atomic<int> m_runs { 0 };
    Signal m_uploadWaits;
    ScriptedUpstream m_scripted;
};

std::string uploadHead(const std::string& framing, const std::string& version = "1.1")
{
    return "POST /s HTTP/" + version + "\r\nHost: h\r\nId: 7\r\n" + framing + "\r\n";
}

const std::string uploadLength = "Content-Length: 100000000\r\n";

/// Heads of requests with more body than is sent: with a length, in one chunk, and from a caller to
/// whom a response without length ends with its connection.
const std::vector<std::string> uploadHeads { uploadHead(uploadLength),
    uploadHead("Transfer-Encoding: chunked\r\n\r\n5f5e100"), uploadHead(uploadLength, "1.0") };

EntryOptions smallBuffers(EntryOptions options)
{
    options.receiveBufferBytes = 16 * 1024;
    options.sendBufferBytes = 16 * 1024;
    options.lingerTimeout = 50ms;
    return options;
}

/// Whether a caller takes `got` for a complete response.
bool looksComplete(const std::string& got, const Connection& caller)
{
    if (!got.starts_with("HTTP/1.1 200 "))
        return false;
    if (got.find("chunked") != std::string::npos)
        return got.ends_with("0\r\n\r\n");
    if (got.find("Content-Length: ") != std::string::npos)
        return got.size() > 200'000;
    return !caller.wasReset();
}

/// Passes on a response under an upload and returns whether its caller takes it for complete.
bool completesInFleet(OrderedPlacementProvider& provider, EndingUpstream& upstream,
    const std::string& head, std::string& got)
{
    provider.instances = { upstream.endpoint(), upstream.endpoint() };
    OrderedFleetFixture fixture(provider, smallBuffers(fleetOptions()));
    Connection caller = fixture.connect();
    got = upstream.upload(caller, head);
    provider.reports.wait(1);
    return looksComplete(got, caller);
}

bool completesListed(EndingUpstream& upstream, const std::string& head, std::string& got)
{
    EntryFixture fixture(smallBuffers({}));
    fixture.addInstance(upstream.endpoint());
    Connection caller = fixture.connect();
    got = upstream.upload(caller, head);
    return looksComplete(got, caller);
}

} // namespace

// Guards against a part of a response that is passed on as a whole one because a failed write of
// the upload has taken the error of the socket, so that the reader sees an end of the connection.
TEST_CASE("a response that is reset while its request is being sent is never complete")
{
    const auto form = GENERATE(from_range(responseForms));
    const auto moment = GENERATE(Moment::WithHead, Moment::WithResponse, Moment::AfterResponse);
    const auto head = GENERATE(from_range(uploadHeads));
    EndingUpstream upstream(form.text, moment, reset);
    std::string got;
    CAPTURE(form.name, static_cast<int>(moment), head);
    SECTION("fleet")
    {
        OrderedPlacementProvider provider;
        provider.route.kind = GENERATE(RequestKind::Unsafe, RequestKind::Safe);
        CHECK_FALSE(completesInFleet(provider, upstream, head, got));
        CHECK(provider.reports.wait(1).at(0) == "failure");
        CHECK(provider.decisions.waitFor({ R"("cause":"connection-lost")", R"("by":"instance")",
            R"(: Connection reset by peer")" }));
        if (provider.route.kind == RequestKind::Unsafe)
            CHECK(upstream.runs() == 1);
    }
    SECTION("listed instances")
    {
        CHECK_FALSE(completesListed(upstream, head, got));
        CHECK(upstream.runs() == 1);
    }
}

TEST_CASE("a response without length that ends by a FIN while its request is being sent is whole")
{
    const auto moment = GENERATE(Moment::WithHead, Moment::WithResponse, Moment::AfterResponse);
    const auto ending = GENERATE(as<Ending>(), finish, finishAndClose);
    const auto head = GENERATE(from_range(uploadHeads));
    EndingUpstream upstream(responseForms.front().text, moment, ending);
    std::string got;
    CAPTURE(static_cast<int>(moment), head);
    SECTION("fleet")
    {
        OrderedPlacementProvider provider;
        provider.route.kind = GENERATE(RequestKind::Unsafe, RequestKind::Safe);
        CHECK(completesInFleet(provider, upstream, head, got));
        CHECK(got.find("part") != std::string::npos);
        CHECK(provider.reports.wait(1).at(0) == "success");
        CHECK(upstream.runs() == 1);
    }
    SECTION("listed instances")
    {
        CHECK(completesListed(upstream, head, got));
        CHECK(got.find("part") != std::string::npos);
        CHECK(upstream.runs() == 1);
    }
}

// Guards against an idle connection whose error a check takes, so that its next request finds an
// end of the connection.
TEST_CASE("a request that must not run twice is not sent on an idle connection that was reset")
{
    Signal answered;
    Signal ended;
    std::atomic<int> runs { 0 };
    const Ending ending = GENERATE(as<Ending>(), reset, finishAndClose);
    ScriptedUpstream upstream([&](Connection& connection, int index) {
        connection.readHead();
        ++runs;
        connection.send(stampedHead + "Content-Length: 2\r\n\r\nok");
        if (index > 0)
            return;
        answered.wait();
        ending(connection);
        ended.set();
    });
    OrderedPlacementProvider provider;
    provider.route.kind = RequestKind::Unsafe;
    provider.instances = { upstream.endpoint(), upstream.endpoint() };
    EntryOptions options = fleetOptions();
    options.unsafeReuseTimeout = 5s;
    OrderedFleetFixture fixture(provider, options);
    const std::string request = uploadHead("Content-Length: 0\r\n");
    CHECK(fixture.exchange(request).ends_with("\r\n\r\nok"));
    answered.set();
    REQUIRE(ended.wait());
    CHECK(fixture.exchange(request).ends_with("\r\n\r\nok"));
    CHECK(runs == 2);
    CHECK(upstream.accepted() == 2);
}

// A request that fits into one write: its write fails or the following read does.
TEST_CASE("a response without length that is reset under a request without upload is never whole")
{
    const bool reused = GENERATE(false, true);
    ScriptedUpstream upstream([&](Connection& connection, int) {
        if (reused) {
            connection.readHead();
            connection.send(stampedHead + "Content-Length: 2\r\n\r\nok");
        }
        connection.readHead();
        connection.send(responseForms.front().text);
        connection.reset();
    });
    OrderedPlacementProvider provider;
    provider.route.kind = RequestKind::Unsafe;
    provider.instances = { upstream.endpoint(), upstream.endpoint() };
    EntryOptions options = fleetOptions();
    options.unsafeReuseTimeout = 5s;
    OrderedFleetFixture fixture(provider, options);
    const std::string framing = "Content-Length: 0\r\n";
    if (reused)
        CHECK(fixture.exchange(uploadHead(framing)).ends_with("\r\n\r\nok"));
    Connection caller = fixture.connect();
    caller.send(uploadHead("Connection: close\r\n" + framing));
    CHECK_FALSE(looksComplete(caller.readAll(), caller));
    CHECK(provider.reports.wait(reused ? 2 : 1).back() == "failure");
}
