#include "request_validation_pvt.h"

#include <algorithm>
#include <array>
#include <charconv>

#include "local_response_pvt.h"

namespace laburnum::pvt {

namespace {

    /// Whether `text` has only characters that are allowed in the authority of a URI.
    bool isAuthority(std::string_view text)
    {
        static constexpr std::string_view marks = "-._~!$&'()*+;=:[]%";
        return std::all_of(text.begin(), text.end(), [](char c) {
            return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z')
                || marks.find(c) != std::string_view::npos;
        });
    }

    /// Moves the authority of an absolute-form target to `authority`. Returns false if the target
    /// has another form.
    bool splitAbsoluteTarget(HttpHead& request, std::string& authority)
    {
        for (const std::string_view scheme : { "http://", "https://" }) {
            const std::string_view target = request.target;
            if (!equalsIgnoreCase(target.substr(0, scheme.size()), scheme))
                continue;
            const auto end = target.find_first_of("/?", scheme.size());
            authority = target.substr(scheme.size(), end - scheme.size());
            std::string rest(end == std::string_view::npos ? "/" : target.substr(end));
            request.target = rest.front() == '?' ? '/' + rest : rest;
            return true;
        }
        return false;
    }

} // namespace

Expected<void> validateRequest(HttpHead& request)
{
    if (request.method == "CONNECT")
        return fail(ErrorCode::InvalidArgument, "CONNECT is not served");
    const auto isHost
        = [](const HeaderField& field) { return equalsIgnoreCase(field.name, "host"); };
    const auto count = std::count_if(request.fields.begin(), request.fields.end(), isHost);
    if (count > 1)
        return fail(ErrorCode::InvalidArgument, "more than one Host");
    if (count == 0 && request.versionMinor > 0)
        return fail(ErrorCode::InvalidArgument, "no Host");
    if (!isAuthority(request.field("host")))
        return fail(ErrorCode::InvalidArgument, "malformed Host");
    std::string authority;
    if (splitAbsoluteTarget(request, authority)) {
        if (authority.empty() || !isAuthority(authority))
            return fail(ErrorCode::InvalidArgument, "malformed target");
        const auto host = std::find_if(request.fields.begin(), request.fields.end(), isHost);
        if (host != request.fields.end())
            host->value = authority;
        else
            request.fields.insert(request.fields.begin(), { "Host", authority });
    }
    if (!request.target.starts_with('/') && request.target != "*")
        return fail(ErrorCode::InvalidArgument, "malformed target");
    return {};
}

RequestAttributes attributesOf(const HttpHead& request)
{
    return { request.method, std::string(request.field("host")), request.target };
}

bool expectsContinue(const HttpHead& request)
{
    return request.versionMinor > 0 && equalsIgnoreCase(request.field("expect"), "100-continue");
}

std::optional<Duration> callerDeadline(const HttpHead& request, const HeaderNames& names)
{
    const std::string_view text = request.field(names.deadline);
    std::uint32_t millis = 0;
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), millis);
    if (text.empty() || code != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return std::chrono::milliseconds(millis);
}

Duration timeLimit(const HttpHead& request, const HeaderNames& names, Duration maximum)
{
    return std::min(maximum, callerDeadline(request, names).value_or(maximum));
}

} // namespace laburnum::pvt
