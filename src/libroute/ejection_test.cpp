#include <catch2/catch.hpp>

#include "fakes/ejection_fleet.h"

using namespace laburnum;
using namespace laburnum::fakes;
using namespace std::chrono_literals;

namespace {

/// The instances in `unhealthy` answer with errors only.
HealthModel failing(const std::set<unsigned>& unhealthy)
{
    return [unhealthy](const InstanceId& id, const HostLocation&, TimePoint, Random& random) {
        for (const unsigned i : unhealthy) {
            if (id == EjectionFleet::instance(i))
                return errorReport();
        }
        return healthyReport(random);
    };
}

HealthModel allHealthy() { return failing({}); }

/// Runs until `done` or `limit`; returns the time taken.
template <class Done> Duration runUntil(EjectionFleet& fleet, Duration limit, Done done)
{
    const TimePoint start = fleet.network.now();
    while (!done() && fleet.network.now() - start < limit)
        fleet.run(100ms);
    return fleet.network.now() - start;
}

unsigned countDecisions(const EjectionFleet& fleet, const std::string& kind)
{
    const auto& all = fleet.network.decisions();
    return static_cast<unsigned>(
        std::count_if(all.begin(), all.end(), [&](const auto& d) { return d.kind == kind; }));
}

} // namespace

TEST_CASE("a failing instance is ejected at every host and returns once it is healthy")
{
    EjectionFleet fleet({});
    fleet.run(15s);
    REQUIRE(fleet.ejectedAnywhere().empty());
    fleet.health = failing({ 2 });
    fleet.run(5s);
    for (unsigned host = 0; host < fleet.options.hosts; ++host)
        REQUIRE(fleet.isEjectedAt(host, 2));
    fleet.health = allHealthy();
    fleet.run(40s);
    REQUIRE(fleet.ejectedAnywhere().empty());
    REQUIRE(fleet.violations == 0);
    REQUIRE(countDecisions(fleet, "grant-ejection") == 1);
    REQUIRE(countDecisions(fleet, "return") == 1);
}

TEST_CASE("an instance that keeps failing fails its trials and is ejected for longer each time")
{
    EjectionFleet fleet({});
    fleet.run(15s);
    fleet.health = failing({ 2 });
    fleet.run(5s);
    fleet.requests.clear();
    fleet.run(60s);
    REQUIRE(fleet.isEjectedAnywhere(2));
    // Trials after 10, 20 and 40 s, each with at most one request per host and half second.
    REQUIRE(fleet.requests[EjectionFleet::instance(2)] <= 3 * 4 * fleet.options.hosts);
    REQUIRE(countDecisions(fleet, "grant-ejection") == 1);
}

TEST_CASE("ejections stop at the floor")
{
    EjectionFleet fleet({});
    fleet.run(15s);
    // A floor of 24 of 36 slots permits two ejections.
    fleet.health = failing({ 0, 1 });
    fleet.run(10s);
    REQUIRE(fleet.ejectedAnywhere().size() == 2);
    fleet.health = failing({ 0, 1, 2 });
    fleet.run(10s);
    REQUIRE(fleet.ejectedAnywhere().size() == 2);
    REQUIRE(countDecisions(fleet, "deny-ejection") >= 1);
    REQUIRE(fleet.violations == 0);
}

TEST_CASE("removed capacity releases ejections at once")
{
    EjectionFleet fleet({});
    fleet.run(15s);
    fleet.health = failing({ 0, 1 });
    fleet.run(10s);
    REQUIRE(fleet.ejectedAnywhere().size() == 2);
    fleet.removeInstance(4);
    REQUIRE(fleet.ejectedAnywhere().size() == 1);
    fleet.removeInstance(5);
    REQUIRE(fleet.ejectedAnywhere().empty());
    fleet.run(5s);
    REQUIRE(fleet.violations == 0);
}

TEST_CASE("the floor may be violated only while the removal of an instance propagates")
{
    EjectionFleet fleet({});
    fleet.run(15s);
    fleet.health = failing({ 0, 1 });
    fleet.run(10s);
    REQUIRE(fleet.ejectedAnywhere().size() == 2);
    constexpr auto spreadDelay = 50ms;
    for (auto& host : fleet.hosts) {
        host->dispatcher.removeInstance(EjectionFleet::instance(4), fleet.network.now());
        fleet.run(spreadDelay);
    }
    REQUIRE(fleet.violations <= fleet.options.hosts * 50);
    fleet.violations = 0;
    fleet.run(5s);
    REQUIRE(fleet.violations == 0);
}

