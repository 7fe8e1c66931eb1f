#include <laburnumroute/health_estimator.h>

#include <algorithm>
#include <cmath>

namespace laburnum {

namespace {

    // Failure rates of an instance in each state: about two of three requests while gray, about one
    // of a hundred while healthy. The estimates depend mostly on their ratios.
    constexpr double grayFailureRate = 0.7;
    constexpr double healthyFailureRate = 0.012;
    constexpr double failureLikelihoodRatio = grayFailureRate / healthyFailureRate;
    constexpr double successLikelihoodRatio = (1.0 - grayFailureRate) / (1.0 - healthyFailureRate);
    // Latencies of healthy instances are log-normal with this deviation, except for a few requests
    // that take far longer. About a third of the gray instances hang.
    constexpr double latencySigma = 0.5;
    constexpr double longRequestShare = 0.01;
    constexpr double grayHangShare = 0.3;
    /// Upper bound, reached at about three typical latencies; a longer wait adds no evidence.
    constexpr double maxTimeoutLikelihoodRatio = 15.0;
    constexpr double refusedLikelihoodRatio = 400.0;
    /// Weight of a timeout as a failure in the long-term record.
    constexpr double timeoutFailureWeight = 0.6;
    /// Weights of a new outcome in the moving average of declined attempts. A shed answer comes
    /// from the instance itself; a connection may fail because of the path from one host.
    constexpr double shedGain = 0.3;
    constexpr double unreachableGain = 0.3;
    constexpr double acceptedGain = 0.3;
    constexpr double declineHalfLifeSeconds = 3.0;

    /// Time constant with which the gray probability decays to its long-term value; a gray spell
    /// lasts several seconds.
    constexpr double beliefDecaySeconds = 4.0;
    /// Half-life of outcomes in the long-term record.
    constexpr double recordHalfLifeSeconds = 40.0;
    // Prior of the long-term record: an unknown instance counts as one that had few failures in
    // many requests.
    constexpr double priorFailures = 0.4;
    constexpr double priorTrials = 15.0;
    /// Bounds of the long-term share of gray time, which is the failure rate divided by
    /// grayFailureRate.
    constexpr double minGrayShare = 0.05;
    constexpr double maxGrayShare = 0.5;
    constexpr double maxGrayProbability = 0.999;

    /// Weight of a new latency in the moving average.
    constexpr double slownessGain = 0.3;
    constexpr double slownessHalfLifeSeconds = 4.0;
    constexpr double maxLogSlowness = 3.0;
    constexpr double timeoutLogSlowness = 0.5;

    double secondsBetween(TimePoint since, TimePoint now)
    {
        return std::max(std::chrono::duration<double>(now - since).count(), 0.0);
    }

    /// Likelihood ratio, gray to healthy, of no answer within `typicalLatencies` typical latencies.
    double timeoutLikelihoodRatio(double typicalLatencies)
    {
        const double mean = 0.5 * latencySigma * latencySigma;
        const double z = (std::log(std::max(typicalLatencies, 1e-3)) + mean) / latencySigma;
        const double healthy = 0.5 * std::erfc(z / std::sqrt(2.0)) + longRequestShare;
        return std::min(
            (grayHangShare + (1.0 - grayHangShare) * healthy) / healthy, maxTimeoutLikelihoodRatio);
    }

