#include "node.h"

#include <future>
#include <thread>

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>

#include <laburnumroute/admin_server.h>
#include <laburnumroute/config_holder.h>
#include <laburnumroute/entry_server.h>
#include <laburnumroute/instance_directory.h>
#include <laburnumroute/json.h>
#include <laburnumroute/log_sink.h>
#include <laburnumroute/peer_transport.h>

namespace laburnum {

namespace {

    constexpr auto tickInterval = std::chrono::milliseconds(250);

    constexpr int statusOk = 200;
    constexpr int statusBadRequest = 400;
    constexpr int statusConflict = 409;
    constexpr int statusUnavailable = 503;

    constexpr const char* methodInstances = "fleet.instances";
    constexpr const char* methodVersion = "config.version";
    constexpr const char* methodRevision = "config.revision";

    std::map<HostId, Endpoint> endpointsOf(const std::vector<PeerSettings>& peers)
    {
        std::map<HostId, Endpoint> result;
        for (const auto& peer : peers)
            result[peer.host] = peer.endpoint;
        return result;
    }

    Json::Value encodeVersion(const ConfigVersion& version)
    {
        Json::Value value(Json::objectValue);
        value["revision"] = Json::UInt64(version.revision.value());
        value["change"] = version.change.value();
        value["content"] = version.content;
        return value;
    }

    Expected<ConfigVersion> decodeVersion(const Json::Value& value)
    {
        const auto revision = unsignedMember(value, "revision");
        const auto change = stringMember(value, "change");
        const auto content = stringMember(value, "content");
        if (!revision || !change || !content)
            return fail(ErrorCode::InvalidArgument, "not a configuration version");
        return ConfigVersion { Revision(*revision), ChangeId(*change), *content };
    }

    AdminResponse errorResponse(const Error& error)
    {
        Json::Value body(Json::objectValue);
        body["error"] = errorCodeName(error.code);
        body["message"] = error.message;
        const int status = error.code == ErrorCode::Conflict ? statusConflict
            : error.code == ErrorCode::Unavailable           ? statusUnavailable
                                                             : statusBadRequest;
        return { status, "application/json", toJsonText(body) + '\n' };
    }

    AdminResponse jsonResponse(const Json::Value& body)
    {
        return { statusOk, "application/json", toJsonText(body) + '\n' };
    }

} // namespace

class Node::Impl {
public:
    explicit Impl(Settings settings)
        : m_settings(std::move(settings))
        , m_log(openDecisionLog(m_settings.place.host, m_settings.logFile))
        , m_strand(asio::make_strand(m_context))
        , m_dispatcher(m_settings.place, std::random_device {}(), *m_log)
        , m_table(m_dispatcher, m_clock)
        , m_transport(
              m_context.get_executor(), m_settings.place.host, endpointsOf(m_settings.peers))
        , m_entry(m_context, m_table)
        , m_tick(m_strand)
    {
    }

    Expected<void> start()
    {
        registerPeerMethods();
        registerAdminPaths();
        if (auto bound = m_transport.listen(m_settings.peer); !bound)
            return bound;
        if (auto bound = m_admin.listen(m_settings.admin); !bound)
            return bound;
        if (m_settings.entry) {
            if (auto bound = m_entry.listen(*m_settings.entry); !bound)
                return bound;
        }
        scheduleTick();
        return {};
    }

    void run()
    {
        asio::signal_set signals(m_context, SIGTERM, SIGINT);
        signals.async_wait([this](std::error_code, int) { stop(); });
        std::vector<std::thread> workers;
        for (unsigned i = 0; i < m_settings.workers; ++i)
            workers.emplace_back([this] { m_context.run(); });
        for (auto& worker : workers)
            worker.join();
        m_admin.stop();
    }

private:
    void stop()
    {
        m_entry.drain([this] {
            m_transport.stop();
            m_context.stop();
        });
    }

    /// Runs `function` on the control strand and waits; for admin threads only.
    template <class Function> AdminResponse onStrand(Function function)
    {
        std::promise<AdminResponse> promise;
        auto future = promise.get_future();
        asio::post(m_strand, [&] { promise.set_value(function()); });
        return future.get();
    }

    void registerPeerMethods()
    {
        acceptOnStrand(methodInstances, [this](const PeerMessage& message) {
            for (const auto& item : message.params["records"]) {
                if (const auto record = decodeInstance(item))
                    mergeInstance(*record);
            }
        });
        acceptOnStrand(methodVersion, [this](const PeerMessage& message) {
            if (const auto version = decodeVersion(message.params))
                adopt(*version);
        });
        acceptOnStrand(methodRevision, [this](const PeerMessage& message) {
            const auto revision = unsignedMember(message.params, "revision");
            if (revision && Revision(*revision) < m_config.current().revision)
                send(message.from, methodVersion, encodeVersion(m_config.current()));
        });
    }

    void acceptOnStrand(const char* method, std::function<void(const PeerMessage&)> handler)
    {
        m_transport.accept(method, [this, handler = std::move(handler)](PeerMessage message) {
            asio::post(m_strand, [handler, message = std::move(message)] { handler(message); });
        });
    }

