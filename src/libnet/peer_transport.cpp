#include <laburnumroute/peer_transport.h>

#include <array>
#include <atomic>
#include <deque>
#include <mutex>

#include <asio/awaitable.hpp>
#include <asio/buffer.hpp>
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/read.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>
#include <asio/write.hpp>

#include <laburnumroute/json_rpc.h>

#include "http_stream_pvt.h"

namespace laburnum {

namespace {

    using asio::ip::tcp;
    using pvt::useTuple;

    constexpr auto reconnectPause = std::chrono::milliseconds(200);
    constexpr std::size_t lengthBytes = 4;

    std::string frameOf(const std::string& text)
    {
        std::string frame;
        frame.reserve(lengthBytes + text.size());
        for (int shift = 24; shift >= 0; shift -= 8)
            frame.push_back(static_cast<char>((text.size() >> shift) & 0xff));
        return frame + text;
    }

    std::size_t lengthOf(const std::array<unsigned char, lengthBytes>& bytes)
    {
        std::size_t length = 0;
        for (const unsigned char byte : bytes)
            length = (length << 8) | byte;
        return length;
    }

} // namespace

class PeerTransport::Impl : public std::enable_shared_from_this<PeerTransport::Impl> {
public:
    Impl(
        const asio::any_io_executor& executor, HostId self, const std::map<HostId, Endpoint>& peers)
        : m_strand(asio::make_strand(executor))
        , m_self(std::move(self))
        , m_acceptor(m_strand)
    {
        for (const auto& [id, endpoint] : peers)
            m_links.emplace(id, std::make_unique<Link>(m_strand, endpoint));
    }

    void accept(const std::string& method, const Receiver& receiver)
    {
        m_dispatcher.add(method, [this, method, receiver](const Json::Value& params) {
            if (params.isObject() && params["from"].isString())
                receiver({ HostId(params["from"].asString()), m_self, method, params["body"] });
        });
    }

    Expected<void> listen(const Endpoint& endpoint)
    {
        std::error_code code;
        const tcp::endpoint address(asio::ip::make_address(endpoint.address, code), endpoint.port);
        if (!code)
            m_acceptor.open(address.protocol(), code);
        if (!code)
            m_acceptor.set_option(tcp::acceptor::reuse_address(true), code);
        if (!code)
            m_acceptor.bind(address, code);
        if (!code)
            m_acceptor.listen(tcp::acceptor::max_listen_connections, code);
        if (code)
            return fail(
                ErrorCode::Io, "listen on " + formatEndpoint(endpoint) + ": " + code.message());
        asio::co_spawn(m_strand, acceptLoop(shared_from_this()), asio::detached);
        return {};
    }

    void send(PeerMessage message)
    {
        Json::Value params(Json::objectValue);
        params["from"] = m_self.value();
        params["body"] = std::move(message.params);
        std::string frame = frameOf(encodeNotification(message.method, params));
        asio::post(m_strand,
            [self = shared_from_this(), to = std::move(message.to), frame = std::move(frame)] {
                self->enqueue(to, frame);
            });
    }

    void stop()
    {
        asio::post(m_strand, [self = shared_from_this()] {
            self->m_stopped = true;
            std::error_code ignored;
            self->m_acceptor.close(ignored);
            for (auto& [id, link] : self->m_links) {
                link->socket.close(ignored);
                link->wake.cancel();
            }
            for (const auto& weak : self->m_incoming) {
                if (const auto socket = weak.lock())
                    socket->close(ignored);
            }
        });
    }

    std::uint64_t sentBytes() const noexcept { return m_sent; }
    std::uint64_t receivedBytes() const noexcept { return m_received; }

private:
    using Strand = asio::strand<asio::any_io_executor>;

    /// The outgoing connection to one peer and what waits for it.
    struct Link {
        Link(const Strand& strand, Endpoint e)
            : endpoint(std::move(e))
            , socket(strand)
            , wake(strand)
        {
        }
        Endpoint endpoint;
        tcp::socket socket;
        asio::steady_timer wake;
        std::deque<std::string> queue;
        std::size_t queuedBytes = 0;
        bool running = false;
    };

