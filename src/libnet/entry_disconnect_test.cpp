// Callers that leave: no request reaches an instance for them, no instance goes on working.

#include <catch2/catch.hpp>

#include <atomic>

#include "fleet_fixture_test.h"

using namespace laburnum;
using namespace laburnum::test;

namespace {

using namespace std::chrono_literals;

using asio::ip::tcp;
using Steady = std::chrono::steady_clock;

/// Listens, and lets connections wait without end: the system's queue for it is full.
class FullListener {
public:
    FullListener()
        : m_acceptor(m_context)
    {
        m_acceptor.open(tcp::v4());
        m_acceptor.bind({ asio::ip::address_v4::loopback(), 0 });
        m_acceptor.listen(0);
        for (int i = 0; i < queued; ++i) {
            m_waiting.emplace_back(m_context, tcp::v4());
            m_waiting.back().native_non_blocking(true);
            const auto at = m_acceptor.local_endpoint();
            // The library's own connect waits.
            static_cast<void>(::connect(m_waiting.back().native_handle(), at.data(), at.size()));
        }
    }
    Endpoint endpoint() const { return { "127.0.0.1", m_acceptor.local_endpoint().port() }; }

private:
    /// More than a backlog of 0 holds.
    static constexpr int queued = 4;

    asio::io_context m_context;
    tcp::acceptor m_acceptor;
    std::vector<tcp::socket> m_waiting;
};

/// Reads requests and never answers; tells when one came and when its connection closed.
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

TEST_CASE("fleet: a request whose caller left while a connection was opened is sent to nobody")
{
    const bool closes = GENERATE(true, false);
    const bool early = GENERATE(true, false);
    const FullListener full;
    SilentUpstream next;
    OrderedDesk desk;
    desk.instances = { full.endpoint(), full.endpoint(), next.endpoint() };
    EntryOptions options = fleetOptions();
    options.connectTimeout = 700ms;
    OrderedRig rig(desk, options);
    Connection caller = rig.connect();
    caller.send(request);
    REQUIRE(desk.asks.wait(1).size() == 1);
    const auto left = Steady::now();
    if (early)
        caller.send("G");
    if (closes)
        caller.close();
    else
        caller.closeSending();
    CAPTURE(closes, early);
    CHECK(desk.reports.wait(1).at(0) == "unused");
    CHECK(since(left) < 500ms);
    CHECK(desk.ends.wait(1).at(0) == "caller-gone not-run");
    CHECK(desk.asks.wait(1).size() == 1);
    CHECK(next.requests == 0);
}

TEST_CASE("a listed instance that takes no connection does not keep a request whose caller left")
{
    const FullListener full;
    EntryOptions options;
    options.connectTimeout = 5s;
    Rig rig(options);
    rig.addInstance(full.endpoint());
    Connection caller = rig.connect();
    caller.send(request);
    while (rig.server().inFlight() == 0)
        std::this_thread::yield();
    const auto left = Steady::now();
    caller.close();
    while (rig.server().inFlight() > 0 && since(left) < 5s)
        std::this_thread::yield();
    CHECK(since(left) < 1s);
}

TEST_CASE("fleet: a byte that comes early does not hide that the caller leaves")
{
    const bool placed = GENERATE(true, false);
    SilentUpstream upstream;
    OrderedDesk desk;
    desk.silent = !placed;
    desk.instances = { upstream.endpoint() };
    OrderedRig rig(desk);
    Connection caller = rig.connect();
    caller.send(request);
    REQUIRE(desk.asks.wait(1).size() == 1);
    if (placed)
        REQUIRE(upstream.arrived.wait());
    caller.send("G");
    // Long enough that the byte is seen without the close.
    std::this_thread::sleep_for(50ms);
    const auto left = Steady::now();
    caller.close();
    CAPTURE(placed);
    CHECK(desk.reports.wait(1).at(0) == (placed ? "unused" : "left"));
    CHECK(since(left) < 1s);
    if (placed)
        CHECK(upstream.closed.wait());
}

TEST_CASE("fleet: a caller that breaks its connection within an upload nobody reads ends it")
{
    Signal arrived;
    Signal release;
    ScriptedUpstream upstream([&](Connection& connection, int) {
        connection.readHead();
        arrived.set();
        release.wait();
    });
    OrderedDesk desk;
    desk.instances = { upstream.endpoint() };
    OrderedRig rig(desk);
    Connection caller = rig.connect();
    caller.send("PUT /s HTTP/1.1\r\nHost: h\r\nId: 7\r\nContent-Length: 99999999999\r\n\r\n");
    REQUIRE(arrived.wait());
    std::thread sending([&] {
        while (caller.trySend(std::string(100000, 'x'))) { }
    });
    // The upload stands still once the buffers on its way are full.
    std::this_thread::sleep_for(200ms);
    const auto left = Steady::now();
    caller.interrupt();
    sending.join();
    caller.reset();
    CHECK(desk.reports.wait(1).at(0) == "unused");
    CHECK(since(left) < 1s);
    release.set();
}

namespace {

/// Keeps the question until the test answers it.
class WaitingGate final : public ClaimClient {
public:
    void begin(const ClaimSpec&, Callback callback) override
    {
        kept = std::move(callback);
        asked.set();
    }
    void finish(const ClaimId&, ClaimOutcome end, const StoredResponse*) override
    {
        finishedEnd = end;
        finished.set();
    }

    Callback kept;
    Signal asked;
    Signal finished;
    ClaimOutcome finishedEnd = ClaimOutcome::Unknown;
};

} // namespace

TEST_CASE("a claim that is granted after its caller left is given back as not run")
{
    SilentUpstream upstream;
    WaitingGate gate;
    Rig rig({}, &gate);
    rig.addInstance(upstream.endpoint());
    Connection caller = rig.connect();
    caller.send("POST /s HTTP/1.1\r\nHost: h\r\nIdempotency-Key: k\r\nContent-Length: 0\r\n\r\n");
    REQUIRE(gate.asked.wait());
    caller.close();
    ClaimDecision decision;
    decision.verdict = ClaimVerdict::Run;
    decision.claim = ClaimId("c1");
    gate.kept(decision);
    REQUIRE(gate.finished.wait());
    CHECK(gate.finishedEnd == ClaimOutcome::NotRun);
    CHECK(upstream.requests == 0);
}
