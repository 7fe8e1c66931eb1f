// Entry host of a seeded fleet: serves callers and gets placements from the controller.

#include <csignal>

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

#include <laburnumroute/datagram_socket.h>
#include <laburnumroute/entry_server.h>
#include <laburnumroute/frame_link.h>
#include <laburnumroute/frame_meter.h>
#include <laburnumroute/log_sink.h>
#include <laburnumroute/web_server.h>

#include "fleet_placement_provider.h"
#include "seeded_node.h"
#include "settings_watcher.h"
#include "stop_signal.h"

namespace laburnum {

namespace {

    using std::chrono::milliseconds;

    /// Shortest lame-duck period. A load balancer in front removes a host after two failed
    /// readiness checks, 1 s apart; the rest is margin.
    constexpr auto minLameDuckTime = milliseconds(3000);
    constexpr auto stopPollInterval = milliseconds(100);
    /// An instance that accepts no connection within this time counts as unreachable. A round trip
    /// between regions takes 40 ms.
    constexpr auto upstreamConnectTimeout = milliseconds(400);
    /// Idle time up to which a pooled connection is assumed to be alive and is reused for requests
    /// that must not run twice.
    constexpr auto unsafeReuseLimit = milliseconds(250);
    /// Largest request body that is buffered, so that it can be sent again to another instance.
    constexpr std::size_t replayBytes = std::size_t { 512 } * 1024;

    /// Kernel buffers of a connection. A round trip between regions takes 40 ms, in which 10 KiB
    /// arrive on a link of 2 Mbit/s. The send buffer takes a whole response that is not streamed,
    /// so that a planned stop does not cut it at a caller that reads slowly.
    constexpr int receiveBufferBytes = 16 * 1024;
    constexpr int sendBufferBytes = 64 * 1024;

    EntryOptions entryOptions(const ProtocolAdapter& adapter, std::size_t bufferBytes)
    {
        EntryOptions options;
        options.names = adapter.headerNames();
        options.connectTimeout = upstreamConnectTimeout;
        options.unsafeReuseTimeout = unsafeReuseLimit;
        options.replayBytes = replayBytes;
        options.bufferBytes = bufferBytes;
        options.receiveBufferBytes = receiveBufferBytes;
        options.sendBufferBytes = sendBufferBytes;
        return options;
    }

    class EntryNode final : public SeededNode {
    public:
        EntryNode(SeededSettings settings, std::string settingsPath)
            : m_settings(std::move(settings))
            , m_log(openDecisionLog(m_settings.location.host, m_settings.logFile))
            , m_adapter(
                  std::move(*ProtocolAdapterRegistry::instance().create(m_settings.interface)))
            , m_client(m_settings.location, controlHostIds(m_settings.seeds), randomSeed(),
                  m_settings.peer)
            , m_placementProvider(m_client, m_clock, *m_adapter, *m_log, randomSeed(),
                  [this](ControllerClientActions& actions) { execute(actions); })
            , m_entry(m_context, m_placementProvider, *m_log,
                  entryOptions(*m_adapter, m_settings.bufferBytes))
            , m_readinessServer(m_context,
                  [this](const WebRequest& request, const WebServer::Reply& reply) {
                      answerReadiness(request, reply);
                  })
            , m_metricsServer(m_context,
                  [this](const WebRequest&, const WebServer::Reply& reply) {
                      reply({ 200, "text/plain; version=0.0.4", renderMetrics(), {} });
                  })
            , m_settingsWatcher(m_context, std::move(settingsPath), *m_log,
                  [this](const SeededSettings& changed) {
                      m_client.setSeeds(controlHostIds(changed.seeds));
                      // A stop in progress keeps the grace period with which it began.
                      if (!m_stopping)
                          m_settings.stopGrace = changed.stopGrace;
                  })
            , m_signals(m_context, SIGTERM, SIGINT)
            , m_ticker(m_context)
            , m_stopTimer(m_context)
        {
            m_client.setKeyValidity(m_settings.keyValidity);
            m_client.setRetryBudget(m_settings.retryBudget);
        }

        Expected<void> start() override
        {
            logStart(m_settings, *m_log);
            if (auto bound = m_entry.listen(*m_settings.entry); !bound)
                return bound;
            if (m_settings.readiness) {
                if (auto bound = m_readinessServer.listen(*m_settings.readiness); !bound)
                    return bound;
            }
            if (m_settings.metrics) {
                if (auto bound = m_metricsServer.listen(*m_settings.metrics); !bound)
                    return bound;
            }
            if (m_settings.peer) {
                if (auto bound = listenForNeighbours(); !bound)
                    return bound;
            }
            m_settingsWatcher.start();
            awaitSignal();
            tick();
            return {};
        }

        void run() override { m_context.run(); }

