/// HTTP server for a host's control interfaces, apart from the request path, built on cpp-httplib.
/// A host runs one without authentication for announcements, health and metrics, and one with a
/// shared key for operators.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include <laburnumroute/auth.h>
#include <laburnumroute/endpoint.h>

namespace laburnum {

/// A request to an AdminServer. Header names are lower-case.
struct AdminRequest {
    std::string body;
    std::map<std::string, std::string> headers;
    std::map<std::string, std::string> query;
};

struct AdminResponse {
    int status = 200;
    std::string contentType = "application/json";
    std::string body;
};

/// Serves registered paths on its own thread pool. Handlers may block.
class AdminServer {
public:
    using Handler = std::function<AdminResponse(const AdminRequest&)>;

    /// Requests with a larger body are answered with 413.
    static constexpr std::size_t maxBodyBytes = std::size_t { 2 } * 1024 * 1024;

    /// With a key, every request must carry a valid signature (see auth.h). Other requests are
    /// answered with 401 and the reason and do not reach a handler. Without a key, requests are not
    /// authenticated.
    explicit AdminServer(std::optional<SharedKey> key = std::nullopt);
    ~AdminServer();

    /// Registers `handler` for exactly `path`. Call before listen(). `method` is GET or POST.
    void handle(const std::string& method, const std::string& path, Handler handler);
    /// Binds `endpoint` and serves in a background thread. Fails with Io, naming the address, when
    /// it cannot be bound.
    Expected<void> listen(const Endpoint& endpoint);
    /// Stops serving and joins the background thread.
    void stop();
    /// Number of requests refused because of their signature since the start, for metrics.
    std::uint64_t refusedRequests() const noexcept;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace laburnum
