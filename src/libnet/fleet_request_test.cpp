// The request path of a seeded fleet: places, repeats, whole answers, refusals.

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

/// Hands out instances in the order that a test gives, and keeps the reports.
class ScriptedDesk final : public PlacementProvider {
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

    DispatchId dispatch(PlacementRequest demand, Done done) override
    {
        m_last = DispatchId(m_last.value() + 1);
        demands.push_back(demand);
        if (demands.size() > 1)
            askedAgain.set();
        AttemptPlacement placed { m_last, std::nullopt, PlacementRefusal::Busy, 300ms };
        if (!instances.empty()) {
            placed.instance = InstanceRecord {};
            placed.instance->id = InstanceId("i" + std::to_string(demands.size()));
            placed.instance->endpoint = instances.front();
            instances.pop_front();
        }
        if (placed.instance)
            m_granted.push_back(m_last);
        if (!silent && demands.size() < silentFrom)
            done(placed);
        else
            m_waiting = std::move(done);
        return m_last;
    }

    void cancel(DispatchId) override
    {
        m_waiting = nullptr;
        left.set();
    }
    void reportOverdue(DispatchId dispatch, Duration) override { silences.push_back(dispatch); }
    void end(DispatchId dispatch, const PlacementReport& report) override
    {
        reports.push_back(report.end);
        m_ended.push_back(dispatch);
        if (m_ended.size() == m_granted.size())
            allEnded.set();
    }
    /// Answers the dispatch that waits.
    void grant(const Endpoint& endpoint)
    {
        AttemptPlacement placed { m_last, InstanceRecord {} };
        placed.instance->id = InstanceId("i" + std::to_string(demands.size()));
        placed.instance->endpoint = endpoint;
        m_granted.push_back(m_last);
        std::exchange(m_waiting, nullptr)(placed);
    }
    /// How the place of the dispatch with this number was reported.
    PlacementOutcome endOf(unsigned dispatch) const
    {
        const auto found = std::find(m_ended.begin(), m_ended.end(), DispatchId(dispatch));
        REQUIRE(found != m_ended.end());
        return reports.at(static_cast<std::size_t>(found - m_ended.begin()));
    }
    /// Whether each place granted was ended once, and no other.
    bool endsOnce() const
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
    std::vector<PlacementRequest> demands;
    std::vector<PlacementOutcome> reports;
    std::vector<DispatchId> silences;
    bool hasConfiguration = true;
    /// Asks get no answer.
    bool silent = false;
    /// Asks from this one on, counted from 1, get none.
    std::size_t silentFrom = SIZE_MAX;
    Signal left;
    /// A place was asked for that is not the first.
    Signal askedAgain;
    /// As many places were ended as granted.
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

/// Keeps the decisions.
class KeptDecisions final : public DecisionLog {
public:
    void record(const Decision& decision) override { m_all.push_back(decision); }
    /// The facts of the first decision of this kind; null without one.
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

/// An entry server on one thread. Look at the desk and the decisions only after stop().
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

