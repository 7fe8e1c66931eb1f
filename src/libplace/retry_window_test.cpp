#include <catch2/catch.hpp>

#include <deque>

#include <laburnumroute/retry_window.h>

using namespace laburnum;
using namespace std::chrono_literals;

TEST_CASE("the ends of the ranges of a retry budget are kept, too")
{
    const auto taken = [](const RetryBudgetLimits& limits, int wanted) {
        RetryWindow window;
        window.setLimits(limits);
        int retries = 0;
        for (int i = 0; i < wanted; ++i) {
            window.onRequest(TimePoint(100s));
            retries += window.take(TimePoint(100s)) ? 1 : 0;
        }
        return retries;
    };
    for (const Duration length : { Duration(1ms), Duration(7500ms), Duration(24h * 365) }) {
        CHECK(taken({ 0.0, 0.0, length }, 100) == 0);
        CHECK(taken({ 0.0, 64.5, length }, 100) == 64);
        CHECK(taken({ 0.0, 0.9, length }, 100) == 0);
        CHECK(taken({ 0.25, 0.0, length }, 100) == 25);
        CHECK(taken({ 1000.0, 1'000'000.0, length }, 100) == 100);
        RetryWindow window;
        window.setLimits({ 1000.0, 1'000'000.0, length });
        CHECK(window.remainingShare(TimePoint(100s)) == Approx(1.0));
        window.spendSlack(TimePoint(100s));
        CHECK(window.remainingShare(TimePoint(100s)) == Approx(0.0));
    }
}

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
