#include "node.h"

#include <atomic>
#include <random>
#include <thread>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>

#include <laburnumroute/admin_server.h>
#include <laburnumroute/entry_server.h>
#include <laburnumroute/log_sink.h>
#include <laburnumroute/peer_transport.h>

#include "claim_role.h"
#include "cluster_claim_client.h"
#include "control_role.h"
#include "fleet_role.h"
#include "http_api.h"
#include "stop_signal.h"

namespace laburnum {

namespace {

    /// Threads of the control context: one for each strand that may block on a disk sync, and one
    /// more.
    constexpr unsigned controlThreads = 3;

    std::map<HostId, Endpoint> endpointsOf(const std::vector<PeerSettings>& peers)
    {
        std::map<HostId, Endpoint> result;
        for (const auto& peer : peers)
            result[peer.location.host] = peer.endpoint;
        return result;
    }

    /// Reads the shared key if the settings name a key file.
    Expected<std::optional<SharedKey>> readKey(const Settings& settings)
    {
        if (settings.keyFile.empty())
            return std::nullopt;
        auto key = readKeyFile(settings.keyFile);
        if (!key)
            return tl::unexpected<Error>(key.error());
        return std::move(*key);
    }

} // namespace

class Node::Impl {
public:
    Impl(Settings settings, const std::optional<SharedKey>& key)
        : m_settings(std::move(settings))
        , m_log(openDecisionLog(m_settings.location.host, m_settings.logFile))
        , m_dispatcher(m_settings.location, std::random_device {}(), *m_log)
        , m_sharedDispatcher(m_dispatcher, m_clock)
        , m_transport(m_controlContext.get_executor(), m_settings.location.host,
              endpointsOf(m_settings.peers), key)
        , m_fleet(m_controlContext, m_settings, m_transport, m_clock, *m_log, m_sharedDispatcher)
        , m_claims(m_controlContext, m_settings, m_transport, m_clock, *m_log)
        , m_claimClient(m_claims)
        , m_entry(m_context, m_sharedDispatcher, {}, &m_claimClient, m_log.get())
        , m_operators(key)
        , m_unauthenticated(!key)
    {
        if (m_settings.control)
            m_control
                = std::make_unique<ControlRole>(m_controlContext, m_settings, m_transport, m_clock,
                    *m_log, [this](const ConfigVersion& version) { m_fleet.publish(version); });
    }

    Expected<void> start()
    {
        if (m_unauthenticated)
            m_log->record({ "start", "no-shared-key" });
        if (auto opened = openRoles(); !opened)
            return opened;
        const ApiContext api { m_settings, m_fleet, m_control.get(), m_sharedDispatcher, m_serving,
            [this] { return renderMetrics(); } };
        registerPublicCalls(m_admin, api);
        if (m_control)
            registerOperatorCalls(m_operators, api);
        if (auto bound = listen(); !bound)
            return bound;
        m_fleet.start();
        m_claims.start();
        if (m_control)
            m_control->start();
        for (unsigned i = 0; i < controlThreads; ++i)
            m_controlThreads.emplace_back([this] { m_controlContext.run(); });
        return {};
    }

    void run()
    {
        asio::signal_set signals(m_context, SIGTERM, SIGINT);
        waitForSignal(signals);
        for (unsigned i = 0; i < m_settings.workers; ++i)
            m_threads.emplace_back([this] { m_context.run(); });
        for (auto& thread : m_threads)
            thread.join();
        stopControl();
    }

private:
    Expected<void> openRoles()
    {
        if (auto opened = m_fleet.open(m_settings); !opened)
            return opened;
        if (auto opened = m_claims.open(m_settings, m_clock); !opened)
            return opened;
        return m_control ? m_control->open(m_settings, m_clock) : Expected<void> {};
    }

    Expected<void> listen()
    {
        if (auto bound = m_transport.listen(m_settings.peer); !bound)
            return bound;
        if (auto bound = m_admin.listen(m_settings.admin); !bound)
            return bound;
        if (m_control && m_settings.operators) {
            if (auto bound = m_operators.listen(*m_settings.operators); !bound)
                return bound;
        }
        return m_settings.entry ? m_entry.listen(*m_settings.entry) : Expected<void> {};
    }

    /// The first signal starts a graceful stop; see isStopForced() for the others.
    void waitForSignal(asio::signal_set& signals)
    {
        signals.async_wait([this, &signals](std::error_code code, int number) {
            if (code)
                return;
            const TimePoint now = m_clock.now();
            if (m_serving.exchange(false)) {
                m_stopStarted = now;
                m_fleet.resign();
                m_entry.drain([this](DrainReport report) { finishStop(report); });
            } else if (isStopForced(number, now - m_stopStarted, m_entry.inFlight(), *m_log)
                && !std::exchange(m_aborted, true)) {
                m_entry.drain(std::function<void(DrainReport)>());
            }
            waitForSignal(signals);
        });
    }

    void finishStop(const DrainReport& report)
    {
        Decision decision { "stop", report.cut == 0 ? "drained" : "cut" };
        decision.facts["cut"] = Json::UInt64(report.cut);
        m_log->record(decision);
        m_context.stop();
    }

    /// Admin calls in progress block on the control context, so their servers stop first.
    void stopControl()
    {
        m_admin.stop();
        m_operators.stop();
        m_fleet.stop();
        m_claims.stop();
        if (m_control)
            m_control->stop();
        m_transport.stop();
        m_controlContext.stop();
        for (auto& thread : m_controlThreads)
            thread.join();
    }

    std::string renderMetrics()
    {
        const PeerTransportCounts counts = m_transport.counts();
        std::string text = m_entry.metrics().render();
        const auto add = [&](const char* name, std::uint64_t value) {
            text += std::string("# TYPE ") + name + " counter\n" + name + ' '
                + std::to_string(value) + '\n';
        };
        add("laburnum_peer_sent_bytes_total", counts.sentBytes);
        add("laburnum_peer_received_bytes_total", counts.receivedBytes);
        add("laburnum_peer_dropped_messages_total", counts.droppedMessages);
        add("laburnum_peer_refused_frames_total", counts.refusedFrames);
        return text;
    }

    Settings m_settings;
    SteadyClock m_clock;
    std::unique_ptr<DecisionLog> m_log;
    asio::io_context m_context;
    asio::io_context m_controlContext;
    asio::executor_work_guard<asio::io_context::executor_type> m_controlWork {
        m_controlContext.get_executor()
    };
    Dispatcher m_dispatcher;
    SynchronizedDispatcher m_sharedDispatcher;
    PeerTransport m_transport;
    FleetRole m_fleet;
    ClaimRole m_claims;
    ClusterClaimClient m_claimClient;
    std::unique_ptr<ControlRole> m_control;
    EntryServer m_entry;
    AdminServer m_admin;
    AdminServer m_operators;
    std::atomic<bool> m_serving { true };
    // Used by the signal handler only, which runs once at a time.
    TimePoint m_stopStarted {};
    bool m_aborted = false;
    bool m_unauthenticated;
    std::vector<std::thread> m_threads;
    std::vector<std::thread> m_controlThreads;
};

Node::Node(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
}

Node::Node(Node&&) noexcept = default;
Node::~Node() = default;

Expected<Node> Node::create(Settings settings)
{
    auto key = readKey(settings);
    if (!key)
        return tl::unexpected<Error>(key.error());
    return Node(std::make_unique<Impl>(std::move(settings), *key));
}

Expected<void> Node::start() { return m_impl->start(); }
void Node::run() { m_impl->run(); }

} // namespace laburnum
