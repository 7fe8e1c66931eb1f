#include <catch2/catch.hpp>

#include <asio/buffer.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>

#include <laburnumroute/json_rpc.h>
#include <laburnumroute/peer_transport.h>

#include "net_test_pvt.h"
#include "peer_frame_pvt.h"

using namespace laburnum;
using asio::ip::tcp;

namespace {

/// Time limit of runUntil(), so that a failing test ends; not a requirement on speed.
constexpr auto waitLimit = std::chrono::seconds(30);

const HostId hostA("a");
const HostId hostB("b");
constexpr const char* method = "test.number";

/// Runs `context` until `condition` holds. Returns false when it does not within the limit.
template <class Condition> bool runUntil(asio::io_context& context, Condition condition)
{
    const auto limit = std::chrono::steady_clock::now() + waitLimit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > limit)
            return false;
        context.restart();
        context.run_one_for(std::chrono::milliseconds(10));
    }
    return true;
}

PeerMessage numberedMessage(int number)
{
    Json::Value params(Json::objectValue);
    params["n"] = number;
    return { hostA, hostB, method, params };
}

/// A transport of host B that records the numbers it receives.
struct Receiver {
    Receiver(asio::io_context& context, const Endpoint& endpoint,
        const std::optional<SharedKey>& key = {})
        : transport(context.get_executor(), hostB, {}, key)
    {
        transport.addHandler(method, [this](const PeerMessage& message) {
            REQUIRE(message.from == hostA);
            numbers.push_back(message.params["n"].asInt());
        });
        REQUIRE(transport.listen(endpoint).has_value());
    }

    bool has(int number) const
    {
        return std::find(numbers.begin(), numbers.end(), number) != numbers.end();
    }

    std::vector<int> numbers;
    PeerTransport transport;
};

/// Returns a transport of host A with B as its only peer.
PeerTransport makeSender(
    asio::io_context& context, const Endpoint& endpoint, const std::optional<SharedKey>& key = {})
{
    return { context.get_executor(), hostA, { { hostB, endpoint } }, key };
}

tcp::socket rawConnection(asio::io_context& context, const Endpoint& endpoint)
{
    tcp::socket socket(context);
    socket.connect({ asio::ip::make_address(endpoint.address), endpoint.port });
    socket.non_blocking(true);
    return socket;
}

/// Reads pending bytes from `socket` and returns whether the other side closed it.
bool isClosed(tcp::socket& socket)
{
    std::array<char, 256> bytes {};
    std::error_code code;
    socket.read_some(asio::buffer(bytes), code);
    return code && code != asio::error::would_block;
}

std::string encodeFrame(const std::string& payload)
{
    const auto header = pvt::encodeFrameHeader(payload.size());
    return std::string(header.begin(), header.end()) + payload;
}

} // namespace

TEST_CASE("messages arrive in order, with and without a key")
{
    const auto key = GENERATE(false, true) ? std::optional(pvt::testKey('k')) : std::nullopt;
    CAPTURE(key.has_value());
    asio::io_context context;
    const Endpoint endpoint = pvt::freeEndpoint();
    Receiver receiver(context, endpoint, key);
    PeerTransport sender = makeSender(context, endpoint, key);
    for (int i = 0; i < 100; ++i)
        sender.send(numberedMessage(i));
    REQUIRE(runUntil(context, [&] { return receiver.numbers.size() == 100; }));
    REQUIRE(std::is_sorted(receiver.numbers.begin(), receiver.numbers.end()));
    REQUIRE(receiver.transport.counts().receivedBytes == sender.counts().sentBytes);
    REQUIRE(receiver.transport.counts().refusedFrames == 0);
}

TEST_CASE("a sender reconnects after a restart of its peer")
{
    const auto key = GENERATE(false, true) ? std::optional(pvt::testKey('k')) : std::nullopt;
    CAPTURE(key.has_value());
    asio::io_context context;
    const Endpoint endpoint = pvt::freeEndpoint();
    PeerTransport sender = makeSender(context, endpoint, key);
    {
        Receiver first(context, endpoint, key);
        sender.send(numberedMessage(1));
        REQUIRE(runUntil(context, [&] { return first.has(1); }));
        first.transport.stop();
        const auto dropped = sender.counts().droppedMessages;
        REQUIRE(runUntil(context, [&] {
            sender.send(numberedMessage(2));
            return sender.counts().droppedMessages > dropped;
        }));
    }
    Receiver second(context, endpoint, key);
    REQUIRE(runUntil(context, [&] {
        sender.send(numberedMessage(3));
        return second.has(3);
    }));
}

TEST_CASE("messages for an unreachable or unknown peer are dropped and counted")
{
    asio::io_context context;
    PeerTransport sender = makeSender(context, pvt::freeEndpoint());
    for (int i = 0; i < 1000; ++i)
        sender.send(numberedMessage(i));
    REQUIRE(runUntil(context, [&] { return sender.counts().droppedMessages == 1000; }));
    sender.send({ hostA, HostId("nobody"), method, Json::Value(Json::objectValue) });
    REQUIRE(runUntil(context, [&] { return sender.counts().droppedMessages == 1001; }));
}

