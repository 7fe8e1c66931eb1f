#include <catch2/catch.hpp>

#include <laburnumroute/http_decoder.h>

using namespace laburnum;

namespace {

/// Feeds `text` in parts of `partBytes` bytes until the message is complete or rejected.
Expected<std::string> decodeBody(HttpDecoder& decoder, std::string text, std::size_t partBytes)
{
    std::string body;
    while (!text.empty() && !decoder.messageComplete()) {
        const auto consumed = decoder.feed(std::string_view(text).substr(0, partBytes));
        if (!consumed)
            return tl::unexpected<Error>(consumed.error());
        text.erase(0, *consumed);
        body += decoder.takeBody();
    }
    return body;
}

} // namespace

TEST_CASE("a chunked request decodes to the same message for every part size")
{
    const std::string text = "POST /a?b HTTP/1.1\r\nHost: x\r\nX-A: 1\r\nX-A: 2\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    for (std::size_t partBytes = 1; partBytes <= text.size(); ++partBytes) {
        HttpDecoder decoder(MessageKind::Request);
        REQUIRE(decodeBody(decoder, text, partBytes).value() == "abcde");
        REQUIRE(decoder.messageComplete());
        REQUIRE(decoder.head().target == "/a?b");
        REQUIRE(decoder.head().fields.size() == 4);
        REQUIRE(decoder.head().fields[2].value == "2");
    }
}

TEST_CASE("requests with ambiguous or invalid framing are rejected")
{
    const auto text = GENERATE(as<std::string>(),
        "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
        "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nTransfer-Encoding: "
        "chunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: x\r\nContent-Length : 1\r\n\r\na",
        "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n");
    HttpDecoder decoder(MessageKind::Request);
    REQUIRE_FALSE(decodeBody(decoder, text, text.size()).has_value());
}

TEST_CASE("a response has a status of three digits from 100 to 599, for every part size")
{
    const auto [status, valid] = GENERATE(table<std::string, bool>({ { "099", false },
        { "100", true }, { "199", true }, { "200", true }, { "599", true }, { "600", false },
        { "000", false }, { "999", false }, { "20", false }, { "0200", false }, { "2000", false },
        { "-200", false }, { "+200", false }, { "2e2", false }, { "0x1", false }, { "", false } }));
    const std::string end = GENERATE(as<std::string>(), " OK\r\n", " \r\n", "\r\n");
    const std::string text = "HTTP/1.1 " + status + end + "Content-Length: 0\r\n\r\n";
    CAPTURE(status, end);
    for (std::size_t partBytes = 1; partBytes <= text.size(); ++partBytes) {
        HttpDecoder decoder(MessageKind::Response);
        const auto body = decodeBody(decoder, text, partBytes);
        REQUIRE(body.has_value() == valid);
        if (valid)
            REQUIRE(decoder.head().status == std::stoul(status));
        else
            REQUIRE(body.error().code == ErrorCode::InvalidArgument);
    }
}

TEST_CASE("the status of each message on a connection is checked")
{
    HttpDecoder decoder(MessageKind::Response);
    const std::string interim = "HTTP/1.1 103 Early Hints\r\n\r\n";
    REQUIRE(decodeBody(decoder, interim, interim.size()).has_value());
    decoder.reset();
    CHECK_FALSE(decodeBody(decoder, "HTTP/1.1 000 X\r\n\r\n", 100).has_value());
}

TEST_CASE("each byte of a field name in a head or a trailer must belong to a token")
{
    static const std::string marks = "!#$%&'*+-.^_`|~";
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::string lastChunk = head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n";
    for (int byte = 0; byte < 256; ++byte) {
        const auto c = static_cast<char>(byte);
        const bool valid = (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z')
            || (c >= 'A' && c <= 'Z') || (c != 0 && marks.find(c) != std::string::npos);
        const std::string field = std::string("X-A") + c + "b: 1\r\n";
        // A colon ends the name.
        if (c == ':')
            continue;
        const std::string inHead = head + field + "Content-Length: 2\r\n\r\nok";
        const std::string inTrailer = lastChunk + field + "\r\n";
        for (const std::string& text : { inHead, inTrailer }) {
            for (std::size_t partBytes = 1; partBytes <= text.size(); ++partBytes) {
                CAPTURE(byte, text, partBytes);
                HttpDecoder decoder(MessageKind::Response);
                const auto body = decodeBody(decoder, text, partBytes);
                REQUIRE((body && decoder.messageComplete()) == valid);
            }
        }
    }
}

TEST_CASE("a truncated response is reported as closed")
{
    HttpDecoder decoder(MessageKind::Response);
    REQUIRE(
        decodeBody(decoder, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc", 7).value() == "abc");
    REQUIRE(decoder.feedEof().error().code == ErrorCode::Closed);
}

TEST_CASE("a body with excessive chunk extensions is rejected, one with small chunks is not")
{
    constexpr std::size_t chunks = 10000;
    const auto [chunk, allowed] = GENERATE(table<std::string, bool>({ { "1\r\na\r\n", true },
        { "1;n=v\r\na\r\n", true }, { "1;" + std::string(1000, 'x') + "\r\na\r\n", false } }));
    HttpDecoder decoder(MessageKind::Response);
    std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    Expected<std::size_t> consumed = 0;
    for (; consumed && !head.empty(); head.erase(0, *consumed))
        consumed = decoder.feed(head);
    std::string body;
    for (std::size_t i = 0; i < chunks && consumed; ++i) {
        consumed = decoder.feed(chunk);
        body += decoder.takeBody();
    }
    CAPTURE(chunk.substr(0, 10));
    CHECK(consumed.has_value() == allowed);
    CHECK((body.size() == chunks) == allowed);
    if (!consumed)
        CHECK(consumed.error().code == ErrorCode::TooLarge);
}
