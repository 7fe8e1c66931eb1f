#include "peer_listener_pvt.h"

#include <asio/buffer.hpp>
#include <asio/co_spawn.hpp>
#include <asio/completion_condition.hpp>
#include <asio/detached.hpp>
#include <asio/read.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include <laburnumroute/peer_transport.h>

#include "asio_endpoint_pvt.h"
#include "http_stream_pvt.h"

namespace laburnum::pvt {

namespace {

    using asio::ip::tcp;

    /// Delay after a failed accept, for example when the process is out of file descriptors.
    constexpr auto acceptRetryDelay = std::chrono::milliseconds(100);

} // namespace

PeerListener::PeerListener(const PeerStrand& strand, HostId self, std::optional<SharedKey> key,
    std::shared_ptr<PeerCounters> counters, Handler handler)
    : m_strand(strand)
    , m_self(std::move(self))
    , m_key(std::move(key))
    , m_counters(std::move(counters))
    , m_handler(std::move(handler))
    , m_acceptor(strand)
{
}

Expected<void> PeerListener::listen(const Endpoint& endpoint)
{
    std::error_code code;
    const tcp::endpoint address(asio::ip::make_address(endpoint.address, code), endpoint.port);
    if (!code)
        code = openAcceptor(m_acceptor, address);
    if (code)
        return fail(ErrorCode::Io, "listen on " + formatEndpoint(endpoint) + ": " + code.message());
    asio::co_spawn(m_strand, acceptLoop(shared_from_this()), asio::detached);
    return {};
}

void PeerListener::stop()
{
    std::error_code ignored;
    m_acceptor.close(ignored);
    for (const auto& weak : m_connections) {
        if (const auto socket = weak.lock())
            socket->close(ignored);
    }
}

asio::awaitable<void> PeerListener::acceptLoop(std::shared_ptr<PeerListener> self)
{
    asio::steady_timer retryTimer(self->m_strand);
    while (self->m_acceptor.is_open()) {
        auto [code, accepted] = co_await self->m_acceptor.async_accept(useTuple);
        if (!code) {
            self->addConnection(std::move(accepted));
            continue;
        }
        retryTimer.expires_after(acceptRetryDelay);
        co_await retryTimer.async_wait(useTuple);
    }
}

void PeerListener::addConnection(tcp::socket accepted)
{
    std::erase_if(m_connections, [](const auto& weak) { return weak.expired(); });
    if (m_connections.size() >= PeerTransport::maxIncomingConnections)
        return;
    const auto socket = std::make_shared<tcp::socket>(std::move(accepted));
    m_connections.push_back(socket);
    asio::co_spawn(m_strand, serve(shared_from_this(), socket), asio::detached);
}

asio::awaitable<void> PeerListener::serve(std::shared_ptr<PeerListener> self, Socket socket)
{
    std::optional<FrameAuthenticator> authenticator;
    bool open = true;
    if (self->m_key)
        open = co_await self->sendChallenge(socket, authenticator);
    while (open)
        open = co_await self->readFrame(socket, authenticator);
    std::error_code ignored;
    socket->close(ignored);
}

asio::awaitable<bool> PeerListener::sendChallenge(
    const Socket& socket, std::optional<FrameAuthenticator>& authenticator)
{
    const std::string challenge = randomBytes(challengeBytes);
    authenticator.emplace(*m_key, challenge, m_self);
    const auto [code, count]
        = co_await asio::async_write(*socket, asio::buffer(challenge), useTuple);
    m_counters->sentBytes += count;
    co_return !code;
}

asio::awaitable<bool> PeerListener::readFrame(
    const Socket& socket, std::optional<FrameAuthenticator>& authenticator)
{
    FrameHeader header {};
    const auto [headerCode, headerCount]
        = co_await asio::async_read(*socket, asio::buffer(header), useTuple);
    m_counters->receivedBytes += headerCount;
    if (headerCode)
        co_return false;
    const std::size_t payloadBytes = decodeFrameHeader(header);
    if (payloadBytes > PeerTransport::maxFrameBytes) {
        ++m_counters->refusedFrames;
        co_return false;
    }
    // The buffer grows with the received bytes, not to the length announced in the header, so that
    // a peer cannot make this process allocate memory by sending a header alone.
    std::string tagAndPayload;
    const std::size_t tagBytes = authenticator ? frameTagBytes : 0;
    const auto [code, count]
        = co_await asio::async_read(*socket, asio::dynamic_buffer(tagAndPayload),
            asio::transfer_exactly(tagBytes + payloadBytes), useTuple);
    m_counters->receivedBytes += count;
    if (code)
        co_return false;
    const std::string payload = tagAndPayload.substr(tagBytes);
    const bool authentic
        = !authenticator || authenticator->verifyNext(payload, tagAndPayload.substr(0, tagBytes));
    if (authentic && m_handler(payload))
        co_return true;
    ++m_counters->refusedFrames;
    co_return false;
}

} // namespace laburnum::pvt
