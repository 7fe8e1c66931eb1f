#include <catch2/catch.hpp>

#include <cmath>

#include <laburnumroute/hedge_delay.h>

using namespace laburnum;
using namespace std::chrono_literals;

namespace {

double seconds(Duration d) { return std::chrono::duration<double>(d).count(); }

/// Chance that sound work (lognormal, mean 0.63 s, deviation 0.5) is done within `time`.
double doneWithin(double time)
{
    const double z = (std::log(std::max(time, 1e-9) / 0.63) + 0.125) / 0.5;
    return 0.5 * std::erfc(-z / std::sqrt(2.0));
}

/// Chance of an answer within `limit` when a second attempt is asked for after `stay`, without what
/// the first, which goes on, may still answer. A retry waits 300 ms for its place (nine of ten
/// wait up to 378 ms on a quiet day), and one of ten fails. The first instance hangs with chance
/// `hangs`.
double answeredWithin(double limit, double stay, double hangs)
{
    const double first = (1.0 - hangs) * doneWithin(stay);
    return first + (1.0 - first) * 0.9 * doneWithin(limit - stay - 0.3);
}

} // namespace

TEST_CASE("load pattern: widely spread work is not thrown away, and a hang still leaves a repeat")
{
    const double stay = seconds(hedgeDelay(2s));
    // In time where few instances hang.
    REQUIRE(answeredWithin(2.0, stay, 0.0) > answeredWithin(2.0, 1.3, 0.0) + 0.015);
    // Answered at all within twice the objective, also where half of the instances hang.
    REQUIRE(answeredWithin(4.0, stay, 0.5) > 0.9);
    REQUIRE(hedgeDelay(400ms) == 1s);
}
