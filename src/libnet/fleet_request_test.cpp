// The request path of a seeded fleet: places, repeats, whole answers, refusals.

#include <catch2/catch.hpp>

#include <atomic>
#include <deque>

#include "loopback_test.h"

using namespace laburnum;
using namespace laburnum::test;

namespace {

using namespace std::chrono_literals;

/// Hands out instances in the order that a test gives, and keeps the reports.
class ScriptedDesk final : public PlacementDesk {
public:
    tl::expected<RequestPlan, PlanRefusal> plan(
        const std::string&, const std::string& host, const std::string&) override
    {
        if (!hasConfiguration)
            return tl::unexpected<PlanRefusal>(PlanRefusal::NoConfiguration);
        if (host != "h")
            return tl::unexpected<PlanRefusal>(PlanRefusal::NoRoute);
        return route;
    }

    AskId ask(PlaceDemand demand, Done done) override
    {
        m_last = AskId(m_last.value() + 1);
        demands.push_back(demand);
        if (demands.size() > 1)
            askedAgain.set();
        PlacedAttempt placed { m_last, std::nullopt, PlaceRefusal::Busy, 300ms };
        if (!instances.empty()) {
            placed.instance = InstanceRecord {};
            placed.instance->id = InstanceId("i" + std::to_string(demands.size()));
            placed.instance->endpoint = instances.front();
            instances.pop_front();
        }
        if (!silent)
            done(placed);
        return m_last;
    }

    void leave(AskId) override { left.set(); }
    void end(AskId, const PlacedReport& report) override { reports.push_back(report.end); }
    std::uint64_t awaitConfiguration(std::function<void()>) override { return 1; }
    void stopWaiting(std::uint64_t) override { }
    CallerLimits limits() const override { return callerLimits; }

    RequestPlan route { "r", ServiceId("s"), RequestKind::Safe, 4s, 2s, 0, 2, 1 };
    CallerLimits callerLimits;
    std::deque<Endpoint> instances;
    std::vector<PlaceDemand> demands;
    std::vector<PlacedEnd> reports;
    bool hasConfiguration = true;
    /// Asks get no answer.
    bool silent = false;
    Signal left;
    /// A place was asked for that is not the first.
    Signal askedAgain;

private:
    AskId m_last;
};

EntryOptions options()
{
    EntryOptions result;
    result.names.requestId = "Id";
    result.names.expectedInstance = "Expect-Instance";
    result.names.notRun = "Not-Run";
    result.names.stamp = "Stamp";
    result.names.load = "Load";
    result.connectTimeout = 500ms;
    result.unsafeReuseTimeout = 250ms;
    return result;
}

/// An entry server on one thread. Look at the desk only after stop().
class FleetRig {
public:
    explicit FleetRig(ScriptedDesk& desk, const EntryOptions& chosen = options())
        : m_server(m_context, desk, m_log, chosen)
        , m_work(m_context.get_executor())
    {
        REQUIRE(m_server.listen({ "127.0.0.1", 0 }));
        m_thread = std::thread([this] { m_context.run(); });
    }
    ~FleetRig() { stop(); }

    void stop()
    {
        m_context.stop();
        if (m_thread.joinable())
            m_thread.join();
    }

    Connection connect()
    {
        const Endpoint endpoint = m_server.localEndpoint();
        asio::ip::tcp::socket socket(m_callers);
        socket.connect({ asio::ip::make_address(endpoint.address), endpoint.port });
        return Connection(std::move(socket));
    }

