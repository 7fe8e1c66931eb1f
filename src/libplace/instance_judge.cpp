#include <laburnumroute/instance_judge.h>

#include <algorithm>
#include <cmath>

namespace laburnum {

namespace {

    // A gray instance fails about two of three requests, a sound one about one of a hundred: the
    // logarithms of the ratios of these chances weigh each outcome.
    constexpr double failsWhenGray = 0.65;
    constexpr double failsWhenSound = 0.012;
    constexpr double failureEvidence = 4.0; // ln(0.65 / 0.012)
    constexpr double successEvidence = -1.04; // ln(0.35 / 0.988)
    /// Full instances shed without being sick, so a shed says less than a failure.
    constexpr double shedEvidence = 1.5;
    constexpr double silenceEvidence = 2.5;
    constexpr double refusedEvidence = 6.0;
    /// One host's path may be cut while the instance is well.
    constexpr double unreachableEvidence = 2.0;
    /// Log-odds of being gray without evidence: one in fifty.
    constexpr double priorLogOdds = -3.9;
    constexpr double maxShift = 8.0;
    constexpr double minShift = -1.5;
    /// Gray spells last several seconds; half of the evidence is gone after this.
    constexpr double halfLifeSeconds = 2.5;

    /// Part of a new latency in the running mean.
    constexpr double slownessGain = 0.3;
    constexpr double slownessHalfLifeSeconds = 4.0;
    constexpr double maxLogSlowness = 3.0;

    double faded(double value, TimePoint since, TimePoint now, double halfLife)
    {
        const double seconds = std::chrono::duration<double>(now - since).count();
        return value * std::exp2(-std::max(seconds, 0.0) / halfLife);
    }

} // namespace

double InstanceJudge::logOdds(TimePoint now) const
{
    return priorLogOdds + faded(m_logOdds, m_oddsAt, now, halfLifeSeconds);
}

void InstanceJudge::shift(double evidence, TimePoint now)
{
    const double before = faded(m_logOdds, m_oddsAt, now, halfLifeSeconds);
    m_logOdds = std::clamp(before + evidence, minShift, maxShift);
    m_oddsAt = now;
}

void InstanceJudge::onSuccess(Duration latency, Duration typical, TimePoint now)
{
    shift(successEvidence, now);
    m_lastSuccess = now;
    const double ratio = std::chrono::duration<double>(latency).count()
        / std::max(std::chrono::duration<double>(typical).count(), 1e-3);
    const double before = faded(m_logSlowness, m_slownessAt, now, slownessHalfLifeSeconds);
    const double seen = std::clamp(std::log(std::max(ratio, 1e-3)), -1.0, maxLogSlowness);
    m_logSlowness = before + slownessGain * (seen - before);
    m_slownessAt = now;
}

void InstanceJudge::onFailure(TimePoint now) { shift(failureEvidence, now); }
void InstanceJudge::onShed(TimePoint now) { shift(shedEvidence, now); }

void InstanceJudge::onSilence(TimePoint now)
{
    shift(silenceEvidence, now);
    const double before = faded(m_logSlowness, m_slownessAt, now, slownessHalfLifeSeconds);
    m_logSlowness = std::min(std::max(before, 0.0) + 0.5, maxLogSlowness);
    m_slownessAt = now;
}

void InstanceJudge::onRefused(TimePoint now) { shift(refusedEvidence, now); }
void InstanceJudge::onUnreachable(TimePoint now) { shift(unreachableEvidence, now); }

double InstanceJudge::failureChance(TimePoint now) const
{
    const double gray = 1.0 / (1.0 + std::exp(-logOdds(now)));
    return gray * failsWhenGray + (1.0 - gray) * failsWhenSound;
}

double InstanceJudge::slowness(TimePoint now) const
{
    return std::exp(faded(m_logSlowness, m_slownessAt, now, slownessHalfLifeSeconds));
}

} // namespace laburnum
