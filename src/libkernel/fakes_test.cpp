#include <catch2/catch.hpp>

#include "fakes/fake_network.h"
#include "fakes/fake_storage.h"

using namespace laburnum;
using namespace laburnum::fakes;

namespace {

/// Counts the messages delivered to it.
class Counter final : public Participant {
public:
    std::vector<std::string> methods() const override { return { "test.count" }; }
    void receive(const PeerMessage& /*message*/, TimePoint /*now*/, Outbox& /*out*/) override
    {
        ++count;
    }
    void tick(TimePoint /*now*/, Outbox& /*out*/) override { }
    int count = 0;
};

void sendOne(FakeNetwork& network, const HostId& from, const HostId& to)
{
    Outbox out(from);
    out.send(to, "test.count", Json::Value(Json::objectValue));
    network.flush(out);
}

} // namespace

TEST_CASE(
    "a one-way cut blocks one direction only, and a frozen host receives messages after the freeze")
{
    FakeNetwork network(1);
    Counter a;
    Counter b;
    network.attach(HostId("a"), a);
    network.attach(HostId("b"), b);
    network.cut(HostId("a"), HostId("b"));
    network.freeze(HostId("a"));
    sendOne(network, HostId("a"), HostId("b"));
    sendOne(network, HostId("b"), HostId("a"));
    network.run(std::chrono::milliseconds(5));
    REQUIRE(a.count + b.count == 0);
    network.freeze(HostId("a"), false);
    network.run(std::chrono::milliseconds(5));
    REQUIRE(a.count == 1);
    REQUIRE(b.count == 0);
}

TEST_CASE("only synced bytes are guaranteed to survive a crash")
{
    FakeStorage storage;
    REQUIRE(storage.append("log", "abc"));
    REQUIRE(storage.sync("log"));
    REQUIRE(storage.append("log", "def"));
    storage.crash();
    REQUIRE(storage.read("log").value() == "abc");
    storage.failSyncs(1);
    REQUIRE_FALSE(storage.sync("log"));
}

// Guards against a fake disk that keeps names which a power failure loses.
TEST_CASE("the name of a file that was never synced is kept or lost at a crash")
{
    Random random(1);
    std::size_t kept = 0;
    for (int i = 0; i < 100; ++i) {
        FakeStorage storage;
        REQUIRE(storage.append("synced", "abc"));
        REQUIRE(storage.sync("synced"));
        REQUIRE(storage.replace("replaced", "abc"));
        REQUIRE(storage.append("new", "abc"));
        i % 2 == 0 ? storage.crash(random) : storage.crashInSectors(random);
        REQUIRE(storage.read("synced").value() == "abc");
        REQUIRE(storage.read("replaced").value() == "abc");
        kept += storage.read("new") ? 1 : 0;
    }
    CHECK(kept > 30);
    CHECK(kept < 70);
    FakeStorage storage;
    REQUIRE(storage.append("new", "abc"));
    storage.crash();
    CHECK_FALSE(storage.read("new"));
}
