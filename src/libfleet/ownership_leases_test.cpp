#include <catch2/catch.hpp>

#include <functional>
#include <memory>

#include <laburnumroute/ownership_leases.h>

#include "fakes/fake_network.h"

using namespace laburnum;
using namespace laburnum::fakes;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

using Factory = std::function<std::unique_ptr<OwnershipLeases>(
    const HostId&, const std::vector<HostLocation>&, std::uint64_t seed)>;

template <class Leases>
std::unique_ptr<OwnershipLeases> make(
    const HostId& self, const std::vector<HostLocation>& hosts, std::uint64_t seed)
{
    return std::make_unique<Leases>(self, hosts, seed);
}

/// Mutation: a voter that grants immediately after a restart.
class EagerVoter final : public OwnershipLeases {
public:
    using OwnershipLeases::OwnershipLeases;
    bool mayGrant(TimePoint /*now*/) const override { return true; }
};

/// Mutation: an owner that assumes a longer lease than the voters grant.
class OverlongOwner final : public OwnershipLeases {
public:
    using OwnershipLeases::OwnershipLeases;
    Duration ownerLease() const override { return 2 * LeaseSettings().leaseDuration; }
};

const ServiceId service("boatboard");

class LeaseFleet {
public:
    LeaseFleet(unsigned size, std::uint64_t seed, const Factory& factory = make<OwnershipLeases>)
        : network(seed)
        , random(seed)
        , hosts(size)
        , m_factory(factory)
    {
        for (unsigned i = 0; i < size; ++i) {
            const std::string dataCentre = "dc" + std::to_string(i % 6);
            locations.push_back({ HostId("h" + std::to_string(i)), DataCentreId(dataCentre),
                RegionId("r" + std::to_string(i % 3)) });
        }
        for (unsigned i = 0; i < size; ++i)
            restart(i);
    }

    void restart(unsigned i)
    {
        stop(i);
        hosts[i] = m_factory(locations[i].host, locations, random());
        hosts[i]->setServices({ service });
        network.attach(locations[i].host, *hosts[i]);
    }

    void stop(unsigned i)
    {
        if (hosts[i])
            network.detach(locations[i].host);
        hosts[i].reset();
    }

    bool owns(unsigned i) const
    {
        return hosts[i] && hosts[i]->isOwner(service, network.localNow(locations[i].host));
    }

    unsigned owners() const
    {
        unsigned count = 0;
        for (unsigned i = 0; i < hosts.size(); ++i)
            count += owns(i) ? 1 : 0;
        return count;
    }

    /// Index of the owner, or the number of hosts when there is none.
    unsigned owner() const
    {
        unsigned i = 0;
        while (i < hosts.size() && !owns(i))
            ++i;
        return i;
    }

    /// Runs for `time` and returns the largest number of simultaneous owners.
    unsigned run(Duration time)
    {
        unsigned most = 0;
        network.run(time, [&] { most = std::max(most, owners()); });
        return most;
    }

    unsigned indexOf(const HostId& host) const
    {
        unsigned i = 0;
        while (locations[i].host != host)
            ++i;
        return i;
    }

    FakeNetwork network;
    Random random;
    std::vector<HostLocation> locations;
    std::vector<std::unique_ptr<OwnershipLeases>> hosts;

private:
    Factory m_factory;
};

/// Applies one random fault or repair: restart, freeze, unfreeze, one-way cut, reconnect,
/// isolation.
void disturb(LeaseFleet& fleet)
{
    const auto i = static_cast<unsigned>(uniformBelow(fleet.random, fleet.hosts.size()));
    const auto j = static_cast<unsigned>(uniformBelow(fleet.random, fleet.hosts.size()));
    const HostId& host = fleet.locations[i].host;
    switch (uniformBelow(fleet.random, 7)) {
    case 0:
        fleet.restart(i);
        break;
    case 1:
        fleet.network.freeze(host);
        break;
    case 2:
    case 3:
        for (const auto& location : fleet.locations) {
            fleet.network.freeze(location.host, false);
            fleet.network.isolate(location.host, false);
        }
        break;
    case 4:
        fleet.network.cut(host, fleet.locations[j].host);
        break;
    case 5:
        for (const auto& location : fleet.locations)
            fleet.network.cut(location.host, host, false);
        break;
    default:
        fleet.network.isolate(host);
    }
}

/// The largest number of simultaneous owners in a run with random faults and drifting clocks.
unsigned mostOwnersUnderFaults(std::uint64_t seed, const Factory& factory)
{
    LeaseFleet fleet(7, seed, factory);
    for (unsigned i = 0; i < 7; ++i)
        fleet.network.setClockRate(fleet.locations[i].host, i % 2 == 0 ? 0.99 : 1.01);
    for (unsigned i = 0; i < 7; ++i)
        fleet.restart(i);
    fleet.network.setFaults({ 0.1, 0.1, milliseconds(300) });
    unsigned most = 0;
    for (int step = 0; step < 100; ++step) {
        disturb(fleet);
        most = std::max(most, fleet.run(milliseconds(900)));
    }
    return most;
}

/// Restarts all other voters while the owner is isolated. Returns the largest number of
/// simultaneous owners.
unsigned mostOwnersWithRestarts(const Factory& factory)
{
    LeaseFleet fleet(5, 3, factory);
    fleet.run(seconds(12));
    const unsigned owner = fleet.owner();
    REQUIRE(owner < 5);
    fleet.network.isolate(fleet.locations[owner].host);
    for (unsigned i = 0; i < 5; ++i) {
        if (i != owner)
            fleet.restart(i);
    }
    return fleet.run(seconds(15));
}

} // namespace

