/// How long an instance may say nothing before a request that can be repeated asks for a second
/// place. No I/O.
///
/// Load pattern: work that is spread widely, so that one sound answer in twenty takes over twice
/// the mean. Asking early spends places and repeats on requests that would have been answered;
/// asking late leaves no time for a repeat when the instance hangs. The first attempt goes on.
#pragma once

#include <laburnumroute/clock.h>

namespace laburnum {

/// That time for a request with this `objective`.
Duration hedgeDelay(Duration objective);

} // namespace laburnum
