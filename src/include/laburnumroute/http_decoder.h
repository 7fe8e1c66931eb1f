/// Incremental HTTP/1.1 decoder for one direction of one connection, over http_parser.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include <laburnumroute/error.h>
#include <laburnumroute/http_message.h>

namespace laburnum {

/// Which messages a decoder reads.
enum class MessageKind { Request, Response };

/// Turns bytes into heads and body parts, one message at a time. Not thread-safe.
class HttpDecoder {
public:
    /// Heads larger than this many bytes are refused with TooLarge, unless another limit is set.
    static constexpr std::size_t maxHeadBytes = std::size_t { 32 } * 1024;
    /// Bytes that frame a body (sizes and extensions of chunks, trailers) may exceed it by this
    /// factor, besides maxHeadBytes of them.
    static constexpr std::uint64_t maxFramingFactor = 16;

    explicit HttpDecoder(MessageKind kind);
    ~HttpDecoder();
    HttpDecoder(HttpDecoder&&) noexcept;
    HttpDecoder& operator=(HttpDecoder&&) noexcept;

    /// Reads from `bytes` up to the end of the head, or of the message; returns how many bytes it
    /// took. InvalidArgument: the bytes are not a valid message. TooLarge: the head or the framing
    /// of the body is too big.
    Expected<std::size_t> feed(std::string_view bytes);
    /// Tells that the peer closed its side. Closed when that cuts a message short.
    Expected<void> feedEof();

    /// Replaces the limit for heads.
    void setHeadLimit(std::size_t bytes) noexcept;
    /// Whether the responses to come answer a HEAD request and so have no body.
    void setExpectNoBody(bool noBody) noexcept;
    bool started() const noexcept;
    bool headComplete() const noexcept;
    bool messageComplete() const noexcept;
    const HttpHead& head() const noexcept;
    /// Trailer fields of a chunked message; whole once messageComplete().
    const std::vector<HeaderField>& trailers() const noexcept;
    /// Moves the head out; call once after headComplete().
    HttpHead takeHead();
    /// Body bytes decoded since the last call.
    std::string takeBody();
    /// Forgets the finished message and gets ready for the next.
    void reset();

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace laburnum
