/// Test support: an entry server whose placement provider grants the instances that a test lists.
/// Its log and reports can be read while the server runs.
#pragma once

#include <deque>
#include <sstream>

#include <asio/post.hpp>
#include <catch2/catch.hpp>

#include "loopback_test.h"

namespace laburnum::test {

/// Grants each placement request the next of `instances` immediately, with its port as id. Refuses
/// if none is left.
class OrderedPlacementProvider final : public PlacementProvider, public DecisionLog {
public:
    tl::expected<RequestPlan, PlanRefusal> plan(const PlanQuery& query) override
    {
        if (planRequest)
            return planRequest(query);
        return route;
    }

    DispatchId dispatch(PlacementRequest request, Done done) override
    {
        m_last = DispatchId(m_last.value() + 1);
        dispatches.add(request.service.value());
        if (onDispatch)
            onDispatch();
        AttemptPlacement placement { m_last, std::nullopt, refusal, std::chrono::seconds(1),
            alone };
        if (!instances.empty()) {
            placement.instance = InstanceRecord {};
            placement.instance->id = InstanceId(std::to_string(instances.front().port));
            placement.instance->endpoint = instances.front();
            instances.pop_front();
        }
        if (!unanswered)
            done(placement);
        return m_last;
    }

    void cancel(DispatchId) override { reports.add("cancelled"); }
    void reportOverdue(DispatchId, Duration) override { }
    void reportRateLimit(DispatchId, std::optional<double> perSecond, Duration) override
    {
        std::ostringstream text;
        if (perSecond)
            text << *perSecond;
        rateLimits.add(perSecond ? text.str() : "none");
    }

    void end(DispatchId, const PlacementReport& report) override
    {
        if (onEnd)
            onEnd();
        static constexpr std::array names { "success", "failure", "shed", "silence", "refused",
            "unreachable", "unused" };
        reports.add(names.at(static_cast<std::size_t>(report.end)));
        closures.add(
            (report.isLeaving ? "leaving " : "open ") + std::to_string(toMillis(report.pause)));
    }

    std::uint64_t awaitConfiguration(std::function<void()>) override { return 1; }
    void stopWaiting(std::uint64_t) override { }
    CallerLimits limits() const override { return callerLimits; }

    void record(const Decision& decision) override
    {
        if (decision.kind == "request")
            requestEnds.add(decision.reason + ' ' + decision.facts["outcome"].asString());
        decisions.add(formatDecision(decision));
    }

    RequestPlan route { "r", ServiceId("s"), RequestKind::Safe, std::chrono::seconds(20),
        std::chrono::seconds(20), 0, 2, 1 };
    /// Takes the place of `route` if set. Must be set before the fixture is created.
    std::function<tl::expected<RequestPlan, PlanRefusal>(const PlanQuery&)> planRequest;
    /// Read and changed on the server's thread, or before the fixture is created.
    CallerLimits callerLimits;
    /// Must be set before the fixture is created.
    std::deque<Endpoint> instances;
    bool unanswered = false;
    /// Why placement requests are refused once there are no more instances.
    PlacementRefusal refusal = PlacementRefusal::Busy;
    /// Placements are granted and refused as without a leader.
    bool alone = false;
    /// Called on the server's thread before each dispatch is answered. May be empty.
    std::function<void()> onDispatch;
    /// Called on the server's thread before each end of a placement. May be empty.
    std::function<void()> onEnd;
    RecordedLines dispatches;
    RecordedLines reports;
    /// Whether the instance is leaving and its pause in milliseconds, of each report.
    RecordedLines closures;
    /// The rate limit in each response that was reported, or `none`.
    RecordedLines rateLimits;
    /// Reason and outcome of each finished request.
    RecordedLines requestEnds;
    /// Every decision as a log line.
    RecordedLines decisions;

private:
    DispatchId m_last;
};

inline EntryOptions fleetOptions()
{
    EntryOptions result;
    result.names.requestId = "Id";
    result.names.notRun = "Not-Run";
    result.names.responseStamp = "Stamp";
    result.names.leaving = "Leaving";
    result.names.rateLimit = "Rate-Limit";
    result.names.accountKey = "Api-Key";
    result.names.account = "Account";
    return result;
}

/// An entry server that runs on one thread.
class OrderedFleetFixture {
public:
    explicit OrderedFleetFixture(
        OrderedPlacementProvider& provider, const EntryOptions& options = fleetOptions())
        : m_server(m_context, provider, provider, options)
        , m_work(m_context.get_executor())
    {
        REQUIRE(m_server.listen({ "127.0.0.1", 0 }));
        m_thread = std::thread([this] { m_context.run(); });
    }
    ~OrderedFleetFixture()
    {
        m_context.stop();
        m_thread.join();
    }
    OrderedFleetFixture(const OrderedFleetFixture&) = delete;
    OrderedFleetFixture& operator=(const OrderedFleetFixture&) = delete;

    EntryServer& server() { return m_server; }
    asio::io_context& context() { return m_context; }

    /// Runs `function` on the server's thread and waits for it.
    void run(const std::function<void()>& function)
    {
        Signal done;
        asio::post(m_context, [&] {
            function();
            done.set();
        });
        REQUIRE(done.wait());
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
    asio::io_context m_context;
    asio::io_context m_callers;
    EntryServer m_server;
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    std::thread m_thread;
};

} // namespace laburnum::test
