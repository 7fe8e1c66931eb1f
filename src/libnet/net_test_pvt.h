/// Helpers for libnet tests that use real sockets on the loopback interface.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <laburnumroute/auth.h>
#include <laburnumroute/endpoint.h>

namespace laburnum::pvt {

/// Returns a loopback endpoint whose port was free at the time of the call.
inline Endpoint freeEndpoint()
{
    asio::io_context context;
    const asio::ip::tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
    return { "127.0.0.1", acceptor.local_endpoint().port() };
}

inline SharedKey testKey(char c) { return SharedKey::create(std::string(32, c)).value(); }

} // namespace laburnum::pvt
