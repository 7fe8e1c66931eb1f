/// Incremental HTTP/1.1 decoder for one direction of one connection, built on http_parser.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include <laburnumroute/error.h>
#include <laburnumroute/http_message.h>

namespace laburnum {

enum class MessageKind { Request, Response };

/// Decodes bytes into message heads and body parts, one message at a time. Not thread-safe.
class HttpDecoder {
public:
    /// Default limit for the size of a head; larger heads are refused with TooLarge.
    static constexpr std::size_t maxHeadBytes = std::size_t { 32 } * 1024;
    /// Limit for the framing overhead of a body (chunk sizes, chunk extensions and trailers):
    /// maxHeadBytes plus this factor times the size of the body.
    static constexpr std::uint64_t maxFramingFactor = 16;

    explicit HttpDecoder(MessageKind kind);
    ~HttpDecoder();
    HttpDecoder(HttpDecoder&&) noexcept;
    HttpDecoder& operator=(HttpDecoder&&) noexcept;

    /// Decodes `bytes` up to the end of the head or of the message and returns the number of bytes
    /// consumed. Fails with InvalidArgument when the message is malformed, and with TooLarge when
    /// the head, the trailers or the framing of the body exceeds its limit.
    Expected<std::size_t> feed(std::string_view bytes);
    /// Signals that the peer closed its side. Fails with Closed when the message is truncated.
    Expected<void> feedEof();

    void setHeadLimit(std::size_t bytes) noexcept;
    /// With true, the next messages are decoded without a body, as in responses to HEAD requests.
    void setExpectNoBody(bool noBody) noexcept;
    bool started() const noexcept;
    bool headComplete() const noexcept;
    bool messageComplete() const noexcept;
    const HttpHead& head() const noexcept;
    /// Trailer fields of a chunked message; complete once messageComplete().
    const std::vector<HeaderField>& trailers() const noexcept;
    /// Moves the head out. Call once, after headComplete().
    HttpHead takeHead();
    /// Returns the body bytes decoded since the last call.
    std::string takeBody();
    /// Discards the completed message and prepares for the next one.
    void reset();

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace laburnum
