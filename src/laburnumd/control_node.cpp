// Control host of a seeded fleet: runs the Controller, serves entry hosts and the control API.

#include <csignal>

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

#include <laburnumroute/controller.h>
#include <laburnumroute/disk_storage.h>
#include <laburnumroute/event_loop_monitor.h>
#include <laburnumroute/frame_link.h>
#include <laburnumroute/frame_meter.h>
#include <laburnumroute/log_sink.h>
#include <laburnumroute/web_server.h>

#include "seeded_node.h"
#include "settings_watcher.h"

namespace laburnum {

namespace {

    using std::chrono::milliseconds;

    /// Interval between attempts to reopen the log store after a disk failure.
    constexpr auto reopenInterval = milliseconds(500);
    /// Time for responses that were queued before a stop to be sent.
    constexpr auto stopDelay = milliseconds(150);
    /// Limit for opening a connection to another control host.
    constexpr auto peerConnectTimeout = milliseconds(600);
    /// Wait before reconnecting to a control host; frames to it are dropped meanwhile.
    constexpr auto reconnectBackoff = milliseconds(100);

    MemberId randomMemberId()
    {
        constexpr std::uint64_t shortId = 0xffffffffU;
        std::array<char, 16> text {};
        std::snprintf(text.data(), text.size(), "%08llx",
            static_cast<unsigned long long>(randomSeed() & shortId));
        return MemberId(text.data());
    }

    class ControlNode final : public SeededNode {
    public:
        ControlNode(SeededSettings settings, std::string settingsPath)
            : m_settings(std::move(settings))
            , m_self(controlHostId(*m_settings.peer))
            , m_log(openDecisionLog(m_settings.location.host, m_settings.logFile))
            , m_adapter(
                  std::move(*ProtocolAdapterRegistry::instance().create(m_settings.interface)))
            , m_listener(m_context)
            , m_apiServer(m_context,
                  [this](const WebRequest& request, WebServer::Reply reply) {
                      handleCall(request, std::move(reply));
                  })
            , m_metricsServer(m_context,
                  [this](const WebRequest&, const WebServer::Reply& reply) {
                      reply({ 200, "text/plain; version=0.0.4", renderMetrics(), {} });
                  })
            , m_settingsWatcher(m_context, std::move(settingsPath), *m_log,
                  [this](const SeededSettings& changed) {
                      m_settings.seeds = changed.seeds;
                      if (m_controller)
                          m_controller->setSeeds(controlHostIds(changed.seeds));
                  })
            , m_signals(m_context, SIGTERM, SIGINT)
            , m_ticker(m_context)
            , m_reopenTimer(m_context)
            , m_stopTimer(m_context)
        {
        }

        Expected<void> start() override
        {
            logStart(m_settings, *m_log);
            if (auto bound = m_listener.listen(*m_settings.peer,
                    [this](asio::ip::tcp::socket socket) { accept(std::move(socket)); });
                !bound)
                return bound;
            if (auto bound = m_apiServer.listen(*m_settings.apiEndpoint); !bound)
                return bound;
            if (m_settings.metrics) {
                if (auto bound = m_metricsServer.listen(*m_settings.metrics); !bound)
                    return bound;
            }
            m_settingsWatcher.start();
            awaitSignal();
            openController();
            tick();
            return {};
        }

        void run() override { m_context.run(); }

    private:
        struct PeerConnection {
            std::shared_ptr<FrameLink> link;
            bool open = false;
            TimePoint since;
        };

        /// Opens the log store and creates the controller; on failure retries after
        /// `reopenInterval`.
        void openController()
        {
            m_controller.reset();
            auto controller = createController();
            if (controller) {
                m_controller = std::move(*controller);
                // The new controller knows no subscriptions: closing links makes subscribers
                // reconnect.
                for (const auto& [id, link] : m_links)
                    link->close();
                m_links.clear();
                return;
            }
            Decision decision { "store", "closed" };
            decision.facts["message"] = controller.error().message;
            m_log->record(decision);
            reopenLater();
        }

        void reopenLater()
        {
            m_reopenTimer.expires_after(reopenInterval);
            m_reopenTimer.async_wait([this](std::error_code code) {
                if (!code)
                    openController();
            });
        }

