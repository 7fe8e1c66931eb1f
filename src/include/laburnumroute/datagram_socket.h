/// UDP datagrams between entry hosts. Delivery is unordered and best effort.
#pragma once

#include <array>
#include <functional>
#include <string_view>

#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>

#include <laburnumroute/endpoint.h>

namespace laburnum {

/// A bound, non-blocking UDP socket. Use from the thread that runs the io_context only.
class DatagramSocket {
public:
    using OnDatagram = std::function<void(const Endpoint& from, std::string_view bytes)>;

    /// Longer datagrams are truncated on receipt.
    static constexpr std::size_t maxBytes = 1400;

    explicit DatagramSocket(asio::io_context& context)
        : m_socket(context)
    {
    }

    /// Binds `endpoint` and calls `onDatagram` for each datagram received. Fails with Io, naming
    /// the address, when it cannot be bound.
    Expected<void> listen(const Endpoint& endpoint, OnDatagram onDatagram);
    /// Sends without blocking. The datagram is dropped when it cannot be sent at once.
    void send(const Endpoint& to, std::string_view bytes);

private:
    void receive();

    asio::ip::udp::socket m_socket;
    asio::ip::udp::endpoint m_from;
    std::array<char, maxBytes> m_buffer {};
    OnDatagram m_onDatagram;
};

} // namespace laburnum
