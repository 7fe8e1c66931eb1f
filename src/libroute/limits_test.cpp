#include <catch2/catch.hpp>

#include <laburnumroute/dispatcher.h>
#include <laburnumroute/retry_budget.h>
#include <laburnumroute/wait_queue.h>

using namespace laburnum;
using namespace std::chrono_literals;

TEST_CASE(
    "retries stay within their share of requests, and a service with little traffic can retry")
{
    RetryBudget budget(10);
    TimePoint now(1h);
    int taken = 0;
    while (budget.take(now))
        ++taken;
    REQUIRE(taken == static_cast<int>(RetryBudget::maxTokens));
    for (int i = 0; i < 1000; ++i)
        budget.onRequest(now);
    taken = 0;
    while (budget.take(now))
        ++taken;
    REQUIRE(taken <= 100);
    REQUIRE(taken > 0);
    REQUIRE(budget.take(now + 20s));
    REQUIRE_FALSE(RetryBudget(0).take(now));
}

TEST_CASE("waiters are served in order, never after their deadline")
{
    WaitQueue queue(2);
    const TimePoint now(1h);
    REQUIRE_FALSE(queue.push(WaiterId(1), now + 1s, now));
    REQUIRE_FALSE(queue.push(WaiterId(2), now + 5s, now));
    REQUIRE(queue.push(WaiterId(3), now + 5s, now) == WaitRefusal::QueueFull);
    REQUIRE(queue.pop(now + 1s) == WaiterId(2));
    REQUIRE_FALSE(queue.pop(now + 1s));
}

TEST_CASE("a request whose expected wait exceeds its deadline is refused early")
{
    WaitQueue queue(16);
    const TimePoint now(1h);
    queue.onSlotFreed(now - 200ms);
    queue.onSlotFreed(now);
    REQUIRE(queue.expectedWait(now) == 200ms);
    REQUIRE_FALSE(queue.push(WaiterId(1), now + 300ms, now));
    REQUIRE(queue.push(WaiterId(2), now + 300ms, now) == WaitRefusal::WaitTooLong);
}