    private:
        void tick()
        {
            m_entry.suspension().alive(m_clock.now());
            ControllerClientActions actions;
            m_client.tick(m_clock.now(), actions);
            m_placementProvider.apply(actions);
            armTicker();
        }

        void armTicker()
        {
            m_ticker.expires_after(m_client.tickInterval());
            m_ticker.async_wait([this](std::error_code code) {
                if (!code)
                    tick();
            });
        }

        void execute(ControllerClientActions& actions)
        {
            for (const auto& decision : actions.decisions)
                m_log->record(decision);
            for (const LinkId link : actions.closes)
                closeLink(link);
            for (const auto& [link, host] : actions.opens)
                openLink(link, host);
            for (const auto& [link, frame] : actions.frames) {
                const auto found = m_links.find(link);
                if (found != m_links.end()) {
                    found->second->send(frame);
                    m_frameMeter.count(frame, FrameDirection::Out);
                }
            }
            for (const auto& [to, bytes] : actions.datagrams)
                m_neighbourSocket.send(to, bytes);
            // A pending placement request shortens the tick interval.
            if (m_ticker.expiry() - asio::steady_timer::clock_type::now() > m_client.tickInterval())
                armTicker();
        }

        Expected<void> listenForNeighbours()
        {
            return m_neighbourSocket.listen(
                *m_settings.peer, [this](const Endpoint& from, std::string_view bytes) {
                    withClient([&](TimePoint now, ControllerClientActions& actions) {
                        m_client.receiveDatagram(from, bytes, now, actions);
                    });
                });
        }

        void closeLink(LinkId link)
        {
            const auto found = m_links.find(link);
            if (found == m_links.end())
                return;
            found->second->close();
            m_links.erase(found);
        }

        void openLink(LinkId id, const HostId& host)
        {
            FrameLink::Handlers handlers;
            handlers.onOpen = [this, id] {
                withClient([&](TimePoint now, ControllerClientActions& actions) {
                    m_client.linkOpened(id, now, actions);
                });
            };
            handlers.onFrame = [this, id](std::string_view frame) {
                m_frameMeter.count(frame, FrameDirection::In);
                withClient([&](TimePoint now, ControllerClientActions& actions) {
                    m_client.receive(id, frame, now, actions);
                });
            };
            handlers.onClosed = [this, id] {
                m_links.erase(id);
                withClient([&](TimePoint now, ControllerClientActions& actions) {
                    m_client.linkClosed(id, now, actions);
                });
            };
            auto link = std::make_shared<FrameLink>(
                asio::ip::tcp::socket(m_context), std::move(handlers));
            m_links[id] = link;
            link->connect(parseEndpoint(host.value()).value_or(Endpoint {}));
        }

        template <class Function> void withClient(Function&& function)
        {
            ControllerClientActions actions;
            function(m_clock.now(), actions);
            m_placementProvider.apply(actions);
        }

        void answerReadiness(const WebRequest& request, const WebServer::Reply& reply) const
        {
            WebResponse response { 404, "text/plain", {}, {} };
            if (m_adapter->isReadinessCheck(request))
                response.status = m_placementProvider.hasConfiguration() && !m_stopping ? 200 : 503;
            reply(response);
        }

        void awaitSignal()
        {
            m_signals.async_wait([this](std::error_code code, int number) {
                if (code)
                    return;
                if (!m_stopping) {
                    ++m_stopSignals;
                    beginStop();
                } else if (isStopForced(
                               number, m_clock.now() - m_stopStarted, m_entry.inFlight(), *m_log)) {
                    ++m_stopSignals;
                    abortConnections(TerminationCause::SecondSignal);
                }
                awaitSignal();
            });
        }

        void beginStop()
        {
            m_stopping = true;
            m_stopStarted = m_clock.now();
            // While the process is suspended, a signal is pending. It was sent after the last tick,
            // so the time since then is the longest that may have passed of the grace period.
            m_entry.startLameDuck(PlannedStop(m_settings.stopGrace),
                m_stopStarted - m_entry.suspension().earliestSignal(m_stopStarted));
            Decision decision { "stop", "leaving" };
            decision.facts["in_flight"] = Json::UInt64(m_entry.inFlight());
            m_log->record(decision);
            checkStopProgress();
        }

        /// Keeps serving until the lame-duck period is over and no connection or request is left,
        /// or the grace period nearly ends.
        void checkStopProgress()
        {
            const Duration elapsed = m_clock.now() - m_stopStarted;
            const PlannedStop stop(m_settings.stopGrace);
            const bool idle = elapsed >= minLameDuckTime && m_entry.inFlight() == 0
                && m_entry.openConnections() == 0;
            if (!m_draining && (idle || elapsed >= stop.drainAfter())) {
                m_draining = true;
                m_entry.drain([this](DrainReport report) { finishStop(report); });
            }
            if (elapsed >= stop.exitAfter())
                return endProcess();
            if (elapsed >= stop.abortAfter())
                abortConnections(TerminationCause::StopAbort);
            m_stopTimer.expires_after(stopPollInterval);
            m_stopTimer.async_wait([this](std::error_code code) {
                if (!code)
                    checkStopProgress();
            });
        }

