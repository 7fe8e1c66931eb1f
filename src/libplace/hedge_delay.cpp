#include <laburnumroute/hedge_delay.h>

#include <algorithm>

namespace laburnum {

namespace {

    /// Of the objective: with work of a third of it, spread by half, few sound answers come later,
    /// and a retry still fits twice the objective.
    constexpr double attemptShare = 0.85;
    /// Short objectives would send a request from instance to instance.
    constexpr auto attemptFloor = std::chrono::milliseconds(1000);

} // namespace

Duration hedgeDelay(Duration objective)
{
    const double seconds = std::chrono::duration<double>(objective).count();
    return std::max<Duration>(attemptFloor,
        std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(attemptShare * seconds)));
}

} // namespace laburnum
