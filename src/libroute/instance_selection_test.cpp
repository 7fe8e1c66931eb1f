#include <catch2/catch.hpp>

#include <laburnumroute/dispatcher.h>

using namespace laburnum;
using namespace std::chrono_literals;

namespace {

const ServiceId boats("boatboard");
const RequestAttributes lookup { "GET", "", "/boats" };
const RequestAttributes claim { "POST", "", "/boats" };

InstanceRecord instanceAt(
    const std::string& name, const std::string& dataCentre, const std::string& region)
{
    InstanceRecord record;
    record.id = InstanceId(name);
    record.service = boats;
    record.endpoint = { "127.0.0.1", 9000 };
    record.dataCentre = DataCentreId(dataCentre);
    record.region = RegionId(region);
    record.slots = 2;
    record.connections = 400;
    return record;
}

/// A host in data centre d1 of region r1 with one service.
struct Fixture {
    Fixture()
        : dispatcher({ HostId("e1"), DataCentreId("d1"), RegionId("r1") }, 7, log)
    {
        Configuration configuration;
        configuration.services.push_back({ boats });
        configuration.routes.push_back({ "", "/boats", {}, boats });
        dispatcher.setConfiguration(configuration);
    }

    std::string pick(const RequestAttributes& request = lookup)
    {
        const auto assigned = dispatcher.begin(request, {}, now);
        if (!assigned)
            return refusalName(assigned.error());
        last = assigned->attempt;
        return assigned->instance.value();
    }

    NullDecisionLog log;
    Dispatcher dispatcher;
    TimePoint now { 1h };
    AttemptId last;
};

} // namespace

TEST_CASE("requests prefer near instances, then distant ones, then find no slot")
{
    Fixture fixture;
    fixture.dispatcher.upsertInstance(instanceAt("near", "d1", "r1"), fixture.now);
    fixture.dispatcher.upsertInstance(instanceAt("next", "d2", "r1"), fixture.now);
    fixture.dispatcher.upsertInstance(instanceAt("far", "d3", "r2"), fixture.now);
    std::vector<std::string> picks(7);
    for (auto& pick : picks)
        pick = fixture.pick();
    REQUIRE(picks
        == std::vector<std::string> { "near", "near", "next", "next", "far", "far", "no-slot" });
}

TEST_CASE("cross-region bytes are counted, and a used-up bandwidth share refuses further attempts")
{
    Fixture fixture;
    fixture.dispatcher.setCrossRegionLimit(1000);
    fixture.dispatcher.upsertInstance(instanceAt("far", "d3", "r2"), fixture.now);
    REQUIRE(fixture.pick() == "far");
    fixture.dispatcher.finish(
        fixture.last, { AttemptResult::Succeeded, 200, 50ms, 3000 }, fixture.now);
    REQUIRE(fixture.dispatcher.crossRegionBytes().at(RegionId("r2")) == 3000);
    REQUIRE(fixture.pick() == "no-slot");
    fixture.now += 2100ms;
    REQUIRE(fixture.pick() == "far");
}

TEST_CASE("a new instance gets few requests during slow start and its share later")
{
    Fixture fixture;
    for (const char* name : { "a", "b", "c" })
        fixture.dispatcher.upsertInstance(instanceAt(name, "d1", "r1"), fixture.now);
    fixture.now += 60s;
    fixture.dispatcher.upsertInstance(instanceAt("new", "d1", "r1"), fixture.now);
    const auto shareOfNew = [&] {
        int count = 0;
        for (int i = 0; i < 400; ++i) {
            count += fixture.pick() == "new" ? 1 : 0;
            fixture.dispatcher.finish(fixture.last, { AttemptResult::Succeeded }, fixture.now);
        }
        return count;
    };
    REQUIRE(shareOfNew() < 40);
    fixture.now += 60s;
    REQUIRE(shareOfNew() >= 80);
}

TEST_CASE("a host's share of an instance's connections limits its attempts")
{
    Fixture fixture;
    InstanceRecord record = instanceAt("a", "d1", "r1");
    record.slots = 6;
    record.connections = 48;
    fixture.dispatcher.setHostCount(48);
    fixture.dispatcher.upsertInstance(record, fixture.now);
    REQUIRE(fixture.pick() == "a");
    REQUIRE(fixture.pick() == "no-slot");
}

