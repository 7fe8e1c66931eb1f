#include "loopback_test.h"

#include <poll.h>
#include <sys/socket.h>

#include <asio/write.hpp>
#include <catch2/catch.hpp>

namespace laburnum::test {

using asio::ip::tcp;

namespace {

    constexpr int readLimitMillis = 20000;
    /// A peer that accepts nothing for this long is taken to read nothing.
    constexpr int blockedMillis = 100;
    constexpr auto signalTimeout = std::chrono::seconds(20);
    constexpr unsigned workerCount = 2;

    tcp::endpoint loopback(std::uint16_t port)
    {
        return { asio::ip::address_v4::loopback(), port };
    }

} // namespace

Connection::Connection(tcp::socket socket)
    : m_socket(std::move(socket))
{
}

void Connection::send(std::string_view text) { trySend(text); }

bool Connection::trySend(std::string_view text)
{
    std::error_code code;
    asio::write(m_socket, asio::buffer(text), code);
    return !code;
}

std::size_t Connection::sendUntilBlocked(char byte)
{
    const std::string bytes(std::size_t { 64 } * 1024, byte);
    std::size_t sent = 0;
    pollfd waiting { m_socket.native_handle(), POLLOUT, 0 };
    while (::poll(&waiting, 1, blockedMillis) == 1) {
        const ssize_t count = ::send(
            m_socket.native_handle(), bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        if (count < 0)
            break;
        sent += static_cast<std::size_t>(count);
    }
    return sent;
}

bool Connection::readMore()
{
    pollfd waiting { m_socket.native_handle(), POLLIN, 0 };
    if (::poll(&waiting, 1, readLimitMillis) != 1)
        return false;
    std::array<char, 65536> bytes {};
    std::error_code code;
    const std::size_t count = m_socket.read_some(asio::buffer(bytes), code);
    m_reset = m_reset || code == asio::error::connection_reset;
    m_pending.append(bytes.data(), count);
    return count > 0;
}

std::string Connection::readUntil(std::string_view marker)
{
    std::size_t at = m_pending.find(marker);
    while (at == std::string::npos && readMore())
        at = m_pending.find(marker);
    const std::size_t size = at == std::string::npos ? m_pending.size() : at + marker.size();
    std::string result = m_pending.substr(0, size);
    m_pending.erase(0, size);
    return result;
}

std::string Connection::readBytes(std::size_t count)
{
    while (m_pending.size() < count && readMore()) { }
    std::string result = m_pending.substr(0, count);
    m_pending.erase(0, result.size());
    return result;
}

std::string Connection::readAll()
{
    while (readMore()) { }
    return std::exchange(m_pending, {});
}

std::string Connection::readMessage()
{
    std::string head = readHead();
    const auto at = head.find("Content-Length: ");
    if (at == std::string::npos)
        return head;
    return head + readBytes(std::stoul(head.substr(at + 16)));
}

bool Connection::peerCloses()
{
    pollfd waiting { m_socket.native_handle(), POLLIN, 0 };
    return ::poll(&waiting, 1, readLimitMillis) == 1 && !readMore();
}

bool Connection::waitForClose()
{
    pollfd waiting { m_socket.native_handle(), POLLRDHUP, 0 };
    return ::poll(&waiting, 1, readLimitMillis) == 1;
}

void Connection::setNoDelay()
{
    std::error_code ignored;
    m_socket.set_option(tcp::no_delay(true), ignored);
}

void Connection::closeSending()
{
    std::error_code ignored;
    m_socket.shutdown(tcp::socket::shutdown_send, ignored);
}

void Connection::close()
{
    const std::lock_guard lock(*m_closeMutex);
    std::error_code ignored;
    m_socket.close(ignored);
}

void Connection::reset()
{
    const std::lock_guard lock(*m_closeMutex);
    std::error_code ignored;
    m_socket.set_option(tcp::socket::linger(true, 0), ignored);
    m_socket.close(ignored);
}

void Connection::interrupt()
{
    const std::lock_guard lock(*m_closeMutex);
    if (m_socket.is_open())
        ::shutdown(m_socket.native_handle(), SHUT_RDWR);
}

ScriptedUpstream::ScriptedUpstream(Script script)
    : m_script(std::move(script))
    , m_acceptor(m_context, loopback(0))
    , m_acceptThread([this] { acceptLoop(); })
{
}

ScriptedUpstream::~ScriptedUpstream()
{
    ::shutdown(m_acceptor.native_handle(), SHUT_RDWR);
    m_acceptThread.join();
    for (const auto& connection : m_connections)
        connection->interrupt();
    for (auto& worker : m_workers)
        worker.join();
}

void ScriptedUpstream::acceptLoop()
{
    while (true) {
        std::error_code code;
        tcp::socket socket(m_context);
        m_acceptor.accept(socket, code);
        if (code)
            return;
        auto connection = std::make_shared<Connection>(std::move(socket));
        const std::lock_guard lock(m_mutex);
        m_connections.push_back(connection);
        m_workers.emplace_back(
            [this, connection, index = m_accepted++] { m_script(*connection, index); });
    }
}

Endpoint ScriptedUpstream::endpoint() const
{
    return { "127.0.0.1", m_acceptor.local_endpoint().port() };
}

int ScriptedUpstream::accepted()
{
    const std::lock_guard lock(m_mutex);
    return m_accepted;
}

EntryFixture::EntryFixture(const EntryOptions& options, ClaimClient* claims, Duration deadline)
    : m_dispatcher({ HostId("e1") }, 1, m_log)
    , m_sharedDispatcher(m_dispatcher, m_clock)
    , m_server(
          std::make_unique<EntryServer>(m_context, m_sharedDispatcher, options, claims, &m_log))
    , m_work(m_context.get_executor())
{
    Configuration configuration;
    ServiceSpec spec;
    spec.name = ServiceId("s");
    spec.deadline = deadline;
    spec.retryPercent = 100;
    configuration.services.push_back(spec);
    configuration.routes.push_back({ "", "/s", {}, ServiceId("s") });
    m_dispatcher.setConfiguration(configuration);
    REQUIRE(m_server->listen({ "127.0.0.1", 0 }).has_value());
    for (unsigned i = 0; i < workerCount; ++i)
        m_workers.emplace_back([this] { m_context.run(); });
}

EntryFixture::~EntryFixture()
{
    m_context.stop();
    for (auto& worker : m_workers)
        worker.join();
}

void EntryFixture::addInstance(const Endpoint& endpoint, std::uint32_t slots)
{
    InstanceRecord record;
    record.id = InstanceId("i" + std::to_string(m_instances++));
    record.service = ServiceId("s");
    record.endpoint = endpoint;
    record.slots = slots;
    record.connections = 1000;
    m_sharedDispatcher.with([&](Dispatcher& dispatcher, TimePoint now) {
        dispatcher.upsertInstance(record, now);
        return true;
    });
}

Connection EntryFixture::connect()
{
    tcp::socket socket(m_context);
    socket.connect(loopback(m_server->localEndpoint().port));
    return Connection(std::move(socket));
}

std::string EntryFixture::exchange(const std::string& request)
{
    Connection caller = connect();
    caller.send(request);
    return caller.readAll();
}

void Signal::set()
{
    const std::lock_guard lock(m_mutex);
    m_set = true;
    m_condition.notify_all();
}

bool Signal::wait()
{
    std::unique_lock lock(m_mutex);
    return m_condition.wait_for(lock, signalTimeout, [this] { return m_set; });
}

std::string withoutField(std::string head, const std::string& name)
{
    const auto at = head.find("\r\n" + name + ": ");
    if (at != std::string::npos)
        head.erase(at, head.find("\r\n", at + 2) - at);
    return head;
}

ClosedPort::ClosedPort()
    : m_socket(m_context, loopback(0))
{
}

Endpoint ClosedPort::endpoint() const { return { "127.0.0.1", m_socket.local_endpoint().port() }; }

ScriptedUpstream::Script respondAlways(const std::string& body)
{
    return [body](Connection& connection, int) {
        while (!connection.readMessage().empty())
            connection.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size())
                + "\r\n\r\n" + body);
    };
}

} // namespace laburnum::test
