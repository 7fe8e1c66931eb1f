/// Helpers over jsoncpp: compact text out, checked text in.
#pragma once

#include <string>
#include <string_view>

#include <json/value.h>

#include <laburnumroute/error.h>

namespace laburnum {

/// Compact JSON text on one line.
std::string toJsonText(const Json::Value& value);
/// Parses `text`; InvalidArgument carries the parser's message.
Expected<Json::Value> parseJson(std::string_view text);
/// The string member `name` of object `value`; InvalidArgument when it is missing or no string.
Expected<std::string> stringMember(const Json::Value& value, const char* name);
/// The unsigned member `name` of object `value`; InvalidArgument when missing, negative or no
/// integer.
Expected<std::uint64_t> unsignedMember(const Json::Value& value, const char* name);

} // namespace laburnum
