#include <catch2/catch.hpp>

#include <laburnumroute/dispatcher.h>

using namespace laburnum;

namespace {

Configuration oneService()
{
    Configuration configuration;
    configuration.services.push_back({ ServiceId("boatboard") });
    configuration.routes.push_back({ "", "/boats", {}, ServiceId("boatboard") });
    return configuration;
}

InstanceRecord instanceNamed(const std::string& name)
{
    InstanceRecord record;
    record.id = InstanceId(name);
    record.service = ServiceId("boatboard");
    record.endpoint = { "127.0.0.1", 9000 };
    record.slots = 6;
    return record;
}

} // namespace

TEST_CASE(
    "a request is assigned to a serving instance of its service, excluding those already tried")
{
    NullDecisionLog log;
    ManualClock clock;
    Dispatcher dispatcher({ HostId("e1") }, 1, log);
    dispatcher.setConfiguration(oneService());
    dispatcher.upsertInstance(instanceNamed("a"), clock.now());
    dispatcher.upsertInstance(instanceNamed("b"), clock.now());
    const auto first = dispatcher.begin({ "GET", "", "/boats" }, {}, clock.now());
    REQUIRE(first.has_value());
    const auto second = dispatcher.begin({ "GET", "", "/boats" }, { first->instance }, clock.now());
    REQUIRE(second.has_value());
    REQUIRE(second->instance != first->instance);
}

TEST_CASE("refusals give the reason")
{
    NullDecisionLog log;
    ManualClock clock;
    Dispatcher dispatcher({ HostId("e1") }, 1, log);
    dispatcher.setConfiguration(oneService());
    REQUIRE(dispatcher.begin({ "GET", "", "/else" }, {}, clock.now()).error()
        == RefusalReason::NoRoute);
    REQUIRE(dispatcher.begin({ "GET", "", "/boats" }, {}, clock.now()).error()
        == RefusalReason::NoInstance);
    InstanceRecord draining = instanceNamed("a");
    draining.phase = InstancePhase::Draining;
    dispatcher.upsertInstance(draining, clock.now());
    REQUIRE(dispatcher.begin({ "GET", "", "/boats" }, {}, clock.now()).error()
        == RefusalReason::NoInstance);
}
