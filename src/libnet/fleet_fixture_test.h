/// Test support: an entry server of a seeded fleet whose desk hands out the instances that a test
/// names, and whose log and reports may be read while it runs.
#pragma once

#include <deque>

#include <catch2/catch.hpp>

#include "loopback_test.h"

namespace laburnum::test {

/// Lines that are waited for, in the order that they came.
class Lines {
public:
    void add(const std::string& line)
    {
        const std::lock_guard lock(m_mutex);
        m_lines.push_back(line);
        m_condition.notify_all();
    }
    /// The first `count` lines, or fewer when they do not come within a generous limit.
    std::vector<std::string> wait(std::size_t count)
    {
        std::unique_lock lock(m_mutex);
        m_condition.wait_for(
            lock, std::chrono::seconds(5), [&] { return m_lines.size() >= count; });
        return m_lines;
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_condition;
    std::vector<std::string> m_lines;
};

/// Grants each dispatch at once the next of `instances`, named by its port; without any it refuses.
class OrderedDesk final : public PlacementProvider, public DecisionLog {
public:
    tl::expected<RequestPlan, PlanRefusal> plan(
        const std::string&, const std::string&, const std::string&) override
    {
        return route;
    }

    DispatchId dispatch(PlacementRequest demand, Done done) override
    {
        m_last = DispatchId(m_last.value() + 1);
        asks.add(demand.service.value());
        AttemptPlacement placed { m_last, std::nullopt, PlacementRefusal::Busy,
            std::chrono::seconds(1) };
        if (!instances.empty()) {
            placed.instance = InstanceRecord {};
            placed.instance->id = InstanceId(std::to_string(instances.front().port));
            placed.instance->endpoint = instances.front();
            instances.pop_front();
        }
        if (!silent)
            done(placed);
        return m_last;
    }

    void cancel(DispatchId) override { reports.add("left"); }
    void reportOverdue(DispatchId, Duration) override { }

    void end(DispatchId, const PlacementReport& report) override
    {
        static constexpr std::array names { "success", "failure", "shed", "silence", "refused",
            "unreachable", "unused" };
        reports.add(names.at(static_cast<std::size_t>(report.end)));
    }

    std::uint64_t awaitConfiguration(std::function<void()>) override { return 1; }
    void stopWaiting(std::uint64_t) override { }
    CallerLimits limits() const override { return {}; }

    void record(const Decision& decision) override
    {
        if (decision.kind == "request")
            ends.add(decision.reason + ' ' + decision.facts["outcome"].asString());
    }

    RequestPlan route { "r", ServiceId("s"), RequestKind::Safe, std::chrono::seconds(20),
        std::chrono::seconds(20), 0, 2, 1 };
    /// Set these before the rig starts.
    std::deque<Endpoint> instances;
    bool silent = false;
    Lines asks;
    Lines reports;
    /// Reason and outcome of each request.
    Lines ends;

private:
    DispatchId m_last;
};

inline EntryOptions fleetOptions()
{
    EntryOptions result;
    result.names.requestId = "Id";
    result.names.notRun = "Not-Run";
    result.names.responseStamp = "Stamp";
    return result;
}

/// An entry server on one thread.
class OrderedRig {
public:
    explicit OrderedRig(OrderedDesk& desk, const EntryOptions& options = fleetOptions())
        : m_server(m_context, desk, desk, options)
        , m_work(m_context.get_executor())
    {
        REQUIRE(m_server.listen({ "127.0.0.1", 0 }));
        m_thread = std::thread([this] { m_context.run(); });
    }
    ~OrderedRig()
    {
        m_context.stop();
        m_thread.join();
    }
    OrderedRig(const OrderedRig&) = delete;
    OrderedRig& operator=(const OrderedRig&) = delete;

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
