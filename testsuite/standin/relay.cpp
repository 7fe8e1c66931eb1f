// Stand-in for a faulty network path: a TCP relay that can block each direction on request.
//
// Usage: standin_relay LISTEN_IP:PORT TARGET_IP:PORT
// Commands on standard input, one per line: `cut forward` (discards bytes towards the target),
// `cut backward`, `cut both`, `heal` (affects only connections opened afterwards), `quit`. Each is
// answered by `done`. Connections stay open during a cut, as when a route drops packets.

#include <array>
#include <iostream>
#include <memory>
#include <string>

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <asio/read_until.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>

#include <laburnumroute/endpoint.h>

#include <unistd.h>

namespace {

using asio::ip::tcp;
using namespace laburnum;

/// Directions that are currently cut.
struct Cuts {
    bool forward = false;
    bool backward = false;
};

/// State of one direction of a connection. Once bytes were lost the direction stays cut, because a
/// TCP stream cannot have gaps.
struct Direction {
    const bool& isCut;
    bool lostBytes = false;
};

class Connection : public std::enable_shared_from_this<Connection> {
public:
    Connection(tcp::socket caller, const Cuts& cuts)
        : m_caller(std::move(caller))
        , m_target(m_caller.get_executor())
        , m_forward { cuts.forward }
        , m_backward { cuts.backward }
    {
    }

    void start(const tcp::endpoint& target)
    {
        m_target.async_connect(target, [self = shared_from_this()](std::error_code code) {
            if (code)
                return;
            self->pump(self->m_caller, self->m_target, self->m_forward, self->m_forwardBytes);
            self->pump(self->m_target, self->m_caller, self->m_backward, self->m_backwardBytes);
        });
    }

private:
    using Buffer = std::array<char, std::size_t { 16 } * 1024>;

    void pump(tcp::socket& from, tcp::socket& to, Direction& direction, Buffer& buffer)
    {
        from.async_read_some(asio::buffer(buffer),
            [this, self = shared_from_this(), &from, &to, &direction, &buffer](
                std::error_code code, std::size_t count) {
                direction.lostBytes = direction.lostBytes || direction.isCut;
                if (code) {
                    finish(to, direction);
                    return;
                }
                if (direction.lostBytes) {
                    pump(from, to, direction, buffer);
                    return;
                }
                forward(from, to, direction, buffer, count);
            });
    }

    void forward(
        tcp::socket& from, tcp::socket& to, Direction& direction, Buffer& buffer, std::size_t count)
    {
        asio::async_write(to, asio::buffer(buffer.data(), count),
            [this, self = shared_from_this(), &from, &to, &direction, &buffer](
                std::error_code code, std::size_t) {
                std::error_code ignored;
                if (code)
                    from.close(ignored);
                else
                    pump(from, to, direction, buffer);
            });
    }

    /// Forwards the end of the stream, unless the direction lost bytes.
    static void finish(tcp::socket& to, const Direction& direction)
    {
        std::error_code ignored;
        if (!direction.lostBytes)
            to.shutdown(tcp::socket::shutdown_send, ignored);
    }

    tcp::socket m_caller;
    tcp::socket m_target;
    Direction m_forward;
    Direction m_backward;
    Buffer m_forwardBytes {};
    Buffer m_backwardBytes {};
};

class Relay {
public:
    Relay(asio::io_context& context, const tcp::endpoint& listen, tcp::endpoint target)
        : m_context(context)
        , m_acceptor(context, listen)
        , m_target(std::move(target))
        , m_input(context, ::dup(STDIN_FILENO))
    {
        acceptNext();
        readCommand();
    }

private:
    void acceptNext()
    {
        m_acceptor.async_accept([this](std::error_code code, tcp::socket caller) {
            if (!code)
                std::make_shared<Connection>(std::move(caller), m_cuts)->start(m_target);
            acceptNext();
        });
    }

    void readCommand()
    {
        asio::async_read_until(m_input, m_lines, '\n', [this](std::error_code code, std::size_t) {
            if (code) {
                m_context.stop();
                return;
            }
            std::istream stream(&m_lines);
            std::string line;
            std::getline(stream, line);
            execute(line);
            std::cout << "done" << std::endl;
            readCommand();
        });
    }

    void execute(const std::string& line)
    {
        const bool both = line == "cut both";
        if (line == "heal")
            m_cuts = {};
        else if (line == "quit")
            m_context.stop();
        m_cuts.forward = m_cuts.forward || both || line == "cut forward";
        m_cuts.backward = m_cuts.backward || both || line == "cut backward";
    }

    asio::io_context& m_context;
    tcp::acceptor m_acceptor;
    tcp::endpoint m_target;
    asio::posix::stream_descriptor m_input;
    asio::streambuf m_lines;
    Cuts m_cuts;
};

tcp::endpoint endpointOf(const char* text)
{
    const Endpoint endpoint = parseEndpoint(text).value();
    return { asio::ip::make_address(endpoint.address), endpoint.port };
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 3) {
        std::cerr << "usage: standin_relay LISTEN_IP:PORT TARGET_IP:PORT\n";
        return EXIT_FAILURE;
    }
    try {
        asio::io_context context;
        const Relay relay(context, endpointOf(argv[1]), endpointOf(argv[2]));
        std::cout << "ready" << std::endl;
        context.run();
        return EXIT_SUCCESS;
    } catch (const std::exception& e) {
        std::cerr << "standin_relay: " << e.what() << '\n';
        return EXIT_FAILURE;
    }
}
