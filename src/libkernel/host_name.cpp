#include <laburnumroute/host_name.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>

#include <arpa/inet.h>

namespace laburnum {

namespace {

    std::string lowerCase(std::string_view text)
    {
        std::string result(text);
        std::transform(result.begin(), result.end(), result.begin(),
            [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; });
        return result;
    }

    /// The text of an IPv6 literal that all spellings of its address share.
    std::string normalName(std::string_view name)
    {
        const bool isLiteral = name.size() > 2 && name.front() == '[' && name.back() == ']';
        if (!isLiteral)
            return lowerCase(name);
        in6_addr address {};
        const std::string digits(name.substr(1, name.size() - 2));
        std::array<char, INET6_ADDRSTRLEN> text {};
        if (inet_pton(AF_INET6, digits.c_str(), &address) != 1
            || inet_ntop(AF_INET6, &address, text.data(), text.size()) == nullptr)
            return lowerCase(name);
        return '[' + std::string(text.data()) + ']';
    }

    std::optional<std::uint16_t> parsePort(std::string_view digits)
    {
        std::uint16_t port = 0;
        const auto [end, code]
            = std::from_chars(digits.data(), digits.data() + digits.size(), port);
        if (code != std::errc() || end != digits.data() + digits.size())
            return std::nullopt;
        return port;
    }

    /// Position of the colon before the port; npos if `text` has none. A name with several colons
    /// and no brackets is an address without a port.
    std::size_t portSeparator(std::string_view text)
    {
        const auto colon = text.rfind(':');
        if (colon == std::string_view::npos)
            return colon;
        const bool separates
            = text.front() == '[' ? text[colon - 1] == ']' : text.find(':') == colon;
        return separates ? colon : std::string_view::npos;
    }

} // namespace

HostName parseHostName(std::string_view text)
{
    const auto colon = portSeparator(text);
    if (colon == std::string_view::npos)
        return { normalName(text) };
    const std::string_view digits = text.substr(colon + 1);
    if (digits.empty())
        return { normalName(text.substr(0, colon)) };
    const auto port = parsePort(digits);
    if (!port)
        return { lowerCase(text) };
    return { normalName(text.substr(0, colon)), *port, true };
}

std::string formatHostName(const HostName& host)
{
    return host.port == defaultHttpPort ? host.name : host.name + ':' + std::to_string(host.port);
}

} // namespace laburnum
