#include "response_writer_pvt.h"

#include <algorithm>

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>

namespace laburnum::pvt {

namespace {

    /// Bytes of one write. Room for more is made after each.
    constexpr std::size_t writeBytes = std::size_t { 16 } * 1024;

} // namespace

ResponseWriter::ResponseWriter(HttpStream& caller, BufferShare share, std::size_t kernelBytes)
    : m_caller(caller)
    , m_kernelBytes(kernelBytes)
    , m_share(std::move(share))
    , m_filled(caller.socket().get_executor())
    , m_drained(caller.socket().get_executor())
{
    m_share.set(kernelBytes);
}

void ResponseWriter::start(std::function<void()> onProgress)
{
    m_onProgress = std::move(onProgress);
    asio::co_spawn(
        m_caller.socket().get_executor(), [self = shared_from_this()] { return self->run(); },
        asio::detached);
}

asio::awaitable<void> ResponseWriter::run()
{
    const auto self = shared_from_this();
    while (!m_failed) {
        if (m_pending.empty()) {
            if (m_finishing)
                break;
            co_await m_filled.wait();
            continue;
        }
        std::string bytes = m_pending.substr(0, writeBytes);
        m_pending.erase(0, bytes.size());
        m_writing = bytes.size();
        const auto sent = co_await m_caller.write(std::move(bytes), m_onProgress);
        m_writing = 0;
        m_failed = m_failed || !sent;
        if (m_failed)
            break;
        m_share.set(m_kernelBytes + m_pending.size());
        m_onProgress();
        m_drained.set();
    }
    m_pending.clear();
    m_share.set(0);
    m_ended = true;
    m_onProgress = nullptr;
    m_drained.set();
}

/// With nothing held, the next part is always taken.
bool ResponseWriter::takesShare(std::size_t bytes)
{
    const std::size_t held = heldBytes() + bytes;
    if (heldBytes() == 0)
        m_share.set(m_kernelBytes + held);
    else if (held > readAheadBytes || !m_share.tryGrow(m_kernelBytes + held))
        return false;
    return true;
}

asio::awaitable<bool> ResponseWriter::append(std::string bytes)
{
    while (!m_failed && !takesShare(bytes.size()))
        co_await m_drained.wait();
    if (m_failed)
        co_return false;
    m_pending += bytes;
    m_filled.set();
    co_return true;
}

asio::awaitable<bool> ResponseWriter::finish()
{
    m_finishing = true;
    m_filled.set();
    while (!m_ended)
        co_await m_drained.wait();
    co_return !m_failed;
}

void ResponseWriter::abort()
{
    m_failed = true;
    m_filled.set();
    m_caller.cancel();
}

} // namespace laburnum::pvt
