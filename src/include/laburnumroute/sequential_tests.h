/// Sequential likelihood-ratio tests on the rate of an event.
#pragma once

#include <array>

namespace laburnum {

/// Page's cumulative-sum test: has the rate of hits risen above a reference rate? Runs one sum for
/// each of several rises, so that small and large changes are both found soon.
class CusumTest {
public:
    static constexpr std::size_t alternativeCount = 3;
    /// Rises as shares of the room between the reference rate and 1.
    using Rises = std::array<double, alternativeCount>;

    explicit CusumTest(const Rises& rises)
        : m_rises(rises)
    {
    }

    /// Takes `hits` out of `trials` against the reference rate, which lies inside (0, 1). No sum
    /// grows by more than `maxRise`, so that a single burst is not enough.
    void add(double hits, double trials, double referenceRate, double maxRise);
    /// The largest log-likelihood ratio in nats; at least 0.
    double score() const;
    void reset() { m_sums = {}; }

private:
    Rises m_rises;
    std::array<double, alternativeCount> m_sums {};
};

/// Wald's test between a reference rate and a raised one, for instances on trial.
class LikelihoodRatioTest {
public:
    explicit LikelihoodRatioTest(double rise)
        : m_rise(rise)
    {
    }

    void add(double hits, double trials, double referenceRate);
    /// The rate is near the reference.
    bool accepts() const { return m_sum <= -decisionBound; }
    /// The rate is raised.
    bool rejects() const { return m_sum >= decisionBound; }

private:
    /// Bound in nats; wrong in about one of ten decisions each way.
    static constexpr double decisionBound = 2.3;

    double m_rise;
    double m_sum = 0.0;
};

} // namespace laburnum
