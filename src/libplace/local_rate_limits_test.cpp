#include <catch2/catch.hpp>

#include <deque>

#include <laburnumroute/local_rate_limits.h>

using namespace laburnum;
using namespace std::chrono_literals;

namespace {

const InstanceId instance("i");
constexpr TimePoint start { 1000s };
constexpr std::uint64_t seedCount = 50;

InstanceRateLimit limit(
    std::optional<double> perSecond, Duration sent, Duration head, std::uint64_t incarnation = 1)
{
    return { instance, incarnation, { perSecond, start + sent, start + head } };
}

} // namespace

// Guards against a limit that every host keeps for itself, while all of them are alone (LIMIT).
TEST_CASE("load pattern: hosts that are alone for a minute stay within half of a limit together")
{
    constexpr std::uint32_t hosts = 48;
    const double perSecond = GENERATE(0.0, 0.3, 1.0, 1.3, 10.0);
    CAPTURE(perSecond);
    std::size_t all = 0;
    for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
        CAPTURE(seed);
        std::deque<LocalRateLimits> fleet;
        for (std::uint32_t i = 0; i < hosts; ++i) {
            fleet.emplace_back(seed * 1000 + i).setHosts(hosts);
            fleet.back().onLeaderStatements({ limit(perSecond, 0s, 1s) }, true, start + 1s);
        }
        std::deque<TimePoint> inWindow;
        std::size_t fullest = 0;
        for (TimePoint now = start + 1s; now < start + 61s; now += 50ms) {
            for (LocalRateLimits& host : fleet) {
                if (!host.mayPlace(instance, now))
                    continue;
                host.onPlaced(instance, true, now);
                ++all;
                inWindow.push_back(now);
                while (inWindow.front() <= now - 4s)
                    inWindow.pop_front();
                fullest = std::max(fullest, inWindow.size());
            }
        }
        CHECK(static_cast<double>(fullest) <= 6.0 * perSecond + 5.0);
    }
    const double expected = RateLimitShares::alone
        * std::max(perSecond, RateLimitShares::minPerSecond) * 60.0 * seedCount;
    CHECK(static_cast<double>(all) >= 0.9 * expected);
    CHECK(static_cast<double>(all) <= 1.1 * expected);
}

TEST_CASE("a host that hears its leader for a moment gets nothing more by that")
{
    LocalRateLimits limits(1);
    limits.setHosts(48);
    limits.onOwnStatement(limit(1.0, 0s, 1s), start + 1s);
    unsigned placed = 0;
    for (TimePoint now = start + 1s; now < start + 61s; now += 50ms) {
        if (now.time_since_epoch() % 500ms == 0ms)
            limits.onLeaderHeard();
        if (limits.mayPlace(instance, now)) {
            limits.onPlaced(instance, true, now);
            ++placed;
        }
    }
    CHECK(placed <= 5);
}

TEST_CASE("statements are passed on while somebody believes in a limit")
{
    LocalRateLimits limits(1);
    const auto passesOn = [&](const InstanceRateLimit& said) {
        return limits.onOwnStatement(said, said.statement.headAt).isPassedOn;
    };
    CHECK_FALSE(passesOn(limit({}, 0s, 1s)));
    CHECK(passesOn(limit(2.0, 1s, 2s)));
    CHECK_FALSE(passesOn(limit(2.0, 2s, 2100ms)));
    CHECK(passesOn(limit(1.0, 2s, 2150ms)));
    CHECK(passesOn(limit(1.0, 2s, 2500ms)));
    CHECK(passesOn(limit({}, 3s, 4s)));
    CHECK_FALSE(passesOn(limit({}, 4s, 5s)));
    // The leader heard of the limit and of its end in another order.
    limits.onLeaderStatements({ limit(1.0, 2s, 2900ms) }, true, start + 6s);
    CHECK_FALSE(limits.perSecond(instance));
    CHECK(passesOn(limit({}, 5s, 6s)));
    CHECK(passesOn(limit({}, 6s, 7s)));
    limits.onLeaderStatements({ limit({}, 6s, 7s) }, false, start + 8s);
    CHECK_FALSE(passesOn(limit({}, 8s, 9s)));
}

TEST_CASE("a host believes its leader and other hosts by the order of what they heard")
{
    LocalRateLimits limits(1);
    limits.onPeerStatement(limit(3.0, 1s, 2s), start + 2s);
    CHECK(limits.perSecond(instance) == 3.0);
    limits.onLeaderStatements({ limit({}, 0s, 1s) }, true, start + 3s);
    CHECK(limits.perSecond(instance) == 3.0);
    limits.onLeaderStatements({ limit({}, 2s, 3s) }, false, start + 3s);
    CHECK_FALSE(limits.perSecond(instance));
    limits.onPeerStatement(limit(3.0, 1s, 2s), start + 4s);
    CHECK_FALSE(limits.perSecond(instance));
    limits.onPeerStatement(limit(2.0, 5s, 6s, 2), start + 6s);
    CHECK(limits.perSecond(instance) == 2.0);
    limits.onInstance(instance, 3);
    CHECK_FALSE(limits.perSecond(instance));
}

TEST_CASE("what is known of ended limits is forgotten after a minute")
{
    LocalRateLimits limits(1);
    for (int i = 0; i < 1000; ++i) {
        const auto at = std::chrono::seconds(i);
        InstanceRateLimit said = limit(1.0, at, at + 500ms);
        said.instance = InstanceId("i" + std::to_string(i));
        limits.onOwnStatement(said, start + at + 500ms);
        said.statement = { std::nullopt, start + at + 600ms, start + at + 700ms };
        limits.onOwnStatement(said, start + at + 700ms);
    }
    CHECK(limits.statements().size() <= 62);
}

TEST_CASE("a list of changes leaves other limits of the leader as they were, a full one does not")
{
    LocalRateLimits limits(1);
    InstanceRateLimit other = limit(1.0, 1s, 2s);
    other.instance = InstanceId("j");
    const auto isPassedOn = [&](Duration at) {
        return limits.onOwnStatement(limit({}, at, at + 10ms), start + at + 10ms).isPassedOn;
    };
    limits.onLeaderStatements({ limit(1.0, 1s, 2s) }, true, start + 2s);
    limits.onLeaderStatements({ other }, false, start + 3s);
    CHECK(isPassedOn(4s));
    CHECK(isPassedOn(5s));
    limits.onLeaderStatements({ other }, true, start + 6s);
    CHECK_FALSE(isPassedOn(7s));
}