        Expected<std::unique_ptr<Controller>> createController()
        {
            m_storage.reset();
            auto storage = openDiskStorage(m_settings.dataFolder + "/log");
            if (!storage)
                return tl::unexpected<Error>(storage.error());
            m_storage = std::move(*storage);
            const std::vector<HostId> seeds = controlHostIds(m_settings.seeds);
            auto store = LogStore::open(*m_storage, randomMemberId(),
                m_settings.firstStart ? seeds : std::vector<HostId>());
            if (!store)
                return tl::unexpected<Error>(store.error());
            ControllerOptions options;
            options.host = m_self;
            options.seeds = seeds;
            options.mayBootstrap = m_settings.firstStart;
            options.seed = randomSeed();
            options.toleratedFailures = m_settings.toleratedFailures;
            options.repeats = m_settings.retryBudget;
            options.accountsOf = [this](const std::string& content) {
                Findings findings;
                return m_adapter->parseConfiguration(content, findings).accounts;
            };
            options.spilloverFrom = m_settings.spilloverFrom;
            return Controller::create(std::move(options), std::move(*store), m_clock.now());
        }

        void tick()
        {
            withController(
                "tick", [&](Controller& controller, TimePoint now, ControllerActions& actions) {
                    controller.tick(now, actions);
                });
            const TimePoint due = m_clock.now() + Controller::tickInterval;
            m_ticker.expires_after(Controller::tickInterval);
            m_ticker.async_wait([this, due](std::error_code code) {
                if (code)
                    return;
                const TimePoint now = m_clock.now();
                m_loopMonitor.recordTimerDelay(now - due);
                if (const auto line = m_loopMonitor.report(now))
                    m_log->record(*line);
                tick();
            });
        }

        template <class Function> void withController(std::string_view work, Function&& function)
        {
            if (!m_controller)
                return;
            ControllerActions actions;
            const TimePoint begin = m_clock.now();
            function(*m_controller, begin, actions);
            execute(actions);
            m_loopMonitor.recordTurn(work, begin, m_clock.now());
            scheduleWork();
            if (m_controller && m_controller->log().failure()) {
                m_controller.reset();
                failPendingCalls();
                reopenLater();
            }
        }

        /// Posts one slice of the backlog at a time, so that connections and timers are served
        /// between slices.
        void scheduleWork()
        {
            if (m_workPosted || !m_controller || !m_controller->hasBacklog())
                return;
            m_workPosted = true;
            asio::post(m_context, [this] {
                m_workPosted = false;
                withController(
                    "place", [](Controller& controller, TimePoint now, ControllerActions& actions) {
                        controller.work(now, actions);
                    });
            });
        }

        void execute(ControllerActions& actions)
        {
            for (const auto& decision : actions.decisions)
                m_log->record(decision);
            for (const auto& [host, frame] : actions.peerFrames)
                sendToPeer(host, frame);
            for (const auto& [link, frame] : actions.frames) {
                const auto found = m_links.find(link);
                if (found != m_links.end()) {
                    found->second->send(frame);
                    m_frameMeter.count(frame, FrameDirection::Out);
                    m_loopMonitor.recordSent(frame.size());
                }
            }
            for (auto& [call, result] : actions.results)
                answerCall(call, result);
        }

        void accept(asio::ip::tcp::socket socket)
        {
            m_lastLink = next(m_lastLink);
            const LinkId id = m_lastLink;
            FrameLink::Handlers handlers;
            handlers.onFrame = [this, id](std::string_view frame) {
                m_frameMeter.count(frame, FrameDirection::In);
                withController(Controller::workCategory(frame),
                    [&](Controller& controller, TimePoint now, ControllerActions& actions) {
                        controller.receive(id, frame, now, actions);
                    });
            };
            handlers.onClosed = [this, id] {
                m_links.erase(id);
                if (m_controller)
                    m_controller->closeLink(id, m_clock.now());
            };
            auto link = std::make_shared<FrameLink>(std::move(socket), std::move(handlers));
            m_links[id] = link;
            link->start();
        }

        void sendToPeer(const HostId& host, const std::string& frame)
        {
            const TimePoint now = m_clock.now();
            auto& peer = m_peers[host];
            const bool timedOut = peer.link && !peer.open && now - peer.since > peerConnectTimeout;
            if (timedOut) {
                peer.link->close();
                peer.link.reset();
                peer.since = now;
            }
            if (!peer.link) {
                if (now - peer.since < reconnectBackoff)
                    return;
                connectPeer(host, peer);
            }
            peer.link->send(frame);
            m_frameMeter.count(frame, FrameDirection::Out);
            m_loopMonitor.recordSent(frame.size());
        }

