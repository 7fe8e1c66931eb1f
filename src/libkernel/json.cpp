#include <laburnumroute/json.h>

#include <memory>

#include <json/reader.h>
#include <json/writer.h>
#include <nlohmann/json.hpp>

namespace laburnum {

namespace {

    Json::StreamWriterBuilder makeWriterBuilder()
    {
        Json::StreamWriterBuilder builder;
        builder["indentation"] = "";
        builder["emitUTF8"] = true;
        return builder;
    }

    /// jsoncpp also accepts bytes that are not UTF-8, control characters in strings and numbers
    /// without digits. nlohmann-json takes a NUL for the end of the text.
    bool isStrictJson(std::string_view text)
    {
        constexpr std::string_view byteOrderMark = "\xEF\xBB\xBF";
        return !text.starts_with(byteOrderMark) && text.find('\0') == std::string_view::npos
            && nlohmann::json::accept(text);
    }

    Json::CharReaderBuilder makeReaderBuilder()
    {
        Json::CharReaderBuilder builder;
        Json::CharReaderBuilder::strictMode(&builder.settings_);
        builder["strictRoot"] = false;
        return builder;
    }

} // namespace

std::string toJsonText(const Json::Value& value)
{
    static const Json::StreamWriterBuilder builder = makeWriterBuilder();
    return Json::writeString(builder, value);
}

Expected<Json::Value> parseJson(std::string_view text)
{
    static const Json::CharReaderBuilder builder = makeReaderBuilder();
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value value;
    std::string errors;
    try {
        if (!reader->parse(text.data(), text.data() + text.size(), &value, &errors))
            return fail(ErrorCode::InvalidArgument, "not JSON: " + errors);
    } catch (const std::exception& e) {
        return fail(ErrorCode::InvalidArgument, std::string("not JSON: ") + e.what());
    }
    if (!isStrictJson(text))
        return fail(ErrorCode::InvalidArgument,
            "not JSON: a string with bytes that are not UTF-8 or not escaped, a bad number, or a "
            "NUL");
    return value;
}

Expected<std::string> stringMember(const Json::Value& value, const char* name)
{
    if (!value.isObject() || !value[name].isString())
        return fail(
            ErrorCode::InvalidArgument, std::string("member '") + name + "' must be a string");
    return value[name].asString();
}

Expected<std::uint64_t> unsignedMember(const Json::Value& value, const char* name)
{
    if (!value.isObject() || !value[name].isUInt64())
        return fail(ErrorCode::InvalidArgument,
            std::string("member '") + name + "' must be an integer of at least 0");
    return value[name].asUInt64();
}

} // namespace laburnum
