/// The body of a caller's request, readable again from its start while it is small.
#pragma once

#include <string>

#include "http_stream_pvt.h"

namespace laburnum::pvt {

/// Reads the body from the caller's stream and keeps its first bytes for a repeated attempt. Use
/// from one strand only.
class RequestBody {
public:
    RequestBody(HttpStream& caller, std::size_t replayLimit)
        : m_caller(caller)
        , m_replayLimit(replayLimit)
    {
    }

    /// The next part; empty at the end of the body.
    asio::awaitable<Expected<std::string>> readPart();
    /// The next bytes that need no reading from the caller; may be empty.
    std::string takeAtHand();
    /// Reads ahead until the body is whole or at least `wanted` bytes are kept. Call it before
    /// anything is handed out.
    asio::awaitable<Expected<void>> readAhead(std::size_t wanted);
    /// Goes back to the first byte; only while replayable().
    void rewind() { m_position = 0; }

    /// True while every byte read so far is kept.
    bool replayable() const { return !m_overflown; }
    /// True once the last byte has been handed out.
    bool finished() const { return m_caller.messageComplete() && m_position >= m_kept.size(); }
    /// True once the last byte has come from the caller.
    bool complete() const { return m_caller.messageComplete(); }
    /// The bytes kept.
    const std::string& kept() const { return m_kept; }
    /// Bytes read from the caller.
    std::uint64_t bytes() const { return m_bytes; }
    const std::vector<HeaderField>& trailers() const { return m_caller.trailers(); }

private:
    void keep(const std::string& part);

    HttpStream& m_caller;
    const std::size_t m_replayLimit;
    std::string m_kept;
    std::size_t m_position = 0;
    std::uint64_t m_bytes = 0;
    bool m_overflown = false;
};

} // namespace laburnum::pvt
