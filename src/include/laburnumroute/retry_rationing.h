/// Decides which retries may use the rest of a retry budget. A state machine without I/O.
///
/// Load pattern that it handles: the instances of a service shed half of their requests, so that
/// retries use up the budget within seconds, and urgent requests get none of it afterwards.
#pragma once

#include <cstdint>
#include <map>

#include <laburnumroute/clock.h>

namespace laburnum {

class RetryRationing {
public:
    /// A request wants a retry; true if it may take one from a budget of which `remainingShare` is
    /// left. The last tenth is kept for the most urgent of the priorities that wanted retries
    /// lately.
    bool admit(std::uint32_t priority, double remainingShare, TimePoint now);

private:
    /// When each priority last wanted a retry.
    std::map<std::uint32_t, TimePoint> m_lastWanted;
};

} // namespace laburnum
