#include <catch2/catch.hpp>

#include <laburnumroute/fleet_state.h>

#include "fakes/controller_fleet.h"

using namespace laburnum;
using fakes::instanceRecord;

namespace {

/// Applies commands with increasing indices.
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

TEST_CASE("the configuration with the highest number is in force regardless of order and content")
{
    FleetState state;
    Applier apply(state);
    apply(FleetState::encodePutConfig({ 7, "seven" }));
    apply(FleetState::encodePutConfig({ 5, "five" }));
    apply(FleetState::encodePutConfig({ 7, "another seven" }));
    REQUIRE(state.config().number == 7);
    REQUIRE(state.config().content == "seven");
    apply(FleetState::encodePutConfig({ 12, "twelve" }));
    REQUIRE(state.config().content == "twelve");
    REQUIRE(state.earlierConfig(7)->content == "seven");
    REQUIRE(state.earlierConfig(5) == nullptr);
}

TEST_CASE("stale records of an instance change nothing")
{
    FleetState state;
    Applier apply(state);
    apply(FleetState::encodePutInstance(instanceRecord("i", "s", 80, 10, 5)));
    SECTION("an older sequence")
    {
        auto late = instanceRecord("i", "other", 81, 10, 4);
        REQUIRE_FALSE(state.wouldChange(late));
    }
    SECTION("a renewal without changes")
    {
        REQUIRE_FALSE(state.wouldChange(instanceRecord("i", "s", 80, 10, 6)));
    }
    SECTION("back to serving after draining, in the same incarnation")
    {
        auto draining = instanceRecord("i", "s", 80, 10, 6);
        draining.phase = InstancePhase::Draining;
        REQUIRE(state.wouldChange(draining));
        apply(FleetState::encodePutInstance(draining));
        REQUIRE_FALSE(state.wouldChange(instanceRecord("i", "s", 80, 10, 7)));
    }
    SECTION("a deregistered incarnation is stale, a later one is not")
    {
        apply(FleetState::encodeRemoveInstance({ InstanceId("i"), 10 }));
        REQUIRE(state.instances().empty());
        REQUIRE_FALSE(state.wouldChange(instanceRecord("i", "s", 80, 10, 9)));
        REQUIRE(state.wouldChange(instanceRecord("i", "s", 80, 11, 1)));
    }
}

TEST_CASE("an address belongs to the instance that started there most recently")
{
    FleetState state;
    Applier apply(state);
    apply(FleetState::encodePutInstance(instanceRecord("old", "s", 80, 10, 5)));
    apply(FleetState::encodePutInstance(instanceRecord("new", "t", 80, 20, 1)));
    REQUIRE(state.instances().size() == 1);
    REQUIRE(state.instances().begin()->first == InstanceId("new"));
    // An announcement of the dead instance, delayed by a partition, must not replace the live one.
    REQUIRE_FALSE(state.wouldChange(instanceRecord("old", "s", 80, 10, 6)));
    apply(FleetState::encodePutInstance(instanceRecord("old", "s", 80, 10, 6)));
    REQUIRE(state.instances().begin()->first == InstanceId("new"));
}

// Guards against live instances that are removed for good by what others say.
TEST_CASE("an end that the instance did not state itself can be taken back, a stated one cannot")
{
    FleetState state;
    Applier apply(state);
    const auto record = instanceRecord("i", "s", 80, 10, 5);
    const auto later = instanceRecord("i", "s", 80, 10, 6);
    apply(FleetState::encodePutInstance(record));
    REQUIRE_FALSE(state.canReinstate(later)); // a renewal
    SECTION("stated")
    {
        apply(FleetState::encodeRemoveInstance({ InstanceId("i"), 10 }));
        REQUIRE_FALSE(state.canReinstate(later));
        apply(FleetState::encodeReinstateInstance(later));
        REQUIRE(state.instances().empty());
    }
    SECTION("inferred from a deregistration without an incarnation")
    {
        apply(FleetState::encodeRemoveInstance({ InstanceId("i"), 10, false }));
        REQUIRE_FALSE(state.wouldChange(later));
        REQUIRE(state.canReinstate(later));
        auto draining = later;
        draining.phase = InstancePhase::Draining;
        REQUIRE_FALSE(state.canReinstate(draining));
        FleetState copy;
        REQUIRE(copy.restore(state.snapshot()));
        REQUIRE(copy.canReinstate(later));
        apply(FleetState::encodeReinstateInstance(later));
        REQUIRE(state.instances().contains(InstanceId("i")));
        // The end is forgotten, and may be repeated.
        apply(FleetState::encodeRemoveInstance({ InstanceId("i"), 10, true }));
        REQUIRE(state.instances().empty());
        REQUIRE_FALSE(state.canReinstate(later));
    }
    SECTION("inferred after later announcements: those do not disprove it, nor after a restart")
    {
        apply(FleetState::encodeRemoveInstance({ InstanceId("i"), 10, false, 8 }));
        FleetState copy;
        REQUIRE(copy.restore(state.snapshot()));
        for (const FleetState* each : { &state, &copy }) {
            REQUIRE_FALSE(each->canReinstate(instanceRecord("i", "s", 80, 10, 8)));
            REQUIRE(each->canReinstate(instanceRecord("i", "s", 80, 10, 9)));
        }
    }
    SECTION("inferred from another instance at the address")
    {
        apply(FleetState::encodePutInstance(instanceRecord("other", "s", 80, 20, 1)));
        REQUIRE_FALSE(state.wouldChange(later));
        REQUIRE(state.canReinstate(later));
        REQUIRE(state.rival(later)->id == InstanceId("other"));
        apply(FleetState::encodeReinstateInstance(later));
        REQUIRE(state.instances().size() == 1);
        REQUIRE(state.instances().contains(InstanceId("i")));
        REQUIRE(state.canReinstate(instanceRecord("other", "s", 80, 20, 2)));
    }
    SECTION("an earlier start time under the same id")
    {
        const auto earlier = instanceRecord("i", "s", 80, 9, 1);
        REQUIRE_FALSE(state.wouldChange(earlier));
        REQUIRE(state.canReinstate(earlier));
        REQUIRE(state.rival(earlier)->incarnation == 10);
        apply(FleetState::encodeReinstateInstance(earlier));
        REQUIRE(state.instances().at(InstanceId("i")).incarnation == 9);
    }
}

TEST_CASE("a snapshot restores the same state, including deregistrations")
{
    FleetState state;
    Applier apply(state);
    apply(FleetState::encodePutConfig({ 3, std::string(100'000, 'x') }));
    apply(FleetState::encodePutInstance(instanceRecord("a", "s", 80)));
    apply(FleetState::encodePutInstance(instanceRecord("b", "s", 81)));
    apply(FleetState::encodeRemoveInstance({ InstanceId("a"), 1 }));
    FleetState copy;
    REQUIRE(copy.restore(state.snapshot()));
    REQUIRE(copy.snapshot() == state.snapshot());
    REQUIRE(copy.config().content.size() == 100'000);
    REQUIRE(copy.instancesIndex() == state.instancesIndex());
    REQUIRE_FALSE(copy.wouldChange(instanceRecord("a", "s", 80, 1, 9)));
    REQUIRE_FALSE(copy.restore("nonsense"));
}

TEST_CASE("changes are available from an index on; before it the full set has to be sent")
{
    FleetState state;
    Applier apply(state);
    apply(FleetState::encodePutInstance(instanceRecord("a", "s", 80)));
    const LogIndex seen = state.instancesIndex();
    apply(FleetState::encodePutInstance(instanceRecord("b", "s", 81)));
    REQUIRE(state.changedSince(seen) == std::set<InstanceId> { InstanceId("b") });
    for (std::uint64_t i = 0; i <= FleetState::maxRecordedChanges; ++i)
        apply(FleetState::encodePutInstance(instanceRecord("c", "s", 82, i + 1)));
    REQUIRE_FALSE(state.changedSince(seen).has_value());
}

// Guards against a configuration with the number 0 that is taken for none.
TEST_CASE("a snapshot tells the configuration number 0 from no configuration")
{
    FleetState empty;
    REQUIRE(empty.restore(FleetState().snapshot()));
    REQUIRE_FALSE(empty.config().number);
    REQUIRE(empty.earlierConfig(std::nullopt) == nullptr);
    constexpr std::uint64_t maxNumber = UINT64_MAX;
    for (const std::uint64_t number : { std::uint64_t { 0 }, maxNumber }) {
        FleetState state;
        Applier apply(state);
        apply(FleetState::encodePutConfig({ number, "first" }));
        apply(FleetState::encodePutConfig({ number, "other" }));
        FleetState copy;
        REQUIRE(copy.restore(state.snapshot()));
        REQUIRE(copy.config().number == number);
        REQUIRE(copy.config().content == "first");
    }
    FleetState state;
    Applier apply(state);
    apply(FleetState::encodePutConfig({ 0, "zero" }));
    apply(FleetState::encodePutConfig({ maxNumber, "largest" }));
    REQUIRE(state.config().number == maxNumber);
    REQUIRE(state.earlierConfig(0)->content == "zero");
}
