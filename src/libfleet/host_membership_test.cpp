#include <catch2/catch.hpp>

#include <memory>

#include <laburnumroute/host_membership.h>

#include "fakes/fake_network.h"

using namespace laburnum;
using namespace laburnum::fakes;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

class MemberFleet {
public:
    MemberFleet(unsigned size, std::uint64_t seed)
        : network(seed)
        , hosts(size)
        , m_random(seed)
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
        if (hosts[i])
            network.detach(places[i].host);
        hosts[i] = std::make_unique<HostMembership>(places[i].host, places, m_random());
        network.attach(places[i].host, *hosts[i]);
    }

    /// Hosts, except `i` itself, that think `i` to be in `state`.
    unsigned count(unsigned i, MemberState state) const
    {
        unsigned result = 0;
        for (unsigned j = 0; j < hosts.size(); ++j)
            result += j != i && hosts[j]->stateOf(places[i].host) == state ? 1 : 0;
        return result;
    }

    /// Pairs of hosts of which the one thinks the other dead.
    unsigned deaths() const
    {
        unsigned result = 0;
        for (unsigned i = 0; i < hosts.size(); ++i)
            result += count(i, MemberState::Dead);
        return result;
    }

    FakeNetwork network;
    std::vector<HostLocation> places;
    std::vector<std::unique_ptr<HostMembership>> hosts;

private:
    Random m_random;
};

} // namespace

TEST_CASE("a dead host is dead at all others within 20 s, and alive again when it returns")
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        CAPTURE(seed);
        MemberFleet fleet(48, seed);
        fleet.network.run(seconds(3));
        fleet.network.isolate(fleet.places[5].host);
        fleet.network.run(seconds(20));
        REQUIRE(fleet.count(5, MemberState::Dead) == 47);
        REQUIRE(fleet.hosts[0]->liveHosts().size() == 47);
        fleet.network.isolate(fleet.places[5].host, false);
        fleet.restart(5);
        fleet.network.run(seconds(20));
        REQUIRE(fleet.count(5, MemberState::Alive) == 47);
    }
}

TEST_CASE("one-way cuts between pairs and loss make no live host dead")
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        CAPTURE(seed);
        MemberFleet fleet(24, seed);
        Random random(seed);
        for (int i = 0; i < 24; ++i)
            fleet.network.cut(fleet.places[uniformBelow(random, 24)].host,
                fleet.places[uniformBelow(random, 24)].host);
        fleet.network.setFaults({ 0.05, 0.02, milliseconds(20) });
        unsigned deaths = 0;
        fleet.network.run(seconds(60), [&] { deaths = std::max(deaths, fleet.deaths()); });
        REQUIRE(deaths == 0);
    }
}

TEST_CASE("a host that does not hear is dead to the others and makes none of them dead")
{
    MemberFleet fleet(24, 7);
    for (unsigned i = 1; i < 24; ++i)
        fleet.network.cut(fleet.places[i].host, fleet.places[0].host);
    unsigned wrong = 0;
    fleet.network.run(seconds(30), [&] {
        for (unsigned i = 1; i < 24; ++i)
            wrong = std::max(wrong, fleet.count(i, MemberState::Dead));
    });
    REQUIRE(fleet.count(0, MemberState::Dead) == 23);
    REQUIRE(wrong == 0);
}

TEST_CASE("a host frozen for a moment refutes its suspicion")
{
    MemberFleet fleet(12, 9);
    fleet.network.run(seconds(2));
    fleet.network.freeze(fleet.places[3].host);
    fleet.network.run(seconds(3));
    REQUIRE(fleet.count(3, MemberState::Suspect) > 0);
    fleet.network.freeze(fleet.places[3].host, false);
    fleet.network.run(seconds(15));
    REQUIRE(fleet.count(3, MemberState::Alive) == 11);
}

TEST_CASE("traffic per host does not grow with the fleet")
{
    const auto messagesPerHost = [](unsigned size) {
        MemberFleet fleet(size, 11);
        fleet.network.run(seconds(20));
        return fleet.network.messagesSent() / size;
    };
    REQUIRE(messagesPerHost(96) <= messagesPerHost(12) + 1);
}
