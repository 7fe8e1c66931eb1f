#include <laburnumroute/planned_stop.h>

#include <algorithm>

#include <laburnumroute/stop_allowance.h>

namespace laburnum {

namespace {

    using std::chrono::milliseconds;

    /// Callers and load balancers leave a stopping host within this time: two failed readiness
    /// checks, 1 s apart, and a margin. A request that is read later is cut only by mistake of the
    /// host, while one that was sent earlier may be cut in the last sixth of the grace period.
    constexpr auto lateTime = milliseconds(3000);
    constexpr int lateDivisor = 2;
    /// Margins before the end of the grace period. With a short grace period the abort still falls
    /// into its last sixth.
    constexpr auto drainMargin = milliseconds(1000);
    constexpr int drainDivisor = 6;
    constexpr auto abortMargin = milliseconds(500);
    constexpr int abortDivisor = 12;
    constexpr auto exitMargin = milliseconds(200);
    constexpr int exitDivisor = 30;
    /// Time between the deadline of a request and the abort, for writing the response.
    constexpr auto responseMargin = milliseconds(250);
    /// Signals within this time belong to the same order.
    constexpr auto sameOrderTime = milliseconds(1000);

} // namespace

Duration PlannedStop::lateAfter() const
{
    return std::min<Duration>(lateTime, m_grace / lateDivisor);
}

Duration PlannedStop::drainAfter() const
{
    return m_grace - std::min<Duration>(drainMargin, m_grace / drainDivisor);
}

Duration PlannedStop::abortAfter() const
{
    return m_grace - std::min<Duration>(abortMargin, m_grace / abortDivisor);
}

Duration PlannedStop::exitAfter() const
{
    return m_grace - std::min<Duration>(exitMargin, m_grace / exitDivisor);
}

bool PlannedStop::mayStart(const StopAttempt& attempt) const
{
    if (attempt.deadline + responseMargin <= abortAfter())
        return true;
    if (attempt.read > lateAfter())
        return false;
    const Duration needed = stopAllowance(attempt.objective, attempt.timeout, m_grace);
    return attempt.now + needed <= abortAfter();
}

bool PlannedStop::isForcedBy(StopSignal signal, Duration elapsed)
{
    return signal == StopSignal::Interrupt && elapsed >= sameOrderTime;
}

} // namespace laburnum
