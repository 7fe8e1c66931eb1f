// Disks of control hosts that are full for some seconds, one after another.

#include <catch2/catch.hpp>

#include <laburnumroute/random.h>

#include "fakes/controller_fleet.h"

using namespace laburnum;
using namespace laburnum::fakes;
using namespace std::chrono_literals;

namespace {

constexpr unsigned controls = 5;
/// Time within which the users expect the acknowledgement of a change.
constexpr auto acknowledgeTime = 4000ms;

/// Sends one change after another, each to all control hosts in turn until one acknowledges it.
class Changes {
public:
    explicit Changes(ControllerFleet& fleet)
        : m_fleet(fleet)
    {
    }

    /// One configuration and one announcement; true if both were acknowledged in time.
    bool make()
    {
        ++m_number;
        const std::string text = std::to_string(m_number);
        return m_fleet.callAnywhere(PutConfigCall { { m_number, text } }, acknowledgeTime)
            && m_fleet.callAnywhere(AnnounceCall { instanceRecord("i" + text, "s",
                                                       static_cast<std::uint16_t>(1000 + m_number)),
                                        Duration::zero() },
                acknowledgeTime);
    }

    std::uint64_t number() const { return m_number; }

private:
    ControllerFleet& m_fleet;
    std::uint64_t m_number = 0;
};

} // namespace

// Guards against control hosts that go on after their disk was full but take part in nothing, by a
// report of other operators: changes were refused long after the last disk had room again.
TEST_CASE("changes are acknowledged while disks fill up one after another, and long after")
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        CAPTURE(seed);
        ControllerFleet fleet({ .controls = controls, .entries = 1, .seed = seed });
        Random random(seed);
        REQUIRE(fleet.runUntil(5s, [&] { return fleet.leader().has_value(); }));
        Changes changes(fleet);
        REQUIRE(changes.make());
        for (unsigned round = 0; round < 2 * controls; ++round) {
            // The leader half of the time: it is the one that writes first.
            const std::uint64_t drawn = 1 + uniformBelow(random, controls);
            const auto leader = fleet.leader();
            const HostId host = round % 2 == 0 && leader
                ? *leader
                : ControllerFleet::control(static_cast<unsigned>(drawn));
            fleet.fillDisk(host);
            const auto full = std::chrono::milliseconds(500 + uniformBelow(random, 3500));
            const TimePoint end = fleet.now() + full;
            while (fleet.now() < end) {
                REQUIRE(changes.make());
                fleet.run(50ms);
            }
            fleet.fillDisk(host, false);
            fleet.run(std::chrono::milliseconds(uniformBelow(random, 1000)));
        }
        fleet.run(10s);
        REQUIRE(changes.make());
        fleet.run(1s);
        for (unsigned i = 1; i <= controls; ++i) {
            Controller* controller = fleet.controller(ControllerFleet::control(i));
            REQUIRE(controller != nullptr);
            CHECK(controller->state().config().number == changes.number());
            CHECK(controller->log().membership().voterCount() == controls);
        }
    }
}
