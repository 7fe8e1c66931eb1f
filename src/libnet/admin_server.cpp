#include <laburnumroute/admin_server.h>

#include <algorithm>
#include <thread>

#include <httplib.h>

namespace laburnum {

namespace {

    constexpr std::size_t workerCount = 8;
    constexpr std::size_t maxBodyBytes = std::size_t { 64 } * 1024 * 1024;

    std::string lowerCase(std::string text)
    {
        std::transform(text.begin(), text.end(), text.begin(),
            [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        return text;
    }

    AdminRequest toAdminRequest(const httplib::Request& request)
    {
        AdminRequest result;
        result.body = request.body;
        for (const auto& [name, value] : request.headers)
            result.headers[lowerCase(name)] = value;
        for (const auto& [name, value] : request.params)
            result.query[name] = value;
        return result;
    }

} // namespace

struct AdminServer::Impl {
    httplib::Server server;
    std::thread thread;
};

AdminServer::AdminServer()
    : m_impl(std::make_unique<Impl>())
{
    m_impl->server.new_task_queue = [] { return new httplib::ThreadPool(workerCount); };
    m_impl->server.set_payload_max_length(maxBodyBytes);
    m_impl->server.set_keep_alive_max_count(1);
    m_impl->server.set_tcp_nodelay(true);
}

AdminServer::~AdminServer() { stop(); }

void AdminServer::handle(const std::string& method, const std::string& path, Handler handler)
{
    const auto serve = [handler = std::move(handler)](
                           const httplib::Request& request, httplib::Response& response) {
        const AdminResponse answer = handler(toAdminRequest(request));
        response.status = answer.status;
        response.set_content(answer.body, answer.contentType);
    };
    if (method == "POST")
        m_impl->server.Post(path, serve);
    else
        m_impl->server.Get(path, serve);
}

Expected<void> AdminServer::listen(const Endpoint& endpoint)
{
    if (!m_impl->server.bind_to_port(endpoint.address, endpoint.port))
        return fail(ErrorCode::Io, "listen on " + formatEndpoint(endpoint) + ": cannot bind");
    m_impl->thread = std::thread([this] { m_impl->server.listen_after_bind(); });
    return {};
}

void AdminServer::stop()
{
    if (!m_impl->thread.joinable())
        return;
    m_impl->server.stop();
    m_impl->thread.join();
}

} // namespace laburnum
