#include <catch2/catch.hpp>

#include <laburnumroute/loss_share.h>

using namespace laburnum;
using namespace std::chrono_literals;

TEST_CASE("the share of losses follows the last seconds")
{
    LossShare loss;
    REQUIRE(loss.share() == 0.0);
    TimePoint now(100s);
    const auto play = [&](int requests, int everyLost) {
        for (int i = 1; i <= requests; ++i) {
            now += 10ms;
            loss.onRequest(now);
            if (everyLost != 0 && i % everyLost == 0)
                loss.onLoss(now);
        }
    };
    play(1000, 0);
    REQUIRE(loss.share() == 0.0);
    // Two seconds of losing every fifth show as well over a tenth, half a second as some.
    play(50, 5);
    REQUIRE(loss.share() > 0.04);
    play(150, 5);
    REQUIRE(loss.share() > 0.13);
    play(500, 0);
    REQUIRE(loss.share() < 0.01);
}

TEST_CASE("the weight of requests fades, their share of losses does not")
{
    LossShare loss;
    const TimePoint now(100s);
    for (int i = 0; i < 80; ++i)
        loss.onRequest(now);
    loss.onLoss(now);
    REQUIRE(loss.requests(now) == Approx(80.0));
    REQUIRE(loss.requests(now + 1s) == Approx(40.0));
    REQUIRE(loss.share() == Approx(1.0 / 80.0));
}
