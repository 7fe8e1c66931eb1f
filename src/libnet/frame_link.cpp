#include <laburnumroute/frame_link.h>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <asio/post.hpp>
#include <asio/write.hpp>

#include "asio_endpoint_pvt.h"

namespace laburnum {

using asio::ip::tcp;

namespace {

    constexpr std::size_t lengthBytes = 4;
    constexpr std::size_t readBytes = std::size_t { 16 } * 1024;
    constexpr unsigned bitsPerByte = 8;

    std::size_t readLength(std::string_view bytes)
    {
        std::size_t length = 0;
        for (std::size_t i = 0; i < lengthBytes; ++i)
            length |= std::size_t { static_cast<unsigned char>(bytes[i]) } << (bitsPerByte * i);
        return length;
    }

    void appendLength(std::string& bytes, std::size_t length)
    {
        for (std::size_t i = 0; i < lengthBytes; ++i)
            bytes += static_cast<char>(length >> (bitsPerByte * i));
    }

    void setSocketOptions(tcp::socket& socket)
    {
        std::error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        const int limit = FrameLink::ackTimeoutMs;
        ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof(limit));
    }

} // namespace

FrameLink::FrameLink(tcp::socket socket, Handlers handlers)
    : m_socket(std::move(socket))
    , m_handlers(std::move(handlers))
{
}

void FrameLink::connect(const Endpoint& endpoint)
{
    const auto address = pvt::toAsio(endpoint);
    if (!address) {
        asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->fail(); });
        return;
    }
    m_socket.async_connect(*address, [self = shared_from_this()](std::error_code code) {
        if (self->m_closed)
            return;
        if (code)
            return self->fail();
        self->start();
        self->m_handlers.onOpen();
    });
}

void FrameLink::start()
{
    m_open = true;
    setSocketOptions(m_socket);
    readMore();
    flush();
}

void FrameLink::readMore()
{
    const std::size_t before = m_readBuffer.size();
    m_readBuffer.resize(before + readBytes);
    m_socket.async_read_some(asio::buffer(m_readBuffer.data() + before, readBytes),
        [self = shared_from_this(), before](std::error_code code, std::size_t count) {
            self->m_readBuffer.resize(before + count);
            if (self->m_closed)
                return;
            if (code)
                return self->fail();
            self->parseFrames();
            if (!self->m_closed)
                self->readMore();
        });
}

void FrameLink::parseFrames()
{
    std::size_t position = 0;
    while (!m_closed && m_readBuffer.size() - position >= lengthBytes) {
        const std::string_view rest = std::string_view(m_readBuffer).substr(position);
        const std::size_t length = readLength(rest);
        if (length > maxFrameBytes)
            return fail();
        if (rest.size() < lengthBytes + length)
            break;
        position += lengthBytes + length;
        m_handlers.onFrame(rest.substr(lengthBytes, length));
    }
    m_readBuffer.erase(0, position);
}

void FrameLink::send(std::string_view frame)
{
    // After a dropped frame none may follow: a receiver relies on their order.
    if (m_closed || m_overflowed)
        return;
    if (m_sendQueue.size() + frame.size() > maxQueuedBytes) {
        m_overflowed = true;
        asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->fail(); });
        return;
    }
    appendLength(m_sendQueue, frame.size());
    m_sendQueue += frame;
    if (m_flushPosted || !m_open)
        return;
    m_flushPosted = true;
    asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        self->m_flushPosted = false;
        self->flush();
    });
}

void FrameLink::flush()
{
    if (m_closed || m_writing || m_sendQueue.empty())
        return;
    m_writing = true;
    m_writeBuffer = std::exchange(m_sendQueue, {});
    asio::async_write(m_socket, asio::buffer(m_writeBuffer),
        [self = shared_from_this()](std::error_code code, std::size_t) {
            self->m_writing = false;
            if (self->m_closed)
                return;
            if (code)
                return self->fail();
            self->flush();
        });
}

void FrameLink::fail()
{
    if (m_closed)
        return;
    const auto onClosed = std::move(m_handlers.onClosed);
    close();
    if (onClosed)
        onClosed();
}

void FrameLink::close()
{
    m_closed = true;
    std::error_code ignored;
    m_socket.close(ignored);
    // Deferred because a handler may be running and must not be destroyed during its own call.
    asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->m_handlers = {}; });
}

Expected<void> FrameListener::listen(
    const Endpoint& endpoint, std::function<void(tcp::socket)> onAccept)
{
    if (auto listening = pvt::startListening(m_acceptor, endpoint); !listening)
        return listening;
    m_onAccept = std::move(onAccept);
    accept();
    return {};
}

void FrameListener::accept()
{
    m_acceptor.async_accept([this](std::error_code code, tcp::socket socket) {
        if (code == asio::error::operation_aborted || !m_acceptor.is_open())
            return;
        if (!code)
            m_onAccept(std::move(socket));
        accept();
    });
}

void FrameListener::close()
{
    std::error_code ignored;
    m_acceptor.close(ignored);
}

} // namespace laburnum
