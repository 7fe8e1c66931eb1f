/// Time that a planned stop reserves for an attempt. No I/O.
///
/// Load pattern: a host is being stopped, and callers go on sending requests on connections that
/// they opened before. What is dispatched too late is cut when the grace period ends, and its
/// caller can't know whether it ran. Such a request is refused as not run while that is still
/// true, and its caller sends it to another host.
#pragma once

#include <laburnumroute/clock.h>

namespace laburnum {

/// Least time between the start of an attempt and the end of a stop. `objective` is the latency
/// objective of the route and may be zero; `timeout` limits the attempt; `grace` is the time from
/// the beginning of the stop to its end, of which at most half is reserved.
Duration stopAllowance(Duration objective, Duration timeout, Duration grace);

} // namespace laburnum
