/// Delay after which a request that can be repeated is hedged. No I/O.
///
/// Load pattern: latencies of healthy instances vary widely, and one answer in twenty takes over
/// twice the mean. Hedging early spends slots and retries on requests that would have been
/// answered; hedging late leaves no time for a second attempt when the instance hangs. The first
/// attempt goes on.
#pragma once

#include <laburnumroute/clock.h>

namespace laburnum {

/// Time without an answer after which a second attempt is dispatched, for a route with this latency
/// objective.
Duration hedgeDelay(Duration objective);

} // namespace laburnum
