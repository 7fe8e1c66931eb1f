/// Test support: an entry server with scripted upstreams and callers on loopback.
#pragma once

#include <condition_variable>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <laburnumroute/entry_server.h>

namespace laburnum::test {

/// A blocking connection. Every read gives up after a limit, so that a fault fails the test.
class Connection {
public:
    explicit Connection(asio::ip::tcp::socket socket);

    /// Sends all of `text`; errors are ignored, the peer may be gone.
    void send(std::string_view text);
    /// Sends all of `text`; false when the peer is gone.
    bool trySend(std::string_view text);
    /// Reads up to and including `marker`, or to the end.
    std::string readUntil(std::string_view marker);
    /// Reads a message's head, up to and including the empty line.
    std::string readHead() { return readUntil("\r\n\r\n"); }
    std::string readBytes(std::size_t count);
    /// Reads to the end of the connection.
    std::string readAll();
    /// Reads a head and the body that its Content-Length states.
    std::string readMessage();
    /// Waits until the peer closes; false if it sends something or the limit passes.
    bool peerCloses();
    /// After a read met the end: the peer broke the connection instead of closing it.
    bool wasReset() const { return m_reset; }

    void closeSending();
    void close();
    void reset();
    /// Ends reads and writes that are under way in another thread.
    void interrupt();

private:
    bool fill();

    asio::ip::tcp::socket m_socket;
    /// Guards the closing of the socket against interrupt(), which comes from another thread.
    std::unique_ptr<std::mutex> m_closing = std::make_unique<std::mutex>();
    std::string m_pending;
    bool m_reset = false;
};

/// Accepts connections and runs a script on each in a thread of its own.
class ScriptedUpstream {
public:
    /// `index` counts the connections from 0.
    using Script = std::function<void(Connection& connection, int index)>;

    explicit ScriptedUpstream(Script script);
    ~ScriptedUpstream();

    Endpoint endpoint() const;
    /// Connections accepted so far.
    int accepted();

private:
    void acceptLoop();

    Script m_script;
    asio::io_context m_context;
    asio::ip::tcp::acceptor m_acceptor;
    std::mutex m_mutex;
    std::list<std::shared_ptr<Connection>> m_connections;
    std::list<std::thread> m_workers;
    int m_accepted = 0;
    std::thread m_acceptThread;
};

/// An entry server with one service "s" on every path below /s.
class Rig {
public:
    explicit Rig(const EntryOptions& options = {}, ClaimClient* claims = nullptr,
        Duration deadline = std::chrono::seconds(20));
    ~Rig();

    /// Adds an instance of the service; names sort in the order of addition.
    void addInstance(const Endpoint& endpoint, std::uint32_t slots = 1000);
    Connection connect();
    /// Sends `request` on a connection of its own and reads everything up to its end.
    std::string exchange(const std::string& request);
    EntryServer& server() { return *m_server; }

private:
    NullDecisionLog m_log;
    SteadyClock m_clock;
    Dispatcher m_dispatcher;
    SynchronizedDispatcher m_table;
    asio::io_context m_context;
    std::unique_ptr<EntryServer> m_server;
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    std::vector<std::thread> m_workers;
    int m_instances = 0;
};

/// Something that one thread waits for and another announces.
class Signal {
public:
    void set();
    /// False if it was not set within a generous limit.
    bool wait();

private:
    std::mutex m_mutex;
    std::condition_variable m_condition;
    bool m_set = false;
};

/// Removes the lines of `head` that start with `name`, which tests cannot know.
std::string withoutField(std::string head, const std::string& name);
/// Holds a port on which nothing listens, so that no other process takes it.
class ClosedPort {
public:
    ClosedPort();
    Endpoint endpoint() const;

private:
    asio::io_context m_context;
    asio::ip::tcp::socket m_socket;
};
/// Answers every request on the connection with 200 and `body`.
ScriptedUpstream::Script answerAlways(const std::string& body);

} // namespace laburnum::test
