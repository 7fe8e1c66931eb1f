/// The host that a request is for (`Host`) and the host that a route is declared for.
///
/// One rule for all readers of host names (RFC 9110, 4.2.3 and 7.2):
/// - Names are compared without regard to case, IPv6 literals by the address that they denote.
/// - A missing or empty port is the default port of HTTP: `h`, `h:` and `H:80` are one host.
/// - A route for a host with a port covers that port alone.
/// - A route for a host without a port also covers every port of the name that no route gives.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>

namespace laburnum {

constexpr std::uint16_t defaultHttpPort = 80;

/// A host name in the normal form in which hosts are compared.
struct HostName {
    /// In lower case, an IPv6 literal in brackets. Empty for "every host".
    std::string name;
    std::uint16_t port = defaultHttpPort;
    /// Whether the text stated the port; it does not distinguish hosts.
    bool hasPort = false;

    friend bool operator==(const HostName& a, const HostName& b)
    {
        return std::tie(a.name, a.port) == std::tie(b.name, b.port);
    }
    friend auto operator<=>(const HostName& a, const HostName& b)
    {
        return std::tie(a.name, a.port) <=> std::tie(b.name, b.port);
    }
};

/// Parses `NAME`, `NAME:PORT`, `[IPV6]` or `[IPV6]:PORT`. Text of another form, such as a port that
/// is no number, is a name as a whole and equals no other host.
HostName parseHostName(std::string_view text);
/// The normal form as text, without the default port. Hosts are equal if these texts are.
std::string formatHostName(const HostName& host);

} // namespace laburnum