        StopProgress stopProgress() const
        {
            return { m_stopSignals, m_clock.now() - m_stopStarted };
        }

        /// Posted behind the start of the drain, which accepts the connections that are left. A
        /// second abort would count the requests twice that the first one is still ending.
        void abortConnections(TerminationCause cause)
        {
            if (m_aborted)
                return;
            if (!std::exchange(m_draining, true))
                m_entry.drain([this](DrainReport report) { finishStop(report); });
            asio::post(m_context,
                [this, cause] { m_aborted = m_aborted || m_entry.abort(cause, stopProgress()); });
        }

        /// Connections that did not end with the abort do not keep the process alive.
        void endProcess()
        {
            Decision decision { "stop", m_entry.inFlight() == 0 ? "drained" : "cut" };
            decision.facts["cut"] = Json::UInt64(m_entry.inFlight());
            m_log->record(decision);
            m_entry.abort(TerminationCause::StopExit, stopProgress());
            m_context.stop();
        }

        void finishStop(const DrainReport& report)
        {
            Decision decision { "stop", report.cut == 0 ? "drained" : "cut" };
            decision.facts["cut"] = Json::UInt64(report.cut);
            m_log->record(decision);
            m_context.stop();
        }

        std::string renderMetrics()
        {
            std::string text = m_entry.metrics().render() + m_frameMeter.render();
            const auto add = [&](const char* name, double value) {
                addGauge(text, name, std::to_string(value));
            };
            if (const auto number = m_client.config().number)
                addGauge(text, "laburnum_config_number", std::to_string(*number));
            add("laburnum_keys_confirmed", m_client.keys().isTrusted(m_clock.now()) ? 1.0 : 0.0);
            add("laburnum_instances_known",
                static_cast<double>(m_client.localScheduler().instances().size()));
            add("laburnum_leader_joined", m_client.hasLeader() ? 1.0 : 0.0);
            add("laburnum_leader_heard_seconds_ago",
                std::chrono::duration<double>(m_clock.now() - m_client.lastLeaderContact())
                    .count());
            add("laburnum_leader_search_seconds",
                std::chrono::duration<double>(m_client.leaderSearch().searchTime(m_clock.now()))
                    .count());
            text += m_client.leaderSearch().render();
            add("laburnum_asks_open", static_cast<double>(m_client.pendingPlacements()));
            add("laburnum_attempts_open", static_cast<double>(m_client.activePlacements()));
            add("laburnum_log_lines_dropped", static_cast<double>(m_log->dropped()));
            add("laburnum_buffer_bytes", static_cast<double>(m_entry.buffers().held()));
            add("laburnum_buffer_peak_bytes", static_cast<double>(m_entry.buffers().peak()));
            add("laburnum_buffer_limit_bytes", static_cast<double>(m_entry.buffers().limit()));
            add("laburnum_buffer_refusals", static_cast<double>(m_entry.buffers().refusals()));
            add("laburnum_requests_in_flight", static_cast<double>(m_entry.inFlight()));
            text += m_client.localCaps().meter().render();
            text += m_client.localScheduler().rateLimits().render();
            return text;
        }

        SeededSettings m_settings;
        SteadyClock m_clock;
        FrameMeter m_frameMeter;
        std::unique_ptr<DecisionLog> m_log;
        asio::io_context m_context { 1 };
        std::unique_ptr<ProtocolAdapter> m_adapter;
        ControllerClient m_client;
        FleetPlacementProvider m_placementProvider;
        EntryServer m_entry;
        WebServer m_readinessServer;
        WebServer m_metricsServer;
        SettingsWatcher m_settingsWatcher;
        asio::signal_set m_signals;
        asio::steady_timer m_ticker;
        asio::steady_timer m_stopTimer;
        TimePoint m_stopStarted;
        DatagramSocket m_neighbourSocket { m_context };
        std::map<LinkId, std::shared_ptr<FrameLink>> m_links;
        bool m_stopping = false;
        bool m_draining = false;
        bool m_aborted = false;
        /// The first signal and those that forced the stop.
        unsigned m_stopSignals = 0;
    };

} // namespace

std::unique_ptr<SeededNode> makeEntryNode(SeededSettings settings, std::string settingsPath)
{
    return std::make_unique<EntryNode>(std::move(settings), std::move(settingsPath));
}

} // namespace laburnum
