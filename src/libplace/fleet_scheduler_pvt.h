/// Limits and helpers that the parts of FleetScheduler share.
#pragma once

#include <laburnumroute/clock.h>

namespace laburnum::pvt {

/// Bounds of the time after which a refused request should come back.
inline constexpr auto minRetryAfter = std::chrono::milliseconds(250);
inline constexpr auto maxRetryAfter = std::chrono::milliseconds(1500);

/// Assumed latency of a service before its first success.
inline constexpr double initialTypicalSeconds = 0.4;

} // namespace laburnum::pvt
