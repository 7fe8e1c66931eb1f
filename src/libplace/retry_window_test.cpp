#include <catch2/catch.hpp>

#include <deque>

#include <laburnumroute/retry_window.h>

using namespace laburnum;
using namespace std::chrono_literals;

TEST_CASE("no window holds more retries than its limits, wherever it begins")
{
    constexpr RetryBudgetLimits limits { 0.2, 30.0, 10s };
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        RetryWindow window;
        window.setLimits(limits);
        std::deque<TimePoint> requests;
        std::deque<TimePoint> retries;
        std::size_t taken = 0;
        // Phases in which every request wants retries alternate with phases without any.
        for (TimePoint now(100s); now < TimePoint(160s); now += 10ms) {
            window.onRequest(now);
            requests.push_back(now);
            const bool wants = (now + seed * 311ms).time_since_epoch() % 9200ms < 2s;
            for (int i = 0; wants && i < 3; ++i) {
                if (window.take(now)) {
                    retries.push_back(now);
                    ++taken;
                }
            }
            while (!retries.empty() && now - retries.front() >= limits.window)
                retries.pop_front();
            while (!requests.empty() && now - requests.front() >= limits.window)
                requests.pop_front();
            REQUIRE(static_cast<double>(retries.size())
                <= limits.ratio * static_cast<double>(requests.size()) + limits.slack);
        }
        REQUIRE(taken > 0);
    }
}
