// Syntax of method names, host names and path prefixes; see config_reader_pvt.h.

#include "config_reader_pvt.h"

#include <algorithm>

#include <laburnumroute/host_name.h>

namespace laburnum::pvt {

namespace {

    constexpr std::size_t maxHostBytes = 253;
    constexpr std::size_t maxLabelBytes = 63;

    bool isAlphanumeric(char c) noexcept
    {
        return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    }

    bool isLabel(std::string_view label) noexcept
    {
        const auto isLabelCharacter
            = [](char c) { return isAlphanumeric(c) || c == '-' || c == '_'; };
        return !label.empty() && label.size() <= maxLabelBytes && label.front() != '-'
            && label.back() != '-' && std::all_of(label.begin(), label.end(), isLabelCharacter);
    }

    bool isBracketedAddress(std::string_view text) noexcept
    {
        return text.size() > 2 && text.front() == '[' && text.back() == ']'
            && text.find_first_not_of("0123456789abcdefABCDEF:.", 1) == text.size() - 1;
    }

} // namespace

bool isToken(std::string_view text) noexcept
{
    constexpr std::string_view special = "!#$%&'*+-.^_`|~";
    return !text.empty() && std::all_of(text.begin(), text.end(), [&](char c) {
        return isAlphanumeric(c) || special.find(c) != std::string_view::npos;
    });
}

bool isHostName(std::string_view text)
{
    const HostName host = parseHostName(text);
    if (host.hasPort)
        text = text.substr(0, text.rfind(':'));
    if (isBracketedAddress(text))
        return true;
    if (text.empty() || text.size() > maxHostBytes)
        return false;
    while (true) {
        const std::size_t dot = text.find('.');
        if (!isLabel(text.substr(0, dot)))
            return false;
        if (dot == std::string_view::npos)
            return true;
        text.remove_prefix(dot + 1);
    }
}

bool isPathPrefix(std::string_view text) noexcept
{
    return text.starts_with('/') && std::all_of(text.begin(), text.end(), [](char c) {
        return c > ' ' && c <= '~' && c != '?' && c != '#';
    });
}

std::string upperCase(std::string_view text)
{
    std::string result(text);
    for (char& c : result) {
        if (c >= 'a' && c <= 'z')
            c = static_cast<char>(c - 'a' + 'A');
    }
    return result;
}

} // namespace laburnum::pvt
