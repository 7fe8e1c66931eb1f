// Requests with fleet placement: retries, hedged attempts, buffered responses, refusals.

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <deque>

#include <asio/post.hpp>

#include "loopback_test.h"

using namespace laburnum;
using namespace laburnum::test;

namespace {

using namespace std::chrono_literals;

/// Grants instances in the order listed by the test, and records the reports.
class ScriptedPlacementProvider final : public PlacementProvider {
public:
    tl::expected<RequestPlan, PlanRefusal> plan(const PlanQuery& query) override
    {
        if (!hasConfiguration)
            return tl::unexpected<PlanRefusal>(PlanRefusal::NoConfiguration);
        if (query.host != "h")
            return tl::unexpected<PlanRefusal>(PlanRefusal::NoRoute);
        return route;
    }

    DispatchId dispatch(PlacementRequest request, Done done) override
    {
        m_last = DispatchId(m_last.value() + 1);
        placementRequests.push_back(request);
        if (placementRequests.size() > 1)
            secondRequested.set();
        AttemptPlacement placement { m_last, std::nullopt, refusal, 300ms };
        if (!instances.empty()) {
            placement.instance = InstanceRecord {};
            placement.instance->id = InstanceId("i" + std::to_string(placementRequests.size()));
            placement.instance->endpoint = instances.front();
            instances.pop_front();
        }
        if (placement.instance)
            m_granted.push_back(m_last);
        if (!unanswered && placementRequests.size() < unansweredFrom)
            done(placement);
        else
            m_waiting = std::move(done);
        return m_last;
    }

    void cancel(DispatchId) override
    {
        m_waiting = nullptr;
        cancelled.set();
    }
    void reportOverdue(DispatchId dispatch, Duration) override
    {
        overdueReports.push_back(dispatch);
    }
    void end(DispatchId dispatch, const PlacementReport& report) override
    {
        reports.push_back(report.end);
        m_ended.push_back(dispatch);
        if (m_ended.size() == m_granted.size())
            allEnded.set();
    }
    /// Grants the pending placement request.
    void grant(const Endpoint& endpoint)
    {
        AttemptPlacement placement { m_last, InstanceRecord {} };
        placement.instance->id = InstanceId("i" + std::to_string(placementRequests.size()));
        placement.instance->endpoint = endpoint;
        m_granted.push_back(m_last);
        std::exchange(m_waiting, nullptr)(placement);
    }
    /// The reported outcome of the placement with this number.
    PlacementOutcome outcomeOf(unsigned dispatch) const
    {
        const auto found = std::find(m_ended.begin(), m_ended.end(), DispatchId(dispatch));
        REQUIRE(found != m_ended.end());
        return reports.at(static_cast<std::size_t>(found - m_ended.begin()));
    }
    /// Whether each granted placement was reported exactly once, and no other.
    bool eachReportedOnce() const
    {
        return std::is_permutation(
            m_ended.begin(), m_ended.end(), m_granted.begin(), m_granted.end());
    }
    std::uint64_t awaitConfiguration(std::function<void()>) override { return 1; }
    void stopWaiting(std::uint64_t) override { }
    CallerLimits limits() const override { return callerLimits; }