TEST_CASE("the send queue for a peer that does not read is limited")
{
    asio::io_context context;
    const Endpoint endpoint = pvt::freeEndpoint();
    // The kernel completes connections to this listener, but they are never accepted or read.
    const tcp::acceptor unreadListener(
        context, { asio::ip::make_address(endpoint.address), endpoint.port });
    PeerTransport sender = makeSender(context, endpoint);
    PeerMessage large = numberedMessage(1);
    large.params["text"] = std::string(std::size_t { 1 } << 20, 'x');
    std::size_t sent = 0;
    REQUIRE(runUntil(context, [&] {
        sender.send(large);
        ++sent;
        return sender.counts().droppedMessages > 0;
    }));
    // Messages that are not dropped are in the send queue or in the kernel's socket buffers.
    constexpr std::size_t socketBufferBytes = std::size_t { 64 } << 20;
    REQUIRE((sent << 20) < PeerTransport::maxQueueBytes + socketBufferBytes);
}

TEST_CASE("a message that is too large is dropped and the connection stays usable")
{
    asio::io_context context;
    const Endpoint endpoint = pvt::freeEndpoint();
    Receiver receiver(context, endpoint);
    PeerTransport sender = makeSender(context, endpoint);
    PeerMessage large = numberedMessage(1);
    large.params["text"] = std::string(PeerTransport::maxFrameBytes, 'x');
    sender.send(large);
    sender.send(numberedMessage(2));
    REQUIRE(runUntil(context, [&] { return receiver.has(2); }));
    REQUIRE_FALSE(receiver.has(1));
    REQUIRE(sender.counts().droppedMessages == 1);
}

TEST_CASE("an oversized or malformed frame closes its connection")
{
    asio::io_context context;
    const Endpoint endpoint = pvt::freeEndpoint();
    Receiver receiver(context, endpoint);
    std::uint64_t refused = 0;
    for (const std::string& frame :
        { std::string("\xff\xff\xff\xff"), encodeFrame("{"), encodeFrame(""), encodeFrame("7") }) {
        CAPTURE(frame);
        tcp::socket socket = rawConnection(context, endpoint);
        asio::write(socket, asio::buffer(frame));
        REQUIRE(runUntil(context, [&] { return isClosed(socket); }));
        REQUIRE(receiver.transport.counts().refusedFrames == ++refused);
    }
}

TEST_CASE("a method without handler is ignored and the connection stays open")
{
    asio::io_context context;
    const Endpoint endpoint = pvt::freeEndpoint();
    Receiver receiver(context, endpoint);
    PeerTransport sender = makeSender(context, endpoint);
    sender.send({ hostA, hostB, "test.unknown", Json::Value(Json::objectValue) });
    sender.send(numberedMessage(2));
    REQUIRE(runUntil(context, [&] { return receiver.has(2); }));
    REQUIRE(receiver.transport.counts().refusedFrames == 0);
}

TEST_CASE("messages from a peer with a different key or without one are not received")
{
    asio::io_context context;
    const Endpoint endpoint = pvt::freeEndpoint();
    Receiver receiver(context, endpoint, pvt::testKey('k'));
    const auto senderKey = GENERATE(false, true) ? std::optional(pvt::testKey('o')) : std::nullopt;
    CAPTURE(senderKey.has_value());
    PeerTransport sender = makeSender(context, endpoint, senderKey);
    for (int i = 0; i < 20; ++i) {
        const auto sentOrDropped
            = [&] { return sender.counts().sentBytes + sender.counts().droppedMessages; };
        const auto before = sentOrDropped();
        sender.send(numberedMessage(i));
        REQUIRE(runUntil(context, [&] { return sentOrDropped() > before; }));
    }
    if (senderKey)
        REQUIRE(runUntil(context, [&] { return receiver.transport.counts().refusedFrames > 0; }));
    REQUIRE(receiver.numbers.empty());
}

TEST_CASE("closed connections do not count toward the connection limit")
{
    asio::io_context context;
    const Endpoint endpoint = pvt::freeEndpoint();
    Receiver receiver(context, endpoint);
    for (std::size_t i = 0; i < PeerTransport::maxIncomingConnections + 10; ++i) {
        CAPTURE(i);
        tcp::socket socket = rawConnection(context, endpoint);
        asio::write(socket, asio::buffer(encodeFrame("{")));
        REQUIRE(runUntil(context, [&] { return isClosed(socket); }));
    }
    REQUIRE(
        receiver.transport.counts().refusedFrames == PeerTransport::maxIncomingConnections + 10);
}

TEST_CASE("recorded frames are refused when replayed on the same or another connection")
{
    asio::io_context context;
    const SharedKey key = pvt::testKey('k');
    const Endpoint endpoint = pvt::freeEndpoint();
    Receiver receiver(context, endpoint, key);
    Json::Value params(Json::objectValue);
    params["from"] = hostA.value();
    params["body"]["n"] = 7;
    const std::string payload = encodeNotification(method, params);

    tcp::socket first = rawConnection(context, endpoint);
    std::string challenge(challengeBytes, '\0');
    std::size_t filled = 0;
    REQUIRE(runUntil(context, [&] {
        std::error_code code;
        filled += first.read_some(
            asio::buffer(challenge.data() + filled, challenge.size() - filled), code);
        return filled == challenge.size();
    }));
    FrameAuthenticator authenticator(key, challenge, hostB);
    std::string recorded = encodeFrame(payload);
    recorded.insert(pvt::FrameHeader {}.size(), authenticator.nextTag(payload));
    asio::write(first, asio::buffer(recorded));
    REQUIRE(runUntil(context, [&] { return receiver.has(7); }));

    tcp::socket second = rawConnection(context, endpoint);
    asio::write(second, asio::buffer(recorded));
    REQUIRE(runUntil(context, [&] { return receiver.transport.counts().refusedFrames == 1; }));
    asio::write(first, asio::buffer(recorded));
    REQUIRE(runUntil(context, [&] { return receiver.transport.counts().refusedFrames == 2; }));
    REQUIRE(receiver.numbers.size() == 1);
}