        void connectPeer(const HostId& host, PeerConnection& peer)
        {
            FrameLink::Handlers handlers;
            handlers.onOpen = [this, host] { m_peers[host].open = true; };
            handlers.onFrame = [](std::string_view) {};
            handlers.onClosed = [this, host] { m_peers[host] = { nullptr, false, m_clock.now() }; };
            peer = { std::make_shared<FrameLink>(
                         asio::ip::tcp::socket(m_context), std::move(handlers)),
                false, m_clock.now() };
            peer.link->connect(parseEndpoint(host.value()).value_or(Endpoint {}));
        }

        void handleCall(const WebRequest& request, WebServer::Reply reply)
        {
            DecodedCall call = m_adapter->decodeCall(request, m_settings.dataCentres);
            if (const auto* refusal = std::get_if<WebResponse>(&call)) {
                logRefusal(request, *refusal);
                return reply(*refusal);
            }
            ControlCall decoded = std::get<ControlCall>(std::move(call));
            const auto* announce = std::get_if<AnnounceCall>(&decoded);
            if (announce != nullptr && !isDeclared(announce->record.service)) {
                WebResponse refusal;
                refusal.status = 400;
                refusal.body = R"({"error":"the service is not declared in the configuration"})";
                logRefusal(request, refusal);
                return reply(refusal);
            }
            if (!m_controller)
                return reply(m_adapter->encodeResult(decoded, {}));
            m_lastCall = next(m_lastCall);
            const CallId id = m_lastCall;
            m_pendingCalls[id] = { decoded, std::move(reply) };
            withController(
                "own-call", [&](Controller& controller, TimePoint now, ControllerActions& actions) {
                    controller.call(id, std::move(decoded), now, actions);
                });
        }

        void logRefusal(const WebRequest& request, const WebResponse& refusal)
        {
            Decision decision { "call", "refused" };
            decision.facts["target"] = request.target;
            decision.facts["status"] = refusal.status;
            decision.facts["answer"] = refusal.body.substr(0, 300);
            m_log->record(decision);
        }

        /// Also true before the first configuration, because instances may register before it.
        bool isDeclared(const ServiceId& service)
        {
            if (!m_controller || !m_controller->state().config().number)
                return true;
            const NumberedConfig& config = m_controller->state().config();
            if (m_servicesConfigNumber != config.number) {
                m_servicesConfigNumber = config.number;
                m_services.clear();
                Findings findings;
                for (const auto& spec :
                    m_adapter->parseConfiguration(config.content, findings).services)
                    m_services.insert(spec.name);
            }
            return m_services.contains(service);
        }

        void answerCall(CallId id, const CallResult& result)
        {
            const auto found = m_pendingCalls.find(id);
            if (found == m_pendingCalls.end())
                return;
            const PendingCall pending = std::move(found->second);
            m_pendingCalls.erase(found);
            logCall(pending.call, result);
            pending.reply(m_adapter->encodeResult(pending.call, result));
        }

        void logCall(const ControlCall& call, const CallResult& result)
        {
            Decision decision { "call", result.done ? "done" : "uncertain" };
            if (const auto* announce = std::get_if<AnnounceCall>(&call)) {
                const bool serving = announce->record.phase == InstancePhase::Serving;
                if (serving && result.done)
                    return; // usually a lease renewal; changes are logged where they are applied
                decision.facts["call"] = serving ? "announce" : "drain";
                decision.facts["instance"] = announce->record.id.value();
                decision.facts["version"] = Json::UInt64(announce->record.version);
            } else if (const auto* depart = std::get_if<DeregisterCall>(&call)) {
                decision.facts["call"] = "depart";
                decision.facts["instance"] = depart->deregistration.id.value();
            } else if (const auto* put = std::get_if<PutConfigCall>(&call)) {
                decision.facts["call"] = "put-config";
                decision.facts["number"] = configNumberFact(put->config.number);
            } else {
                decision.facts["call"] = "get-config";
                decision.facts["number"] = configNumberFact(result.config.number);
            }
            m_log->record(decision);
        }

        void failPendingCalls()
        {
            for (const auto& [id, pending] : std::exchange(m_pendingCalls, {}))
                pending.reply(m_adapter->encodeResult(pending.call, {}));
        }

        void awaitSignal()
        {
            m_signals.async_wait([this](std::error_code code, int) {
                if (code)
                    return;
                m_log->record({ "stop", "signal" });
                m_apiServer.close();
                m_listener.close();
                m_stopTimer.expires_after(stopDelay);
                m_stopTimer.async_wait([this](std::error_code) { m_context.stop(); });
            });
        }