    RequestPlan route { "r", ServiceId("s"), RequestKind::Safe, 4s, 2s, 0, 2, 1 };
    CallerLimits callerLimits;
    std::deque<Endpoint> instances;
    std::vector<PlacementRequest> placementRequests;
    std::vector<PlacementOutcome> reports;
    std::vector<DispatchId> overdueReports;
    bool hasConfiguration = true;
    /// Why placement requests are refused once there are no more instances.
    PlacementRefusal refusal = PlacementRefusal::Busy;
    /// Placement requests stay pending.
    bool unanswered = false;
    /// Placement requests from this one on, counted from 1, stay pending.
    std::size_t unansweredFrom = SIZE_MAX;
    Signal cancelled;
    /// Set by the second placement request.
    Signal secondRequested;
    /// Set once as many placements have been reported as granted.
    Signal allEnded;

private:
    DispatchId m_last;
    Done m_waiting;
    std::vector<DispatchId> m_granted;
    std::vector<DispatchId> m_ended;
};

EntryOptions options()
{
    EntryOptions result;
    result.names.requestId = "Id";
    result.names.expectedInstance = "Expect-Instance";
    result.names.notRun = "Not-Run";
    result.names.responseStamp = "Stamp";
    result.names.load = "Load";
    result.connectTimeout = 500ms;
    result.unsafeReuseTimeout = 250ms;
    return result;
}

/// Records the decisions.
class RecordedDecisions final : public DecisionLog {
public:
    void record(const Decision& decision) override { m_all.push_back(decision); }
    /// The facts of the first decision with this kind and reason; null if there is none.
    Json::Value factsOf(const std::string& kind, const std::string& reason) const
    {
        for (const Decision& each : m_all) {
            if (each.kind == kind && each.reason == reason)
                return each.facts;
        }
        return {};
    }

private:
    std::vector<Decision> m_all;
};

/// An entry server that runs on one thread. The provider and the decisions may be read only after
/// stop().
class FleetFixture {
public:
    explicit FleetFixture(
        ScriptedPlacementProvider& provider, const EntryOptions& entryOptions = options())
        : m_server(m_context, provider, m_log, entryOptions)
        , m_work(m_context.get_executor())
    {
        REQUIRE(m_server.listen({ "127.0.0.1", 0 }));
        m_thread = std::thread([this] { m_context.run(); });
    }
    ~FleetFixture() { stop(); }

    void stop()
    {
        m_context.stop();
        if (m_thread.joinable())
            m_thread.join();
    }

