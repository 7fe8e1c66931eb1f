/// Sequential likelihood-ratio tests on the rate of an event.
#pragma once

#include <array>

namespace laburnum {

/// Page's cumulative-sum (CUSUM) test for a rise of an event rate above a reference rate. Keeps one
/// sum for each of several rises, to detect small and large changes quickly.
class CusumTest {
public:
    static constexpr std::size_t alternativeCount = 3;
    /// Rises as fractions of the distance between the reference rate and 1.
    using Rises = std::array<double, alternativeCount>;

    explicit CusumTest(const Rises& rises)
        : m_rises(rises)
    {
    }

    /// Adds `hits` out of `trials`. The reference rate lies inside (0, 1). No sum grows by more
    /// than `maxRise`, so that a single burst is not enough for a detection.
    void add(double hits, double trials, double referenceRate, double maxRise);
    /// Largest log-likelihood ratio in nats; at least 0.
    double score() const;
    void reset() { m_sums = {}; }

private:
    Rises m_rises;
    std::array<double, alternativeCount> m_sums {};
};

/// Wald's sequential probability ratio test between a reference rate and a raised one, for
/// instances on trial.
class LikelihoodRatioTest {
public:
    explicit LikelihoodRatioTest(double rise)
        : m_rise(rise)
    {
    }

    void add(double hits, double trials, double referenceRate);
    /// The reference rate is accepted.
    bool accepts() const { return m_sum <= -decisionBound; }
    /// The raised rate is accepted.
    bool rejects() const { return m_sum >= decisionBound; }

private:
    /// Decision bound in nats, for an error rate of about one in ten each way.
    static constexpr double decisionBound = 2.3;

    double m_rise;
    double m_sum = 0.0;
};

} // namespace laburnum