TEST_CASE("an instance used by one data centre only is ejected instead of avoiding its path")
{
    EjectionFleet fleet({ .localInstances = true });
    fleet.run(15s);
    fleet.health = [](const InstanceId& id, const HostLocation&, TimePoint, Random& random) {
        return id == EjectionFleet::instance(2) ? AttemptReport { AttemptResult::TimedOut }
                                                : healthyReport(random);
    };
    fleet.run(5s);
    for (unsigned host = 0; host < fleet.options.hosts; ++host)
        REQUIRE(fleet.isEjectedAt(host, 2));
    REQUIRE(fleet.violations == 0);
}

TEST_CASE("permits expire when the owner dies, and a new owner waits before it grants")
{
    EjectionFleet fleet({});
    fleet.run(15s);
    fleet.health = failing({ 2 });
    fleet.run(5s);
    REQUIRE(fleet.isEjectedAnywhere(2));
    fleet.kill(0);
    const Duration lapse = runUntil(fleet, 10s, [&] { return fleet.ejectedAnywhere().empty(); });
    REQUIRE(lapse <= permitLease + 500ms);
    const TimePoint since = fleet.network.now();
    fleet.setOwner(1, since);
    const Duration regrant = runUntil(fleet, 30s, [&] { return !fleet.ejectedAnywhere().empty(); });
    REQUIRE(regrant >= permitLeaseAtOwner);
    REQUIRE(regrant < 30s);
    REQUIRE(fleet.violations == 0);
}

TEST_CASE("the floor holds when ownership moves while different instances are unhealthy")
{
    EjectionFleet fleet({ .floorSlots = 30 });
    fleet.run(15s);
    fleet.health = failing({ 1 });
    fleet.run(5s);
    REQUIRE(fleet.isEjectedAnywhere(1));
    // The old owner freezes, and hosts learn of the new one at different times.
    fleet.network.freeze(HostId("h0"));
    fleet.health = failing({ 3 });
    for (unsigned host = 1; host < fleet.options.hosts; ++host) {
        fleet.hosts[host]->ownership.setOwner(HostId("h1"), fleet.network.now());
        fleet.run(700ms);
    }
    fleet.run(10s);
    fleet.hosts[0]->ownership.setOwner(HostId("h1"), fleet.network.now());
    fleet.network.freeze(HostId("h0"), false);
    fleet.run(10s);
    REQUIRE(fleet.isEjectedAnywhere(3));
    REQUIRE(fleet.violations == 0);
}

namespace {

/// Host h3 is cut off from the new owner h1 and still holds a permit for instance 1 when instance 3
/// starts to fail. Returns the number of steps in which the floor was violated.
unsigned violationsAfterTakeover(bool ownerClaimsToBeOld)
{
    EjectionFleet fleet({ .floorSlots = 30 });
    const TimePoint start = fleet.network.now();
    fleet.run(15s);
    fleet.health = failing({ 1 });
    fleet.run(5s);
    REQUIRE(fleet.isEjectedAt(3, 1));
    fleet.network.cut(HostId("h3"), HostId("h1"));
    fleet.health = failing({ 3 });
    fleet.setOwner(1, ownerClaimsToBeOld ? start : fleet.network.now());
    fleet.run(10s);
    REQUIRE(fleet.isEjectedAt(2, 3));
    return fleet.violations;
}

} // namespace

TEST_CASE("a new owner waits for the permits of the old one to expire")
{
    REQUIRE(violationsAfterTakeover(false) == 0);
}

TEST_CASE("mutation: a new owner that grants without waiting violates the floor")
{
    REQUIRE(violationsAfterTakeover(true) > 0);
}

TEST_CASE("mutation: two owners that grant at once without waiting violate the floor")
{
    EjectionFleet fleet({ .floorSlots = 30 });
    const TimePoint longAgo = fleet.network.now();
    for (unsigned host = 0; host < fleet.options.hosts; ++host)
        fleet.hosts[host]->ownership.setOwner(HostId(host < 2 ? "h0" : "h2"), longAgo);
    // Hosts h0 and h1 see instance 1 fail, h2 and h3 see instance 3 fail.
    fleet.run(15s);
    fleet.health
        = [](const InstanceId& id, const HostLocation& location, TimePoint, Random& random) {
              const bool firstHalf = location.host < HostId("h2");
              return id == EjectionFleet::instance(firstHalf ? 1 : 3) ? errorReport()
                                                                      : healthyReport(random);
          };
    fleet.run(10s);
    REQUIRE(fleet.violations > 0);
}

TEST_CASE("two hosts that suspect different instances at once do not violate the floor")
{
    EjectionFleet fleet({ .floorSlots = 30 });
    fleet.run(15s);
    fleet.health
        = [](const InstanceId& id, const HostLocation& location, TimePoint, Random& random) {
              const bool firstHalf = location.host < HostId("h2");
              return id == EjectionFleet::instance(firstHalf ? 1 : 3) ? errorReport()
                                                                      : healthyReport(random);
          };
    fleet.run(20s);
    REQUIRE(fleet.ejectedAnywhere().size() <= 1);
    REQUIRE(fleet.violations == 0);
}

