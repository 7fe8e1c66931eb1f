/// What ended attempts say of one instance: the chance that it fails the next request, and how long
/// it will take. Evidence fades, so that an instance that is avoided is tried again. No I/O.
#pragma once

#include <laburnumroute/clock.h>

namespace laburnum {

/// One instance as its attempts show it. Not thread-safe.
class InstanceJudge {
public:
    /// A whole answer without failure, `latency` after the attempt began, where its service
    /// typically takes `typical`.
    void onSuccess(Duration latency, Duration typical, TimePoint now);
    /// A failure that the instance itself caused: a server error, a broken answer.
    void onFailure(TimePoint now);
    /// The instance declined to run the request.
    void onShed(TimePoint now);
    /// No answer for much longer than is usual.
    void onSilence(TimePoint now);
    /// The instance's machine refused the connection: no process listens there.
    void onRefused(TimePoint now);
    /// No connection within the time allowed; the path of one host may be at fault.
    void onUnreachable(TimePoint now);
    /// Forgets all; for a new incarnation.
    void reset() { *this = InstanceJudge(); }

    /// Chance that the next request fails, 0 to 1.
    double failureChance(TimePoint now) const;
    /// Factor on the service's typical latency.
    double slowness(TimePoint now) const;
    /// When an attempt last succeeded; the epoch of the clock when never.
    TimePoint lastSuccess() const noexcept { return m_lastSuccess; }

private:
    void shift(double evidence, TimePoint now);
    double logOdds(TimePoint now) const;

    double m_logOdds = 0.0;
    TimePoint m_oddsAt {};
    double m_logSlowness = 0.0;
    TimePoint m_slownessAt {};
    TimePoint m_lastSuccess {};
};

} // namespace laburnum