    EntryServer& server() { return m_server; }
    const RecordedDecisions& decisions() const { return m_log; }
    /// Runs `work` on the server's thread.
    void post(std::function<void()> work) { asio::post(m_context, std::move(work)); }

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
    RecordedDecisions m_log;
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

std::string response(const std::string& body, const std::string& status = "200 OK",
    const std::string& fields = "Stamp: x\r\nId: 7\r\n")
{
    return "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

/// Responds to each request on each connection with `text`, and records the last head.
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

// Guards against a request that gets neither an answer nor a refusal.
TEST_CASE("fleet: a request whose placement is never decided is refused at its deadline")
{
    ScriptedPlacementProvider provider;
    provider.route.timeout = 300ms;
    provider.unanswered = true;
    FleetFixture fixture(provider);
    const auto before = std::chrono::steady_clock::now();
    const std::string got = fixture.exchange(request());
    CHECK(got.starts_with("HTTP/1.1 503 "));
    CHECK(got.find("Laburnum-Outcome: not-run\r\n") != std::string::npos);
    CHECK(got.find("Retry-After: ") != std::string::npos);
    CHECK(std::chrono::steady_clock::now() - before >= 300ms);
    CHECK(provider.cancelled.wait());
}

TEST_CASE("fleet: instance id and remaining time are sent and the response is unchanged")
{
    Upstream upstream(response("ok"));
    ScriptedPlacementProvider provider;
    provider.instances = { upstream.scripted.endpoint() };
    FleetFixture fixture(provider);
    const std::string got = fixture.exchange(
        request("GET", "Laburnum-Deadline-Ms: 1500\r\nExpect-Instance: forged\r\n"));
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
    fixture.stop();
    CHECK(provider.reports == std::vector<PlacementOutcome> { PlacementOutcome::Success });
}

TEST_CASE("fleet: only a safe request is retried on another instance after a failure")
{
    const std::string failure
        = GENERATE(response("no", "500 Oops"), response("ok").substr(0, response("ok").size() - 1),
            std::string("garbage\r\n\r\n"), response("ok", "200 OK", "Id: 7\r\n"));
    const bool safe = GENERATE(true, false);
    ScriptedUpstream failing([&](Connection& connection, int) {
        connection.readHead();
        connection.send(failure);
        connection.closeSending();
    });
    Upstream good(response("ok"));
    ScriptedPlacementProvider provider;
    provider.route.kind = safe ? RequestKind::Safe : RequestKind::Unsafe;
    provider.instances = { failing.endpoint(), good.scripted.endpoint() };
    FleetFixture fixture(provider);
    const std::string got = fixture.exchange(request("POST", "Content-Length: 0\r\n"));
    fixture.stop();
    CAPTURE(failure, safe, got);
    CHECK(provider.reports.front() == PlacementOutcome::Failure);
    CHECK(good.requests == (safe ? 1 : 0));
    if (safe) {
        CHECK(got.ends_with("\r\n\r\nok"));
        CHECK(provider.placementRequests[1].retry);
        CHECK(provider.placementRequests[1].avoid == std::vector<InstanceId> { InstanceId("i1") });
    } else {
        const bool passedOn = failure.find("500 Oops") != std::string::npos;
        CHECK(got.starts_with(passedOn ? "HTTP/1.1 500 " : "HTTP/1.1 502 "));
        CHECK(provider.placementRequests.size() == 1);
    }
}

TEST_CASE("fleet: a request that was not run is retried regardless of its kind")
{
    Upstream saturated(response("", "503 Full", "Not-Run: 1\r\nId: 7\r\n"));
    Upstream other(response("", "421 Other", "Not-Run: 1\r\nId: 7\r\n"));
    const ClosedPort nobody;
    Upstream good(response("ok"));
    ScriptedPlacementProvider provider;
    provider.route.kind = RequestKind::Unsafe;
    provider.instances = { saturated.scripted.endpoint(), other.scripted.endpoint(),
        nobody.endpoint(), good.scripted.endpoint() };
    FleetFixture fixture(provider);
    const std::string got = fixture.exchange(request("POST", "Content-Length: 2\r\n") + "ab");
    fixture.stop();
    CHECK(got.ends_with("\r\n\r\nok"));
    CHECK(provider.reports
        == std::vector<PlacementOutcome> { PlacementOutcome::Shed, PlacementOutcome::Refused,
            PlacementOutcome::Refused, PlacementOutcome::Success });
    // Only a request that reached an instance before counts as a retry.
    CHECK(provider.placementRequests[1].retry);
    CHECK_FALSE(provider.placementRequests[3].retry);
}

TEST_CASE("fleet: 503 with Retry-After is sent immediately on a refused placement")
{
    ScriptedPlacementProvider provider;
    FleetFixture fixture(provider);
    const std::string got = fixture.exchange(request());
    CHECK(got.starts_with("HTTP/1.1 503 "));
    CHECK(got.find("Retry-After: 0.300\r\n") != std::string::npos);
    CHECK(got.find("Laburnum-Outcome: not-run\r\n") != std::string::npos);
}

TEST_CASE("fleet: a request over its account's cap gets 429 with the time to return")
{
    ScriptedPlacementProvider provider;
    provider.refusal = PlacementRefusal::OverCap;
    FleetFixture fixture(provider);
    const std::string got = fixture.exchange(request());
    CHECK(got.starts_with("HTTP/1.1 429 Too Many Requests\r\n"));
    CHECK(got.find("Retry-After: 0.300\r\n") != std::string::npos);
    CHECK(got.find("Laburnum-Outcome: not-run\r\n") != std::string::npos);
    CHECK(got.find("Laburnum-Reason: over-cap\r\n") != std::string::npos);
}

TEST_CASE("fleet: 429 is not sent for a request that may have run")
{
    // Guards against a statement of not-run after an instance failed during the request.
    Upstream broken("garbage\r\n\r\n");
    ScriptedPlacementProvider provider;
    provider.refusal = PlacementRefusal::OverCap;
    provider.instances = { broken.scripted.endpoint() };
    FleetFixture fixture(provider);
    const std::string got = fixture.exchange(request());
    CHECK(got.starts_with("HTTP/1.1 502 "));
    CHECK(got.find("Laburnum-Outcome: unknown\r\n") != std::string::npos);
}

TEST_CASE("fleet: a server error is forwarded if no placement is granted for a retry")
{
    Upstream failing(response("no", "500 Oops"));
    ScriptedPlacementProvider provider;
    provider.instances = { failing.scripted.endpoint() };
    FleetFixture fixture(provider);
    const std::string got = fixture.exchange(request());
    CHECK(got.starts_with("HTTP/1.1 500 Oops\r\n"));
    CHECK(got.ends_with("\r\n\r\nno"));
}

TEST_CASE("fleet: an active attempt continues if its hedge is refused")
{
    ScriptedPlacementProvider provider;
    provider.route.objective = 1s;
    std::string head;
    ScriptedUpstream slow([&](Connection& connection, int) {
        head = connection.readHead();
        // The placement for a hedged attempt is refused.
        provider.secondRequested.wait();
        connection.send(response("ok"));
    });
    provider.instances = { slow.endpoint() };
    FleetFixture fixture(provider);
    const std::string got = fixture.exchange(request("GET", "Laburnum-Deadline-Ms: 3900\r\n"));
    fixture.stop();
    CHECK(got.starts_with("HTTP/1.1 200 OK\r\n"));
    CHECK(got.ends_with("\r\n\r\nok"));
    CHECK(provider.reports == std::vector<PlacementOutcome> { PlacementOutcome::Success });
    const Json::Value refused = fixture.decisions().factsOf("hedge", "refused");
    CHECK(refused["refusal"] == "busy");
    CHECK(refused["limit_ms"].asInt64() == 1000);
    CHECK(refused["left_ms"].asInt64() > 1000);
    // The instance gets all of the caller's remaining time.
    const auto at = head.find("Laburnum-Deadline-Ms: ");
    REQUIRE(at != std::string::npos);
    CHECK(std::stoi(head.substr(at + 22)) > 2500);
}

TEST_CASE("fleet: of two concurrent attempts only the first complete response is sent")
{
    const bool firstWins = GENERATE(true, false);
    const std::size_t bytes = GENERATE(std::size_t { 2 }, std::size_t { 300 } * 1024);
    CAPTURE(firstWins, bytes);
    const std::string body(bytes, 'a');
    Signal secondStarted;
    Signal loserClosed;
    const auto serve = [&](Connection& connection, bool wins) {
        connection.readHead();
        if (!wins) {
            if (connection.peerCloses())
                loserClosed.set();
            return;
        }
        secondStarted.wait();
        connection.send(response(body));
        connection.peerCloses();
    };
    ScriptedUpstream first([&](Connection& connection, int) { serve(connection, firstWins); });
    ScriptedUpstream second([&](Connection& connection, int) {
        secondStarted.set();
        serve(connection, !firstWins);
    });
    ScriptedPlacementProvider provider;
    provider.route.objective = 1s;
    Upstream next(response("next"));
    provider.instances = { first.endpoint(), second.endpoint(), next.scripted.endpoint() };
    FleetFixture fixture(provider);
    Connection caller = fixture.connect();
    caller.send(request());
    CHECK(caller.readMessage().ends_with("\r\n\r\n" + body));
    CHECK(loserClosed.wait());
    caller.send(request());
    CHECK(caller.readMessage().ends_with("\r\n\r\nnext"));
    fixture.stop();
    CHECK(fixture.decisions().factsOf("hedge", "granted")["second"] == "i2");
    CHECK(
        fixture.decisions().factsOf("attempt", "given-up")["send"].asUInt() == (firstWins ? 2 : 1));
    const PlacementOutcome lost = firstWins ? PlacementOutcome::Unused : PlacementOutcome::TimedOut;
    CHECK(provider.outcomeOf(firstWins ? 2 : 1) == lost);
    CHECK(provider.outcomeOf(firstWins ? 1 : 2) == PlacementOutcome::Success);
    CHECK(provider.eachReportedOnce());
}

TEST_CASE("fleet: two simultaneous long responses are not mixed")
{
    const std::string body(std::size_t { 300 } * 1024, 'b');
    Signal secondStarted;
    const auto serve = [&](Connection& connection, int) {
        connection.readHead();
        secondStarted.wait();
        connection.send(response(body));
        connection.peerCloses();
    };
    ScriptedUpstream first(serve);
    ScriptedUpstream second([&](Connection& connection, int index) {
        secondStarted.set();
        serve(connection, index);
    });
    ScriptedPlacementProvider provider;
    provider.route.objective = 1s;
    provider.instances = { first.endpoint(), second.endpoint() };
    FleetFixture fixture(provider);
    Connection caller = fixture.connect();
    caller.send(request("GET", "Connection: close\r\n"));
    const std::string got = caller.readAll();
    CHECK(got.starts_with("HTTP/1.1 200 OK\r\n"));
    CHECK(got.substr(got.find("\r\n\r\n") + 4) == body);
    fixture.stop();
    CHECK(provider.eachReportedOnce());
}

TEST_CASE("fleet: a server error of one of two concurrent attempts waits for the other")
{
    const auto [firstFails, bytes, otherSucceeds]
        = GENERATE(table<bool, std::size_t, bool>({ { true, 2, true }, { false, 300 * 1024, true },
            { true, 300 * 1024, false }, { false, 2, false } }));
    const std::string failure = response(std::string(bytes, 'n'), "500 Oops");
    CAPTURE(firstFails, bytes, otherSucceeds);
    Signal secondStarted;
    Signal failed;
    const std::string lastResponse = otherSucceeds ? response("ok") : failure;
    const auto serve = [&](Connection& connection, bool fails) {
        connection.readHead();
        secondStarted.wait();
        if (!fails) {
            failed.wait();
            // Gives the host time to read the failure first.
            std::this_thread::sleep_for(100ms);
        }
        connection.send(fails ? failure : lastResponse);
        failed.set();
        connection.peerCloses();
    };
    ScriptedUpstream first([&](Connection& connection, int) { serve(connection, firstFails); });
    ScriptedUpstream second([&](Connection& connection, int) {
        secondStarted.set();
        serve(connection, !firstFails);
    });
    ScriptedPlacementProvider provider;
    provider.route.objective = 1s;
    provider.instances = { first.endpoint(), second.endpoint() };
    FleetFixture fixture(provider);
    Connection caller = fixture.connect();
    caller.send(request("GET", "Connection: close\r\n"));
    const std::string got = caller.readAll();
    CHECK(got.starts_with(otherSucceeds ? "HTTP/1.1 200 OK\r\n" : "HTTP/1.1 500 Oops\r\n"));
    CHECK(got.substr(got.find("\r\n\r\n")) == lastResponse.substr(lastResponse.find("\r\n\r\n")));
    fixture.stop();
    CHECK(provider.placementRequests.size() == 2);
    CHECK(provider.eachReportedOnce());
}

TEST_CASE("fleet: two concurrent attempts are closed on a caller disconnect")
{
    std::array<Signal, 2> closed;
    Signal bothActive;
    const auto serve = [&](Connection& connection, Signal& end) {
        connection.readHead();
        if (connection.peerCloses())
            end.set();
    };
    ScriptedUpstream first([&](Connection& connection, int) { serve(connection, closed[0]); });
    ScriptedUpstream second([&](Connection& connection, int) {
        bothActive.set();
        serve(connection, closed[1]);
    });
    ScriptedPlacementProvider provider;
    provider.route.objective = 1s;
    provider.instances = { first.endpoint(), second.endpoint() };
    FleetFixture fixture(provider);
    {
        Connection caller = fixture.connect();
        caller.send(request());
        CHECK(bothActive.wait());
        caller.close();
    }
    CHECK(closed[0].wait());
    CHECK(closed[1].wait());
    CHECK(provider.allEnded.wait());
    fixture.stop();
    CHECK(provider.outcomeOf(1) == PlacementOutcome::Unused);
    CHECK(provider.outcomeOf(2) == PlacementOutcome::Unused);
    CHECK(provider.eachReportedOnce());
}

TEST_CASE("fleet: a caller disconnect after one of two attempts failed closes the other")
{
    const bool firstFails = GENERATE(true, false);
    CAPTURE(firstFails);
    Signal secondStarted;
    Signal failed;
    Signal closed;
    const auto serve = [&](Connection& connection, bool fails) {
        connection.readHead();
        secondStarted.wait();
        if (fails) {
            connection.close();
            failed.set();
        } else if (connection.peerCloses()) {
            closed.set();
        }
    };
    ScriptedUpstream first([&](Connection& connection, int) { serve(connection, firstFails); });
    ScriptedUpstream second([&](Connection& connection, int) {
        secondStarted.set();
        serve(connection, !firstFails);
    });
    ScriptedPlacementProvider provider;
    provider.route.objective = 1s;
    provider.instances = { first.endpoint(), second.endpoint() };
    FleetFixture fixture(provider);
    Connection caller = fixture.connect();
    caller.send(request());
    CHECK(failed.wait());
    // Gives the host time to read the failure.
    std::this_thread::sleep_for(100ms);
    const auto disconnectTime = std::chrono::steady_clock::now();
    caller.close();
    CHECK(closed.wait());
    // Well before the deadline, which is 4 s after the request.
    CHECK(std::chrono::steady_clock::now() - disconnectTime < 1s);
    CHECK(provider.allEnded.wait());
    fixture.stop();
    CHECK(provider.outcomeOf(firstFails ? 1 : 2) == PlacementOutcome::Failure);
    CHECK(provider.outcomeOf(firstFails ? 2 : 1) == PlacementOutcome::Unused);
}

TEST_CASE("fleet: a drain completes with the response of a slow instance")
{
    ScriptedPlacementProvider provider;
    provider.route.objective = 1s;
    Signal requestReceived;
    ScriptedUpstream slow([&](Connection& connection, int) {
        connection.readHead();
        requestReceived.set();
        provider.secondRequested.wait();
        connection.send(response("ok"));
    });
    provider.instances = { slow.endpoint() };
    FleetFixture fixture(provider);
    Connection caller = fixture.connect();
    caller.send(request());
    REQUIRE(requestReceived.wait());
    Signal drained;
    std::size_t cut = 1;
    fixture.server().drain([&](DrainReport report) {
        cut = report.cut;
        drained.set();
    });
    CHECK(caller.readMessage().ends_with("\r\n\r\nok"));
    CHECK(drained.wait());
    CHECK(cut == 0);
}

TEST_CASE("fleet: a pending placement for a hedge is cancelled when the active attempt responds")
{
    ScriptedPlacementProvider provider;
    provider.route.objective = 1s;
    provider.unansweredFrom = 2;
    ScriptedUpstream slow([&](Connection& connection, int) {
        connection.readHead();
        provider.secondRequested.wait();
        connection.send(response("ok"));
    });
    provider.instances = { slow.endpoint() };
    FleetFixture fixture(provider);
    CHECK(fixture.exchange(request()).ends_with("\r\n\r\nok"));
    CHECK(provider.cancelled.wait());
}

TEST_CASE("fleet: a placement for a hedge is used if granted after the active attempt failed")
{
    ScriptedPlacementProvider provider;
    provider.route.objective = 1s;
    provider.unansweredFrom = 2;
    Signal closed;
    ScriptedUpstream failing([&](Connection& connection, int) {
        connection.readHead();
        provider.secondRequested.wait();
        connection.send(response("no", "500 Oops"));
        connection.closeSending();
        closed.set();
    });
    Upstream good(response("ok"));
    provider.instances = { failing.endpoint() };
    FleetFixture fixture(provider);
    Connection caller = fixture.connect();
    caller.send(request());
    REQUIRE(closed.wait());
    std::this_thread::sleep_for(100ms);
    fixture.post([&] { provider.grant(good.scripted.endpoint()); });
    CHECK(caller.readMessage().ends_with("\r\n\r\nok"));
    fixture.stop();
    CHECK(provider.placementRequests.size() == 2);
    CHECK(provider.eachReportedOnce());
}

TEST_CASE("fleet: a hedged attempt sends the complete body")
{
    const std::string body(std::size_t { 20 } * 1024, 'x');
    std::string seen;
    ScriptedPlacementProvider provider;
    provider.route.objective = 1s;
    provider.route.kind = RequestKind::ByMethod;
    ScriptedUpstream silent([&](Connection& connection, int) {
        connection.readHead();
        connection.readBytes(body.size());
        connection.peerCloses();
    });
    ScriptedUpstream good([&](Connection& connection, int) {
        connection.readHead();
        seen = connection.readBytes(body.size());
        connection.send(response("ok"));
        connection.peerCloses();
    });
    provider.instances = { silent.endpoint(), good.endpoint() };
    FleetFixture fixture(provider);
    Connection caller = fixture.connect();
    caller.send(request("PUT", "Content-Length: " + std::to_string(body.size()) + "\r\n"));
    caller.send(body);
    CHECK(caller.readMessage().ends_with("\r\n\r\nok"));
    fixture.stop();
    CHECK(seen == body);
}

TEST_CASE("fleet: an unsafe request is not hedged")
{
    ScriptedUpstream slow([](Connection& connection, int) {
        connection.readHead();
        std::this_thread::sleep_for(1300ms);
        connection.send(response("ok"));
    });
    ScriptedPlacementProvider provider;
    provider.route.objective = 1s;
    provider.route.kind = RequestKind::Unsafe;
    provider.instances = { slow.endpoint(), slow.endpoint() };
    FleetFixture fixture(provider);
    CHECK(fixture.exchange(request("POST", "Content-Length: 0\r\n")).ends_with("\r\n\r\nok"));
    fixture.stop();
    CHECK(provider.placementRequests.size() == 1);
    CHECK(slow.accepted() == 1);
}

TEST_CASE("fleet: a late response to another request is discarded")
{
    ScriptedUpstream upstream([](Connection& connection, int) {
        connection.readHead();
        connection.send(response("stray", "200 OK", "Stamp: x\r\nId: 6\r\n") + response("ok"));
    });
    ScriptedPlacementProvider provider;
    provider.instances = { upstream.endpoint() };
    FleetFixture fixture(provider);
    CHECK(fixture.exchange(request()).ends_with("\r\n\r\nok"));
}

TEST_CASE("fleet: a truncated response without length is not forwarded as complete")
{
    ScriptedUpstream upstream([](Connection& connection, int) {
        connection.readHead();
        connection.send("HTTP/1.1 200 OK\r\nStamp: x\r\nId: 7\r\n\r\npart");
        connection.reset();
    });
    ScriptedPlacementProvider provider;
    provider.route.kind = RequestKind::Unsafe;
    provider.instances = { upstream.endpoint() };
    FleetFixture fixture(provider);
    Connection caller = fixture.connect();
    caller.send(request("POST", "Content-Length: 0\r\n"));
    const std::string got = caller.readAll();
    const bool whole
        = got.starts_with("HTTP/1.1 200") && got.find("\r\n0\r\n") != std::string::npos;
    CHECK_FALSE(whole);
}

TEST_CASE("fleet: no configuration, unknown routes and bodies that are too large")
{
    ScriptedPlacementProvider provider;
    provider.callerLimits.bodyBytes = 10;
    SECTION("no configuration: 503 after a short wait")
    {
        provider.hasConfiguration = false;
        FleetFixture fixture(provider);
        const std::string got = fixture.exchange(request("GET", "Laburnum-Deadline-Ms: 400\r\n"));
        CHECK(got.starts_with("HTTP/1.1 503 "));
        CHECK(got.find("Retry-After: ") != std::string::npos);
    }
    SECTION("no route: 404")
    {
        FleetFixture fixture(provider);
        CHECK(
            fixture.exchange("GET / HTTP/1.1\r\nHost: other\r\n\r\n").starts_with("HTTP/1.1 404 "));
    }
    SECTION("a body beyond the limit: 413 without a placement request")
    {
        FleetFixture fixture(provider);
        Connection caller = fixture.connect();
        caller.send(request("POST", "Content-Length: 11\r\n"));
        CHECK(caller.readHead().starts_with("HTTP/1.1 413 "));
        fixture.stop();
        CHECK(provider.placementRequests.empty());
    }
}

TEST_CASE("fleet: the pending placement request is cancelled on a caller disconnect")
{
    ScriptedPlacementProvider provider;
    provider.unanswered = true;
    FleetFixture fixture(provider);
    {
        Connection caller = fixture.connect();
        caller.send(request());
        caller.close();
    }
    CHECK(provider.cancelled.wait());
}

TEST_CASE("fleet: an unsafe request reuses no connection that was idle too long")
{
    Upstream upstream(response("ok"));
    ScriptedPlacementProvider provider;
    provider.route.kind = RequestKind::Unsafe;
    const Endpoint endpoint = upstream.scripted.endpoint();
    provider.instances = { endpoint, endpoint };
    EntryOptions never = options();
    never.unsafeReuseTimeout = {};
    FleetFixture fixture(provider, never);
    Connection caller = fixture.connect();
    caller.send(request("POST", "Content-Length: 0\r\n"));
    CHECK(caller.readMessage().ends_with("ok"));
    caller.send(request("POST", "Content-Length: 0\r\n"));
    CHECK(caller.readMessage().ends_with("ok"));
    CHECK(upstream.scripted.accepted() == 2);
}

TEST_CASE("fleet: an attempt that exceeds the hedge delay is reported as overdue")
{
    ScriptedPlacementProvider provider;
    provider.route.objective = 1s;
    Signal testDone;
    ScriptedUpstream silent([&](Connection& connection, int) {
        connection.readHead();
        testDone.wait();
    });
    provider.instances = { silent.endpoint() };
    FleetFixture fixture(provider);
    Connection caller = fixture.connect();
    caller.send(request("GET", "Laburnum-Deadline-Ms: 3900\r\n"));
    // The second placement is refused. Without the report, this host would keep selecting the
    // instance when it places requests without the control host, and so would its peers.
    provider.secondRequested.wait();
    fixture.stop();
    testDone.set();
    CHECK(provider.overdueReports == std::vector<DispatchId> { DispatchId(1) });
}
