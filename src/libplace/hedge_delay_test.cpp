#include <catch2/catch.hpp>

#include <cmath>

#include <laburnumroute/hedge_delay.h>

using namespace laburnum;
using namespace std::chrono_literals;

namespace {

double seconds(Duration d) { return std::chrono::duration<double>(d).count(); }

/// Probability that a healthy instance answers within `time` (log-normal, mean 0.63 s, deviation
/// 0.5).
double doneWithin(double time)
{
    const double z = (std::log(std::max(time, 1e-9) / 0.63) + 0.125) / 0.5;
    return 0.5 * std::erfc(-z / std::sqrt(2.0));
}

/// Probability of an answer within `limit` when a second attempt is dispatched after `hedgeAfter`,
/// ignoring later answers of the first attempt. A retry waits 300 ms for its slot (nine of ten wait
/// up to 378 ms at low load), and one in ten fails. The first instance hangs with probability
/// `hangs`.
double answeredWithin(double limit, double hedgeAfter, double hangs)
{
    const double first = (1.0 - hangs) * doneWithin(hedgeAfter);
    return first + (1.0 - first) * 0.9 * doneWithin(limit - hedgeAfter - 0.3);
}

} // namespace

TEST_CASE("load pattern: slow healthy answers are awaited, and a hang leaves time for a retry")
{
    const double hedgeAfter = seconds(hedgeDelay(2s));
    // Within the objective, while few instances hang.
    REQUIRE(answeredWithin(2.0, hedgeAfter, 0.0) > answeredWithin(2.0, 1.3, 0.0) + 0.015);
    // Within twice the objective, even while half of the instances hang.
    REQUIRE(answeredWithin(4.0, hedgeAfter, 0.5) > 0.9);
    REQUIRE(hedgeDelay(400ms) == 1s);
}
