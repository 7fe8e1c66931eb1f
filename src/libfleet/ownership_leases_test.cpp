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

/// Mutation: a voter that grants right after its restart.
class HastyVoter final : public OwnershipLeases {
public:
    using OwnershipLeases::OwnershipLeases;
    bool mayGrant(TimePoint /*now*/) const override { return true; }
};

/// Mutation: an owner that counts its lease longer than the voters do.
class OverlongOwner final : public OwnershipLeases {
public:
    using OwnershipLeases::OwnershipLeases;
    Duration ownerLease() const override { return 2 * LeaseSettings().lease; }
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
            places.push_back({ HostId("h" + std::to_string(i)), DataCentreId(dataCentre),
                RegionId("r" + std::to_string(i % 3)) });
        }
        for (unsigned i = 0; i < size; ++i)
            restart(i);
    }

    void restart(unsigned i)
    {
        stop(i);
        hosts[i] = m_factory(places[i].host, places, random());
        hosts[i]->setServices({ service });
        network.attach(places[i].host, *hosts[i]);
    }

    void stop(unsigned i)
    {
        if (hosts[i])
            network.detach(places[i].host);
        hosts[i].reset();
    }

    bool owns(unsigned i) const
    {
        return hosts[i] && hosts[i]->isOwner(service, network.localNow(places[i].host));
    }

    unsigned owners() const
    {
        unsigned count = 0;
        for (unsigned i = 0; i < hosts.size(); ++i)
            count += owns(i) ? 1 : 0;
        return count;
    }

    /// Index of the owner; the number of hosts when there is none.
    unsigned owner() const
    {
        unsigned i = 0;
        while (i < hosts.size() && !owns(i))
            ++i;
        return i;
    }

    /// Runs and returns the largest number of owners at any step.
    unsigned run(Duration time)
    {
        unsigned most = 0;
        network.run(time, [&] { most = std::max(most, owners()); });
        return most;
    }

    unsigned indexOf(const HostId& host) const
    {
        unsigned i = 0;
        while (places[i].host != host)
            ++i;
        return i;
    }

    FakeNetwork network;
    Random random;
    std::vector<HostLocation> places;
    std::vector<std::unique_ptr<OwnershipLeases>> hosts;

private:
    Factory m_factory;
};

/// One random fault or repair: restart, freeze, thaw, one-way cut, mend, isolation.
void disturb(LeaseFleet& fleet)
{
    const auto i = static_cast<unsigned>(uniformBelow(fleet.random, fleet.hosts.size()));
    const auto j = static_cast<unsigned>(uniformBelow(fleet.random, fleet.hosts.size()));
    const HostId& host = fleet.places[i].host;
    switch (uniformBelow(fleet.random, 7)) {
    case 0:
        fleet.restart(i);
        break;
    case 1:
        fleet.network.freeze(host);
        break;
    case 2:
    case 3:
        for (const auto& place : fleet.places) {
            fleet.network.freeze(place.host, false);
            fleet.network.isolate(place.host, false);
        }
        break;
    case 4:
        fleet.network.cut(host, fleet.places[j].host);
        break;
    case 5:
        for (const auto& place : fleet.places)
            fleet.network.cut(place.host, host, false);
        break;
    default:
        fleet.network.isolate(host);
    }
}

/// The largest number of owners at any step of a run with random faults and skewed clocks.
unsigned mostOwnersUnderFaults(std::uint64_t seed, const Factory& factory)
{
    LeaseFleet fleet(7, seed, factory);
    for (unsigned i = 0; i < 7; ++i)
        fleet.network.setClockRate(fleet.places[i].host, i % 2 == 0 ? 0.99 : 1.01);
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

/// Restarts all voters in turn while the owner is cut off from them; the largest number of owners.
unsigned mostOwnersWithRestarts(const Factory& factory)
{
    LeaseFleet fleet(5, 3, factory);
    fleet.run(seconds(12));
    const unsigned owner = fleet.owner();
    REQUIRE(owner < 5);
    fleet.network.isolate(fleet.places[owner].host);
    for (unsigned i = 0; i < 5; ++i) {
        if (i != owner)
            fleet.restart(i);
    }
    return fleet.run(seconds(15));
}

} // namespace

