/// The field of a response head in which an instance names its rate limit.
#pragma once

#include <optional>
#include <string_view>

#include <laburnumroute/decision.h>
#include <laburnumroute/http_message.h>
#include <laburnumroute/ids.h>

namespace laburnum::pvt {

struct RateLimitField {
    /// The lowest of the named limits; empty if the head names none.
    std::optional<double> perSecond;
    /// The head has such fields, and none is a number.
    bool isUnreadable = false;
};

RateLimitField readRateLimitField(const HttpHead& head, std::string_view name);

/// The log line about a field that is unreadable.
Decision unreadableRateLimit(
    const HttpHead& head, std::string_view name, const InstanceId& instance);

} // namespace laburnum::pvt
