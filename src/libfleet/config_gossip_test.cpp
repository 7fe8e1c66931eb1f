#include <catch2/catch.hpp>

#include <memory>

#include <laburnumroute/config_gossip.h>

#include "fakes/fake_network.h"
#include "fakes/fake_storage.h"

using namespace laburnum;
using namespace laburnum::fakes;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Hosts that run only configuration gossip, each with a disk. Host 0 acts as control host.
class ConfigFleet {
public:
    ConfigFleet(unsigned size, std::uint64_t seed)
        : network(seed)
        , m_seed(seed)
        , hosts(size)
    {
        for (unsigned i = 0; i < size; ++i)
            ids.push_back(HostId("h" + std::to_string(i)));
        for (unsigned i = 0; i < size; ++i)
            restart(i);
    }

    void restart(unsigned i)
    {
        stop(i);
        hosts[i].gossip
            = std::make_unique<ConfigGossip>(ids[i], ids, &hosts[i].storage, ++m_seed * 1000 + i);
        network.attach(ids[i], *hosts[i].gossip);
    }

    void stop(unsigned i)
    {
        if (hosts[i].gossip)
            network.detach(ids[i]);
        hosts[i].gossip.reset();
    }

    void submit(unsigned i, std::uint64_t revision)
    {
        Outbox out(ids[i]);
        const std::string change = "c" + std::to_string(revision);
        hosts[i].gossip->adopt(
            { Revision(revision), ChangeId(change), "content of " + change }, network.now(), out);
        network.flush(out);
    }

    /// Whether `revision` is active on every running host with an index below `except`.
    bool isCurrent(std::uint64_t revision, unsigned except) const
    {
        for (unsigned i = 0; i < except; ++i) {
            if (hosts[i].gossip && hosts[i].gossip->current().revision != Revision(revision))
                return false;
        }
        return true;
    }

    Revision revisionOf(unsigned i) const { return hosts[i].gossip->current().revision; }

    /// Clears `monotonic` if a host has a lower revision than before, also across restarts.
    void checkMonotonic()
    {
        for (auto& host : hosts) {
            if (!host.gossip || host.gossip->current().revision == Revision(0))
                continue;
            monotonic = monotonic && host.gossip->current().revision >= host.highest;
            host.highest = host.gossip->current().revision;
        }
    }

    struct Host {
        FakeStorage storage;
        std::unique_ptr<ConfigGossip> gossip;
        Revision highest;
    };

    FakeNetwork network;
    std::vector<HostId> ids;
    bool monotonic = true;

private:
    std::uint64_t m_seed;

public:
    std::vector<Host> hosts;
};

/// Cuts `count` random one-way paths between hosts.
void cutDirections(ConfigFleet& fleet, unsigned count, std::uint64_t seed)
{
    Random random(seed);
    for (unsigned i = 0; i < count; ++i)
        fleet.network.cut(fleet.ids[uniformBelow(random, fleet.ids.size())],
            fleet.ids[uniformBelow(random, fleet.ids.size())]);
}

} // namespace

TEST_CASE(
    "a revision is active on 48 hosts within 5 s despite message loss, cut paths and hosts down")
{
    constexpr unsigned size = 48;
    constexpr unsigned up = 38;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        ConfigFleet fleet(size, seed);
        fleet.network.run(seconds(2));
        fleet.network.setFaults({ 0.2, 0.05, milliseconds(40) });
        cutDirections(fleet, 200, seed);
        for (unsigned i = up; i < size; ++i)
            fleet.network.isolate(fleet.ids[i]);
        fleet.submit(0, 1);
        fleet.network.run(seconds(5), [&] { fleet.checkMonotonic(); });
        REQUIRE(fleet.isCurrent(1, up));
        for (unsigned i = up; i < size; ++i)
            fleet.network.isolate(fleet.ids[i], false);
        fleet.network.run(seconds(5), [&] { fleet.checkMonotonic(); });
        REQUIRE(fleet.isCurrent(1, size));
        REQUIRE(fleet.monotonic);
    }
}

TEST_CASE("gossip continues without a control host, and a restarted host gets the newest revision")
{
    ConfigFleet fleet(8, 3);
    fleet.submit(0, 1);
    fleet.network.isolate(fleet.ids[7]);
    fleet.network.run(seconds(5));
    fleet.submit(0, 2);
    fleet.network.run(seconds(5));
    fleet.stop(0);
    REQUIRE(fleet.revisionOf(7) == Revision(0));
    fleet.hosts[1].storage.eraseAll();
    fleet.restart(1);
    fleet.network.isolate(fleet.ids[7], false);
    fleet.network.run(seconds(5));
    REQUIRE(fleet.revisionOf(7) == Revision(2));
    REQUIRE(fleet.revisionOf(1) == Revision(2));
}

TEST_CASE("a host that can only send or only receive does not affect the others")
{
    ConfigFleet fleet(12, 5);
    for (unsigned i = 0; i < 11; ++i) {
        fleet.network.cut(fleet.ids[11], fleet.ids[i]);
        if (i != 10)
            fleet.network.cut(fleet.ids[i], fleet.ids[10]);
    }
    fleet.submit(0, 1);
    fleet.network.run(seconds(5));
    REQUIRE(fleet.isCurrent(1, 10));
    // Host 11 receives messages but its own are lost: it is sent the content without a request.
    fleet.submit(0, 2);
    fleet.submit(0, 3);
    fleet.submit(0, 4);
    fleet.network.run(seconds(5));
    REQUIRE(fleet.revisionOf(11) > Revision(0));
}

