#include "peer_link_pvt.h"

#include <asio/buffer.hpp>
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>

#include <laburnumroute/peer_transport.h>

#include "http_stream_pvt.h"

namespace laburnum::pvt {

namespace {

    using asio::ip::tcp;

    constexpr auto reconnectDelay = std::chrono::milliseconds(200);
    constexpr auto connectTimeout = std::chrono::seconds(2);
    constexpr auto writeTimeout = std::chrono::seconds(10);

    std::string encodeFrame(
        const std::string& payload, std::optional<FrameAuthenticator>& authenticator)
    {
        const FrameHeader header = encodeFrameHeader(payload.size());
        std::string frame(header.begin(), header.end());
        if (authenticator)
            frame += authenticator->nextTag(payload);
        return frame + payload;
    }

} // namespace

PeerLink::PeerLink(const PeerStrand& strand, HostId peer, Endpoint endpoint,
    std::optional<SharedKey> key, std::shared_ptr<PeerCounters> counters)
    : m_strand(strand)
    , m_peer(std::move(peer))
    , m_endpoint(std::move(endpoint))
    , m_key(std::move(key))
    , m_counters(std::move(counters))
    , m_wakeTimer(strand)
    , m_ioDeadline(strand)
{
}

void PeerLink::enqueue(std::string payload)
{
    const bool tooLarge = payload.size() > PeerTransport::maxFrameBytes;
    if (m_stopped || tooLarge || m_queuedBytes + payload.size() > PeerTransport::maxQueueBytes) {
        ++m_counters->droppedMessages;
        return;
    }
    m_queuedBytes += payload.size();
    m_queue.push_back(std::move(payload));
    if (!m_running) {
        m_running = true;
        asio::co_spawn(m_strand, run(shared_from_this()), asio::detached);
    }
    if (m_queue.size() == 1)
        m_wakeTimer.cancel();
}

void PeerLink::stop()
{
    m_stopped = true;
    m_wakeTimer.cancel();
    dropQueue();
    disconnect();
}

asio::awaitable<void> PeerLink::run(std::shared_ptr<PeerLink> self)
{
    while (!self->m_stopped) {
        if (self->m_queue.empty()) {
            self->m_wakeTimer.expires_at(asio::steady_timer::time_point::max());
            co_await self->m_wakeTimer.async_wait(useTuple);
            continue;
        }
        bool connected = self->m_socket != nullptr;
        if (!connected)
            connected = co_await self->connect();
        if (connected) {
            co_await self->sendNext();
            continue;
        }
        self->dropQueue();
        if (self->m_stopped)
            break;
        self->m_wakeTimer.expires_after(reconnectDelay);
        co_await self->m_wakeTimer.async_wait(useTuple);
    }
}

asio::awaitable<bool> PeerLink::connect()
{
    std::error_code code;
    const tcp::endpoint address(asio::ip::make_address(m_endpoint.address, code), m_endpoint.port);
    if (code)
        co_return false;
    m_socket = std::make_shared<tcp::socket>(m_strand);
    const Socket socket = m_socket;
    setDeadline(connectTimeout);
    std::tie(code) = co_await socket->async_connect(address, useTuple);
    bool ready = !code;
    if (ready && m_key)
        ready = co_await receiveChallenge();
    m_ioDeadline.cancel();
    if (!ready || m_socket != socket) {
        disconnect();
        co_return false;
    }
    socket->set_option(tcp::no_delay(true), code);
    asio::co_spawn(m_strand, watchForClose(shared_from_this(), socket), asio::detached);
    co_return true;
}

asio::awaitable<bool> PeerLink::receiveChallenge()
{
    const Socket socket = m_socket;
    if (!socket)
        co_return false;
    std::string challenge(challengeBytes, '\0');
    const auto [code, count]
        = co_await asio::async_read(*socket, asio::buffer(challenge), useTuple);
    if (code)
        co_return false;
    m_counters->receivedBytes += count;
    m_authenticator.emplace(*m_key, challenge, m_peer);
    co_return true;
}

/// Detects that the peer closed the connection, so that the next message opens a new one instead of
/// being lost on the old one. The peer sends nothing after its challenge.
asio::awaitable<void> PeerLink::watchForClose(std::shared_ptr<PeerLink> self, Socket socket)
{
    std::array<char, 1> byte {};
    co_await asio::async_read(*socket, asio::buffer(byte), useTuple);
    if (self->m_socket == socket)
        self->disconnect();
}

asio::awaitable<void> PeerLink::sendNext()
{
    const Socket socket = m_socket;
    const std::string payload = std::move(m_queue.front());
    m_queue.pop_front();
    m_queuedBytes -= payload.size();
    const std::string frame = encodeFrame(payload, m_authenticator);
    setDeadline(writeTimeout);
    const auto [code, count] = co_await asio::async_write(*socket, asio::buffer(frame), useTuple);
    m_ioDeadline.cancel();
    m_counters->sentBytes += count;
    if (!code)
        co_return;
    ++m_counters->droppedMessages;
    if (m_socket == socket)
        disconnect();
}

void PeerLink::setDeadline(std::chrono::seconds timeout)
{
    m_ioDeadline.expires_after(timeout);
    m_ioDeadline.async_wait([weak = std::weak_ptr(m_socket)](std::error_code code) {
        const auto socket = weak.lock();
        std::error_code ignored;
        if (!code && socket)
            socket->close(ignored);
    });
}

void PeerLink::disconnect()
{
    std::error_code ignored;
    if (m_socket)
        m_socket->close(ignored);
    m_socket.reset();
    m_authenticator.reset();
}

void PeerLink::dropQueue()
{
    m_counters->droppedMessages += m_queue.size();
    m_queue.clear();
    m_queuedBytes = 0;
}

} // namespace laburnum::pvt
