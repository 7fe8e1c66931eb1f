// Claims under faults: the number of runs of each key is counted after every step.

#include <catch2/catch.hpp>

#include <memory>

#include <laburnumroute/claim_coordinator.h>
#include <laburnumroute/claim_replica.h>

#include "claim_journal_pvt.h"
#include "claim_messages_pvt.h"
#include "fakes/fake_network.h"
#include "fakes/fake_storage.h"

using namespace laburnum;
using namespace laburnum::fakes;
using namespace std::chrono_literals;

namespace {

const std::vector<ClaimHost> claimHosts {
    { HostId("a1"), DataCentreId("a-1"), RegionId("a") },
    { HostId("a2"), DataCentreId("a-2"), RegionId("a") },
    { HostId("b1"), DataCentreId("b-1"), RegionId("b") },
    { HostId("b2"), DataCentreId("b-2"), RegionId("b") },
    { HostId("c1"), DataCentreId("c-1"), RegionId("c") },
    { HostId("c2"), DataCentreId("c-2"), RegionId("c") },
};

const ClaimKey heron { ServiceId("claimdesk"), IdempotencyKey("heron") };

/// A disk that says that it synced and did not.
class LyingStorage final : public Storage {
public:
    explicit LyingStorage(FakeStorage& disk)
        : m_disk(disk)
    {
    }
    Expected<std::string> read(std::string_view name) override { return m_disk.read(name); }
    Expected<void> append(std::string_view name, std::string_view bytes) override
    {
        return m_disk.append(name, bytes);
    }
    Expected<void> sync(std::string_view /*name*/) override { return {}; }
    Expected<void> replace(std::string_view name, std::string_view bytes) override
    {
        return m_disk.replace(name, bytes);
    }
    Expected<void> truncate(std::string_view name, std::uint64_t size) override
    {
        return m_disk.truncate(name, size);
    }
    Expected<void> remove(std::string_view name) override { return m_disk.remove(name); }
    Expected<std::vector<std::string>> list() override { return m_disk.list(); }

private:
    FakeStorage& m_disk;
};

/// Six claim hosts and a coordinator beside each, on a fake network; counts the runs of every key.
class Rig {
public:
    explicit Rig(std::uint64_t seed, bool lyingDisks = false, Duration startInterval = 0ms)
        : network(seed)
        , m_lying(lyingDisks)
    {
        network.setDelay([](const HostId& from, const HostId& to) {
            return from.value()[0] == to.value()[0] ? Duration(1ms) : Duration(20ms);
        });
        for (const auto& host : claimHosts) {
            startReplica(host.host);
            startCoordinator(host.host);
            run(startInterval);
        }
        run(2s);
    }

    void startReplica(const HostId& host)
    {
        Node& node = nodes[host];
        Storage& storage = m_lying ? static_cast<Storage&>(node.lyingDisk) : node.disk;
        node.replica = std::make_unique<ClaimReplica>(
            host, ClaimPlacement(claimHosts), ClaimLimits {}, storage, std::to_string(++m_starts));
        REQUIRE(node.replica->open(network.now()).has_value());
        attach(host);
    }

    void startCoordinator(const HostId& host)
    {
        Node& node = nodes[host];
        const std::string nonce = std::to_string(++m_starts);
        node.coordinator
            = std::make_unique<ClaimCoordinator>(host, ClaimPlacement(claimHosts), nonce);
        attach(host);
    }

    /// The claim host's process dies and starts again; its coordinator goes on.
    void restartReplica(const HostId& host)
    {
        nodes[host].disk.crash();
        startReplica(host);
    }

    void replaceDisk(const HostId& host)
    {
        nodes[host].disk.eraseAll();
        startReplica(host);
    }

    std::shared_ptr<std::optional<ClaimDecision>> ask(
        const HostId& host, const ClaimKey& key = heron, const std::string& fingerprint = "f")
    {
        auto result = std::make_shared<std::optional<ClaimDecision>>();
        Outbox out(host);
        nodes[host].coordinator->begin(
            { key, fingerprint, 10s },
            [this, key, result](const ClaimDecision& decision) {
                *result = decision;
                if (decision.verdict == ClaimVerdict::Run)
                    ++runs[key];
            },
            network.now(), out);
        network.flush(out);
        return result;
    }