TEST_CASE("a voter group spreads over regions and data centres and is equal on all hosts")
{
    const LeaseFleet fleet(48, 1);
    const auto group = voterGroup(service, fleet.places, 5);
    REQUIRE(group.size() == 5);
    std::map<RegionId, unsigned> perRegion;
    std::map<DataCentreId, unsigned> perDataCentre;
    for (const auto& host : group) {
        const HostLocation& place = fleet.places[fleet.indexOf(host)];
        ++perRegion[place.region];
        ++perDataCentre[place.dataCentre];
    }
    REQUIRE(perRegion.size() == 3);
    REQUIRE(perDataCentre.size() == 5);
    std::vector<HostLocation> reversed(fleet.places.rbegin(), fleet.places.rend());
    REQUIRE(voterGroup(service, reversed, 5) == group);
}

TEST_CASE("at most one host owns a service at each step, whatever fails")
{
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        CAPTURE(seed);
        REQUIRE(mostOwnersUnderFaults(seed, make<OwnershipLeases>) == 1);
    }
}

TEST_CASE("mutation: an owner that counts its lease too long makes two owners")
{
    unsigned most = 0;
    for (std::uint64_t seed = 1; seed <= 30 && most < 2; ++seed)
        most = mostOwnersUnderFaults(seed, make<OverlongOwner>);
    REQUIRE(most >= 2);
}

TEST_CASE("voters that restart in turn make no second owner")
{
    REQUIRE(mostOwnersWithRestarts(make<OwnershipLeases>) == 1);
}

TEST_CASE("mutation: voters that grant right after their restart make two owners")
{
    REQUIRE(mostOwnersWithRestarts(make<HastyVoter>) == 2);
}

TEST_CASE("the owner is stable, and another follows within 8 s of its death")
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

TEST_CASE("a frozen owner whose lease ran out is not owner when it thaws")
{
    LeaseFleet fleet(7, 5);
    fleet.run(seconds(10));
    const unsigned first = fleet.owner();
    REQUIRE(first < 7);
    fleet.network.freeze(fleet.places[first].host);
    REQUIRE(fleet.run(seconds(9)) == 1);
    const unsigned second = fleet.owner();
    REQUIRE(second != first);
    fleet.network.freeze(fleet.places[first].host, false);
    REQUIRE(fleet.run(seconds(10)) == 1);
    REQUIRE(fleet.owner() == second);
}

TEST_CASE("an owner that resigns is followed at once")
{
    LeaseFleet fleet(7, 7);
    fleet.run(seconds(10));
    const unsigned first = fleet.owner();
    Outbox out(fleet.places[first].host);
    fleet.hosts[first]->resign(fleet.network.now(), out);
    fleet.network.flush(out);
    REQUIRE_FALSE(fleet.owns(first));
    fleet.run(seconds(3));
    REQUIRE(fleet.owner() < 7);
}

TEST_CASE("late messages of an owner's former life take nothing from its present one")
{
    LeaseFleet fleet(5, 11);
    const HostId owner = fleet.places[1].host;
    const auto send = [&](const HostId& from, const char* method, unsigned epoch, unsigned round) {
        Json::Value params(Json::objectValue);
        params["s"] = service.value();
        params["e"] = epoch;
        params["r"] = round;
        Outbox out(fleet.places[0].host);
        fleet.hosts[0]->receive(
            { from, fleet.places[0].host, method, params }, fleet.network.now(), out);
        const auto replies = out.takeMessages();
        return !replies.empty() && replies[0].params["ok"].asBool();
    };
    fleet.network.isolate(fleet.places[0].host);
    fleet.run(seconds(6));
    REQUIRE(send(owner, "lease.request", 2, 5));
    // Of the former life, epoch 1, and of an earlier round of the present one.
    REQUIRE_FALSE(send(owner, "lease.request", 1, 9));
    send(owner, "lease.release", 1, 9);
    send(owner, "lease.release", 2, 4);
    REQUIRE_FALSE(send(fleet.places[2].host, "lease.request", 3, 1));
    send(owner, "lease.release", 2, 5);
    REQUIRE(send(fleet.places[2].host, "lease.request", 3, 1));
}

TEST_CASE("every host learns who the owner is and since when it owns")
{
    LeaseFleet fleet(12, 9);
    fleet.run(seconds(14));
    const unsigned owner = fleet.owner();
    REQUIRE(owner < 12);
    for (const auto& host : fleet.hosts)
        REQUIRE(host->ownerOf(service, fleet.network.now()) == fleet.places[owner].host);
    const auto since = fleet.hosts[owner]->ownerSince(service, fleet.network.now());
    REQUIRE(since.value() < fleet.network.now() - seconds(2));
}
