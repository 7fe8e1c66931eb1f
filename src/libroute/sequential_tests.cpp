#include <laburnumroute/sequential_tests.h>

#include <algorithm>
#include <cmath>

namespace laburnum {

namespace {

    double logRatio(double hits, double trials, double reference, double rise)
    {
        const double raised = reference + rise * (1.0 - reference);
        return hits * std::log(raised / reference)
            + (trials - hits) * std::log((1.0 - raised) / (1.0 - reference));
    }

} // namespace

void CusumTest::add(double hits, double trials, double referenceRate, double maxRise)
{
    for (std::size_t i = 0; i < alternativeCount; ++i) {
        const double rise = logRatio(hits, trials, referenceRate, m_rises[i]);
        m_sums[i] = std::max(0.0, m_sums[i] + std::min(rise, maxRise));
    }
}

double CusumTest::score() const { return *std::max_element(m_sums.begin(), m_sums.end()); }

void LikelihoodRatioTest::add(double hits, double trials, double referenceRate)
{
    m_sum += logRatio(hits, trials, referenceRate, m_rise);
}

} // namespace laburnum
