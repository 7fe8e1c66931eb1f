/// Log lines of attempts.
#pragma once

#include <laburnumroute/decision.h>

#include "exchange_pvt.h"

namespace laburnum::pvt {

/// How an attempt ended, as a word for logs and for Laburnum-Reason.
const char* attemptEndName(AttemptEnd end);

/// Log line of an attempt that has ended.
Decision attemptDecision(
    const CallerContext& caller, const Assignment& assigned, const AttemptOutcome& outcome);

} // namespace laburnum::pvt
