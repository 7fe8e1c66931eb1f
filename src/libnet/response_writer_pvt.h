/// Writes a streamed response to the caller while more of it is read from the instance.
#pragma once

#include <laburnumroute/buffer_budget.h>

#include "async_event_pvt.h"
#include "http_stream_pvt.h"

namespace laburnum::pvt {

/// Holds up to `readAheadBytes` that the caller has not read yet, as far as the budget allows, so
/// that an instance is not kept waiting by a caller that pauses. Must be used from one strand only;
/// finish() must be awaited before the stream is destroyed.
class ResponseWriter : public std::enable_shared_from_this<ResponseWriter> {
public:
    static constexpr std::size_t readAheadBytes = std::size_t { 256 } * 1024;

    /// `kernelBytes` of the share are for the socket buffers of the exchange.
    ResponseWriter(HttpStream& caller, BufferShare share, std::size_t kernelBytes);

    /// `onProgress` is called whenever the caller's connection has accepted bytes.
    void start(std::function<void()> onProgress);
    /// Waits until there is room for `bytes` and takes them. Returns false once a write has failed.
    asio::awaitable<bool> append(std::string bytes);
    /// Waits until everything is written. Returns false if a write has failed.
    asio::awaitable<bool> finish();
    /// Drops what is not written yet.
    void abort();
    /// Whether bytes wait for the caller to read.
    bool waitsForCaller() const { return heldBytes() > 0 && !m_failed; }

private:
    asio::awaitable<void> run();
    std::size_t heldBytes() const { return m_pending.size() + m_writing; }
    bool takesShare(std::size_t bytes);

    HttpStream& m_caller;
    const std::size_t m_kernelBytes;
    BufferShare m_share;
    std::function<void()> m_onProgress;
    std::string m_pending;
    /// Bytes of the write in progress.
    std::size_t m_writing = 0;
    AsyncEvent m_filled;
    AsyncEvent m_drained;
    bool m_finishing = false;
    bool m_failed = false;
    bool m_ended = false;
};

} // namespace laburnum::pvt
