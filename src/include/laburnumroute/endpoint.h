/// IP endpoints, as used in settings and announcements.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <laburnumroute/error.h>

namespace laburnum {

/// An IP address and TCP port.
struct Endpoint {
    std::string address;
    std::uint16_t port = 0;

    friend bool operator==(const Endpoint&, const Endpoint&) = default;
    friend auto operator<=>(const Endpoint&, const Endpoint&) = default;
};

/// Parses `IP:PORT` (IPv6 as `[IP]:PORT`); InvalidArgument names the text. Port 0 is rejected.
Expected<Endpoint> parseEndpoint(std::string_view text);
/// The inverse of parseEndpoint().
std::string formatEndpoint(const Endpoint& endpoint);

} // namespace laburnum
