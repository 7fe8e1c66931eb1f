/// What ended attempts say of one instance: the chance that it fails the next request, and how long
/// it will take. No I/O.
///
/// Load pattern: instances that fail most of their requests for some seconds, again and again,
/// while others never do. Each instance is taken to be sound or gray at a time; outcomes shift the
/// belief by their likelihood, and without outcomes it drifts to what the instance has shown over a
/// longer time, so that one that was avoided is tried again, and one that turned gray before is
/// tried last.
#pragma once

#include <laburnumroute/clock.h>

namespace laburnum {

/// One instance as its attempts show it. Not thread-safe.
class HealthEstimator {
public:
    /// A whole answer without failure, `latency` after the attempt began, where its service
    /// typically takes `typical`.
    void onSuccess(Duration latency, Duration typical, TimePoint now);
    /// A failure that the instance itself caused: a server error, a broken answer.
    void onFailure(TimePoint now);
    /// The instance declined to run the request.
    void onShed(TimePoint now);
    /// No answer within `waited`, where the service typically takes `typical`: says little when
    /// many sound answers take as long, much when almost none does.
    void onSilence(Duration waited, Duration typical, TimePoint now);
    /// The instance's machine refused the connection: no process listens there.
    void onRefused(TimePoint now);
    /// No connection within the time allowed; the path of one host may be at fault.
    void onUnreachable(TimePoint now);
    /// Forgets all; for a new incarnation.
    void reset() { *this = HealthEstimator(); }

    /// Chance that the next request fails, 0 to 1.
    double failureChance(TimePoint now) const;
    /// Factor on the service's typical latency.
    double slowness(TimePoint now) const;
    /// When an attempt last succeeded; the epoch of the clock when never.
    TimePoint lastSuccess() const noexcept { return m_lastSuccess; }

private:
    /// Outcomes over a longer time, fading.
    struct Record {
        double failures = 0.0;
        double trials = 0.0;
        TimePoint at {};
    };

    void weigh(double likelihoodRatio, TimePoint now);
    void count(double failures, TimePoint now);
    Record recordAt(TimePoint now) const;
    /// Share of requests that the instance fails over a longer time.
    double longRun(TimePoint now) const;
    double grayChance(TimePoint now) const;

    double m_gray = 0.0;
    TimePoint m_grayAt {};
    Record m_record;
    double m_logSlowness = 0.0;
    TimePoint m_slownessAt {};
    TimePoint m_lastSuccess {};
};

} // namespace laburnum
