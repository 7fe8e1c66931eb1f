/// HTTP server for a process's own interface: announcements, operator commands, readiness and
/// metrics. Runs on the thread of the io_context. Handlers may reply asynchronously.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include <asio/io_context.hpp>

#include <laburnumroute/endpoint.h>
#include <laburnumroute/web_message.h>

namespace laburnum {

class WebServer {
public:
    using Reply = std::function<void(WebResponse)>;
    /// Must call `reply` exactly once, before or after returning.
    using Handler = std::function<void(const WebRequest& request, Reply reply)>;

    /// Requests with a larger body are answered with 413.
    static constexpr std::size_t maxBodyBytes = std::size_t { 8 } << 20U;

    WebServer(asio::io_context& context, Handler handler);
    ~WebServer();

    /// Starts listening. Fails with Io, naming the address, when it cannot be bound.
    Expected<void> listen(const Endpoint& endpoint);
    /// Stops accepting connections.
    void close();

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace laburnum
