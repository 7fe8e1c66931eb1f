#include <laburnumroute/endpoint.h>

#include <charconv>

namespace laburnum {

namespace {

    std::string_view stripBrackets(std::string_view address)
    {
        if (address.size() > 2 && address.front() == '[' && address.back() == ']')
            return address.substr(1, address.size() - 2);
        return address;
    }

} // namespace

Expected<Endpoint> parseEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    const auto invalid = [&] {
        return fail(ErrorCode::InvalidArgument, "'" + std::string(text) + "' is not IP:PORT");
    };
    if (colon == std::string_view::npos || colon == 0)
        return invalid();
    const std::string_view digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, code] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (code != std::errc() || end != digits.data() + digits.size() || port == 0)
        return invalid();
    return Endpoint { std::string(stripBrackets(text.substr(0, colon))), port };
}

std::string formatEndpoint(const Endpoint& endpoint)
{
    const bool isV6 = endpoint.address.find(':') != std::string::npos;
    const std::string address = isV6 ? '[' + endpoint.address + ']' : endpoint.address;
    return address + ':' + std::to_string(endpoint.port);
}

} // namespace laburnum
