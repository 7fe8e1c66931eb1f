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
            locations.push_back({ HostId("h" + std::to_string(i)), DataCentreId(dataCentre),
                RegionId("r" + std::to_string(i % 3)) });
        }
        for (unsigned i = 0; i < size; ++i)
            restart(i);
    }

    void restart(unsigned i)
    {
        if (hosts[i])
            network.detach(locations[i].host);
        hosts[i] = std::make_unique<HostMembership>(locations[i].host, locations, m_random());
        network.attach(locations[i].host, *hosts[i]);
    }

    /// Number of other hosts in whose view host `i` is in `state`.
    unsigned count(unsigned i, MemberState state) const
    {
        unsigned result = 0;
        for (unsigned j = 0; j < hosts.size(); ++j)
            result += j != i && hosts[j]->stateOf(locations[i].host) == state ? 1 : 0;
        return result;
    }

    /// Number of ordered pairs of hosts in which the first considers the second dead.
    unsigned deaths() const
    {
        unsigned result = 0;
        for (unsigned i = 0; i < hosts.size(); ++i)
            result += count(i, MemberState::Dead);
        return result;
    }

    FakeNetwork network;
    std::vector<HostLocation> locations;
    std::vector<std::unique_ptr<HostMembership>> hosts;

private:
    Random m_random;
};

} // namespace

TEST_CASE("all others see a host as dead within 20 s of its failure, and as alive after it returns")
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        CAPTURE(seed);
        MemberFleet fleet(48, seed);
        fleet.network.run(seconds(3));
        fleet.network.isolate(fleet.locations[5].host);
        fleet.network.run(seconds(20));
        REQUIRE(fleet.count(5, MemberState::Dead) == 47);
        REQUIRE(fleet.hosts[0]->liveHosts().size() == 47);
        fleet.network.isolate(fleet.locations[5].host, false);
        fleet.restart(5);
        fleet.network.run(seconds(20));
        REQUIRE(fleet.count(5, MemberState::Alive) == 47);
    }
}

TEST_CASE("cut one-way paths and message loss cause no live host to be declared dead")
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        CAPTURE(seed);
        MemberFleet fleet(24, seed);
        Random random(seed);
        for (int i = 0; i < 24; ++i)
            fleet.network.cut(fleet.locations[uniformBelow(random, 24)].host,
                fleet.locations[uniformBelow(random, 24)].host);
        fleet.network.setFaults({ 0.05, 0.02, milliseconds(20) });
        unsigned deaths = 0;
        fleet.network.run(seconds(60), [&] { deaths = std::max(deaths, fleet.deaths()); });
        REQUIRE(deaths == 0);
    }
}

TEST_CASE(
    "a host that receives nothing is declared dead and causes no other host to be declared dead")
{
    MemberFleet fleet(24, 7);
    for (unsigned i = 1; i < 24; ++i)
        fleet.network.cut(fleet.locations[i].host, fleet.locations[0].host);
    unsigned wrong = 0;
    fleet.network.run(seconds(30), [&] {
        for (unsigned i = 1; i < 24; ++i)
            wrong = std::max(wrong, fleet.count(i, MemberState::Dead));
    });
    REQUIRE(fleet.count(0, MemberState::Dead) == 23);
    REQUIRE(wrong == 0);
}

TEST_CASE("a host frozen briefly refutes the suspicion against it")
{
    MemberFleet fleet(12, 9);
    fleet.network.run(seconds(2));
    fleet.network.freeze(fleet.locations[3].host);
    fleet.network.run(seconds(3));
    REQUIRE(fleet.count(3, MemberState::Suspect) > 0);
    fleet.network.freeze(fleet.locations[3].host, false);
    fleet.network.run(seconds(15));
    REQUIRE(fleet.count(3, MemberState::Alive) == 11);
}

TEST_CASE("the message rate per host does not grow with the fleet")
{
    const auto messagesPerHost = [](unsigned size) {
        MemberFleet fleet(size, 11);
        fleet.network.run(seconds(20));
        return fleet.network.messagesSent() / size;
    };
    REQUIRE(messagesPerHost(96) <= messagesPerHost(12) + 1);
}