    std::string exchange(const std::string& request)
    {
        Connection caller = connect();
        caller.send(request);
        return caller.readMessage();
    }

private:
    NullDecisionLog m_log;
    asio::io_context m_context;
    asio::io_context m_callers;
    EntryServer m_server;
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    std::thread m_thread;
};

std::string request(const std::string& method = "GET", const std::string& rest = "")
{
    return method + " /s HTTP/1.1\r\nHost: h\r\nId: 7\r\n" + rest + "\r\n";
}

std::string answer(const std::string& body, const std::string& status = "200 OK",
    const std::string& fields = "Stamp: x\r\nId: 7\r\n")
{
    return "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

/// Answers each request on each connection with `text`, and keeps the last head.
struct Upstream {
    explicit Upstream(const std::string& text)
        : scripted([this, text](Connection& connection, int) {
            while (true) {
                const std::string got = connection.readHead();
                if (got.empty())
                    return;
                {
                    const std::lock_guard lock(mutex);
                    head = got;
                }
                ++requests;
                connection.send(text);
            }
        })
    {
    }
    std::string lastHead()
    {
        const std::lock_guard lock(mutex);
        return head;
    }

    std::mutex mutex;
    std::string head;
    std::atomic<int> requests { 0 };
    ScriptedUpstream scripted;
};

} // namespace

TEST_CASE("fleet: the instance is named, the time that is left passed on, the answer unchanged")
{
    Upstream upstream(answer("ok"));
    ScriptedDesk desk;
    desk.instances = { upstream.scripted.endpoint() };
    FleetRig rig(desk);
    const std::string got
        = rig.exchange(request("GET", "Laburnum-Deadline-Ms: 1500\r\nExpect-Instance: forged\r\n"));
    CHECK(got.starts_with("HTTP/1.1 200 OK\r\n"));
    CHECK(got.find("Stamp: x\r\n") != std::string::npos);
    CHECK(got.ends_with("\r\n\r\nok"));
    const std::string head = upstream.lastHead();
    CHECK(head.find("Expect-Instance: i1\r\n") != std::string::npos);
    CHECK(head.find("forged") == std::string::npos);
    const auto at = head.find("Laburnum-Deadline-Ms: ");
    REQUIRE(at != std::string::npos);
    CHECK(std::stoi(head.substr(at + 22)) <= 1500);
    CHECK(std::stoi(head.substr(at + 22)) > 500);
    rig.stop();
    CHECK(desk.reports == std::vector<PlacedEnd> { PlacedEnd::Success });
}

TEST_CASE("fleet: a repeatable request goes to another instance after a failure, others do not")
{
    const std::string failure
        = GENERATE(answer("no", "500 Oops"), answer("ok").substr(0, answer("ok").size() - 1),
            std::string("garbage\r\n\r\n"), answer("ok", "200 OK", "Id: 7\r\n"));
    const bool safe = GENERATE(true, false);
    ScriptedUpstream bad([&](Connection& connection, int) {
        connection.readHead();
        connection.send(failure);
        connection.closeSending();
    });
    Upstream good(answer("ok"));
    ScriptedDesk desk;
    desk.route.kind = safe ? RequestKind::Safe : RequestKind::Unsafe;
    desk.instances = { bad.endpoint(), good.scripted.endpoint() };
    FleetRig rig(desk);
    const std::string got = rig.exchange(request("POST", "Content-Length: 0\r\n"));
    rig.stop();
    CAPTURE(failure, safe, got);
    CHECK(desk.reports.front() == PlacedEnd::Failure);
    CHECK(good.requests == (safe ? 1 : 0));
    if (safe) {
        CHECK(got.ends_with("\r\n\r\nok"));
        CHECK(desk.demands[1].repeat);
        CHECK(desk.demands[1].avoid == std::vector<InstanceId> { InstanceId("i1") });
    } else {
        const bool passedOn = failure.find("500 Oops") != std::string::npos;
        CHECK(got.starts_with(passedOn ? "HTTP/1.1 500 " : "HTTP/1.1 502 "));
        CHECK(desk.demands.size() == 1);
    }
}

TEST_CASE("fleet: a request that was not run is sent on, whatever its kind")
{
    Upstream full(answer("", "503 Full", "Not-Run: 1\r\nId: 7\r\n"));
    Upstream other(answer("", "421 Other", "Not-Run: 1\r\nId: 7\r\n"));
    const ClosedPort nobody;
    Upstream good(answer("ok"));
    ScriptedDesk desk;
    desk.route.kind = RequestKind::Unsafe;
    desk.instances = { full.scripted.endpoint(), other.scripted.endpoint(), nobody.endpoint(),
        good.scripted.endpoint() };
    FleetRig rig(desk);
    const std::string got = rig.exchange(request("POST", "Content-Length: 2\r\n") + "ab");
    rig.stop();
    CHECK(got.ends_with("\r\n\r\nok"));
    CHECK(desk.reports
        == std::vector<PlacedEnd> {
            PlacedEnd::Shed, PlacedEnd::Refused, PlacedEnd::Refused, PlacedEnd::Success });
    // Only what reached an instance counts as a repeat.
    CHECK(desk.demands[1].repeat);
    CHECK_FALSE(desk.demands[3].repeat);
}

TEST_CASE("fleet: without a place the answer is at once 503, with a time to come back")
{
    ScriptedDesk desk;
    FleetRig rig(desk);
    const std::string got = rig.exchange(request());
    CHECK(got.starts_with("HTTP/1.1 503 "));
    CHECK(got.find("Retry-After: 0.300\r\n") != std::string::npos);
    CHECK(got.find("Laburnum-Outcome: not-run\r\n") != std::string::npos);
}

TEST_CASE("fleet: a failure is passed on when there is no place for a repeat")
{
    Upstream bad(answer("no", "500 Oops"));
    ScriptedDesk desk;
    desk.instances = { bad.scripted.endpoint() };
    FleetRig rig(desk);
    const std::string got = rig.exchange(request());
    CHECK(got.starts_with("HTTP/1.1 500 Oops\r\n"));
    CHECK(got.ends_with("\r\n\r\nno"));
}

TEST_CASE("fleet: an attempt at work is not given up before its replacement answers")
{
    ScriptedDesk desk;
    desk.route.objective = 1s;
    std::string head;
    ScriptedUpstream slow([&](Connection& connection, int) {
        head = connection.readHead();
        // No place is left for another attempt.
        desk.askedAgain.wait();
        connection.send(answer("ok"));
    });
    desk.instances = { slow.endpoint() };
    FleetRig rig(desk);
    const std::string got = rig.exchange(request("GET", "Laburnum-Deadline-Ms: 3900\r\n"));
    rig.stop();
    CHECK(got.starts_with("HTTP/1.1 200 OK\r\n"));
    CHECK(got.ends_with("\r\n\r\nok"));
    CHECK(desk.reports == std::vector<PlacedEnd> { PlacedEnd::Success });
    // The instance may work for as long as the caller waits.
    const auto at = head.find("Laburnum-Deadline-Ms: ");
    REQUIRE(at != std::string::npos);
    CHECK(std::stoi(head.substr(at + 22)) > 2500);
}

TEST_CASE("fleet: a late answer to another request is passed over")
{
    ScriptedUpstream upstream([](Connection& connection, int) {
        connection.readHead();
        connection.send(answer("stray", "200 OK", "Stamp: x\r\nId: 6\r\n") + answer("ok"));
    });
    ScriptedDesk desk;
    desk.instances = { upstream.endpoint() };
    FleetRig rig(desk);
    CHECK(rig.exchange(request()).ends_with("\r\n\r\nok"));
}

TEST_CASE("fleet: an answer without length that is cut is not passed on as whole")
{
    ScriptedUpstream upstream([](Connection& connection, int) {
        connection.readHead();
        connection.send("HTTP/1.1 200 OK\r\nStamp: x\r\nId: 7\r\n\r\npart");
        connection.reset();
    });
    ScriptedDesk desk;
    desk.route.kind = RequestKind::Unsafe;
    desk.instances = { upstream.endpoint() };
    FleetRig rig(desk);
    Connection caller = rig.connect();
    caller.send(request("POST", "Content-Length: 0\r\n"));
    const std::string got = caller.readAll();
    const bool whole
        = got.starts_with("HTTP/1.1 200") && got.find("\r\n0\r\n") != std::string::npos;
    CHECK_FALSE(whole);
}

TEST_CASE("fleet: hosts without a configuration, unknown routes and bodies that are too large")
{
    ScriptedDesk desk;
    desk.callerLimits.bodyBytes = 10;
    SECTION("no configuration: 503 after a little patience")
    {
        desk.hasConfiguration = false;
        FleetRig rig(desk);
        const std::string got = rig.exchange(request("GET", "Laburnum-Deadline-Ms: 400\r\n"));
        CHECK(got.starts_with("HTTP/1.1 503 "));
        CHECK(got.find("Retry-After: ") != std::string::npos);
    }
    SECTION("no route: 404")
    {
        FleetRig rig(desk);
        CHECK(rig.exchange("GET / HTTP/1.1\r\nHost: other\r\n\r\n").starts_with("HTTP/1.1 404 "));
    }
    SECTION("a body beyond the limit: 413, and no place is asked for")
    {
        FleetRig rig(desk);
        Connection caller = rig.connect();
        caller.send(request("POST", "Content-Length: 11\r\n"));
        CHECK(caller.readHead().starts_with("HTTP/1.1 413 "));
        rig.stop();
        CHECK(desk.demands.empty());
    }
}

TEST_CASE("fleet: a caller that leaves while it waits gives up its place")
{
    ScriptedDesk desk;
    desk.silent = true;
    FleetRig rig(desk);
    {
        Connection caller = rig.connect();
        caller.send(request());
        caller.close();
    }
    CHECK(desk.left.wait());
}

TEST_CASE("fleet: a request that must not run twice takes no connection that was idle too long")
{
    Upstream upstream(answer("ok"));
    ScriptedDesk desk;
    desk.route.kind = RequestKind::Unsafe;
    const Endpoint endpoint = upstream.scripted.endpoint();
    desk.instances = { endpoint, endpoint };
    EntryOptions never = options();
    never.unsafeReuseTimeout = {};
    FleetRig rig(desk, never);
    Connection caller = rig.connect();
    caller.send(request("POST", "Content-Length: 0\r\n"));
    CHECK(caller.readMessage().ends_with("ok"));
    caller.send(request("POST", "Content-Length: 0\r\n"));
    CHECK(caller.readMessage().ends_with("ok"));
    CHECK(upstream.scripted.accepted() == 2);
}
