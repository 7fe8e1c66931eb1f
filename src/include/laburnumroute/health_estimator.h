/// Estimates from the outcomes of attempts how likely an instance is to fail the next request, and
/// how slow it is. No I/O.
///
/// Load pattern: instances that fail most of their requests for some seconds, repeatedly, while
/// others never do. An instance is modelled as either healthy or gray at any time. Outcomes update
/// the probability by their likelihood ratio; without outcomes it decays to the instance's
/// long-term rate, so that an avoided instance is tried again, and one that was gray before is
/// tried last.
///
/// Load pattern: some hosts lose their path to half of the instances, or a whole service sheds.
/// Such attempts have not run and are repeated elsewhere, so they count apart from failures: an
/// instance that declines often costs time, not requests.
#pragma once

#include <laburnumroute/clock.h>

namespace laburnum {

/// Health estimator of one instance. Not thread-safe.
class HealthEstimator {
public:
    /// A complete answer without failure after `latency`; `typical` is the service's typical
    /// latency.
    void onSuccess(Duration latency, Duration typical, TimePoint now);
    /// A failure caused by the instance: a server error or a broken answer.
    void onFailure(TimePoint now);
    /// The instance declined to run the request.
    void onShed(TimePoint now);
    /// No answer within `waited`, with `typical` as above. Weak evidence when many healthy answers
    /// take as long, strong evidence when almost none does.
    void onTimeout(Duration waited, Duration typical, TimePoint now);
    /// The instance's host refused the connection: no process listens on the port.
    void onRefused(TimePoint now);
    /// No connection within the time allowed; the network path of one host may be at fault.
    void onUnreachable(TimePoint now);
    /// Clears all evidence, for a new incarnation.
    void reset() { *this = HealthEstimator(); }

    /// Probability that the next request fails, given that the instance accepts it.
    double failureProbability(TimePoint now) const;
    /// failureProbability() plus two standard errors of the long-term record: the failures that the
    /// record does not rule out. An instance with few outcomes has a high bound.
    double failureBound(TimePoint now) const;
    /// Probability that the next attempt is not run: shed, or not connected in time.
    double declineProbability(TimePoint now) const;
    /// Estimated latency as a multiple of the service's typical latency.
    double slowness(TimePoint now) const;
    /// Time of the latest success; the clock's epoch if there was none.
    TimePoint lastSuccess() const noexcept { return m_lastSuccess; }

private:
    /// Outcome counts over a longer time, decayed exponentially.
    struct Record {
        double failures = 0.0;
        double trials = 0.0;
        TimePoint at {};
    };

    void updateBelief(double likelihoodRatio, TimePoint now);
    void updateDecline(double observed, double gain, TimePoint now);
    void updateRecord(double failures, TimePoint now);
    Record recordAt(TimePoint now) const;
    /// Share of requests that failed over a longer time.
    double longTermFailureRate(TimePoint now) const;
    double grayProbability(TimePoint now) const;

    double m_grayProbability = 0.0;
    TimePoint m_beliefUpdated {};
    Record m_record;
    double m_declined = 0.0;
    TimePoint m_declineUpdated {};
    double m_logSlowness = 0.0;
    TimePoint m_slownessUpdated {};
    TimePoint m_lastSuccess {};
};

} // namespace laburnum
