#include <catch2/catch.hpp>

#include <deque>

#include <laburnumroute/retry_window.h>

using namespace laburnum;
using namespace std::chrono_literals;

TEST_CASE("no window holds more repeats than its terms, wherever it begins")
{
    constexpr RetryBudgetLimits terms { 0.2, 30.0, 10s };
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        RetryWindow window;
        window.setTerms(terms);
        std::deque<TimePoint> requests;
        std::deque<TimePoint> repeats;
        std::size_t taken = 0;
        // Every request wants a retry for some seconds, then none, again and again.
        for (TimePoint now(100s); now < TimePoint(160s); now += 10ms) {
            window.onRequest(now);
            requests.push_back(now);
            const bool wants = (now + seed * 311ms).time_since_epoch() % 9200ms < 2s;
            for (int i = 0; wants && i < 3; ++i) {
                if (window.take(now)) {
                    repeats.push_back(now);
                    ++taken;
                }
            }
            while (!repeats.empty() && now - repeats.front() >= terms.window)
                repeats.pop_front();
            while (!requests.empty() && now - requests.front() >= terms.window)
                requests.pop_front();
            REQUIRE(static_cast<double>(repeats.size())
                <= terms.ratio * static_cast<double>(requests.size()) + terms.slack);
        }
        REQUIRE(taken > 0);
    }
}
