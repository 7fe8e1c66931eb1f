// Callers that disconnect: their requests are not sent to an instance any more, and connections to
// instances that work on them are closed.

#include <catch2/catch.hpp>

#include <atomic>

#include "fleet_fixture_test.h"

using namespace laburnum;
using namespace laburnum::test;

namespace {

using namespace std::chrono_literals;

using asio::ip::tcp;
using Steady = std::chrono::steady_clock;

/// Listener whose accept backlog is full, so that connection attempts stay pending.
class SaturatedListener {
public:
    SaturatedListener()
        : m_acceptor(m_context)
    {
        m_acceptor.open(tcp::v4());
        m_acceptor.bind({ asio::ip::address_v4::loopback(), 0 });
        m_acceptor.listen(0);
        for (int i = 0; i < queued; ++i) {
            m_waiting.emplace_back(m_context, tcp::v4());
            m_waiting.back().native_non_blocking(true);
            const auto at = m_acceptor.local_endpoint();
            // Asio's connect() would block until the connection is established.
            static_cast<void>(::connect(m_waiting.back().native_handle(), at.data(), at.size()));
        }
    }
    Endpoint endpoint() const { return { "127.0.0.1", m_acceptor.local_endpoint().port() }; }

private:
    /// More connections than a backlog of 0 admits.
    static constexpr int queued = 4;

    asio::io_context m_context;
    tcp::acceptor m_acceptor;
    std::vector<tcp::socket> m_waiting;
};

/// Reads requests and never responds. Signals the arrival of a request and the end of its
/// connection.
struct SilentUpstream {
    Endpoint endpoint() const { return scripted.endpoint(); }

    std::atomic<int> requests { 0 };
    Signal arrived;
    Signal closed;
    ScriptedUpstream scripted { [this](Connection& connection, int) {
        if (connection.readHead().empty())
            return;
        ++requests;
        arrived.set();
        if (connection.peerCloses())
            closed.set();
    } };
};

const std::string request = "GET /s HTTP/1.1\r\nHost: h\r\nId: 7\r\n\r\n";

Duration since(Steady::time_point start) { return Steady::now() - start; }

} // namespace

TEST_CASE("fleet: a request whose caller disconnects while connecting upstream is not sent")
{
    const bool closes = GENERATE(true, false);
    const bool early = GENERATE(true, false);
    const SaturatedListener saturated;
    SilentUpstream next;
    OrderedPlacementProvider provider;
    provider.instances = { saturated.endpoint(), saturated.endpoint(), next.endpoint() };
    EntryOptions options = fleetOptions();
    options.connectTimeout = 700ms;
    OrderedFleetFixture fixture(provider, options);
    Connection caller = fixture.connect();
    caller.send(request);
    REQUIRE(provider.dispatches.wait(1).size() == 1);
    const auto disconnectTime = Steady::now();
    if (early)
        caller.send("G");
    if (closes)
        caller.close();
    else
        caller.closeSending();
    CAPTURE(closes, early);
    CHECK(provider.reports.wait(1).at(0) == "unused");
    CHECK(since(disconnectTime) < 500ms);
    CHECK(provider.requestEnds.wait(1).at(0) == "caller-gone not-run");
    CHECK(provider.dispatches.wait(1).size() == 1);
    CHECK(next.requests == 0);
}

TEST_CASE("listed instances: a pending connect is aborted on a caller disconnect")
{
    const SaturatedListener saturated;
    EntryOptions options;
    options.connectTimeout = 5s;
    EntryFixture fixture(options);
    fixture.addInstance(saturated.endpoint());
    Connection caller = fixture.connect();
    caller.send(request);
    while (fixture.server().inFlight() == 0)
        std::this_thread::yield();
    const auto disconnectTime = Steady::now();
    caller.close();
    while (fixture.server().inFlight() > 0 && since(disconnectTime) < 5s)
        std::this_thread::yield();
    CHECK(since(disconnectTime) < 1s);
}

TEST_CASE("fleet: a disconnect is detected after an early byte of the next request")
{
    const bool placed = GENERATE(true, false);
    SilentUpstream upstream;
    OrderedPlacementProvider provider;
    provider.unanswered = !placed;
    provider.instances = { upstream.endpoint() };
    OrderedFleetFixture fixture(provider);
    Connection caller = fixture.connect();
    caller.send(request);
    REQUIRE(provider.dispatches.wait(1).size() == 1);
    if (placed)
        REQUIRE(upstream.arrived.wait());
    caller.send("G");
    // Gives the entry host time to see the byte before the close.
    std::this_thread::sleep_for(50ms);
    const auto disconnectTime = Steady::now();
    caller.close();
    CAPTURE(placed);
    CHECK(provider.reports.wait(1).at(0) == (placed ? "unused" : "cancelled"));
    CHECK(since(disconnectTime) < 1s);
    if (placed)
        CHECK(upstream.closed.wait());
}

TEST_CASE("fleet: a caller reset ends an upload that the instance does not read")
{
    Signal arrived;
    Signal release;
    ScriptedUpstream upstream([&](Connection& connection, int) {
        connection.readHead();
        arrived.set();
        release.wait();
    });
    OrderedPlacementProvider provider;
    provider.instances = { upstream.endpoint() };
    OrderedFleetFixture fixture(provider);
    Connection caller = fixture.connect();
    caller.send("PUT /s HTTP/1.1\r\nHost: h\r\nId: 7\r\nContent-Length: 99999999999\r\n\r\n");
    REQUIRE(arrived.wait());
    std::thread sending([&] {
        while (caller.trySend(std::string(100000, 'x'))) { }
    });
    // The upload stalls once the socket buffers are full.
    std::this_thread::sleep_for(200ms);
    const auto disconnectTime = Steady::now();
    caller.interrupt();
    sending.join();
    caller.reset();
    CHECK(provider.reports.wait(1).at(0) == "unused");
    CHECK(since(disconnectTime) < 1s);
    release.set();
}

namespace {

/// Stores the callback so that the test decides when to call it.
class DelayedClaimClient final : public ClaimClient {
public:
    void begin(const ClaimSpec&, Callback callback) override
    {
        pendingCallback = std::move(callback);
        requested.set();
    }
    void finish(const ClaimId&, ClaimOutcome end, const StoredResponse*) override
    {
        finishedEnd = end;
        finished.set();
    }

    Callback pendingCallback;
    Signal requested;
    Signal finished;
    ClaimOutcome finishedEnd = ClaimOutcome::Unknown;
};

} // namespace

TEST_CASE("a claim that is granted after the caller has disconnected is finished as not run")
{
    SilentUpstream upstream;
    DelayedClaimClient claims;
    EntryFixture fixture({}, &claims);
    fixture.addInstance(upstream.endpoint());
    Connection caller = fixture.connect();
    caller.send("POST /s HTTP/1.1\r\nHost: h\r\nIdempotency-Key: k\r\nContent-Length: 0\r\n\r\n");
    REQUIRE(claims.requested.wait());
    caller.close();
    ClaimDecision decision;
    decision.verdict = ClaimVerdict::Run;
    decision.claim = ClaimId("c1");
    claims.pendingCallback(decision);
    REQUIRE(claims.finished.wait());
    CHECK(claims.finishedEnd == ClaimOutcome::NotRun);
    CHECK(upstream.requests == 0);
}
