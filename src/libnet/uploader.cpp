#include "uploader_pvt.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>

namespace laburnum::pvt {

Uploader::Uploader(HttpStream& caller, RequestBody& body, std::shared_ptr<HttpStream> upstream,
    BodyFraming framing, BufferShare share)
    : m_caller(caller)
    , m_body(body)
    , m_upstream(std::move(upstream))
    , m_framing(framing)
    , m_share(std::move(share))
    , m_endEvent(caller.socket().get_executor(), std::chrono::steady_clock::time_point::max())
{
}

void Uploader::start(std::function<void()> onProgress, std::function<void()> onEnd)
{
    m_onProgress = std::move(onProgress);
    m_onEnd = std::move(onEnd);
    asio::co_spawn(
        m_caller.socket().get_executor(), [self = shared_from_this()] { return self->run(); },
        asio::detached);
}

asio::awaitable<void> Uploader::run()
{
    const auto self = shared_from_this();
    // g++ 12 miscompiles co_await on the right of a short-circuit operator.
    while (!m_stopping) {
        const bool sent = co_await sendPart();
        if (!sent)
            break;
        m_onProgress();
    }
    m_share.set(0);
    m_ended = true;
    m_endEvent.cancel();
    if (!m_stopping)
        m_onEnd();
    m_onEnd = nullptr;
    m_onProgress = nullptr;
}

asio::awaitable<bool> Uploader::sendPart()
{
    m_phase = Phase::ReadingCaller;
    auto part = co_await m_body.readPart();
    if (!part) {
        m_phase = Phase::CallerFailed;
        m_callerError = part.error();
        co_return false;
    }
    if (m_stopping)
        co_return false;
    std::string bytes = frameBodyPart(m_framing, std::move(*part));
    const bool last = m_body.finished();
    if (last)
        bytes += frameBodyEnd(m_framing, m_body.trailers());
    m_phase = Phase::WritingUpstream;
    const auto sent = co_await m_upstream->write(std::move(bytes));
    if (!sent) {
        m_phase = Phase::UpstreamFailed;
        co_return false;
    }
    if (last)
        m_phase = Phase::Sent;
    co_return !last;
}

asio::awaitable<void> Uploader::join(Duration limit)
{
    if (!m_ended && limit > Duration::zero()) {
        m_endEvent.expires_after(
            std::chrono::duration_cast<std::chrono::steady_clock::duration>(limit));
        co_await m_endEvent.async_wait(useTuple);
    }
    m_stopping = true;
    if (m_ended)
        co_return;
    m_endEvent.expires_at(std::chrono::steady_clock::time_point::max());
    m_caller.cancel();
    m_upstream->close();
    while (!m_ended)
        co_await m_endEvent.async_wait(useTuple);
}

} // namespace laburnum::pvt
