#include <catch2/catch.hpp>

#include <laburnumroute/rate_limit.h>

using namespace laburnum;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start { 1000s };

RateLimitStatement statement(std::optional<double> perSecond, Duration sent, Duration head)
{
    return { perSecond, start + sent, start + head };
}

} // namespace

TEST_CASE("rate limits are decimal numbers from 0 on")
{
    CHECK(parseRateLimit("0") == 0.0);
    CHECK(parseRateLimit("0.0") == 0.0);
    CHECK(parseRateLimit("1.3") == 1.3);
    CHECK(parseRateLimit(".5") == 0.5);
    CHECK(parseRateLimit("7.") == 7.0);
    CHECK(parseRateLimit("007") == 7.0);
    CHECK(parseRateLimit("1000000") == maxRateLimit);
    CHECK(parseRateLimit("1000001") == maxRateLimit);
    CHECK(parseRateLimit(std::string(1000, '9')) == maxRateLimit);
    CHECK(parseRateLimit("0." + std::string(1000, '0') + "1") == 0.0);
}

TEST_CASE("other texts are no rate limits")
{
    const auto text = GENERATE(as<std::string>(), "", ".", "-1", "-0", "+1", "1e3", "1,5", "1 2",
        "1.2.3", "0x10", "nan", "inf", "infinity", "many", "1;q=2");
    CAPTURE(text);
    CHECK_FALSE(parseRateLimit(text));
    CHECK_FALSE(parseRateLimit(std::string_view("1\0", 2)));
}

// Guards against an end, or a rise, that is taken from a response older than the limit.
TEST_CASE("a limit ends or rises only with a request that was sent after it was heard")
{
    const std::optional<double> looser = GENERATE(std::optional<double>(), std::optional(9.0));
    StatedRateLimit limit;
    CHECK(limit.update(statement(2.0, 1s, 2s)));
    CHECK_FALSE(limit.update(statement(looser, 0s, 900ms)));
    CHECK_FALSE(limit.update(statement(looser, 0s, 3s)));
    CHECK_FALSE(limit.update(statement(looser, 1900ms, 4s)));
    CHECK(limit.perSecond() == 2.0);
    CHECK(limit.update(statement(looser, 2s, 5s)));
    CHECK(limit.perSecond() == looser);
}

TEST_CASE("a limit falls with any response that is not older than the last one")
{
    StatedRateLimit limit;
    CHECK(limit.update(statement(5.0, 1s, 2s)));
    CHECK(limit.update(statement(3.0, 500ms, 3s)));
    CHECK(limit.update(statement(1.0, 3s, 4s)));
    CHECK_FALSE(limit.update(statement(0.0, 0s, 3s)));
    CHECK(limit.perSecond() == 1.0);
}

TEST_CASE("a limit that is named again after its end holds, unless the statement is older")
{
    StatedRateLimit limit;
    CHECK(limit.update(statement(1.0, 1s, 2s)));
    CHECK(limit.update(statement({}, 3s, 4s)));
    CHECK_FALSE(limit.update(statement(1.0, 2s, 3s)));
    CHECK(limit.update(statement(1.0, 2s, 4100ms)));
    CHECK(limit.perSecond() == 1.0);
}

// Guards against a limit that never ends at an instance that always has requests in flight.
TEST_CASE("a limit ends within the time of one request although requests overlap all the time")
{
    constexpr auto work = 500ms;
    constexpr auto interval = 20ms;
    constexpr auto endsAt = 5s;
    StatedRateLimit limit;
    std::optional<Duration> ended;
    for (Duration sent = 0s; sent < 10s; sent += interval) {
        const Duration head = sent + work;
        limit.update(statement(head < endsAt ? std::optional(50.0) : std::nullopt, sent, head));
        if (head >= endsAt && !limit.perSecond() && !ended)
            ended = head;
    }
    REQUIRE(ended);
    CHECK(*ended <= endsAt + work + interval);
}