TEST_CASE("a voter group covers several regions and data centres and is the same on all hosts")
{
    const LeaseFleet fleet(48, 1);
    const auto group = voterGroup(service, fleet.locations, 5);
    REQUIRE(group.size() == 5);
    std::map<RegionId, unsigned> perRegion;
    std::map<DataCentreId, unsigned> perDataCentre;
    for (const auto& host : group) {
        const HostLocation& location = fleet.locations[fleet.indexOf(host)];
        ++perRegion[location.region];
        ++perDataCentre[location.dataCentre];
    }
    REQUIRE(perRegion.size() == 3);
    REQUIRE(perDataCentre.size() == 5);
    std::vector<HostLocation> reversed(fleet.locations.rbegin(), fleet.locations.rend());
    REQUIRE(voterGroup(service, reversed, 5) == group);
}

TEST_CASE("at most one host owns a service at any time under random faults")
{
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        CAPTURE(seed);
        REQUIRE(mostOwnersUnderFaults(seed, make<OwnershipLeases>) == 1);
    }
}

TEST_CASE("mutation: an owner that assumes too long a lease leads to two owners")
{
    unsigned most = 0;
    for (std::uint64_t seed = 1; seed <= 30 && most < 2; ++seed)
        most = mostOwnersUnderFaults(seed, make<OverlongOwner>);
    REQUIRE(most >= 2);
}

TEST_CASE("restarted voters do not elect a second owner")
{
    REQUIRE(mostOwnersWithRestarts(make<OwnershipLeases>) == 1);
}

TEST_CASE("mutation: voters that grant immediately after a restart lead to two owners")
{
    REQUIRE(mostOwnersWithRestarts(make<EagerVoter>) == 2);
}

TEST_CASE("ownership is stable, and another host takes over within 8 s of the owner's failure")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        LeaseFleet fleet(12, seed);
        fleet.run(seconds(10));
        const unsigned first = fleet.owner();
        REQUIRE(first < 12);
        fleet.network.setFaults({ 0.1, 0.05, milliseconds(20) });
        unsigned changes = 0;
        fleet.network.run(seconds(60), [&] { changes += fleet.owns(first) ? 0 : 1; });
        REQUIRE(changes == 0);
        fleet.stop(first);
        REQUIRE(fleet.run(seconds(8)) == 1);
        REQUIRE(fleet.owner() < 12);
    }
}

TEST_CASE("an owner frozen past the end of its lease is no longer owner afterwards")
{
    LeaseFleet fleet(7, 5);
    fleet.run(seconds(10));
    const unsigned first = fleet.owner();
    REQUIRE(first < 7);
    fleet.network.freeze(fleet.locations[first].host);
    REQUIRE(fleet.run(seconds(9)) == 1);
    const unsigned second = fleet.owner();
    REQUIRE(second != first);
    fleet.network.freeze(fleet.locations[first].host, false);
    REQUIRE(fleet.run(seconds(10)) == 1);
    REQUIRE(fleet.owner() == second);
}

TEST_CASE("another host takes over at once when the owner resigns")
{
    LeaseFleet fleet(7, 7);
    fleet.run(seconds(10));
    const unsigned first = fleet.owner();
    Outbox out(fleet.locations[first].host);
    fleet.hosts[first]->resign(fleet.network.now(), out);
    fleet.network.flush(out);
    REQUIRE_FALSE(fleet.owns(first));
    fleet.run(seconds(3));
    REQUIRE(fleet.owner() < 7);
}

TEST_CASE("delayed messages from an earlier run of the owner do not affect its current grant")
{
    LeaseFleet fleet(5, 11);
    const HostId owner = fleet.locations[1].host;
    const auto send = [&](const HostId& from, const char* method, unsigned epoch, unsigned round) {
        Json::Value params(Json::objectValue);
        params["s"] = service.value();
        params["e"] = epoch;
        params["r"] = round;
        Outbox out(fleet.locations[0].host);
        fleet.hosts[0]->receive(
            { from, fleet.locations[0].host, method, params }, fleet.network.now(), out);
        const auto replies = out.takeMessages();
        return !replies.empty() && replies[0].params["ok"].asBool();
    };
    fleet.network.isolate(fleet.locations[0].host);
    fleet.run(seconds(6));
    REQUIRE(send(owner, "lease.request", 2, 5));
    // From an earlier run, epoch 1, and from an earlier round of the current run.
    REQUIRE_FALSE(send(owner, "lease.request", 1, 9));
    send(owner, "lease.release", 1, 9);
    send(owner, "lease.release", 2, 4);
    REQUIRE_FALSE(send(fleet.locations[2].host, "lease.request", 3, 1));
    send(owner, "lease.release", 2, 5);
    REQUIRE(send(fleet.locations[2].host, "lease.request", 3, 1));
}

TEST_CASE("every host learns the owner, and the owner knows since when it owns the service")
{
    LeaseFleet fleet(12, 9);
    fleet.run(seconds(14));
    const unsigned owner = fleet.owner();
    REQUIRE(owner < 12);
    for (const auto& host : fleet.hosts)
        REQUIRE(host->ownerOf(service, fleet.network.now()) == fleet.locations[owner].host);
    const auto since = fleet.hosts[owner]->ownerSince(service, fleet.network.now());
    REQUIRE(since.value() < fleet.network.now() - seconds(2));
}
