/// Datagrams between entry hosts: small, unordered, now and then lost.
#pragma once

#include <array>
#include <functional>
#include <string_view>

#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>

#include <laburnumroute/endpoint.h>

namespace laburnum {

/// Used from the io_context's one thread.
class DatagramSocket {
public:
    using OnDatagram = std::function<void(const Endpoint& from, std::string_view bytes)>;

    /// Longer datagrams arrive cut off.
    static constexpr std::size_t maxBytes = 1400;

    explicit DatagramSocket(asio::io_context& context)
        : m_socket(context)
    {
    }

    /// Io names the address when it cannot be bound.
    Expected<void> listen(const Endpoint& endpoint, OnDatagram onDatagram);
    /// Sends without waiting; what does not go out at once is dropped.
    void send(const Endpoint& to, std::string_view bytes);

private:
    void receive();

    asio::ip::udp::socket m_socket;
    asio::ip::udp::endpoint m_from;
    std::array<char, maxBytes> m_buffer {};
    OnDatagram m_onDatagram;
};

} // namespace laburnum
