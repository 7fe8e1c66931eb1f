/// How long a request that can be repeated stays at an instance that says nothing. No I/O.
///
/// Load pattern: work that is spread widely, so that one sound answer in twenty takes over twice
/// the mean. Leaving such an instance early throws its work away, takes a place elsewhere and
/// starts anew; staying too long leaves no time for a repeat when the instance hangs.
#pragma once

#include <laburnumroute/clock.h>

namespace laburnum {

/// The time for one attempt of a request with this `objective`; the last attempt that a request has
/// is not bounded by it.
Duration attemptTime(Duration objective);

} // namespace laburnum
