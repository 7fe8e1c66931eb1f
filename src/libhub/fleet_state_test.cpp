#include <catch2/catch.hpp>

#include <laburnumroute/fleet_state.h>

#include "fakes/controller_fleet.h"

using namespace laburnum;
using fakes::instanceRecord;

namespace {

/// Applies commands with growing indices.
class Applier {
public:
    explicit Applier(FleetState& state)
        : m_state(state)
    {
    }
    void operator()(const std::string& command)
    {
        m_index = next(m_index);
        m_state.apply(m_index, command);
    }

private:
    FleetState& m_state;
    LogIndex m_index;
};

} // namespace

TEST_CASE("the highest number is in force, whatever the order and content of what comes after")
{
    FleetState state;
    Applier apply(state);
    apply(FleetState::putConfig({ 7, "seven" }));
    apply(FleetState::putConfig({ 5, "five" }));
    apply(FleetState::putConfig({ 7, "another seven" }));
    REQUIRE(state.config().number == 7);
    REQUIRE(state.config().content == "seven");
    apply(FleetState::putConfig({ 12, "twelve" }));
    REQUIRE(state.config().content == "twelve");
    REQUIRE(state.configNumbered(7)->content == "seven");
    REQUIRE(state.configNumbered(5) == nullptr);
}

TEST_CASE("what an instance said late changes nothing")
{
    FleetState state;
    Applier apply(state);
    apply(FleetState::putInstance(instanceRecord("i", "s", 80, 10, 5)));
    SECTION("an older sequence")
    {
        auto late = instanceRecord("i", "other", 81, 10, 4);
        REQUIRE_FALSE(state.wouldChange(late));
    }
    SECTION("a mere renewal")
    {
        REQUIRE_FALSE(state.wouldChange(instanceRecord("i", "s", 80, 10, 6)));
    }
    SECTION("serving again after draining, in the same incarnation")
    {
        auto draining = instanceRecord("i", "s", 80, 10, 6);
        draining.phase = InstancePhase::Draining;
        REQUIRE(state.wouldChange(draining));
        apply(FleetState::putInstance(draining));
        REQUIRE_FALSE(state.wouldChange(instanceRecord("i", "s", 80, 10, 7)));
    }
    SECTION("an incarnation that departed, and not one that starts after it")
    {
        apply(FleetState::removeInstance({ InstanceId("i"), 10 }));
        REQUIRE(state.instances().empty());
        REQUIRE_FALSE(state.wouldChange(instanceRecord("i", "s", 80, 10, 9)));
        REQUIRE(state.wouldChange(instanceRecord("i", "s", 80, 11, 1)));
    }
}

TEST_CASE("an address belongs to the instance that started there last")
{
    FleetState state;
    Applier apply(state);
    apply(FleetState::putInstance(instanceRecord("old", "s", 80, 10, 5)));
    apply(FleetState::putInstance(instanceRecord("new", "t", 80, 20, 1)));
    REQUIRE(state.instances().size() == 1);
    REQUIRE(state.instances().begin()->first == InstanceId("new"));
    // A beat of the dead one that a partition held up must not unseat the living.
    REQUIRE_FALSE(state.wouldChange(instanceRecord("old", "s", 80, 10, 6)));
    apply(FleetState::putInstance(instanceRecord("old", "s", 80, 10, 6)));
    REQUIRE(state.instances().begin()->first == InstanceId("new"));
}

TEST_CASE("a snapshot gives the same state, departures included")
{
    FleetState state;
    Applier apply(state);
    apply(FleetState::putConfig({ 3, std::string(100'000, 'x') }));
    apply(FleetState::putInstance(instanceRecord("a", "s", 80)));
    apply(FleetState::putInstance(instanceRecord("b", "s", 81)));
    apply(FleetState::removeInstance({ InstanceId("a"), 1 }));
    FleetState copy;
    REQUIRE(copy.restore(state.snapshot()));
    REQUIRE(copy.snapshot() == state.snapshot());
    REQUIRE(copy.config().content.size() == 100'000);
    REQUIRE(copy.instancesIndex() == state.instancesIndex());
    REQUIRE_FALSE(copy.wouldChange(instanceRecord("a", "s", 80, 1, 9)));
    REQUIRE_FALSE(copy.restore("nonsense"));
}

TEST_CASE("changes are known from an index on, and otherwise all has to be told")
{
    FleetState state;
    Applier apply(state);
    apply(FleetState::putInstance(instanceRecord("a", "s", 80)));
    const LogIndex seen = state.instancesIndex();
    apply(FleetState::putInstance(instanceRecord("b", "s", 81)));
    REQUIRE(state.changedSince(seen) == std::set<InstanceId> { InstanceId("b") });
    for (std::uint64_t i = 0; i <= FleetState::keptChanges; ++i)
        apply(FleetState::putInstance(instanceRecord("c", "s", 82, i + 1)));
    REQUIRE_FALSE(state.changedSince(seen).has_value());
}
