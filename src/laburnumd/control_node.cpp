// A control host of a seeded fleet.

#include <csignal>

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

#include <laburnumroute/controller.h>
#include <laburnumroute/disk_storage.h>
#include <laburnumroute/event_loop_monitor.h>
#include <laburnumroute/frame_link.h>
#include <laburnumroute/log_sink.h>
#include <laburnumroute/web_server.h>

#include "seeded_node.h"
#include "settings_watcher.h"

namespace laburnum {

namespace {

    using std::chrono::milliseconds;

    /// After a failure of the disk the store is opened anew at this interval.
    constexpr auto reopenInterval = milliseconds(500);
    /// What was answered just before a stop may still leave.
    constexpr auto stopDelay = milliseconds(150);
    /// A connection to another control host that did not open is given up after this.
    constexpr auto connectLimit = milliseconds(600);
    /// Frames are dropped for a while after a connection could not be opened.
    constexpr auto reconnectPause = milliseconds(100);

    MemberId drawMember()
    {
        constexpr std::uint64_t shortId = 0xffffffffU;
        std::array<char, 16> text {};
        std::snprintf(text.data(), text.size(), "%08llx",
            static_cast<unsigned long long>(drawSeed() & shortId));
        return MemberId(text.data());
    }

    class ControlNode final : public SeededNode {
    public:
        ControlNode(SeededSettings settings, std::string settingsPath)
            : m_settings(std::move(settings))
            , m_self(controlHostAt(*m_settings.peer))
            , m_log(openDecisionLog(m_settings.place.host, m_settings.logFile))
            , m_outer(std::move(*ProtocolAdapterRegistry::instance().create(m_settings.interface)))
            , m_listener(m_context)
            , m_calls(m_context,
                  [this](const WebRequest& request, WebServer::Reply reply) {
                      onCall(request, std::move(reply));
                  })
            , m_metrics(m_context,
                  [this](const WebRequest&, const WebServer::Reply& reply) {
                      reply({ 200, "text/plain; version=0.0.4", renderMetrics(), {} });
                  })
            , m_watch(m_context, std::move(settingsPath), *m_log,
                  [this](const SeededSettings& changed) {
                      m_settings.seeds = changed.seeds;
                      if (m_hub)
                          m_hub->setSeeds(controlHostsAt(changed.seeds));
                  })
            , m_signals(m_context, SIGTERM, SIGINT)
            , m_ticker(m_context)
            , m_reopenTimer(m_context)
            , m_stopTimer(m_context)
        {
        }