    ClaimVerdict askAndWait(
        const HostId& host, const ClaimKey& key = heron, const std::string& fingerprint = "f")
    {
        const auto result = ask(host, key, fingerprint);
        run(600ms);
        REQUIRE(result->has_value());
        last = **result;
        return last.verdict;
    }

    void finish(const HostId& host, const ClaimId& claim, ClaimOutcome end,
        const StoredResponse* answer = nullptr)
    {
        if (end == ClaimOutcome::NotRun)
            --runs[heron];
        Outbox out(host);
        nodes[host].coordinator->finish(claim, end, answer, network.now(), out);
        network.flush(out);
    }

    void run(Duration time) { network.run(time); }

    bool ranTwice() const
    {
        return std::any_of(
            runs.begin(), runs.end(), [](const auto& entry) { return entry.second > 1; });
    }

    struct Node {
        FakeStorage disk;
        LyingStorage lyingDisk { disk };
        std::unique_ptr<ClaimReplica> replica;
        std::unique_ptr<ClaimCoordinator> coordinator;
    };

    FakeNetwork network;
    std::map<HostId, Node> nodes;
    std::map<ClaimKey, int> runs;
    ClaimDecision last;

private:
    void attach(const HostId& host)
    {
        network.detach(host);
        if (nodes[host].replica)
            network.attach(host, *nodes[host].replica);
        if (nodes[host].coordinator)
            network.attach(host, *nodes[host].coordinator);
    }

    bool m_lying;
    int m_starts = 0;
};

std::vector<HostId> replicasOfHeron() { return ClaimPlacement(claimHosts).replicasOf(heron); }

/// A host that keeps no copy of the key's claim, so that its restarts do not touch it.
HostId otherHost()
{
    const auto replicas = replicasOfHeron();
    for (const auto& host : claimHosts) {
        if (std::find(replicas.begin(), replicas.end(), host.host) == replicas.end())
            return host.host;
    }
    return {};
}

} // namespace

TEST_CASE("the claim hosts of a key stand in three regions")
{
    std::set<char> regions;
    for (const auto& host : replicasOfHeron())
        regions.insert(host.value()[0]);
    REQUIRE(regions.size() == 3);
}

TEST_CASE("a new fleet becomes ready, however its claim hosts start one after the other")
{
    for (const Duration interval :
        { Duration(0ms), Duration(130ms), Duration(700ms), Duration(3s) }) {
        CAPTURE(interval.count());
        Rig rig(1, false, interval);
        for (const auto& host : claimHosts)
            CHECK(rig.nodes[host.host].replica->ready());
    }
}

TEST_CASE("a resend through another host gets the first answer and does not run")
{
    Rig rig(1);
    REQUIRE(rig.askAndWait(HostId("a1")) == ClaimVerdict::Run);
    REQUIRE(rig.askAndWait(HostId("c2")) == ClaimVerdict::InProgress);
    const ClaimId claim = ClaimId(rig.last.claim);
    REQUIRE(rig.askAndWait(HostId("b1"), heron, "other request") == ClaimVerdict::Mismatch);
    REQUIRE(claim.value().empty());
    REQUIRE_FALSE(rig.ranTwice());
}

TEST_CASE("the stored answer comes back byte for byte")
{
    Rig rig(2);
    REQUIRE(rig.askAndWait(HostId("a1")) == ClaimVerdict::Run);
    const StoredResponse answer { 201, { { "X-Boat", "Heron" } }, std::string("\0\xff binary", 9) };
    rig.finish(HostId("a1"), rig.last.claim, ClaimOutcome::Answered, &answer);
    rig.run(100ms);
    REQUIRE(rig.askAndWait(HostId("b2")) == ClaimVerdict::Replay);
    REQUIRE(rig.last.answer.status == 201);
    REQUIRE(rig.last.answer.body == answer.body);
    REQUIRE(rig.last.answer.fields[0].value == "Heron");
    REQUIRE(rig.nodes[HostId("a1")].coordinator->pending() == 0);
}

