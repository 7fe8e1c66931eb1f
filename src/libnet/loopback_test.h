/// Test support: an entry server with scripted upstreams and callers on the loopback interface.
#pragma once

#include <algorithm>
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

/// A blocking connection. Reads have a timeout, so that a fault fails the test.
class Connection {
public:
    explicit Connection(asio::ip::tcp::socket socket);

    /// Sends all of `text`. Errors are ignored because the peer may have disconnected.
    void send(std::string_view text);
    /// Sends all of `text`. Returns false if the peer has disconnected.
    bool trySend(std::string_view text);
    /// Sends copies of `byte` until the peer accepts no more for a while. Returns how many were
    /// sent.
    std::size_t sendUntilBlocked(char byte);
    /// Reads up to and including `marker`, or to the end of the connection.
    std::string readUntil(std::string_view marker);
    /// Reads a message head, up to and including the empty line.
    std::string readHead() { return readUntil("\r\n\r\n"); }
    std::string readBytes(std::size_t count);
    /// Reads to the end of the connection.
    std::string readAll();
    /// Reads a head and, if it has a Content-Length, the body.
    std::string readMessage();
    /// Waits until the peer closes. Returns false if it sends something or on timeout.
    bool peerCloses();
    /// Waits until the peer closes or resets, reading nothing. Returns false on timeout.
    bool waitForClose();
    /// After the end of the connection: whether the peer reset it instead of closing it.
    bool wasReset() const { return m_reset; }

    /// Sends each part of a message in a segment of its own.
    void setNoDelay();
    void closeSending();
    void close();
    void reset();
    /// Ends reads and writes in progress in another thread.
    void interrupt();

private:
    bool readMore();

    asio::ip::tcp::socket m_socket;
    /// Serializes closing the socket with interrupt(), which is called from another thread.
    std::unique_ptr<std::mutex> m_closeMutex = std::make_unique<std::mutex>();
    std::string m_pending;
    bool m_reset = false;
};

/// Accepts connections and runs a script for each in its own thread.
class ScriptedUpstream {
public:
    /// `index` counts the connections from 0.
    using Script = std::function<void(Connection& connection, int index)>;

    explicit ScriptedUpstream(Script script);
    ~ScriptedUpstream();

    Endpoint endpoint() const;
    /// Number of connections accepted so far.
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

/// Thread-safe list of lines in order of arrival, with a blocking read.
class RecordedLines {
public:
    void add(const std::string& line)
    {
        const std::lock_guard lock(m_mutex);
        m_lines.push_back(line);
        m_condition.notify_all();
    }
    /// Waits until there are at least `count` lines or a timeout of 5 s passes, and returns the
    /// lines.
    std::vector<std::string> wait(std::size_t count)
    {
        std::unique_lock lock(m_mutex);
        m_condition.wait_for(
            lock, std::chrono::seconds(5), [&] { return m_lines.size() >= count; });
        return m_lines;
    }
    /// Waits until a line contains all of `parts`. Returns false on a timeout of 5 s.
    bool waitFor(const std::vector<std::string>& parts)
    {
        const auto matches = [&](const std::string& line) {
            return std::all_of(parts.begin(), parts.end(),
                [&](const std::string& part) { return line.find(part) != std::string::npos; });
        };
        std::unique_lock lock(m_mutex);
        return m_condition.wait_for(lock, std::chrono::seconds(5),
            [&] { return std::any_of(m_lines.begin(), m_lines.end(), matches); });
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_condition;
    std::vector<std::string> m_lines;
};

/// An entry server with one service "s", routed by the path prefix /s.
class EntryFixture {
public:
    explicit EntryFixture(const EntryOptions& options = {}, ClaimClient* claims = nullptr,
        Duration deadline = std::chrono::seconds(20));
    ~EntryFixture();

    /// Adds an instance of the service. The ids sort in the order of addition.
    void addInstance(const Endpoint& endpoint, std::uint32_t slots = 1000);
    Connection connect();
    /// Sends `request` on a new connection and reads to the end of the connection.
    std::string exchange(const std::string& request);
    EntryServer& server() { return *m_server; }
    /// Every decision as a log line.
    RecordedLines& decisions() { return m_log.lines; }

private:
    struct RecordingLog final : DecisionLog {
        void record(const Decision& decision) override { lines.add(formatDecision(decision)); }
        RecordedLines lines;
    };

    RecordingLog m_log;
    SteadyClock m_clock;
    Dispatcher m_dispatcher;
    SynchronizedDispatcher m_sharedDispatcher;
    asio::io_context m_context;
    std::unique_ptr<EntryServer> m_server;
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    std::vector<std::thread> m_workers;
    int m_instances = 0;
};

/// One-shot event between threads.
class Signal {
public:
    void set();
    /// Returns false on timeout.
    bool wait();

private:
    std::mutex m_mutex;
    std::condition_variable m_condition;
    bool m_set = false;
};

/// Removes the field `name`, whose value a test cannot predict, from `head`.
std::string withoutField(std::string head, const std::string& name);
/// Reserves a port without listening on it, so that no other process can use it.
class ClosedPort {
public:
    ClosedPort();
    Endpoint endpoint() const;

private:
    asio::io_context m_context;
    asio::ip::tcp::socket m_socket;
};
/// Responds to every request on the connection with 200 and `body`.
ScriptedUpstream::Script respondAlways(const std::string& body);

} // namespace laburnum::test