        void addRefusals(std::string& text) const
        {
            text += "# TYPE laburnum_placements_refused_total counter\n";
            for (const PlacementRefusal cause : { PlacementRefusal::NoInstance,
                     PlacementRefusal::Busy, PlacementRefusal::NoBudget, PlacementRefusal::OverCap,
                     PlacementRefusal::OverShare, PlacementRefusal::RateLimited })
                text += std::string("laburnum_placements_refused_total{reason=\"")
                    + placementRefusalName(cause) + "\"} "
                    + std::to_string(m_controller->scheduler().refusals(cause)) + '\n';
        }

        /// Grants since this process started, by what they left. Label values are names from the
        /// configuration and the settings, which contain no quotes.
        static void addSpillover(std::string& text, const SpilloverPolicy& spillover)
        {
            addGauge(text, "laburnum_spillover_on", spillover.isOn() ? "1" : "0");
            text += "# TYPE laburnum_grants_total counter\n";
            for (const auto& [key, count] : spillover.counts()) {
                const std::string labels = "{service=\"" + key.first.value() + "\",data_centre=\""
                    + key.second.value() + "\",left=\"";
                const auto add = [&](const char* left, std::uint64_t value) {
                    text += "laburnum_grants_total" + labels + left + "\"} " + std::to_string(value)
                        + '\n';
                };
                add("nothing", count.granted - count.leftDataCentre);
                add("data-centre", count.leftDataCentre - count.leftRegion);
                add("region", count.leftRegion);
            }
        }

        std::string renderMetrics()
        {
            std::string text = m_frameMeter.render();
            const auto add = [&](const char* name, std::uint64_t value) {
                addGauge(text, name, std::to_string(value));
            };
            add("laburnum_store_open", m_controller ? 1 : 0);
            add("laburnum_log_lines_dropped", m_log->dropped());
            if (!m_controller)
                return text;
            add("laburnum_leads", m_controller->isLeader() ? 1 : 0);
            add("laburnum_term", m_controller->log().term().value());
            add("laburnum_commit_index", m_controller->log().commitIndex().value());
            add("laburnum_voters", m_controller->log().membership().voterCount());
            if (const auto number = m_controller->state().config().number)
                add("laburnum_config_number", *number);
            add("laburnum_instances", m_controller->state().instances().size());
            add("laburnum_subscribers", m_controller->subscriberCount());
            add("laburnum_places_granted", m_controller->scheduler().granted());
            add("laburnum_asks_waiting", m_controller->scheduler().waiting());
            add("laburnum_instances_weighed", m_controller->scheduler().evaluations());
            text += m_controller->scheduler().caps().meter().render();
            text += m_controller->scheduler().rateLimits().render();
            addRefusals(text);
            addSpillover(text, m_controller->scheduler().spillover());
            return text;
        }

        struct PendingCall {
            ControlCall call;
            WebServer::Reply reply;
        };

        SeededSettings m_settings;
        const HostId m_self;
        SteadyClock m_clock;
        EventLoopMonitor m_loopMonitor;
        FrameMeter m_frameMeter;
        bool m_workPosted = false;
        std::unique_ptr<DecisionLog> m_log;
        asio::io_context m_context { 1 };
        std::unique_ptr<ProtocolAdapter> m_adapter;
        std::unique_ptr<Storage> m_storage;
        std::unique_ptr<Controller> m_controller;
        FrameListener m_listener;
        WebServer m_apiServer;
        WebServer m_metricsServer;
        SettingsWatcher m_settingsWatcher;
        asio::signal_set m_signals;
        asio::steady_timer m_ticker;
        asio::steady_timer m_reopenTimer;
        asio::steady_timer m_stopTimer;
        std::map<LinkId, std::shared_ptr<FrameLink>> m_links;
        LinkId m_lastLink;
        std::map<HostId, PeerConnection> m_peers;
        std::map<CallId, PendingCall> m_pendingCalls;
        CallId m_lastCall { randomSeed() >> 1U };
        ConfigNumber m_servicesConfigNumber;
        std::set<ServiceId> m_services;
    };

} // namespace

std::unique_ptr<SeededNode> makeControlNode(SeededSettings settings, std::string settingsPath)
{
    return std::make_unique<ControlNode>(std::move(settings), std::move(settingsPath));
}

} // namespace laburnum
