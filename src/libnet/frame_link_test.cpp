#include <catch2/catch.hpp>

#include <asio/steady_timer.hpp>

#include <laburnumroute/datagram_socket.h>
#include <laburnumroute/frame_link.h>

using namespace laburnum;

namespace {

/// Listens on a free loopback port and echoes the frames received on accepted links.
struct EchoServer {
    explicit EchoServer(asio::io_context& context)
        : listener(context)
        , probe(context, { asio::ip::make_address("127.0.0.1"), 0 })
        , endpoint({ "127.0.0.1", probe.local_endpoint().port() })
    {
        probe.close();
        REQUIRE(listener.listen(endpoint, [this](asio::ip::tcp::socket socket) {
            FrameLink::Handlers handlers;
            handlers.onFrame = [this](std::string_view frame) {
                received.emplace_back(frame);
                links.back()->send(frame);
            };
            handlers.onClosed = [this] { ++closed; };
            links.push_back(std::make_shared<FrameLink>(std::move(socket), std::move(handlers)));
            links.back()->start();
        }));
    }

    FrameListener listener;
    asio::ip::tcp::acceptor probe;
    Endpoint endpoint;
    std::vector<std::shared_ptr<FrameLink>> links;
    std::vector<std::string> received;
    int closed = 0;
};

} // namespace

TEST_CASE("frames of any size arrive complete and in order in both directions")
{
    asio::io_context context;
    EchoServer server(context);
    const std::vector<std::string> frames { "", "a", std::string(300'000, 'x'), "end" };
    std::vector<std::string> echoed;
    FrameLink::Handlers handlers;
    std::shared_ptr<FrameLink> link;
    handlers.onOpen = [&] {
        for (const auto& frame : frames)
            link->send(frame);
    };
    handlers.onFrame = [&](std::string_view frame) {
        echoed.emplace_back(frame);
        if (echoed.size() == frames.size())
            context.stop();
    };
    link = std::make_shared<FrameLink>(asio::ip::tcp::socket(context), std::move(handlers));
    link->connect(server.endpoint);
    context.run();
    REQUIRE(server.received == frames);
    REQUIRE(echoed == frames);
}

TEST_CASE("a frame whose length exceeds the limit closes the connection and calls onClosed")
{
    asio::io_context context;
    EchoServer server(context);
    asio::ip::tcp::socket raw(context);
    raw.async_connect(
        { asio::ip::make_address("127.0.0.1"), server.endpoint.port }, [&](std::error_code code) {
            REQUIRE_FALSE(code);
            raw.send(asio::buffer(std::string("\xff\xff\xff\xff")));
        });
    while (server.closed == 0)
        context.run_one();
    REQUIRE(server.received.empty());
}

TEST_CASE("a connection to a port without listener is reported as closed")
{
    asio::io_context context;
    asio::ip::tcp::acceptor probe(context, { asio::ip::make_address("127.0.0.1"), 0 });
    const Endpoint unusedEndpoint { "127.0.0.1", probe.local_endpoint().port() };
    probe.close();
    int closed = 0;
    FrameLink::Handlers handlers;
    handlers.onClosed = [&] { ++closed; };
    auto link = std::make_shared<FrameLink>(asio::ip::tcp::socket(context), std::move(handlers));
    link->connect(unusedEndpoint);
    context.run();
    REQUIRE(closed == 1);
}

TEST_CASE("a datagram arrives on a bound socket")
{
    asio::io_context context;
    asio::ip::udp::socket probe(context, { asio::ip::make_address("127.0.0.1"), 0 });
    const Endpoint to { "127.0.0.1", probe.local_endpoint().port() };
    probe.close();
    DatagramSocket receiver(context);
    std::string receivedBytes;
    REQUIRE(receiver.listen(to, [&](const Endpoint&, std::string_view bytes) {
        receivedBytes = bytes;
        context.stop();
    }));
    DatagramSocket sender(context);
    REQUIRE(sender.listen({ "127.0.0.1", 0 }, [](const Endpoint&, std::string_view) {}));
    sender.send(to, "news");
    context.run();
    REQUIRE(receivedBytes == "news");
}