TEST_CASE("content is sent only to hosts that lack it")
{
    ConfigFleet fleet(24, 9);
    Outbox out(fleet.ids[0]);
    const std::string content(20'000, 'x');
    fleet.network.run(seconds(3));
    fleet.hosts[0].gossip->adopt({ Revision(1), ChangeId("c"), content }, fleet.network.now(), out);
    fleet.network.flush(out);
    fleet.network.run(seconds(3));
    REQUIRE(fleet.isCurrent(1, 24));
    REQUIRE(fleet.network.messagesSent("config.content") == 23);
}

TEST_CASE("a version is stored before it becomes active and is announced")
{
    ConfigFleet fleet(2, 11);
    fleet.hosts[1].storage.failWrites(1000);
    fleet.submit(0, 1);
    fleet.network.run(seconds(3));
    REQUIRE(fleet.revisionOf(1) == Revision(0));
    REQUIRE(fleet.hosts[0].gossip->revisions(fleet.network.now())[1].revision == Revision(0));
    fleet.hosts[1].storage.failWrites(0);
    fleet.network.run(seconds(3));
    REQUIRE(fleet.revisionOf(1) == Revision(1));
    fleet.stop(0);
    fleet.hosts[1].storage.crash();
    fleet.restart(1);
    REQUIRE(fleet.hosts[1].gossip->takeNewVersion()->content == "content of c1");
    REQUIRE_FALSE(fleet.hosts[1].gossip->takeNewVersion());
}

TEST_CASE("a host with a full disk does not request the same content repeatedly")
{
    ConfigFleet fleet(12, 12);
    fleet.hosts[1].storage.failWrites(1000);
    fleet.submit(0, 1);
    fleet.network.run(seconds(3));
    const auto before = fleet.network.messagesSent("config.content");
    fleet.network.run(seconds(20));
    REQUIRE(fleet.network.messagesSent("config.content") - before <= 3);
    fleet.submit(0, 2);
    fleet.network.run(seconds(5));
    fleet.hosts[1].storage.failWrites(0);
    fleet.network.run(seconds(3));
    REQUIRE(fleet.isCurrent(2, 12));
}

TEST_CASE("a host with a damaged file loads from peers and never goes below its last revision")
{
    ConfigFleet fleet(3, 13);
    fleet.submit(0, 1);
    fleet.network.run(seconds(3));
    fleet.network.isolate(fleet.ids[2]);
    fleet.submit(0, 2);
    fleet.network.run(seconds(3), [&] { fleet.checkMonotonic(); });
    REQUIRE(fleet.revisionOf(1) == Revision(2));
    fleet.stop(0);
    fleet.hosts[1].storage.flipBit("config.version", 40);
    fleet.restart(1);
    REQUIRE(fleet.revisionOf(1) == Revision(0));
    // The only reachable peer has revision 1.
    fleet.network.isolate(fleet.ids[2], false);
    fleet.network.run(seconds(5), [&] { fleet.checkMonotonic(); });
    REQUIRE(fleet.revisionOf(1) == Revision(0));
    REQUIRE(fleet.network.decisions().back().reason == "stored-version-damaged");
    fleet.restart(0);
    fleet.network.run(seconds(5), [&] { fleet.checkMonotonic(); });
    REQUIRE(fleet.isCurrent(2, 3));
    REQUIRE(fleet.monotonic);
}

TEST_CASE("mutation: with a disk that loses a completed write, a revision can decrease")
{
    ConfigFleet fleet(3, 13);
    fleet.submit(0, 1);
    fleet.network.run(seconds(3), [&] { fleet.checkMonotonic(); });
    const FakeStorage older = fleet.hosts[1].storage;
    fleet.submit(0, 2);
    fleet.network.run(seconds(3), [&] { fleet.checkMonotonic(); });
    REQUIRE(fleet.monotonic);
    fleet.stop(1);
    fleet.hosts[1].storage = older;
    fleet.restart(1);
    fleet.network.run(seconds(3), [&] { fleet.checkMonotonic(); });
    REQUIRE_FALSE(fleet.monotonic);
}

TEST_CASE("every host knows the active revision of every other host, including a lagging one")
{
    ConfigFleet fleet(48, 17);
    fleet.submit(0, 1);
    fleet.network.run(seconds(15));
    fleet.network.isolate(fleet.ids[5]);
    fleet.submit(0, 2);
    fleet.network.run(seconds(15));
    for (const auto& row : fleet.hosts[30].gossip->revisions(fleet.network.now())) {
        CAPTURE(row.host.value());
        REQUIRE(row.age.has_value());
        REQUIRE(row.revision == Revision(row.host == fleet.ids[5] ? 1 : 2));
    }
}

TEST_CASE("malformed configuration messages are ignored")
{
    ConfigFleet fleet(2, 19);
    for (const auto& method : fleet.hosts[0].gossip->methods()) {
        for (const char* text : { "x", "r" }) {
            Outbox out(fleet.ids[1]);
            Json::Value params(Json::objectValue);
            params[text] = "no number";
            fleet.hosts[0].gossip->receive(
                { fleet.ids[1], fleet.ids[0], method, params }, fleet.network.now(), out);
            fleet.hosts[0].gossip->receive(
                { fleet.ids[1], fleet.ids[0], method, Json::Value(7) }, fleet.network.now(), out);
            REQUIRE(out.takeMessages().empty());
        }
    }
}
