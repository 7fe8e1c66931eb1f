/// Stop signals that follow the first one.
#pragma once

#include <cstddef>

#include <laburnumroute/clock.h>
#include <laburnumroute/decision.h>

namespace laburnum {

/// Logs the signal `number`, SIGTERM or SIGINT, that came `elapsed` after the first one with
/// `inFlight` requests being served. Returns whether it aborts them (PlannedStop::isForcedBy()).
bool isStopForced(int number, Duration elapsed, std::size_t inFlight, DecisionLog& log);

} // namespace laburnum