    double decayed(double value, TimePoint since, TimePoint now, double halfLife)
    {
        return value * std::exp2(-secondsBetween(since, now) / halfLife);
    }

} // namespace

HealthEstimator::Record HealthEstimator::recordAt(TimePoint now) const
{
    return { decayed(m_record.failures, m_record.at, now, recordHalfLifeSeconds),
        decayed(m_record.trials, m_record.at, now, recordHalfLifeSeconds), now };
}

void HealthEstimator::updateRecord(double failures, TimePoint now)
{
    m_record = recordAt(now);
    m_record.failures += failures;
    m_record.trials += 1.0;
}

double HealthEstimator::longTermFailureRate(TimePoint now) const
{
    const Record record = recordAt(now);
    return (record.failures + priorFailures) / (record.trials + priorTrials);
}

double HealthEstimator::grayProbability(TimePoint now) const
{
    const double steadyState
        = std::clamp(longTermFailureRate(now) / grayFailureRate, minGrayShare, maxGrayShare);
    return steadyState
        + (m_grayProbability - steadyState)
        * std::exp(-secondsBetween(m_beliefUpdated, now) / beliefDecaySeconds);
}

void HealthEstimator::updateBelief(double likelihoodRatio, TimePoint now)
{
    const double gray = grayProbability(now) * likelihoodRatio;
    const double healthy = 1.0 - grayProbability(now);
    m_grayProbability = std::min(gray / (gray + healthy), maxGrayProbability);
    m_beliefUpdated = now;
}

void HealthEstimator::updateDecline(double observed, double gain, TimePoint now)
{
    const double previous = declineProbability(now);
    m_declined = previous + gain * (observed - previous);
    m_declineUpdated = now;
}

void HealthEstimator::onSuccess(Duration latency, Duration typical, TimePoint now)
{
    updateDecline(0.0, acceptedGain, now);
    updateBelief(successLikelihoodRatio, now);
    updateRecord(0.0, now);
    m_lastSuccess = now;
    const double ratio = std::chrono::duration<double>(latency).count()
        / std::max(std::chrono::duration<double>(typical).count(), 1e-3);
    const double previous = decayed(m_logSlowness, m_slownessUpdated, now, slownessHalfLifeSeconds);
    const double observed = std::clamp(std::log(std::max(ratio, 1e-3)), -1.0, maxLogSlowness);
    m_logSlowness = previous + slownessGain * (observed - previous);
    m_slownessUpdated = now;
}

void HealthEstimator::onFailure(TimePoint now)
{
    updateBelief(failureLikelihoodRatio, now);
    updateRecord(1.0, now);
}

void HealthEstimator::onShed(TimePoint now) { updateDecline(1.0, shedGain, now); }

void HealthEstimator::onTimeout(Duration waited, Duration typical, TimePoint now)
{
    const double typicalLatencies = std::chrono::duration<double>(waited).count()
        / std::max(std::chrono::duration<double>(typical).count(), 1e-3);
    const double ratio = timeoutLikelihoodRatio(typicalLatencies);
    const double weight = std::max(ratio - 1.0, 0.0) / (maxTimeoutLikelihoodRatio - 1.0);
    updateBelief(std::max(ratio, 1.0), now);
    updateRecord(timeoutFailureWeight * weight, now);
    const double previous = decayed(m_logSlowness, m_slownessUpdated, now, slownessHalfLifeSeconds);
    m_logSlowness = std::min(std::max(previous, 0.0) + timeoutLogSlowness * weight, maxLogSlowness);
    m_slownessUpdated = now;
}

void HealthEstimator::onRefused(TimePoint now) { updateBelief(refusedLikelihoodRatio, now); }

void HealthEstimator::onUnreachable(TimePoint now) { updateDecline(1.0, unreachableGain, now); }

double HealthEstimator::declineProbability(TimePoint now) const
{
    return decayed(m_declined, m_declineUpdated, now, declineHalfLifeSeconds);
}

double HealthEstimator::failureProbability(TimePoint now) const
{
    const double gray = grayProbability(now);
    return gray * grayFailureRate + (1.0 - gray) * healthyFailureRate;
}

double HealthEstimator::failureBound(TimePoint now) const
{
    constexpr double standardErrors = 2.0;
    const double rate = longTermFailureRate(now);
    const double error = std::sqrt(rate * (1.0 - rate) / (recordAt(now).trials + priorTrials));
    return std::min(failureProbability(now) + standardErrors * error, 1.0);
}

double HealthEstimator::slowness(TimePoint now) const
{
    return std::exp(decayed(m_logSlowness, m_slownessUpdated, now, slownessHalfLifeSeconds));
}

} // namespace laburnum