        Expected<void> start() override
        {
            recordStart(m_settings, *m_log);
            if (auto bound = m_listener.listen(*m_settings.peer,
                    [this](asio::ip::tcp::socket socket) { accept(std::move(socket)); });
                !bound)
                return bound;
            if (auto bound = m_calls.listen(*m_settings.calls); !bound)
                return bound;
            if (m_settings.metrics) {
                if (auto bound = m_metrics.listen(*m_settings.metrics); !bound)
                    return bound;
            }
            m_watch.start();
            awaitSignal();
            openHub();
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

        /// Opens the store; tries again later when the disk does not allow it.
        void openHub()
        {
            m_hub.reset();
            auto hub = makeHub();
            if (hub) {
                m_hub = std::move(*hub);
                // Those that are subscribed to this host start over.
                for (const auto& [id, link] : m_links)
                    link->close();
                m_links.clear();
                return;
            }
            Decision decision { "store", "closed" };
            decision.facts["message"] = hub.error().message;
            m_log->record(decision);
            reopenLater();
        }

        void reopenLater()
        {
            m_reopenTimer.expires_after(reopenInterval);
            m_reopenTimer.async_wait([this](std::error_code code) {
                if (!code)
                    openHub();
            });
        }

        Expected<std::unique_ptr<Controller>> makeHub()
        {
            m_storage.reset();
            auto storage = openDiskStorage(m_settings.dataFolder + "/log");
            if (!storage)
                return tl::unexpected<Error>(storage.error());
            m_storage = std::move(*storage);
            auto store = LogStore::open(*m_storage, drawMember());
            if (!store)
                return tl::unexpected<Error>(store.error());
            ControllerOptions options;
            options.host = m_self;
            options.seeds = controlHostsAt(m_settings.seeds);
            options.mayBootstrap = m_settings.firstStart;
            options.seed = drawSeed();
            options.toleratedFailures = m_settings.toleratedFailures;
            options.repeats = m_settings.repeats;
            return Controller::create(std::move(options), std::move(*store), m_clock.now());
        }

        void tick()
        {
            withHub("tick", [&](Controller& hub, TimePoint now, ControllerActions& actions) {
                hub.tick(now, actions);
            });
            const TimePoint due = m_clock.now() + Controller::tickInterval;
            m_ticker.expires_after(Controller::tickInterval);
            m_ticker.async_wait([this, due](std::error_code code) {
                if (code)
                    return;
                const TimePoint now = m_clock.now();
                m_meter.recordTimerDelay(now - due);
                if (const auto line = m_meter.report(now))
                    m_log->record(*line);
                tick();
            });
        }

        template <class Function> void withHub(std::string_view work, Function&& function)
        {
            if (!m_hub)
                return;
            ControllerActions actions;
            const TimePoint begin = m_clock.now();
            function(*m_hub, begin, actions);
            carry(actions);
            m_meter.recordTurn(work, begin, m_clock.now());
            workLater();
            if (m_hub && m_hub->log().failure()) {
                m_hub.reset();
                failCalls();
                reopenLater();
            }
        }

        /// Slices of the backlog are posted one by one: connections and timers come in between.
        void workLater()
        {
            if (m_workPosted || !m_hub || !m_hub->hasBacklog())
                return;
            m_workPosted = true;
            asio::post(m_context, [this] {
                m_workPosted = false;
                withHub("place", [](Controller& hub, TimePoint now, ControllerActions& actions) {
                    hub.work(now, actions);
                });
            });
        }

        void carry(ControllerActions& actions)
        {
            for (const auto& decision : actions.decisions)
                m_log->record(decision);
            for (const auto& [host, frame] : actions.peerFrames)
                sendToPeer(host, frame);
            for (const auto& [link, frame] : actions.frames) {
                const auto found = m_links.find(link);
                if (found != m_links.end()) {
                    found->second->send(frame);
                    m_meter.recordSent(frame.size());
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
                withHub(Controller::workCategory(frame),
                    [&](Controller& hub, TimePoint now, ControllerActions& actions) {
                        hub.receive(id, frame, now, actions);
                    });
            };
            handlers.onClosed = [this, id] {
                m_links.erase(id);
                if (m_hub)
                    m_hub->closeLink(id, m_clock.now());
            };
            auto link = std::make_shared<FrameLink>(std::move(socket), std::move(handlers));
            m_links[id] = link;
            link->start();
        }

        void sendToPeer(const HostId& host, const std::string& frame)
        {
            const TimePoint now = m_clock.now();
            auto& peer = m_peers[host];
            const bool stuck = peer.link && !peer.open && now - peer.since > connectLimit;
            if (stuck) {
                peer.link->close();
                peer.link.reset();
                peer.since = now;
            }
            if (!peer.link) {
                if (now - peer.since < reconnectPause)
                    return;
                connectPeer(host, peer);
            }
            peer.link->send(frame);
            m_meter.recordSent(frame.size());
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

        void onCall(const WebRequest& request, WebServer::Reply reply)
        {
            DecodedCall call = m_outer->decodeCall(request, m_settings.dataCentres);
            if (const auto* refusal = std::get_if<WebResponse>(&call)) {
                recordRefusal(request, *refusal);
                return reply(*refusal);
            }
            ControlCall understood = std::get<ControlCall>(std::move(call));
            const auto* announce = std::get_if<AnnounceCall>(&understood);
            if (announce != nullptr && !isDeclared(announce->record.service)) {
                WebResponse refusal;
                refusal.status = 400;
                refusal.body = R"({"error":"no such service is declared"})";
                recordRefusal(request, refusal);
                return reply(refusal);
            }
            if (!m_hub)
                return reply(m_outer->encodeResult(understood, {}));
            m_lastCall = next(m_lastCall);
            const CallId id = m_lastCall;
            m_openCalls[id] = { understood, std::move(reply) };
            withHub("own-call", [&](Controller& hub, TimePoint now, ControllerActions& actions) {
                hub.call(id, std::move(understood), now, actions);
            });
        }

        void recordRefusal(const WebRequest& request, const WebResponse& refusal)
        {
            Decision decision { "call", "refused" };
            decision.facts["target"] = request.target;
            decision.facts["status"] = refusal.status;
            decision.facts["answer"] = refusal.body.substr(0, 300);
            m_log->record(decision);
        }

        /// True while no configuration is known, too: instances may come first.
        bool isDeclared(const ServiceId& service)
        {
            if (!m_hub || m_hub->state().config().number == 0)
                return true;
            const NumberedConfig& config = m_hub->state().config();
            if (m_servicesOf != config.number) {
                m_servicesOf = config.number;
                m_services.clear();
                Findings findings;
                for (const auto& spec :
                    m_outer->parseConfiguration(config.content, findings).services)
                    m_services.insert(spec.name);
            }
            return m_services.contains(service);
        }

        void answerCall(CallId id, const CallResult& result)
        {
            const auto found = m_openCalls.find(id);
            if (found == m_openCalls.end())
                return;
            const OpenCall open = std::move(found->second);
            m_openCalls.erase(found);
            recordCall(open.call, result);
            open.reply(m_outer->encodeResult(open.call, result));
        }

        void recordCall(const ControlCall& call, const CallResult& result)
        {
            Decision decision { "call", result.done ? "done" : "uncertain" };
            if (const auto* announce = std::get_if<AnnounceCall>(&call)) {
                const bool serving = announce->record.phase == InstancePhase::Serving;
                if (serving && result.done)
                    return; // a renewal, as a rule; changes are logged where they are applied
                decision.facts["call"] = serving ? "announce" : "drain";
                decision.facts["instance"] = announce->record.id.value();
                decision.facts["version"] = Json::UInt64(announce->record.version);
            } else if (const auto* depart = std::get_if<DeregisterCall>(&call)) {
                decision.facts["call"] = "depart";
                decision.facts["instance"] = depart->deregistration.id.value();
            } else if (const auto* put = std::get_if<PutConfigCall>(&call)) {
                decision.facts["call"] = "put-config";
                decision.facts["number"] = Json::UInt64(put->config.number);
            } else {
                decision.facts["call"] = "get-config";
                decision.facts["number"] = Json::UInt64(result.config.number);
            }
            m_log->record(decision);
        }

        void failCalls()
        {
            for (const auto& [id, open] : std::exchange(m_openCalls, {}))
                open.reply(m_outer->encodeResult(open.call, {}));
        }

        void awaitSignal()
        {
            m_signals.async_wait([this](std::error_code code, int) {
                if (code)
                    return;
                m_log->record({ "stop", "signal" });
                m_calls.close();
                m_listener.close();
                m_stopTimer.expires_after(stopDelay);
                m_stopTimer.async_wait([this](std::error_code) { m_context.stop(); });
            });
        }

        std::string renderMetrics()
        {
            std::string text;
            const auto add = [&](const char* name, std::uint64_t value) {
                addGauge(text, name, std::to_string(value));
            };
            add("laburnum_store_open", m_hub ? 1 : 0);
            add("laburnum_log_lines_dropped", m_log->dropped());
            if (!m_hub)
                return text;
            add("laburnum_leads", m_hub->isLeader() ? 1 : 0);
            add("laburnum_term", m_hub->log().term().value());
            add("laburnum_commit_index", m_hub->log().commitIndex().value());
            add("laburnum_voters", m_hub->log().membership().voterCount());
            add("laburnum_config_number", m_hub->state().config().number);
            add("laburnum_instances", m_hub->state().instances().size());
            add("laburnum_subscribers", m_hub->subscriberCount());
            add("laburnum_places_granted", m_hub->scheduler().granted());
            add("laburnum_asks_waiting", m_hub->scheduler().waiting());
            add("laburnum_instances_weighed", m_hub->scheduler().evaluations());
            return text;
        }

        struct OpenCall {
            ControlCall call;
            WebServer::Reply reply;
        };

        SeededSettings m_settings;
        const HostId m_self;
        SteadyClock m_clock;
        EventLoopMonitor m_meter;
        bool m_workPosted = false;
        std::unique_ptr<DecisionLog> m_log;
        asio::io_context m_context { 1 };
        std::unique_ptr<ProtocolAdapter> m_outer;
        std::unique_ptr<Storage> m_storage;
        std::unique_ptr<Controller> m_hub;
        FrameListener m_listener;
        WebServer m_calls;
        WebServer m_metrics;
        SettingsWatcher m_watch;
        asio::signal_set m_signals;
        asio::steady_timer m_ticker;
        asio::steady_timer m_reopenTimer;
        asio::steady_timer m_stopTimer;
        std::map<LinkId, std::shared_ptr<FrameLink>> m_links;
        LinkId m_lastLink;
        std::map<HostId, PeerConnection> m_peers;
        std::map<CallId, OpenCall> m_openCalls;
        CallId m_lastCall { drawSeed() >> 1U };
        std::uint64_t m_servicesOf = 0;
        std::set<ServiceId> m_services;
    };

} // namespace

std::unique_ptr<SeededNode> makeControlNode(SeededSettings settings, std::string settingsPath)
{
    return std::make_unique<ControlNode>(std::move(settings), std::move(settingsPath));
}

} // namespace laburnum
