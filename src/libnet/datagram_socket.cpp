#include <laburnumroute/datagram_socket.h>

#include <asio/buffer.hpp>

#include "asio_endpoint_pvt.h"

namespace laburnum {

using asio::ip::udp;

Expected<void> DatagramSocket::listen(const Endpoint& endpoint, OnDatagram onDatagram)
{
    const auto address = pvt::toAsio(endpoint);
    if (!address)
        return tl::unexpected<Error>(address.error());
    m_onDatagram = std::move(onDatagram);
    const udp::endpoint local(address->address(), address->port());
    std::error_code code;
    m_socket.open(local.protocol(), code);
    m_socket.non_blocking(true, code);
    m_socket.bind(local, code);
    if (code)
        return fail(ErrorCode::Io, "bind " + formatEndpoint(endpoint) + ": " + code.message());
    receive();
    return {};
}

void DatagramSocket::send(const Endpoint& to, std::string_view bytes)
{
    const auto address = pvt::toAsio(to);
    if (!address || !m_socket.is_open())
        return;
    std::error_code ignored;
    m_socket.send_to(
        asio::buffer(bytes), udp::endpoint(address->address(), address->port()), 0, ignored);
}

void DatagramSocket::receive()
{
    m_socket.async_receive_from(
        asio::buffer(m_buffer), m_from, [this](std::error_code code, std::size_t count) {
            if (code == asio::error::operation_aborted)
                return;
            if (!code)
                m_onDatagram({ m_from.address().to_string(), m_from.port() },
                    std::string_view(m_buffer.data(), count));
            receive();
        });
}

} // namespace laburnum
