#include "loopback_pair.h"

#include <array>
#include <ctime>

#include <pthread.h>

#include <asio/write.hpp>

#include <laburnumroute/http_decoder.h>

namespace laburnum::bench {

using asio::ip::tcp;

namespace {

    constexpr std::string_view answerText = "HTTP/1.1 200 OK\r\nContent-Length: 64\r\n\r\n"
                                            "0123456789abcdef0123456789abcdef"
                                            "0123456789abcdef0123456789abcdef";
    constexpr std::string_view lookUpText
        = "GET /boats/eights?day=today HTTP/1.1\r\nHost: book.example\r\nAccept: */*\r\n\r\n";
    constexpr std::size_t partBytes = std::size_t { 64 } * 1024;

} // namespace

/// Serves one connection asynchronously, to keep the upstream's overhead low.
struct MinimalUpstream::Connection : std::enable_shared_from_this<Connection> {
    explicit Connection(tcp::socket s)
        : socket(std::move(s))
        , decoder(MessageKind::Request)
    {
        std::error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
    }

    void read()
    {
        socket.async_read_some(asio::buffer(buffer),
            [self = shared_from_this()](std::error_code code, std::size_t count) {
                if (!code)
                    self->take({ self->buffer.data(), count });
            });
    }

    void take(std::string_view bytes)
    {
        while (!bytes.empty() && !decoder.messageComplete()) {
            const auto taken = decoder.feed(bytes);
            if (!taken)
                return;
            bytes.remove_prefix(*taken);
            decoder.takeBody();
        }
        if (!decoder.messageComplete())
            return read();
        decoder.reset();
        asio::async_write(socket, asio::buffer(answerText),
            [self = shared_from_this()](std::error_code code, std::size_t) {
                if (!code)
                    self->read();
            });
    }

    tcp::socket socket;
    HttpDecoder decoder;
    std::array<char, partBytes> buffer {};
};

MinimalUpstream::MinimalUpstream()
    : m_acceptor(m_context, { asio::ip::address_v4::loopback(), 0 })
{
    accept();
    m_thread = std::thread([this] { m_context.run(); });
}

MinimalUpstream::~MinimalUpstream()
{
    m_context.stop();
    m_thread.join();
}

Endpoint MinimalUpstream::endpoint() const
{
    return { "127.0.0.1", m_acceptor.local_endpoint().port() };
}

void MinimalUpstream::accept()
{
    m_acceptor.async_accept([this](std::error_code code, tcp::socket socket) {
        if (code)
            return;
        std::make_shared<Connection>(std::move(socket))->read();
        accept();
    });
}

LoopbackEntry::LoopbackEntry(const Endpoint& upstream, std::uint64_t seed, unsigned workers)
    : m_dispatcher({ HostId("e1") }, seed, m_log)
    , m_table(m_dispatcher, m_clock)
    , m_server(m_context, m_table)
    , m_work(m_context.get_executor())
{
    constexpr std::uint32_t ampleCapacity = 1000;
    Configuration configuration;
    ServiceSpec spec;
    spec.name = ServiceId("s");
    spec.deadline = std::chrono::minutes(10);
    configuration.services.push_back(spec);
    configuration.routes.push_back({ "", "/", {}, ServiceId("s") });
    m_dispatcher.setConfiguration(configuration);
    InstanceRecord record;
    record.id = InstanceId("i1");
    record.service = ServiceId("s");
    record.endpoint = upstream;
    record.slots = ampleCapacity;
    record.connections = ampleCapacity;
    m_dispatcher.upsertInstance(record, m_clock.now());
    m_server.listen({ "127.0.0.1", 0 });
    for (unsigned i = 0; i < workers; ++i)
        m_workers.emplace_back([this] { m_context.run(); });
}

LoopbackEntry::~LoopbackEntry()
{
    m_context.stop();
    for (auto& worker : m_workers)
        worker.join();
}

Duration LoopbackEntry::processorTime() const
{
    Duration total {};
    for (const auto& worker : m_workers) {
        clockid_t clock {};
        timespec time {};
        auto handle = const_cast<std::thread&>(worker).native_handle();
        if (pthread_getcpuclockid(handle, &clock) == 0 && clock_gettime(clock, &time) == 0)
            total += std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
    }
    return total;
}

LoopbackCaller::LoopbackCaller(const Endpoint& endpoint)
    : m_socket(m_context)
{
    std::error_code ignored;
    m_socket.connect({ asio::ip::address_v4::loopback(), endpoint.port }, ignored);
    m_socket.set_option(tcp::no_delay(true), ignored);
}

bool LoopbackCaller::readAnswer()
{
    HttpDecoder decoder(MessageKind::Response);
    std::array<char, partBytes> buffer {};
    while (!decoder.messageComplete()) {
        std::error_code code;
        const std::size_t count = m_socket.read_some(asio::buffer(buffer), code);
        std::string_view bytes(buffer.data(), count);
        while (!bytes.empty() && !decoder.messageComplete()) {
            const auto taken = decoder.feed(bytes);
            if (!taken)
                return false;
            bytes.remove_prefix(*taken);
        }
        if (code)
            return false;
    }
    constexpr unsigned statusOk = 200;
    return decoder.head().status == statusOk;
}

bool LoopbackCaller::lookUp()
{
    std::error_code code;
    asio::write(m_socket, asio::buffer(lookUpText), code);
    return !code && readAnswer();
}

bool LoopbackCaller::upload(std::uint64_t bytes)
{
    std::error_code code;
    const std::string head = "PUT /photos/7 HTTP/1.1\r\nHost: book.example\r\nContent-Length: "
        + std::to_string(bytes) + "\r\n\r\n";
    asio::write(m_socket, asio::buffer(head), code);
    const std::string part(partBytes, 'x');
    for (std::uint64_t sent = 0; sent < bytes && !code; sent += partBytes)
        asio::write(m_socket,
            asio::buffer(part.data(), std::min<std::uint64_t>(partBytes, bytes - sent)), code);
    return !code && readAnswer();
}

} // namespace laburnum::bench
