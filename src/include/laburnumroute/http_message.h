/// HTTP/1.1 message heads as they pass through the entry hosts: names, values and their order kept.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace laburnum {

/// One header field, name and value byte for byte (surrounding white space removed).
struct HeaderField {
    std::string name;
    std::string value;
};

/// The head of a request or a response. Request members are empty in a response and the reverse.
struct HttpHead {
    std::string method;
    std::string target;
    unsigned status = 0;
    std::string reason;
    unsigned versionMinor = 1;
    std::vector<HeaderField> fields;
    /// The body comes in chunks.
    bool chunked = false;
    /// The body's length in bytes, when the head states it.
    std::optional<std::uint64_t> contentLength;
    /// The sender keeps the connection open after this message.
    bool keepAlive = true;

    /// The first value of field `name` (any case), or empty.
    std::string_view field(std::string_view name) const;
};

/// True when two field names are equal but for ASCII case.
bool equalsIgnoreCase(std::string_view a, std::string_view b) noexcept;

/// The fields of `head` without hop-by-hop fields (RFC 9110, section 7.6.1) and without the fields
/// that only this system sets. Content-Length stays.
std::vector<HeaderField> endToEndFields(const HttpHead& head);
/// The trailer fields that may be passed on.
std::vector<HeaderField> forwardableTrailers(const std::vector<HeaderField>& trailers);
/// True for `Laburnum-*`, the fields that only this system sets.
bool isInternalField(std::string_view name) noexcept;

/// Renders the end of a chunked body.
std::string renderLastChunk(const std::vector<HeaderField>& trailers);
/// Renders a request head with `fields`, up to and including the empty line.
std::string renderRequestHead(const HttpHead& head, const std::vector<HeaderField>& fields);
/// Renders a response head with `fields`, up to and including the empty line.
std::string renderResponseHead(const HttpHead& head, const std::vector<HeaderField>& fields);

} // namespace laburnum
