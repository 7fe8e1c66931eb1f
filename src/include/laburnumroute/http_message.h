/// HTTP/1.1 message heads as proxied by the entry hosts. Field names, values and order are
/// preserved.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace laburnum {

/// One header field. Name and value are kept byte for byte, without surrounding white space.
struct HeaderField {
    std::string name;
    std::string value;
};

/// The head of a request or a response. The members that belong to the other kind are empty.
struct HttpHead {
    std::string method;
    std::string target;
    unsigned status = 0;
    std::string reason;
    unsigned versionMinor = 1;
    std::vector<HeaderField> fields;
    /// The body uses the chunked transfer coding.
    bool chunked = false;
    /// Value of Content-Length, if present.
    std::optional<std::uint64_t> contentLength;
    /// The sender allows the connection to persist after this message.
    bool keepAlive = true;

    /// Returns the value of the first field called `name`, ignoring case, or an empty string.
    std::string_view field(std::string_view name) const;
};

inline constexpr unsigned firstStatusCode = 100;
inline constexpr unsigned lastStatusCode = 599;

/// True for the status codes that a response may have (RFC 9110, section 15).
constexpr bool isStatusCode(unsigned status) noexcept
{
    return status >= firstStatusCode && status <= lastStatusCode;
}
/// True when `text` is a token (RFC 9110, section 5.6.2), as the name of a header field has to be.
bool isFieldName(std::string_view text) noexcept;

/// Compares two strings ignoring ASCII case.
bool equalsIgnoreCase(std::string_view a, std::string_view b) noexcept;

/// Returns the fields of `head` without hop-by-hop fields (RFC 9110, section 7.6.1) and without the
/// proxy's internal fields. Content-Length is kept.
std::vector<HeaderField> endToEndFields(const HttpHead& head);
/// Returns the trailer fields that may be forwarded.
std::vector<HeaderField> forwardableTrailers(const std::vector<HeaderField>& trailers);
/// True for `Laburnum-*` fields, which only the proxy itself sets.
bool isInternalField(std::string_view name) noexcept;

/// Renders the last chunk of a chunked body and `trailers`.
std::string renderLastChunk(const std::vector<HeaderField>& trailers);
/// Renders a request head with `fields` in place of `head.fields`, including the final empty line.
std::string renderRequestHead(const HttpHead& head, const std::vector<HeaderField>& fields);
/// Renders a response head with `fields` in place of `head.fields`, including the final empty line.
std::string renderResponseHead(const HttpHead& head, const std::vector<HeaderField>& fields);

} // namespace laburnum
