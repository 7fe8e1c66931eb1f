#include <laburnumroute/stop_allowance.h>

#include <algorithm>

namespace laburnum {

namespace {

    /// With log-normal latencies whose mean is a third of the objective and whose deviation is 0.5,
    /// fewer than one healthy answer in a thousand takes longer than this many objectives.
    constexpr int objectivesPerAttempt = 2;
    constexpr int graceDivisor = 2;

} // namespace

Duration stopAllowance(Duration objective, Duration timeout, Duration grace)
{
    const Duration needed
        = objective > Duration::zero() ? objective * objectivesPerAttempt : timeout;
    return std::min(needed, grace / graceDivisor);
}

} // namespace laburnum