    EntryServer& server() { return m_server; }
    const KeptDecisions& decisions() const { return m_log; }
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
    KeptDecisions m_log;
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
    CHECK(desk.reports == std::vector<PlacementOutcome> { PlacementOutcome::Success });
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
    CHECK(desk.reports.front() == PlacementOutcome::Failure);
    CHECK(good.requests == (safe ? 1 : 0));
    if (safe) {
        CHECK(got.ends_with("\r\n\r\nok"));
        CHECK(desk.demands[1].retry);
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
        == std::vector<PlacementOutcome> { PlacementOutcome::Shed, PlacementOutcome::Refused,
            PlacementOutcome::Refused, PlacementOutcome::Success });
    // Only what reached an instance counts as a retry.
    CHECK(desk.demands[1].retry);
    CHECK_FALSE(desk.demands[3].retry);
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
    CHECK(desk.reports == std::vector<PlacementOutcome> { PlacementOutcome::Success });
    const Json::Value refused = rig.decisions().factsOf("hedge", "refused");
    CHECK(refused["refusal"] == "busy");
    CHECK(refused["limit_ms"].asInt64() == 1000);
    CHECK(refused["left_ms"].asInt64() > 1000);
    // The instance may work for as long as the caller waits.
    const auto at = head.find("Laburnum-Deadline-Ms: ");
    REQUIRE(at != std::string::npos);
    CHECK(std::stoi(head.substr(at + 22)) > 2500);
}

TEST_CASE("fleet: while two attempts are at work the first whole answer is the caller's, once")
{
    const bool firstWins = GENERATE(true, false);
    const std::size_t bytes = GENERATE(std::size_t { 2 }, std::size_t { 300 } * 1024);
    CAPTURE(firstWins, bytes);
    const std::string body(bytes, 'a');
    Signal secondBegan;
    Signal loserClosed;
    const auto serve = [&](Connection& connection, bool wins) {
        connection.readHead();
        if (!wins) {
            if (connection.peerCloses())
                loserClosed.set();
            return;
        }
        secondBegan.wait();
        connection.send(answer(body));
        connection.peerCloses();
    };
    ScriptedUpstream first([&](Connection& connection, int) { serve(connection, firstWins); });
    ScriptedUpstream second([&](Connection& connection, int) {
        secondBegan.set();
        serve(connection, !firstWins);
    });
    ScriptedDesk desk;
    desk.route.objective = 1s;
    Upstream next(answer("next"));
    desk.instances = { first.endpoint(), second.endpoint(), next.scripted.endpoint() };
    FleetRig rig(desk);
    Connection caller = rig.connect();
    caller.send(request());
    CHECK(caller.readMessage().ends_with("\r\n\r\n" + body));
    CHECK(loserClosed.wait());
    caller.send(request());
    CHECK(caller.readMessage().ends_with("\r\n\r\nnext"));
    rig.stop();
    CHECK(rig.decisions().factsOf("hedge", "granted")["second"] == "i2");
    CHECK(rig.decisions().factsOf("attempt", "given-up")["send"].asUInt() == (firstWins ? 2 : 1));
    const PlacementOutcome lost = firstWins ? PlacementOutcome::Unused : PlacementOutcome::TimedOut;
    CHECK(desk.endOf(firstWins ? 2 : 1) == lost);
    CHECK(desk.endOf(firstWins ? 1 : 2) == PlacementOutcome::Success);
    CHECK(desk.endsOnce());
}

TEST_CASE("fleet: two long answers that come at once are not mixed")
{
    const std::string body(std::size_t { 300 } * 1024, 'b');
    Signal secondBegan;
    const auto serve = [&](Connection& connection, int) {
        connection.readHead();
        secondBegan.wait();
        connection.send(answer(body));
        connection.peerCloses();
    };
    ScriptedUpstream first(serve);
    ScriptedUpstream second([&](Connection& connection, int index) {
        secondBegan.set();
        serve(connection, index);
    });
    ScriptedDesk desk;
    desk.route.objective = 1s;
    desk.instances = { first.endpoint(), second.endpoint() };
    FleetRig rig(desk);
    Connection caller = rig.connect();
    caller.send(request("GET", "Connection: close\r\n"));
    const std::string got = caller.readAll();
    CHECK(got.starts_with("HTTP/1.1 200 OK\r\n"));
    CHECK(got.substr(got.find("\r\n\r\n") + 4) == body);
    rig.stop();
    CHECK(desk.endsOnce());
}

TEST_CASE("fleet: the failure of one of two attempts at work waits for the other")
{
    const auto [firstFails, bytes, otherAnswers]
        = GENERATE(table<bool, std::size_t, bool>({ { true, 2, true }, { false, 300 * 1024, true },
            { true, 300 * 1024, false }, { false, 2, false } }));
    const std::string failure = answer(std::string(bytes, 'n'), "500 Oops");
    CAPTURE(firstFails, bytes, otherAnswers);
    Signal secondBegan;
    Signal failed;
    const std::string lastWord = otherAnswers ? answer("ok") : failure;
    const auto serve = [&](Connection& connection, bool fails) {
        connection.readHead();
        secondBegan.wait();
        if (!fails) {
            failed.wait();
            // Long enough for the host to read the failure first.
            std::this_thread::sleep_for(100ms);
        }
        connection.send(fails ? failure : lastWord);
        failed.set();
        connection.peerCloses();
    };
    ScriptedUpstream first([&](Connection& connection, int) { serve(connection, firstFails); });
    ScriptedUpstream second([&](Connection& connection, int) {
        secondBegan.set();
        serve(connection, !firstFails);
    });
    ScriptedDesk desk;
    desk.route.objective = 1s;
    desk.instances = { first.endpoint(), second.endpoint() };
    FleetRig rig(desk);
    Connection caller = rig.connect();
    caller.send(request("GET", "Connection: close\r\n"));
    const std::string got = caller.readAll();
    CHECK(got.starts_with(otherAnswers ? "HTTP/1.1 200 OK\r\n" : "HTTP/1.1 500 Oops\r\n"));
    CHECK(got.substr(got.find("\r\n\r\n")) == lastWord.substr(lastWord.find("\r\n\r\n")));
    rig.stop();
    CHECK(desk.demands.size() == 2);
    CHECK(desk.endsOnce());
}

TEST_CASE("fleet: a caller that leaves two attempts at work closes both")
{
    std::array<Signal, 2> closed;
    Signal bothAtWork;
    const auto serve = [&](Connection& connection, Signal& end) {
        connection.readHead();
        if (connection.peerCloses())
            end.set();
    };
    ScriptedUpstream first([&](Connection& connection, int) { serve(connection, closed[0]); });
    ScriptedUpstream second([&](Connection& connection, int) {
        bothAtWork.set();
        serve(connection, closed[1]);
    });
    ScriptedDesk desk;
    desk.route.objective = 1s;
    desk.instances = { first.endpoint(), second.endpoint() };
    FleetRig rig(desk);
    {
        Connection caller = rig.connect();
        caller.send(request());
        CHECK(bothAtWork.wait());
        caller.close();
    }
    CHECK(closed[0].wait());
    CHECK(closed[1].wait());
    CHECK(desk.allEnded.wait());
    rig.stop();
    CHECK(desk.endOf(1) == PlacementOutcome::Unused);
    CHECK(desk.endOf(2) == PlacementOutcome::Unused);
    CHECK(desk.endsOnce());
}

TEST_CASE("fleet: a caller that leaves after one of two attempts failed closes the other")
{
    const bool firstFails = GENERATE(true, false);
    CAPTURE(firstFails);
    Signal secondBegan;
    Signal failed;
    Signal closed;
    const auto serve = [&](Connection& connection, bool fails) {
        connection.readHead();
        secondBegan.wait();
        if (fails) {
            connection.close();
            failed.set();
        } else if (connection.peerCloses()) {
            closed.set();
        }
    };
    ScriptedUpstream first([&](Connection& connection, int) { serve(connection, firstFails); });
    ScriptedUpstream second([&](Connection& connection, int) {
        secondBegan.set();
        serve(connection, !firstFails);
    });
    ScriptedDesk desk;
    desk.route.objective = 1s;
    desk.instances = { first.endpoint(), second.endpoint() };
    FleetRig rig(desk);
    Connection caller = rig.connect();
    caller.send(request());
    CHECK(failed.wait());
    // Long enough for the host to read the failure.
    std::this_thread::sleep_for(100ms);
    const auto left = std::chrono::steady_clock::now();
    caller.close();
    CHECK(closed.wait());
    // Not by the deadline, which is 4 s after the request.
    CHECK(std::chrono::steady_clock::now() - left < 1s);
    CHECK(desk.allEnded.wait());
    rig.stop();
    CHECK(desk.endOf(firstFails ? 1 : 2) == PlacementOutcome::Failure);
    CHECK(desk.endOf(firstFails ? 2 : 1) == PlacementOutcome::Unused);
}

TEST_CASE("fleet: a planned stop ends with the slow instance's answer")
{
    ScriptedDesk desk;
    desk.route.objective = 1s;
    Signal atWork;
    ScriptedUpstream slow([&](Connection& connection, int) {
        connection.readHead();
        atWork.set();
        desk.askedAgain.wait();
        connection.send(answer("ok"));
    });
    desk.instances = { slow.endpoint() };
    FleetRig rig(desk);
    Connection caller = rig.connect();
    caller.send(request());
    REQUIRE(atWork.wait());
    Signal drained;
    std::size_t cut = 1;
    rig.server().drain([&](DrainReport report) {
        cut = report.cut;
        drained.set();
    });
    CHECK(caller.readMessage().ends_with("\r\n\r\nok"));
    CHECK(drained.wait());
    CHECK(cut == 0);
}

TEST_CASE("fleet: a place that is still waited for is given back when the attempt at work answers")
{
    ScriptedDesk desk;
    desk.route.objective = 1s;
    desk.silentFrom = 2;
    ScriptedUpstream slow([&](Connection& connection, int) {
        connection.readHead();
        desk.askedAgain.wait();
        connection.send(answer("ok"));
    });
    desk.instances = { slow.endpoint() };
    FleetRig rig(desk);
    CHECK(rig.exchange(request()).ends_with("\r\n\r\nok"));
    CHECK(desk.left.wait());
}

TEST_CASE("fleet: a place granted after the attempt at work failed is used")
{
    ScriptedDesk desk;
    desk.route.objective = 1s;
    desk.silentFrom = 2;
    Signal closed;
    ScriptedUpstream bad([&](Connection& connection, int) {
        connection.readHead();
        desk.askedAgain.wait();
        connection.send(answer("no", "500 Oops"));
        connection.closeSending();
        closed.set();
    });
    Upstream good(answer("ok"));
    desk.instances = { bad.endpoint() };
    FleetRig rig(desk);
    Connection caller = rig.connect();
    caller.send(request());
    REQUIRE(closed.wait());
    std::this_thread::sleep_for(100ms);
    rig.post([&] { desk.grant(good.scripted.endpoint()); });
    CHECK(caller.readMessage().ends_with("\r\n\r\nok"));
    rig.stop();
    CHECK(desk.demands.size() == 2);
    CHECK(desk.endsOnce());
}

TEST_CASE("fleet: the second attempt sends the whole body again")
{
    const std::string body(std::size_t { 20 } * 1024, 'x');
    std::string seen;
    ScriptedDesk desk;
    desk.route.objective = 1s;
    desk.route.kind = RequestKind::ByMethod;
    ScriptedUpstream silent([&](Connection& connection, int) {
        connection.readHead();
        connection.readBytes(body.size());
        connection.peerCloses();
    });
    ScriptedUpstream good([&](Connection& connection, int) {
        connection.readHead();
        seen = connection.readBytes(body.size());
        connection.send(answer("ok"));
        connection.peerCloses();
    });
    desk.instances = { silent.endpoint(), good.endpoint() };
    FleetRig rig(desk);
    Connection caller = rig.connect();
    caller.send(request("PUT", "Content-Length: " + std::to_string(body.size()) + "\r\n"));
    caller.send(body);
    CHECK(caller.readMessage().ends_with("\r\n\r\nok"));
    rig.stop();
    CHECK(seen == body);
}

TEST_CASE("fleet: a request that must not run twice has no second attempt beside the first")
{
    ScriptedUpstream slow([](Connection& connection, int) {
        connection.readHead();
        std::this_thread::sleep_for(1300ms);
        connection.send(answer("ok"));
    });
    ScriptedDesk desk;
    desk.route.objective = 1s;
    desk.route.kind = RequestKind::Unsafe;
    desk.instances = { slow.endpoint(), slow.endpoint() };
    FleetRig rig(desk);
    CHECK(rig.exchange(request("POST", "Content-Length: 0\r\n")).ends_with("\r\n\r\nok"));
    rig.stop();
    CHECK(desk.demands.size() == 1);
    CHECK(slow.accepted() == 1);
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

TEST_CASE("fleet: that an instance is silent is known once it has had an attempt's time")
{
    ScriptedDesk desk;
    desk.route.objective = 1s;
    Signal over;
    ScriptedUpstream hung([&](Connection& connection, int) {
        connection.readHead();
        over.wait();
    });
    desk.instances = { hung.endpoint() };
    FleetRig rig(desk);
    Connection caller = rig.connect();
    caller.send(request("GET", "Laburnum-Deadline-Ms: 3900\r\n"));
    // The second place is refused; a host alone, and its neighbours, would choose this one on.
    desk.askedAgain.wait();
    rig.stop();
    over.set();
    CHECK(desk.silences == std::vector<DispatchId> { DispatchId(1) });
}