TEST_CASE("a request that is proved not to have run frees its key")
{
    Rig rig(3);
    REQUIRE(rig.askAndWait(HostId("a1")) == ClaimVerdict::Run);
    rig.finish(HostId("a1"), rig.last.claim, ClaimOutcome::NotRun);
    rig.run(100ms);
    REQUIRE(rig.askAndWait(HostId("b1")) == ClaimVerdict::Run);
    REQUIRE_FALSE(rig.ranTwice());
}

TEST_CASE("a claim whose holder died is unknown and never runs again")
{
    Rig rig(4);
    REQUIRE(rig.askAndWait(otherHost()) == ClaimVerdict::Run);
    rig.startCoordinator(otherHost());
    rig.run(11s);
    for (const auto& host : claimHosts)
        REQUIRE(rig.askAndWait(host.host) == ClaimVerdict::Unknown);
    REQUIRE_FALSE(rig.ranTwice());
}

TEST_CASE("claims survive restarts of all claim hosts at once")
{
    Rig rig(5);
    REQUIRE(rig.askAndWait(HostId("a1")) == ClaimVerdict::Run);
    for (const auto& host : claimHosts)
        rig.restartReplica(host.host);
    rig.run(100ms);
    REQUIRE(rig.askAndWait(HostId("b1")) == ClaimVerdict::InProgress);
    REQUIRE_FALSE(rig.ranTwice());
}

TEST_CASE("mutation: disks that do not sync let a key run twice")
{
    Rig rig(5, true);
    REQUIRE(rig.askAndWait(HostId("a1")) == ClaimVerdict::Run);
    for (const auto& host : claimHosts)
        rig.restartReplica(host.host);
    rig.run(3s);
    rig.askAndWait(HostId("b1"));
    REQUIRE(rig.ranTwice());
}

TEST_CASE(
    "a claim host with a new disk fetches before it grants, also when a second one is cut off")
{
    Rig rig(6);
    const auto replicas = replicasOfHeron();
    rig.network.isolate(replicas[2]);
    REQUIRE(rig.askAndWait(replicas[0]) == ClaimVerdict::Run);
    rig.replaceDisk(replicas[0]);
    rig.network.isolate(replicas[2], false);
    rig.network.isolate(replicas[1]);
    rig.run(5s);
    REQUIRE(rig.askAndWait(replicas[2]) == ClaimVerdict::Unavailable);
    REQUIRE_FALSE(rig.nodes[replicas[0]].replica->ready());
    rig.network.isolate(replicas[1], false);
    rig.run(3s);
    REQUIRE(rig.nodes[replicas[0]].replica->ready());
    REQUIRE(rig.nodes[replicas[0]].replica->size() == 1);
    REQUIRE_FALSE(rig.ranTwice());
}

TEST_CASE("mutation: a claim host with a new disk that counts as ready lets a key run twice")
{
    Rig rig(6);
    const auto replicas = replicasOfHeron();
    rig.network.isolate(replicas[2]);
    REQUIRE(rig.askAndWait(replicas[0]) == ClaimVerdict::Run);
    Rig::Node& node = rig.nodes[replicas[0]];
    node.disk.eraseAll();
    Json::Value ready(Json::objectValue);
    ready["ready"] = Json::UInt64(ClaimPlacement(claimHosts).epoch());
    REQUIRE(node.disk.append(pvt::journalName, pvt::journalLine(ready)));
    REQUIRE(node.disk.sync(pvt::journalName));
    rig.startReplica(replicas[0]);
    rig.network.isolate(replicas[2], false);
    rig.network.isolate(replicas[1]);
    rig.askAndWait(replicas[2]);
    REQUIRE(rig.ranTwice());
}

