/// Request body with a bounded replay buffer for retries.
#pragma once

#include <string>
#include <vector>

#include <laburnumroute/buffer_budget.h>

#include "http_stream_pvt.h"

namespace laburnum::pvt {

/// Reads the body from the caller's stream and buffers it up to a limit, and as far as the budget
/// allows, so that a retry can send it again. Must be used from one strand only.
class RequestBody {
public:
    RequestBody(HttpStream& caller, std::size_t replayLimit, std::shared_ptr<BufferBudget> budget)
        : m_caller(caller)
        , m_replayLimit(replayLimit)
        , m_share(std::move(budget))
    {
    }

    /// Returns the next part; empty at the end of the body.
    asio::awaitable<Expected<std::string>> readPart();
    /// Returns the next bytes that are available without reading from the socket; may be empty.
    std::string takeBuffered();
    /// Reads until the body is complete or at least `wanted` bytes are buffered. Must be called
    /// before any part is returned.
    asio::awaitable<Expected<void>> readAhead(std::size_t wanted);
    /// Restarts from the first byte. Allowed only while replayable().
    void rewind() { m_position = 0; }

    /// Whether every byte read so far is still buffered.
    bool replayable() const { return !m_overflowed; }
    /// Whether the last byte has been returned.
    bool finished() const { return m_caller.messageComplete() && m_position >= m_buffer.size(); }
    /// Whether the last byte has been received from the caller.
    bool complete() const { return m_caller.messageComplete(); }
    const std::string& buffered() const { return m_buffer; }
    /// Number of bytes read from the caller.
    std::uint64_t bytes() const { return m_bytes; }
    /// The caller's trailers without those named in removeTrailers().
    std::vector<HeaderField> trailers() const;
    void removeTrailers(std::vector<std::string> names) { m_removedTrailers = std::move(names); }

private:
    void store(const std::string& part);

    HttpStream& m_caller;
    const std::size_t m_replayLimit;
    std::vector<std::string> m_removedTrailers;
    std::string m_buffer;
    BufferShare m_share;
    std::size_t m_position = 0;
    std::uint64_t m_bytes = 0;
    bool m_overflowed = false;
};

} // namespace laburnum::pvt
