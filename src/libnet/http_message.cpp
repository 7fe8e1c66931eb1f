#include <laburnumroute/http_message.h>

#include <algorithm>
#include <array>

namespace laburnum {

namespace {

    char toLower(char c) noexcept
    {
        return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
    }

    constexpr std::array<std::string_view, 9> hopByHop { "connection", "keep-alive",
        "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "proxy-authenticate",
        "proxy-authorization" };

    std::vector<std::string_view> connectionTokens(const HttpHead& head)
    {
        std::vector<std::string_view> tokens;
        for (const auto& field : head.fields) {
            if (!equalsIgnoreCase(field.name, "connection"))
                continue;
            std::string_view rest = field.value;
            while (!rest.empty()) {
                const auto comma = rest.find(',');
                std::string_view token = rest.substr(0, comma);
                while (!token.empty() && (token.front() == ' ' || token.front() == '\t'))
                    token.remove_prefix(1);
                while (!token.empty() && (token.back() == ' ' || token.back() == '\t'))
                    token.remove_suffix(1);
                tokens.push_back(token);
                rest
                    = comma == std::string_view::npos ? std::string_view() : rest.substr(comma + 1);
            }
        }
        return tokens;
    }

    template <class Names> bool containsName(const Names& names, std::string_view name)
    {
        return std::any_of(names.begin(), names.end(),
            [&](std::string_view known) { return equalsIgnoreCase(known, name); });
    }

    void appendFields(std::string& out, const std::vector<HeaderField>& fields)
    {
        for (const auto& field : fields) {
            out += field.name;
            out += ": ";
            out += field.value;
            out += "\r\n";
        }
        out += "\r\n";
    }

} // namespace

bool isFieldName(std::string_view text) noexcept
{
    static constexpr std::string_view tokenMarks = "!#$%&'*+-.^_`|~";
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
        const bool alphanumeric
            = (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
        return alphanumeric || tokenMarks.find(c) != std::string_view::npos;
    });
}

bool equalsIgnoreCase(std::string_view a, std::string_view b) noexcept
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
        [](char x, char y) { return toLower(x) == toLower(y); });
}

std::string_view HttpHead::field(std::string_view name) const
{
    for (const auto& candidate : fields) {
        if (equalsIgnoreCase(candidate.name, name))
            return candidate.value;
    }
    return {};
}

std::vector<HeaderField> endToEndFields(const HttpHead& head)
{
    // A client must not be able to remove the fields that determine framing and routing by naming
    // them in Connection.
    static constexpr std::array<std::string_view, 2> protectedFields { "host", "content-length" };
    const auto tokens = connectionTokens(head);
    std::vector<HeaderField> result;
    result.reserve(head.fields.size() + 4);
    for (const auto& field : head.fields) {
        const bool removedByConnection
            = containsName(tokens, field.name) && !containsName(protectedFields, field.name);
        if (!removedByConnection && !containsName(hopByHop, field.name)
            && !isInternalField(field.name))
            result.push_back(field);
    }
    return result;
}

std::vector<HeaderField> forwardableTrailers(const std::vector<HeaderField>& trailers)
{
    // RFC 9110, section 6.5.1: trailers must not contain fields for framing, routing or
    // authentication.
    static constexpr std::array<std::string_view, 8> forbidden { "content-length", "host",
        "authorization", "content-encoding", "content-type", "content-range", "set-cookie",
        "idempotency-key" };
    std::vector<HeaderField> result;
    for (const auto& field : trailers) {
        if (!containsName(forbidden, field.name) && !containsName(hopByHop, field.name)
            && !isInternalField(field.name))
            result.push_back(field);
    }
    return result;
}

bool isInternalField(std::string_view name) noexcept
{
    constexpr std::string_view prefix = "laburnum-";
    return name.size() > prefix.size() && equalsIgnoreCase(name.substr(0, prefix.size()), prefix);
}

std::string renderLastChunk(const std::vector<HeaderField>& trailers)
{
    std::string out = "0\r\n";
    appendFields(out, trailers);
    return out;
}

std::string renderRequestHead(const HttpHead& head, const std::vector<HeaderField>& fields)
{
    std::string out = head.method + ' ' + head.target + " HTTP/1.1\r\n";
    appendFields(out, fields);
    return out;
}

std::string renderResponseHead(const HttpHead& head, const std::vector<HeaderField>& fields)
{
    std::string out = "HTTP/1.1 " + std::to_string(head.status) + ' ' + head.reason + "\r\n";
    appendFields(out, fields);
    return out;
}

} // namespace laburnum