TEST_CASE(
    "the floor holds under message loss, duplication, reordering, one-way cuts and lost instances")
{
    const auto seed = GENERATE(std::uint64_t { 1 }, std::uint64_t { 2 }, std::uint64_t { 3 });
    CAPTURE(seed);
    EjectionFleet fleet({ .floorSlots = 18, .seed = seed });
    fleet.network.setFaults({ 0.2, 0.3, 800ms });
    fleet.run(15s);
    fleet.health = failing({ 0, 1 });
    fleet.run(10s);
    fleet.network.cut(HostId("h0"), HostId("h1"));
    fleet.network.cut(HostId("h2"), HostId("h0"));
    fleet.run(1s);
    // Instances 3 to 5 are healthy when they are removed.
    fleet.removeInstance(4);
    fleet.run(2s);
    fleet.removeInstance(5);
    fleet.health = failing({ 1, 2 });
    fleet.run(10s);
    fleet.addInstance(4);
    fleet.run(10s);
    fleet.network.cut(HostId("h0"), HostId("h1"), false);
    fleet.setOwner(3, fleet.network.now());
    fleet.removeInstance(3);
    fleet.run(15s);
    REQUIRE(fleet.violations == 0);
}

TEST_CASE("a late grant does not prolong a permit")
{
    EjectionFleet fleet({});
    auto& host = *fleet.hosts[1];
    fleet.kill(1);
    Outbox out(host.location.host);
    const TimePoint now = fleet.network.now();
    PermitGrant grant { fleet.service, 1001, now.time_since_epoch().count(), 1,
        { { 1, EjectionFleet::instance(0), DataCentreId(), PermitState::Ejected } } };
    const PeerMessage message { HostId("h0"), host.location.host, methodPermits,
        encodePermitGrant(grant) };
    host.client.receive(message, now + permitLease, out);
    REQUIRE_FALSE(fleet.isEjectedAt(1, 0));
    host.client.receive(message, now + 1s, out);
    REQUIRE(fleet.isEjectedAt(1, 0));
    host.client.receive(message, now + 2s, out);
    fleet.network.run(permitLease);
    REQUIRE_FALSE(fleet.isEjectedAt(1, 0));
}

TEST_CASE("an ejected instance of a service without idempotent requests returns as well")
{
    EjectionFleet fleet({ .method = "POST" });
    fleet.run(15s);
    fleet.health = failing({ 2 });
    fleet.run(5s);
    REQUIRE(fleet.isEjectedAnywhere(2));
    fleet.health = allHealthy();
    fleet.requests.clear();
    fleet.run(30s);
    REQUIRE(fleet.requests[EjectionFleet::instance(2)] == 0);
    fleet.run(60s);
    REQUIRE(fleet.ejectedAnywhere().empty());
}

namespace {

/// Injects a random fault or its recovery: a network cut, a freeze, a new owner, an instance that
/// is removed, added or fails.
void injectFault(EjectionFleet& fleet, Random& random, std::set<unsigned>& unhealthy)
{
    const auto host = static_cast<unsigned>(uniformBelow(random, fleet.options.hosts));
    const auto other = static_cast<unsigned>(uniformBelow(random, fleet.options.hosts));
    const auto instance = static_cast<unsigned>(uniformBelow(random, fleet.options.instances));
    const HostId name = fleet.hosts[host]->location.host;
    const HostId otherName = fleet.hosts[other]->location.host;
    const bool isRecovery = uniformBelow(random, 2) == 0;
    switch (uniformBelow(random, 6)) {
    case 0:
        fleet.network.cut(name, otherName, isRecovery);
        break;
    case 1:
        fleet.network.freeze(name, isRecovery);
        break;
    case 2:
        fleet.setOwner(host, fleet.network.now());
        break;
    case 3:
        if (isRecovery)
            fleet.addInstance(instance);
        else
            fleet.removeInstance(instance);
        break;
    default:
        if (!unhealthy.erase(instance))
            unhealthy.insert(instance);
        fleet.health = failing(unhealthy);
    }
}

} // namespace

TEST_CASE("the floor holds under any sequence of faults")
{
    const auto seed = GENERATE(range(std::uint64_t { 1 }, std::uint64_t { 21 }));
    CAPTURE(seed);
    EjectionFleet fleet({ .floorSlots = 18, .seed = seed });
    fleet.network.setFaults({ 0.05, 0.1, 300ms });
    fleet.run(10s);
    Random random(seed);
    std::set<unsigned> unhealthy;
    for (int i = 0; i < 30; ++i) {
        injectFault(fleet, random, unhealthy);
        fleet.run(std::chrono::milliseconds(uniformBelow(random, 3000)));
    }
    REQUIRE(fleet.violations == 0);
}
