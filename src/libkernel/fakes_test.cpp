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
