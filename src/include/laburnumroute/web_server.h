/// A small HTTP server for calls to a process itself: announcements, operators, readiness, metrics.
/// Runs on the io_context's one thread; a call may be answered later.
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
    /// Calls `reply` once, now or later.
    using Handler = std::function<void(const WebRequest& request, Reply reply)>;

    /// Larger bodies are answered with 413.
    static constexpr std::size_t maxBodyBytes = std::size_t { 8 } << 20U;

    WebServer(asio::io_context& context, Handler handler);
    ~WebServer();

    /// Io names the address when it cannot be bound.
    Expected<void> listen(const Endpoint& endpoint);
    /// Stops accepting.
    void close();

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace laburnum
