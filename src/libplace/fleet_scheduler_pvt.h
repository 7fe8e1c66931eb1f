/// Limits and helpers that the parts of FleetScheduler share.
#pragma once

#include <laburnumroute/clock.h>

namespace laburnum::pvt {

/// Bounds of the time after which a refused request should come back.
inline constexpr auto minRetryAfter = std::chrono::milliseconds(250);
inline constexpr auto maxRetryAfter = std::chrono::milliseconds(1500);

/// The same if the rate limits of the instances are all the room that a service has.
inline constexpr auto maxRateLimitedRetryAfter = std::chrono::milliseconds(10000);

/// Assumed latency of a service before its first success.
inline constexpr double initialTypicalSeconds = 0.4;

} // namespace laburnum::pvt
