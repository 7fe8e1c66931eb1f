/// Helpers for jsoncpp: compact output and validated input.
#pragma once

#include <string>
#include <string_view>

#include <json/value.h>

#include <laburnumroute/error.h>

namespace laburnum {

/// Compact JSON text on one line.
std::string toJsonText(const Json::Value& value);
/// Parses `text`, which must be JSON as RFC 8259 defines it, in UTF-8 without a byte order mark,
/// and without duplicate member names. InvalidArgument carries the parser's message.
Expected<Json::Value> parseJson(std::string_view text);
/// The string member `name` of object `value`; InvalidArgument when it is missing or not a string.
Expected<std::string> stringMember(const Json::Value& value, const char* name);
/// The unsigned member `name` of object `value`; InvalidArgument when it is missing, negative or
/// not an integer.
Expected<std::uint64_t> unsignedMember(const Json::Value& value, const char* name);

} // namespace laburnum