TEST_CASE(
    "an instance that shed a request is not used for a while, and a freed slot starts a waiter")
{
    Fixture fixture;
    fixture.dispatcher.upsertInstance(instanceAt("a", "d1", "r1"), fixture.now);
    REQUIRE(fixture.pick() == "a");
    const AttemptId first = fixture.last;
    REQUIRE(fixture.pick() == "a");
    const auto waiter = fixture.dispatcher.enqueue(claim, fixture.now + 1s, fixture.now);
    REQUIRE(waiter.has_value());
    REQUIRE(fixture.dispatcher.wakeWaiters(fixture.now).empty());
    REQUIRE(fixture.dispatcher.finish(first, { AttemptResult::Shed }, fixture.now)
        == std::vector<WaiterId> { *waiter });
    REQUIRE(fixture.pick() == "no-slot");
    fixture.now += 100ms;
    REQUIRE(fixture.pick() == "a");
}

TEST_CASE("attempts in flight at an instance that is removed and added again are still counted")
{
    Fixture fixture;
    fixture.dispatcher.upsertInstance(instanceAt("a", "d1", "r1"), fixture.now);
    REQUIRE(fixture.pick() == "a");
    REQUIRE(fixture.pick() == "a");
    const AttemptId old = fixture.last;
    fixture.dispatcher.removeInstance(InstanceId("a"), fixture.now);
    REQUIRE(fixture.pick() == "no-instance");
    fixture.dispatcher.upsertInstance(instanceAt("a", "d1", "r1"), fixture.now);
    REQUIRE(fixture.pick() == "no-slot");
    fixture.dispatcher.finish(old, { AttemptResult::Succeeded }, fixture.now);
    REQUIRE(fixture.pick() == "a");
}

TEST_CASE("a permit ejects until it expires, and a trial takes idempotent requests only")
{
    Fixture fixture;
    for (const char* name : { "a", "b" })
        fixture.dispatcher.upsertInstance(instanceAt(name, "d1", "r1"), fixture.now);
    Permit permit { 1, InstanceId("a"), DataCentreId(), PermitState::Ejected };
    fixture.dispatcher.applyPermits(boats, { { permit }, fixture.now + 3s }, fixture.now);
    REQUIRE(fixture.pick() == "b");
    fixture.dispatcher.finish(fixture.last, { AttemptResult::Succeeded }, fixture.now);
    REQUIRE(fixture.dispatcher.explain(lookup, fixture.now).instances.front().verdict == "ejected");
    permit.state = PermitState::OnTrial;
    fixture.dispatcher.applyPermits(boats, { { permit }, fixture.now + 3s }, fixture.now);
    REQUIRE(fixture.pick(claim) == "b");
    REQUIRE(fixture.pick(lookup) == "a");
    REQUIRE(fixture.pick(lookup) == "b");
    REQUIRE(fixture.pick(lookup) == "no-slot");
    fixture.now += 3s;
    REQUIRE(fixture.pick(claim) == "a");
}

TEST_CASE("a host releases an ejection on its own when other capacity is removed")
{
    Fixture fixture;
    for (const char* name : { "a", "b" })
        fixture.dispatcher.upsertInstance(instanceAt(name, "d1", "r1"), fixture.now);
    const Permit permit { 1, InstanceId("a"), DataCentreId(), PermitState::Ejected };
    fixture.dispatcher.applyPermits(boats, { { permit }, fixture.now + 3s }, fixture.now);
    fixture.dispatcher.removeInstance(InstanceId("b"), fixture.now);
    REQUIRE(fixture.pick(claim) == "a");
}

TEST_CASE("versions of a permit set agree on a prefix that respects the floor")
{
    const ServingSlots serving { { InstanceId("a"), 6 }, { InstanceId("b"), 6 },
        { InstanceId("c"), 6 } };
    const Permit first { 1, InstanceId("a"), DataCentreId(), PermitState::Withdrawn };
    const Permit second { 2, InstanceId("b"), DataCentreId(), PermitState::Ejected };
    REQUIRE(permitsWithinFloor(12, serving, std::vector { first, second }) == 1);
    REQUIRE(permitsWithinFloor(12, serving, std::vector { second }) == 1);
    REQUIRE(permitsWithinFloor(6, serving, std::vector { first, second }) == 2);
    REQUIRE(permitsWithinFloor(18, serving, std::vector { first }) == 0);
}
