#include "rate_limit_field_pvt.h"

#include <algorithm>

#include <laburnumroute/rate_limit.h>

namespace laburnum::pvt {

namespace {

    /// A longer value is cut in the log.
    constexpr std::size_t maxLoggedBytes = 32;

    /// The value may be any bytes; a log line is UTF-8.
    std::string printable(std::string_view text)
    {
        std::string result(text.substr(0, maxLoggedBytes));
        std::replace_if(
            result.begin(), result.end(), [](char c) { return c < ' ' || c > '~'; }, '?');
        return result;
    }

} // namespace

RateLimitField readRateLimitField(const HttpHead& head, std::string_view name)
{
    RateLimitField result;
    for (const HeaderField& field : head.fields) {
        if (!equalsIgnoreCase(field.name, name))
            continue;
        if (const auto limit = parseRateLimit(field.value))
            result.perSecond = std::min(result.perSecond.value_or(*limit), *limit);
        else
            result.isUnreadable = true;
    }
    result.isUnreadable = result.isUnreadable && !result.perSecond;
    return result;
}

Decision unreadableRateLimit(
    const HttpHead& head, std::string_view name, const InstanceId& instance)
{
    Decision decision { "rate-limit", "unreadable" };
    decision.facts["instance"] = instance.value();
    decision.facts["value"] = printable(head.field(name));
    return decision;
}

} // namespace laburnum::pvt
