#include "asio_endpoint_pvt.h"

namespace laburnum::pvt {

using asio::ip::tcp;

Expected<tcp::endpoint> toAsio(const Endpoint& endpoint)
{
    std::error_code code;
    const auto address = asio::ip::make_address(endpoint.address, code);
    if (code)
        return fail(ErrorCode::InvalidArgument, "'" + endpoint.address + "' is not an IP address");
    return tcp::endpoint(address, endpoint.port);
}

std::error_code openAcceptor(tcp::acceptor& acceptor, const tcp::endpoint& address)
{
    std::error_code code;
    acceptor.open(address.protocol(), code);
    if (!code)
        acceptor.set_option(tcp::acceptor::reuse_address(true), code);
    if (!code)
        acceptor.bind(address, code);
    if (!code)
        acceptor.listen(tcp::acceptor::max_listen_connections, code);
    return code;
}

Expected<void> startListening(tcp::acceptor& acceptor, const Endpoint& endpoint)
{
    const auto address = toAsio(endpoint);
    if (!address)
        return tl::unexpected<Error>(address.error());
    if (const auto code = openAcceptor(acceptor, *address))
        return fail(ErrorCode::Io, "listen on " + formatEndpoint(endpoint) + ": " + code.message());
    return {};
}

} // namespace laburnum::pvt