TEST_CASE("a grant given before a disk was lost is not counted against a new one")
{
    Rig rig(7);
    const auto replicas = replicasOfHeron();
    // The first request reaches replica 0 at once and replica 1 late; replica 0 loses its disk
    // between.
    rig.network.setDelay([&](const HostId& from, const HostId& to) {
        const bool late = from == otherHost() && to == replicas[1];
        const bool never = from == otherHost() && to == replicas[2];
        return late ? Duration(300ms) : never ? Duration(1h) : Duration(1ms);
    });
    rig.network.cut(replicas[2], replicas[1]);
    const auto first = rig.ask(otherHost());
    rig.run(20ms);
    rig.replaceDisk(replicas[0]);
    rig.run(50ms);
    const auto second = rig.ask(replicas[2]);
    rig.run(3s);
    REQUIRE(first->has_value());
    REQUIRE(second->has_value());
    REQUIRE_FALSE(rig.ranTwice());
}

TEST_CASE("a host that cannot sync grants nothing")
{
    Rig rig(8);
    const auto replicas = replicasOfHeron();
    for (const auto& host : replicas)
        rig.nodes[host].disk.failSyncs(1);
    REQUIRE(rig.askAndWait(otherHost()) == ClaimVerdict::Unavailable);
    for (const auto& host : replicas)
        REQUIRE(rig.nodes[host].replica->broken());
}

TEST_CASE("a damaged journal is refused with file and offset, a torn tail is cut")
{
    Rig rig(9);
    REQUIRE(rig.askAndWait(HostId("a1")) == ClaimVerdict::Run);
    const HostId host = replicasOfHeron()[0];
    FakeStorage& disk = rig.nodes[host].disk;
    const std::string text = disk.read(pvt::journalName).value();
    for (std::size_t offset = 0; offset < text.size(); ++offset) {
        CAPTURE(offset);
        FakeStorage damaged;
        REQUIRE(damaged.replace(pvt::journalName, text));
        damaged.flipBit(pvt::journalName, offset);
        ClaimReplica replica(host, ClaimPlacement(claimHosts), {}, damaged, "life");
        const auto opened = replica.open(rig.network.now());
        REQUIRE_FALSE(opened.has_value());
        REQUIRE(opened.error().message.find("offset") != std::string::npos);
    }
    for (std::size_t length = 0; length < text.size(); ++length) {
        CAPTURE(length);
        FakeStorage torn;
        REQUIRE(torn.replace(pvt::journalName, text.substr(0, length)));
        ClaimReplica replica(host, ClaimPlacement(claimHosts), {}, torn, "life");
        if (text[length] != '\n')
            REQUIRE(replica.open(rig.network.now()).has_value());
    }
}

TEST_CASE("random faults and resends never run a key twice")
{
    for (std::uint64_t seed = 100; seed < 130; ++seed) {
        CAPTURE(seed);
        Rig rig(seed);
        Random random(seed);
        rig.network.setFaults({ 0.05, 0.1, 30ms });
        std::vector<std::pair<HostId, std::shared_ptr<std::optional<ClaimDecision>>>> asked;
        for (int step = 0; step < 60; ++step) {
            const HostId host = claimHosts[uniformBelow(random, claimHosts.size())].host;
            const HostId victim = claimHosts[uniformBelow(random, claimHosts.size())].host;
            const auto choice = uniformBelow(random, 10);
            const ClaimKey key { ServiceId("s"),
                IdempotencyKey("k" + std::to_string(uniformBelow(random, 4))) };
            if (choice < 5)
                asked.emplace_back(host, rig.ask(host, key));
            else if (choice == 5)
                rig.restartReplica(victim);
            else if (choice == 6 && step % 20 == 0)
                rig.replaceDisk(victim);
            else if (choice == 7)
                rig.network.isolate(victim, uniformBelow(random, 2) == 0);
            else if (choice == 8)
                rig.network.cut(host, victim, uniformBelow(random, 2) == 0);
            else
                rig.network.freeze(victim, uniformBelow(random, 3) == 0);
            rig.run(std::chrono::milliseconds(uniformBelow(random, 400)));
            REQUIRE_FALSE(rig.ranTwice());
        }
    }
}
