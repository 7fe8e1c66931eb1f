#include <laburnumroute/hedge_delay.h>

#include <algorithm>

namespace laburnum {

namespace {

    /// Share of the objective. With log-normal latencies whose mean is a third of the objective and
    /// whose deviation is 0.5, few healthy answers come later, and a retry still fits into twice
    /// the objective.
    constexpr double objectiveShare = 0.85;
    /// Lower bound, so that short objectives do not send requests from instance to instance.
    constexpr auto minHedgeDelay = std::chrono::milliseconds(1000);

} // namespace

Duration hedgeDelay(Duration objective)
{
    const double seconds = std::chrono::duration<double>(objective).count();
    return std::max<Duration>(minHedgeDelay, fromSeconds(objectiveShare * seconds));
}

} // namespace laburnum
