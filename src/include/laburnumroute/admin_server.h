/// A host's HTTP listeners besides the request path, by cpp-httplib: an open one for announcements,
/// health and metrics, and one with a shared key for operators.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include <laburnumroute/auth.h>
#include <laburnumroute/endpoint.h>

namespace laburnum {

/// A request to the admin address. Header names are lower-case.
struct AdminRequest {
    std::string body;
    std::map<std::string, std::string> headers;
    std::map<std::string, std::string> query;
};

/// Its answer.
struct AdminResponse {
    int status = 200;
    std::string contentType = "application/json";
    std::string body;
};

/// Serves registered paths with a small thread pool of its own. Handlers may block.
class AdminServer {
public:
    using Handler = std::function<AdminResponse(const AdminRequest&)>;

    /// Larger bodies are answered with 413.
    static constexpr std::size_t maxBodyBytes = std::size_t { 2 } * 1024 * 1024;

    /// With a key every request must carry a valid signature (see auth.h); others are answered with
    /// 401 and the reason, and no handler sees them. Without a key the listener is open.
    explicit AdminServer(std::optional<SharedKey> key = std::nullopt);
    ~AdminServer();

    /// Registers `handler` for exact `path`; before listen(). `method` is GET or POST.
    void handle(const std::string& method, const std::string& path, Handler handler);
    /// Binds and serves in a background thread. Io names the address when it cannot be bound.
    Expected<void> listen(const Endpoint& endpoint);
    /// Stops serving and joins the thread.
    void stop();
    /// Requests refused for their signature since the start, for metrics.
    std::uint64_t refusedRequests() const noexcept;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace laburnum
