/// The side door of a host: announcements, health, metrics and operators' calls, by cpp-httplib.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

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

    AdminServer();
    ~AdminServer();

    /// Registers `handler` for exact `path`; before listen(). `method` is GET or POST.
    void handle(const std::string& method, const std::string& path, Handler handler);
    /// Binds and serves in a background thread. Io names the address when it cannot be bound.
    Expected<void> listen(const Endpoint& endpoint);
    /// Stops serving and joins the thread.
    void stop();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace laburnum
