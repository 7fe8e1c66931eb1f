/// The request path of an entry host: accepts callers, asks the dispatcher, passes bytes through.
#pragma once

#include <memory>

#include <asio/io_context.hpp>

#include <laburnumroute/dispatch_table.h>
#include <laburnumroute/endpoint.h>

namespace laburnum {

/// Serves callers on one endpoint with the threads of an io_context.
class EntryServer {
public:
    EntryServer(asio::io_context& context, DispatchTable& table);
    ~EntryServer();

    /// Starts to accept. Io names the address when it cannot be bound.
    Expected<void> listen(const Endpoint& endpoint);
    /// Stops accepting; requests in flight run to their end. `done` is called once none is left.
    void drain(std::function<void()> done);
    /// Requests that are being served now.
    std::size_t inFlight() const noexcept;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace laburnum