    void registerAdminPaths()
    {
        m_admin.handle("GET", "/healthz", [](const AdminRequest&) {
            return AdminResponse { statusOk, "text/plain", "ok\n" };
        });
        m_admin.handle("POST", "/v1/announce", [this](const AdminRequest& request) {
            return onStrand([&] { return announce(request); });
        });
        m_admin.handle("GET", "/v1/status",
            [this](const AdminRequest&) { return onStrand([&] { return status(); }); });
        if (m_settings.control)
            m_admin.handle("POST", "/v1/config", [this](const AdminRequest& request) {
                return onStrand([&] { return submit(request); });
            });
    }

    AdminResponse announce(const AdminRequest& request)
    {
        const auto value = parseJson(request.body);
        if (!value)
            return errorResponse(value.error());
        const auto record = decodeInstance(*value);
        if (!record)
            return errorResponse(record.error());
        if (mergeInstance(*record)) {
            Json::Value params(Json::objectValue);
            params["records"].append(encodeInstance(*record));
            broadcast(methodInstances, params);
        }
        return jsonResponse(Json::Value(Json::objectValue));
    }

    AdminResponse status()
    {
        Json::Value body(Json::objectValue);
        body["host"] = m_settings.place.host.value();
        body["revision"] = Json::UInt64(m_config.current().revision.value());
        body["instances"] = Json::UInt64(m_directory.size());
        return jsonResponse(body);
    }

    AdminResponse submit(const AdminRequest& request)
    {
        const auto value = parseJson(request.body);
        if (!value)
            return errorResponse(value.error());
        const auto id = stringMember(*value, "change");
        const auto expected = unsignedMember(*value, "expected");
        const auto content = stringMember(*value, "content");
        if (!id || !expected || !content)
            return errorResponse(
                { ErrorCode::InvalidArgument, "a change needs change, expected and content" });
        Findings findings;
        readConfiguration(*content, "content", findings);
        if (findings.hasErrors())
            return errorResponse(
                { ErrorCode::InvalidArgument, formatFinding(findings.sorted().front()) });
        const auto revision = m_ledger.apply({ ChangeId(*id), Revision(*expected), *content });
        if (!revision)
            return errorResponse(revision.error());
        if (adopt(m_ledger.current()))
            broadcast(methodVersion, encodeVersion(m_ledger.current()));
        Json::Value body(Json::objectValue);
        body["revision"] = Json::UInt64(revision->value());
        return jsonResponse(body);
    }

    bool mergeInstance(const InstanceRecord& record)
    {
        if (!m_directory.merge(record, m_clock.now()))
            return false;
        m_table.with([&](Dispatcher& dispatcher, TimePoint now) {
            dispatcher.upsertInstance(record, now);
            return true;
        });
        return true;
    }

    bool adopt(const ConfigVersion& version)
    {
        if (!m_config.offer(version))
            return false;
        Findings findings;
        const Configuration configuration = readConfiguration(version.content, "content", findings);
        m_table.with(
            [&](Dispatcher& dispatcher, TimePoint) { dispatcher.setConfiguration(configuration); });
        Decision decision { "config", "in-force" };
        decision.facts["revision"] = Json::UInt64(version.revision.value());
        m_log->record(decision);
        return true;
    }

    void scheduleTick()
    {
        m_tick.expires_after(tickInterval);
        m_tick.async_wait([this](std::error_code code) {
            if (code)
                return;
            tick();
            scheduleTick();
        });
    }

    void tick()
    {
        for (const auto& id : m_directory.expire(m_clock.now()))
            m_table.with(
                [&](Dispatcher& dispatcher, TimePoint now) { dispatcher.removeInstance(id, now); });
        Json::Value params(Json::objectValue);
        params["revision"] = Json::UInt64(m_config.current().revision.value());
        broadcast(methodRevision, params);
    }

    void send(const HostId& to, const char* method, const Json::Value& params)
    {
        m_transport.send({ m_settings.place.host, to, method, params });
    }

    void broadcast(const char* method, const Json::Value& params)
    {
        for (const auto& peer : m_settings.peers)
            send(peer.host, method, params);
    }

    Settings m_settings;
    SteadyClock m_clock;
    std::unique_ptr<DecisionLog> m_log;
    asio::io_context m_context;
    asio::strand<asio::io_context::executor_type> m_strand;
    Dispatcher m_dispatcher;
    DispatchTable m_table;
    PeerTransport m_transport;
    EntryServer m_entry;
    AdminServer m_admin;
    ConfigLedger m_ledger;
    ConfigHolder m_config;
    InstanceDirectory m_directory;
    asio::steady_timer m_tick;
};

Node::Node(Settings settings)
    : m_impl(std::make_unique<Impl>(std::move(settings)))
{
}

Node::~Node() = default;

Expected<void> Node::start() { return m_impl->start(); }
void Node::run() { m_impl->run(); }

} // namespace laburnum
