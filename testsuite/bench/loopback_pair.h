/// Bench support: an entry server and a tiny upstream in this process, on loopback.
#pragma once

#include <memory>
#include <thread>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <laburnumroute/entry_server.h>

namespace laburnum::bench {

/// Answers every request with a small body on one thread; reads bodies and drops them.
class TinyUpstream {
public:
    TinyUpstream();
    ~TinyUpstream();
    Endpoint endpoint() const;

private:
    struct Connection;
    void accept();

    asio::io_context m_context;
    asio::ip::tcp::acceptor m_acceptor;
    std::thread m_thread;
};

/// An entry server with one service on every path and one instance.
class LoopbackEntry {
public:
    LoopbackEntry(const Endpoint& upstream, std::uint64_t seed, unsigned workers);
    ~LoopbackEntry();
    Endpoint endpoint() const { return m_server.localEndpoint(); }
    RequestMetrics& metrics() { return m_server.metrics(); }
    /// Processor time that the server's threads used so far; read it between loads.
    Duration processorTime() const;

private:
    NullDecisionLog m_log;
    SteadyClock m_clock;
    Dispatcher m_dispatcher;
    SynchronizedDispatcher m_table;
    asio::io_context m_context;
    EntryServer m_server;
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    std::vector<std::thread> m_workers;
};

/// A blocking caller with one connection.
class LoopbackCaller {
public:
    explicit LoopbackCaller(const Endpoint& endpoint);
    /// Sends a lookup and reads its answer; false when it is not a 200.
    bool lookUp();
    /// Sends `bytes` bytes in one PUT and reads the answer.
    bool upload(std::uint64_t bytes);

private:
    bool readAnswer();

    asio::io_context m_context;
    asio::ip::tcp::socket m_socket;
};

} // namespace laburnum::bench
