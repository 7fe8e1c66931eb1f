#include "standin_control_pvt.h"

#include <catch2/catch.hpp>

#include <sys/socket.h>

#include <asio/read_until.hpp>
#include <asio/write.hpp>

#include <laburnumroute/json.h>

namespace laburnum::ctl {

namespace {

    AdminResponse jsonResponse(const Json::Value& value, int status = 200)
    {
        return { status, "application/json", toJsonText(value) + '\n' };
    }

    AdminResponse errorResponse(int status, const std::string& message)
    {
        Json::Value value(Json::objectValue);
        value["error"] = "refused";
        value["message"] = message;
        return jsonResponse(value, status);
    }

    Json::Value hostValue(const char* name, std::uint64_t revision, bool alive)
    {
        Json::Value value(Json::objectValue);
        value["host"] = name;
        value["revision"] = Json::UInt64(revision);
        value["alive"] = alive;
        return value;
    }

    AdminResponse explain(const AdminRequest& request)
    {
        Json::Value value(Json::objectValue);
        value["service"] = "a";
        value["reason"] = request.query.at("method") + ' ' + request.query.at("host") + ' '
            + request.query.at("target");
        value["candidates"][0]["instance"] = "a-1";
        return jsonResponse(value);
    }

} // namespace

Endpoint freeEndpoint()
{
    asio::io_context context;
    const asio::ip::tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
    return { "127.0.0.1", acceptor.local_endpoint().port() };
}

StandinControl::StandinControl(std::optional<SharedKey> key)
    : m_server(std::move(key))
{
    const auto countRequests = [this](auto handler) {
        return [this, handler](const AdminRequest& request) {
            ++m_state.requests;
            return handler(request);
        };
    };
    m_server.handle("POST", "/v1/config",
        countRequests([this](const AdminRequest& request) { return submit(request); }));
    m_server.handle("GET", "/v1/config",
        countRequests([this](const AdminRequest& request) { return version(request); }));
    m_server.handle("GET", "/v1/history", countRequests([this](const auto&) { return history(); }));
    m_server.handle("GET", "/v1/status", countRequests([this](const auto&) { return status(); }));
    m_server.handle("GET", "/v1/explain", countRequests(explain));
    m_server.handle("POST", "/v1/drain",
        countRequests([this](const AdminRequest& request) { return drain(request); }));
    REQUIRE(m_server.listen(m_endpoint).has_value());
}

AdminResponse StandinControl::submit(const AdminRequest& request)
{
    ++m_state.submissions;
    const Json::Value value = parseJson(request.body).value();
    const auto revision = m_state.ledger.apply({ ChangeId(value["change"].asString()),
        Revision(value["expected"].asUInt64()), value["content"].asString() });
    if (!revision)
        return errorResponse(409, revision.error().message);
    if (m_state.versions.size() == revision->value())
        m_state.versions.push_back(m_state.ledger.current());
    if (m_state.responsesToLose-- > 0)
        return errorResponse(503, "the outcome is unknown");
    Json::Value answer(Json::objectValue);
    answer["revision"] = Json::UInt64(revision->value());
    return jsonResponse(answer);
}

AdminResponse StandinControl::version(const AdminRequest& request) const
{
    const auto requested = request.query.find("revision");
    const std::size_t index = requested == request.query.end() ? m_state.versions.size() - 1
                                                               : std::stoul(requested->second);
    if (index >= m_state.versions.size())
        return errorResponse(404, "no such revision");
    const ConfigVersion& version = m_state.versions[index];
    Json::Value answer(Json::objectValue);
    answer["revision"] = Json::UInt64(version.revision.value());
    answer["change"] = version.change.value();
    answer["content"] = version.content;
    return jsonResponse(answer);
}

AdminResponse StandinControl::history() const
{
    Json::Value answer(Json::arrayValue);
    for (std::size_t i = 1; i < m_state.versions.size(); ++i) {
        Json::Value item(Json::objectValue);
        item["revision"] = Json::UInt64(m_state.versions[i].revision.value());
        item["change"] = m_state.versions[i].change.value();
        answer.append(item);
    }
    return jsonResponse(answer);
}

AdminResponse StandinControl::status()
{
    const std::uint64_t newest = m_state.ledger.current().revision.value();
    const bool lags = newest > 0 && m_state.lagPolls-- > 0;
    Json::Value answer(Json::objectValue);
    answer["revision"] = Json::UInt64(newest);
    answer["leader"] = "c1";
    answer["hosts"].append(hostValue("c1", newest, true));
    answer["hosts"].append(hostValue("slow", lags ? newest - 1 : newest, true));
    if (m_state.deadHost)
        answer["hosts"].append(hostValue("dead", 0, false));
    return jsonResponse(answer);
}

AdminResponse StandinControl::drain(const AdminRequest& request)
{
    const std::string instance = parseJson(request.body).value()["instance"].asString();
    if (instance != "a-1")
        return errorResponse(404, "no instance '" + instance + "'");
    m_state.drained = instance;
    return jsonResponse(Json::Value(Json::objectValue));
}

FaultyControl::FaultyControl(std::string response, bool resets)
    : m_response(std::move(response))
    , m_resets(resets)
    , m_acceptor(m_context, { asio::ip::make_address("127.0.0.1"), 0 })
    , m_thread([this] { serve(); })
{
}

FaultyControl::~FaultyControl()
{
    ::shutdown(m_acceptor.native_handle(), SHUT_RDWR);
    m_thread.join();
}

std::string FaultyControl::address() const
{
    return "http://127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
}

void FaultyControl::serve()
{
    while (true) {
        std::error_code code;
        asio::ip::tcp::socket socket(m_context);
        m_acceptor.accept(socket, code);
        if (code)
            return;
        std::string request;
        asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", code);
        asio::write(socket, asio::buffer(m_response), code);
        if (m_resets)
            socket.set_option(asio::ip::tcp::socket::linger(true, 0), code);
        else
            socket.shutdown(asio::ip::tcp::socket::shutdown_send, code);
        // Whatever is left of the request does not turn the end into a reset.
        while (!m_resets && !code)
            socket.read_some(asio::buffer(request.data(), request.size()), code);
    }
}

} // namespace laburnum::ctl