    void enqueue(const HostId& to, const std::string& frame)
    {
        const auto found = m_links.find(to);
        if (found == m_links.end() || m_stopped)
            return;
        Link& link = *found->second;
        if (link.queuedBytes + frame.size() > maxQueueBytes)
            return;
        link.queuedBytes += frame.size();
        link.queue.push_back(frame);
        if (!link.running) {
            link.running = true;
            asio::co_spawn(m_strand, writeLoop(shared_from_this(), link), asio::detached);
        }
        link.wake.cancel();
    }

    static asio::awaitable<void> writeLoop(std::shared_ptr<Impl> self, Link& link)
    {
        while (!self->m_stopped) {
            if (link.queue.empty()) {
                link.wake.expires_at(asio::steady_timer::time_point::max());
                co_await link.wake.async_wait(useTuple);
                continue;
            }
            const bool connected = link.socket.is_open() || co_await connect(link);
            if (!connected) {
                link.queue.clear();
                link.queuedBytes = 0;
                link.wake.expires_after(reconnectPause);
                co_await link.wake.async_wait(useTuple);
                continue;
            }
            const std::string frame = std::move(link.queue.front());
            link.queue.pop_front();
            link.queuedBytes -= frame.size();
            const auto [code, count]
                = co_await asio::async_write(link.socket, asio::buffer(frame), useTuple);
            self->m_sent += count;
            if (code)
                closeSocket(link.socket);
        }
    }

    static void closeSocket(tcp::socket& socket)
    {
        std::error_code ignored;
        socket.close(ignored);
    }

    static asio::awaitable<bool> connect(Link& link)
    {
        std::error_code code;
        const tcp::endpoint address(
            asio::ip::make_address(link.endpoint.address, code), link.endpoint.port);
        if (!code)
            std::tie(code) = co_await link.socket.async_connect(address, useTuple);
        if (code) {
            closeSocket(link.socket);
            co_return false;
        }
        link.socket.set_option(tcp::no_delay(true), code);
        co_return true;
    }

    static asio::awaitable<void> acceptLoop(std::shared_ptr<Impl> self)
    {
        while (self->m_acceptor.is_open()) {
            auto [code, accepted] = co_await self->m_acceptor.async_accept(useTuple);
            if (code)
                continue;
            auto socket = std::make_shared<tcp::socket>(std::move(accepted));
            std::erase_if(self->m_incoming, [](const auto& weak) { return weak.expired(); });
            self->m_incoming.push_back(socket);
            asio::co_spawn(self->m_strand, readLoop(self, socket), asio::detached);
        }
    }

    static asio::awaitable<void> readLoop(
        std::shared_ptr<Impl> self, std::shared_ptr<tcp::socket> socket)
    {
        std::array<unsigned char, lengthBytes> header {};
        std::string text;
        while (true) {
            const auto [code, count]
                = co_await asio::async_read(*socket, asio::buffer(header), useTuple);
            if (code || lengthOf(header) > maxFrameBytes)
                co_return;
            text.resize(lengthOf(header));
            const auto [bodyCode, bodyCount]
                = co_await asio::async_read(*socket, asio::buffer(text), useTuple);
            if (bodyCode)
                co_return;
            self->m_received += count + bodyCount;
            if (!self->m_dispatcher.dispatch(text))
                co_return;
        }
    }

    Strand m_strand;
    HostId m_self;
    tcp::acceptor m_acceptor;
    std::map<HostId, std::unique_ptr<Link>> m_links;
    std::vector<std::weak_ptr<tcp::socket>> m_incoming;
    NotificationDispatcher m_dispatcher;
    std::atomic<std::uint64_t> m_sent { 0 };
    std::atomic<std::uint64_t> m_received { 0 };
    bool m_stopped = false;
};

PeerTransport::PeerTransport(
    const asio::any_io_executor& executor, HostId self, const std::map<HostId, Endpoint>& peers)
    : m_impl(std::make_shared<Impl>(executor, std::move(self), peers))
{
}

PeerTransport::~PeerTransport() = default;

void PeerTransport::accept(const std::string& method, const Receiver& receiver)
{
    m_impl->accept(method, receiver);
}

Expected<void> PeerTransport::listen(const Endpoint& endpoint) { return m_impl->listen(endpoint); }
void PeerTransport::send(PeerMessage message) { m_impl->send(std::move(message)); }
void PeerTransport::stop() { m_impl->stop(); }
std::uint64_t PeerTransport::sentBytes() const noexcept { return m_impl->sentBytes(); }
std::uint64_t PeerTransport::receivedBytes() const noexcept { return m_impl->receivedBytes(); }

} // namespace laburnum
