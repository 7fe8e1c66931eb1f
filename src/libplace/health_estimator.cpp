#include <laburnumroute/health_estimator.h>

#include <algorithm>
#include <cmath>

namespace laburnum {

namespace {

    // How often an instance fails: chosen from what the users say of theirs, about two of three
    // requests while gray and about one of a hundred while sound. Only their ratios matter much.
    constexpr double failsWhenGray = 0.7;
    constexpr double failsWhenSound = 0.012;
    constexpr double failureRatio = failsWhenGray / failsWhenSound;
    constexpr double successRatio = (1.0 - failsWhenGray) / (1.0 - failsWhenSound);
    /// A full instance sheds without being gray, so a shed says less than a failure.
    constexpr double shedRatio = 5.0;
    // Work of sound instances is spread like a lognormal, of this deviation, with a few that take
    // far longer; so the users say. Of gray instances about a third hang.
    constexpr double workDeviation = 0.5;
    constexpr double longWorkShare = 0.01;
    constexpr double hangsWhenGray = 0.3;
    /// A silence of three typical latencies; what is longer says no more.
    constexpr double mostSilenceRatio = 15.0;
    constexpr double refusedRatio = 400.0;
    /// One host's path may be cut while the instance is well.
    constexpr double unreachableRatio = 8.0;
    /// How much of a failure each of these counts for in the long run.
    constexpr double shedCounts = 0.3;
    constexpr double silenceCounts = 0.6;
    constexpr double unreachableCounts = 0.2;

    /// A gray spell lasts several seconds; belief drifts to its long-run value with this constant.
    constexpr double driftSeconds = 4.0;
    /// The long run: half of an outcome's weight is gone after this.
    constexpr double recordHalfLifeSeconds = 40.0;
    // An instance without a record is taken for one that failed little in many requests.
    constexpr double priorFailures = 0.4;
    constexpr double priorTrials = 15.0;
    /// A share of gray time is the share of failures over the failures of a gray instance.
    constexpr double minGray = 0.05;
    constexpr double maxGray = 0.5;
    constexpr double certain = 0.999;

    /// Part of a new latency in the running mean.
    constexpr double slownessGain = 0.3;
    constexpr double slownessHalfLifeSeconds = 4.0;
    constexpr double maxLogSlowness = 3.0;
    constexpr double silenceStep = 0.5;

    double secondsBetween(TimePoint since, TimePoint now)
    {
        return std::max(std::chrono::duration<double>(now - since).count(), 0.0);
    }

    /// How much likelier a gray instance is silent for `typicals` typical latencies.
    double silenceRatio(double typicals)
    {
        const double mean = 0.5 * workDeviation * workDeviation;
        const double z = (std::log(std::max(typicals, 1e-3)) + mean) / workDeviation;
        const double sound = 0.5 * std::erfc(z / std::sqrt(2.0)) + longWorkShare;
        return std::min((hangsWhenGray + (1.0 - hangsWhenGray) * sound) / sound, mostSilenceRatio);
    }

    double faded(double value, TimePoint since, TimePoint now, double halfLife)
    {
        return value * std::exp2(-secondsBetween(since, now) / halfLife);
    }

} // namespace

HealthEstimator::Record HealthEstimator::recordAt(TimePoint now) const
{
    return { faded(m_record.failures, m_record.at, now, recordHalfLifeSeconds),
        faded(m_record.trials, m_record.at, now, recordHalfLifeSeconds), now };
}

void HealthEstimator::count(double failures, TimePoint now)
{
    m_record = recordAt(now);
    m_record.failures += failures;
    m_record.trials += 1.0;
}

double HealthEstimator::longRun(TimePoint now) const
{
    const Record record = recordAt(now);
    return (record.failures + priorFailures) / (record.trials + priorTrials);
}

double HealthEstimator::grayChance(TimePoint now) const
{
    const double rest = std::clamp(longRun(now) / failsWhenGray, minGray, maxGray);
    return rest + (m_gray - rest) * std::exp(-secondsBetween(m_grayAt, now) / driftSeconds);
}

void HealthEstimator::weigh(double likelihoodRatio, TimePoint now)
{
    const double gray = grayChance(now) * likelihoodRatio;
    const double sound = 1.0 - grayChance(now);
    m_gray = std::min(gray / (gray + sound), certain);
    m_grayAt = now;
}

void HealthEstimator::onSuccess(Duration latency, Duration typical, TimePoint now)
{
    weigh(successRatio, now);
    count(0.0, now);
    m_lastSuccess = now;
    const double ratio = std::chrono::duration<double>(latency).count()
        / std::max(std::chrono::duration<double>(typical).count(), 1e-3);
    const double before = faded(m_logSlowness, m_slownessAt, now, slownessHalfLifeSeconds);
    const double seen = std::clamp(std::log(std::max(ratio, 1e-3)), -1.0, maxLogSlowness);
    m_logSlowness = before + slownessGain * (seen - before);
    m_slownessAt = now;
}

void HealthEstimator::onFailure(TimePoint now)
{
    weigh(failureRatio, now);
    count(1.0, now);
}

void HealthEstimator::onShed(TimePoint now)
{
    weigh(shedRatio, now);
    count(shedCounts, now);
}

void HealthEstimator::onSilence(Duration waited, Duration typical, TimePoint now)
{
    const double typicals = std::chrono::duration<double>(waited).count()
        / std::max(std::chrono::duration<double>(typical).count(), 1e-3);
    const double ratio = silenceRatio(typicals);
    const double weight = std::max(ratio - 1.0, 0.0) / (mostSilenceRatio - 1.0);
    weigh(std::max(ratio, 1.0), now);
    count(silenceCounts * weight, now);
    const double before = faded(m_logSlowness, m_slownessAt, now, slownessHalfLifeSeconds);
    m_logSlowness = std::min(std::max(before, 0.0) + silenceStep * weight, maxLogSlowness);
    m_slownessAt = now;
}

void HealthEstimator::onRefused(TimePoint now) { weigh(refusedRatio, now); }

void HealthEstimator::onUnreachable(TimePoint now)
{
    weigh(unreachableRatio, now);
    count(unreachableCounts, now);
}

double HealthEstimator::failureChance(TimePoint now) const
{
    const double gray = grayChance(now);
    return gray * failsWhenGray + (1.0 - gray) * failsWhenSound;
}

double HealthEstimator::slowness(TimePoint now) const
{
    return std::exp(faded(m_logSlowness, m_slownessAt, now, slownessHalfLifeSeconds));
}

} // namespace laburnum
