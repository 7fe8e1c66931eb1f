#include <laburnumroute/admin_server.h>

#include <algorithm>
#include <atomic>
#include <thread>

#include <httplib.h>

#include <laburnumroute/json.h>

namespace laburnum {

namespace {

    constexpr std::size_t workerCount = 8;
    constexpr time_t readTimeoutSeconds = 5;
    constexpr int statusUnauthorized = 401;
    constexpr int statusUnavailable = 503;
    constexpr const char* jsonContentType = "application/json";

    WallTime wallClock()
    {
        return std::chrono::time_point_cast<WallTime::duration>(std::chrono::system_clock::now());
    }

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

    /// Lets a restarted process bind immediately. Replaces cpp-httplib's default, SO_REUSEPORT,
    /// with which two processes misconfigured to the same port would share it unnoticed.
    void setReuseAddress(socket_t socket)
    {
        const int yes = 1;
        ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    }

} // namespace

struct AdminServer::Impl {
    /// Verifies the signature of `request` if a key is set. On failure, fills `response` with the
    /// reason and returns false.
    bool authorize(const httplib::Request& request, httplib::Response& response)
    {
        if (!verifier)
            return true;
        const auto verified = verifier->verify({ request.method, request.target, request.body },
            request.get_header_value(signatureHeader), wallClock());
        if (verified)
            return true;
        ++refused;
        fillErrorResponse(verified.error(), response);
        return false;
    }

    static void fillErrorResponse(const Error& error, httplib::Response& response)
    {
        Json::Value body(Json::objectValue);
        body["error"] = errorCodeName(error.code);
        body["message"] = error.message;
        response.set_content(toJsonText(body) + '\n', jsonContentType);
        response.status = statusUnavailable;
        if (error.code == ErrorCode::PermissionDenied) {
            response.status = statusUnauthorized;
            response.set_header("WWW-Authenticate", signatureHeader);
        }
    }

    httplib::Server server;
    std::thread thread;
    std::unique_ptr<RequestVerifier> verifier;
    std::atomic<std::uint64_t> refused { 0 };
    std::atomic<bool> serverLoopEnded { false };
};

AdminServer::AdminServer(std::optional<SharedKey> key)
    : m_impl(std::make_unique<Impl>())
{
    m_impl->server.new_task_queue = [] { return new httplib::ThreadPool(workerCount); };
    m_impl->server.set_payload_max_length(maxBodyBytes);
    m_impl->server.set_keep_alive_max_count(1);
    m_impl->server.set_read_timeout(readTimeoutSeconds);
    m_impl->server.set_tcp_nodelay(true);
    m_impl->server.set_socket_options(setReuseAddress);
    if (key)
        m_impl->verifier = std::make_unique<RequestVerifier>(std::move(*key), wallClock());
}

AdminServer::~AdminServer() { stop(); }

void AdminServer::handle(const std::string& method, const std::string& path, Handler handler)
{
    const auto serve = [impl = m_impl.get(), handler = std::move(handler)](
                           const httplib::Request& request, httplib::Response& response) {
        if (!impl->authorize(request, response))
            return;
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
    m_impl->thread = std::thread([this] {
        m_impl->server.listen_after_bind();
        m_impl->serverLoopEnded = true;
    });
    // cpp-httplib ignores stop() before its loop runs; the thread would then never end.
    while (!m_impl->server.is_running() && !m_impl->serverLoopEnded)
        std::this_thread::yield();
    return {};
}

void AdminServer::stop()
{
    if (!m_impl->thread.joinable())
        return;
    m_impl->server.stop();
    m_impl->thread.join();
}

std::uint64_t AdminServer::refusedRequests() const noexcept { return m_impl->refused; }

} // namespace laburnum
