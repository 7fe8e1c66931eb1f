#include <catch2/catch.hpp>

#include <laburnumroute/http_decoder.h>

using namespace laburnum;

namespace {

/// Feeds `text` in parts of `step` bytes until the message is complete or refused.
Expected<std::string> decodeBody(HttpDecoder& decoder, std::string text, std::size_t step)
{
    std::string body;
    while (!text.empty() && !decoder.messageComplete()) {
        const auto taken = decoder.feed(std::string_view(text).substr(0, step));
        if (!taken)
            return tl::unexpected<Error>(taken.error());
        text.erase(0, *taken);
        body += decoder.takeBody();
    }
    return body;
}

} // namespace

TEST_CASE("a chunked request decodes the same at every split")
{
    const std::string text = "POST /a?b HTTP/1.1\r\nHost: x\r\nX-A: 1\r\nX-A: 2\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    for (std::size_t step = 1; step <= text.size(); ++step) {
        HttpDecoder decoder(MessageKind::Request);
        REQUIRE(decodeBody(decoder, text, step).value() == "abcde");
        REQUIRE(decoder.messageComplete());
        REQUIRE(decoder.head().target == "/a?b");
        REQUIRE(decoder.head().fields.size() == 4);
        REQUIRE(decoder.head().fields[2].value == "2");
    }
}

TEST_CASE("requests that could be read two ways are refused")
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

TEST_CASE("an answer cut short is not complete")
{
    HttpDecoder decoder(MessageKind::Response);
    REQUIRE(
        decodeBody(decoder, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc", 7).value() == "abc");
    REQUIRE(decoder.feedEof().error().code == ErrorCode::Closed);
}

TEST_CASE("a body whose framing outgrows it is refused, one of small chunks is not")
{
    constexpr std::size_t chunks = 10000;
    const auto [chunk, fine] = GENERATE(table<std::string, bool>({ { "1\r\na\r\n", true },
        { "1;n=v\r\na\r\n", true }, { "1;" + std::string(1000, 'x') + "\r\na\r\n", false } }));
    HttpDecoder decoder(MessageKind::Response);
    std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    Expected<std::size_t> taken = 0;
    for (; taken && !head.empty(); head.erase(0, *taken))
        taken = decoder.feed(head);
    std::string body;
    for (std::size_t i = 0; i < chunks && taken; ++i) {
        taken = decoder.feed(chunk);
        body += decoder.takeBody();
    }
    CAPTURE(chunk.substr(0, 10));
    CHECK(taken.has_value() == fine);
    CHECK((body.size() == chunks) == fine);
    if (!taken)
        CHECK(taken.error().code == ErrorCode::TooLarge);
}
