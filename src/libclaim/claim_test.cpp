// Tests claims under faults. The executions of each key are counted after every step.

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

const ClaimKey testKey { ServiceId("claimdesk"), IdempotencyKey("heron") };

/// A disk that reports successful syncs without syncing.
class UnsyncedStorage final : public Storage {
public:
    explicit UnsyncedStorage(FakeStorage& disk)
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

/// Six claim hosts with a coordinator each, on a fake network. Counts the executions of every key.
class ClaimCluster {
public:
    explicit ClaimCluster(
        std::uint64_t seed, bool unsyncedDisks = false, Duration startInterval = 0ms)
        : network(seed)
        , m_unsynced(unsyncedDisks)
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
        Storage& storage = m_unsynced ? static_cast<Storage&>(node.unsyncedDisk) : node.disk;
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

    /// Crashes and restarts the claim replica; the coordinator on the host keeps running.
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

    std::shared_ptr<std::optional<ClaimDecision>> request(
        const HostId& host, const ClaimKey& key = testKey, const std::string& fingerprint = "f")
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

    ClaimVerdict requestAndWait(
        const HostId& host, const ClaimKey& key = testKey, const std::string& fingerprint = "f")
    {
        const auto result = request(host, key, fingerprint);
        run(600ms);
        REQUIRE(result->has_value());
        last = **result;
        return last.verdict;
    }

    void finish(const HostId& host, const ClaimId& claim, ClaimOutcome outcome,
        const StoredResponse* answer = nullptr)
    {
        if (outcome == ClaimOutcome::NotRun)
            --runs[testKey];
        Outbox out(host);
        nodes[host].coordinator->finish(claim, outcome, answer, network.now(), out);
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
        UnsyncedStorage unsyncedDisk { disk };
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

    bool m_unsynced;
    int m_starts = 0;
};

std::vector<HostId> testKeyReplicas() { return ClaimPlacement(claimHosts).replicasOf(testKey); }

/// A claim host that is not a replica of the test key, so that its restarts do not affect the
/// claim.
HostId hostWithoutReplica()
{
    const auto replicas = testKeyReplicas();
    for (const auto& host : claimHosts) {
        if (std::find(replicas.begin(), replicas.end(), host.host) == replicas.end())
            return host.host;
    }
    return {};
}

} // namespace

TEST_CASE("the claim hosts of a key are in three regions")
{
    std::set<char> regions;
    for (const auto& host : testKeyReplicas())
        regions.insert(host.value()[0]);
    REQUIRE(regions.size() == 3);
}

TEST_CASE("a new fleet becomes ready for any delay between the starts of its claim hosts")
{
    for (const Duration interval :
        { Duration(0ms), Duration(130ms), Duration(700ms), Duration(3s) }) {
        CAPTURE(interval.count());
        ClaimCluster cluster(1, false, interval);
        for (const auto& host : claimHosts)
            CHECK(cluster.nodes[host.host].replica->ready());
    }
}

TEST_CASE("a resend through another host is not executed while the first request is in progress")
{
    ClaimCluster cluster(1);
    REQUIRE(cluster.requestAndWait(HostId("a1")) == ClaimVerdict::Run);
    REQUIRE(cluster.requestAndWait(HostId("c2")) == ClaimVerdict::InProgress);
    const ClaimId claim = ClaimId(cluster.last.claim);
    REQUIRE(
        cluster.requestAndWait(HostId("b1"), testKey, "other request") == ClaimVerdict::Mismatch);
    REQUIRE(claim.value().empty());
    REQUIRE_FALSE(cluster.ranTwice());
}

TEST_CASE("the stored response is replayed byte for byte")
{
    ClaimCluster cluster(2);
    REQUIRE(cluster.requestAndWait(HostId("a1")) == ClaimVerdict::Run);
    const StoredResponse answer { 201, { { "X-Boat", "Heron" } }, std::string("\0\xff binary", 9) };
    cluster.finish(HostId("a1"), cluster.last.claim, ClaimOutcome::Answered, &answer);
    cluster.run(100ms);
    REQUIRE(cluster.requestAndWait(HostId("b2")) == ClaimVerdict::Replay);
    REQUIRE(cluster.last.answer.status == 201);
    REQUIRE(cluster.last.answer.body == answer.body);
    REQUIRE(cluster.last.answer.fields[0].value == "Heron");
    REQUIRE(cluster.nodes[HostId("a1")].coordinator->pending() == 0);
}

TEST_CASE("a request known not to have been executed frees its key")
{
    ClaimCluster cluster(3);
    REQUIRE(cluster.requestAndWait(HostId("a1")) == ClaimVerdict::Run);
    cluster.finish(HostId("a1"), cluster.last.claim, ClaimOutcome::NotRun);
    cluster.run(100ms);
    REQUIRE(cluster.requestAndWait(HostId("b1")) == ClaimVerdict::Run);
    REQUIRE_FALSE(cluster.ranTwice());
}

TEST_CASE("a claim whose coordinator failed becomes unknown and is never executed again")
{
    ClaimCluster cluster(4);
    REQUIRE(cluster.requestAndWait(hostWithoutReplica()) == ClaimVerdict::Run);
    cluster.startCoordinator(hostWithoutReplica());
    cluster.run(11s);
    for (const auto& host : claimHosts)
        REQUIRE(cluster.requestAndWait(host.host) == ClaimVerdict::Unknown);
    REQUIRE_FALSE(cluster.ranTwice());
}

TEST_CASE("claims survive a simultaneous restart of all claim hosts")
{
    ClaimCluster cluster(5);
    REQUIRE(cluster.requestAndWait(HostId("a1")) == ClaimVerdict::Run);
    for (const auto& host : claimHosts)
        cluster.restartReplica(host.host);
    cluster.run(100ms);
    REQUIRE(cluster.requestAndWait(HostId("b1")) == ClaimVerdict::InProgress);
    REQUIRE_FALSE(cluster.ranTwice());
}

TEST_CASE("mutation: disks that do not sync allow a key to be executed twice")
{
    ClaimCluster cluster(5, true);
    REQUIRE(cluster.requestAndWait(HostId("a1")) == ClaimVerdict::Run);
    for (const auto& host : claimHosts)
        cluster.restartReplica(host.host);
    cluster.run(3s);
    cluster.requestAndWait(HostId("b1"));
    REQUIRE(cluster.ranTwice());
}

TEST_CASE(
    "a claim host with a new disk fetches before it grants, even while a second one is isolated")
{
    ClaimCluster cluster(6);
    const auto replicas = testKeyReplicas();
    cluster.network.isolate(replicas[2]);
    REQUIRE(cluster.requestAndWait(replicas[0]) == ClaimVerdict::Run);
    cluster.replaceDisk(replicas[0]);
    cluster.network.isolate(replicas[2], false);
    cluster.network.isolate(replicas[1]);
    cluster.run(5s);
    REQUIRE(cluster.requestAndWait(replicas[2]) == ClaimVerdict::Unavailable);
    REQUIRE_FALSE(cluster.nodes[replicas[0]].replica->ready());
    cluster.network.isolate(replicas[1], false);
    cluster.run(3s);
    REQUIRE(cluster.nodes[replicas[0]].replica->ready());
    REQUIRE(cluster.nodes[replicas[0]].replica->size() == 1);
    REQUIRE_FALSE(cluster.ranTwice());
}

TEST_CASE("mutation: a claim host that is ready with a new disk allows a key to be executed twice")
{
    ClaimCluster cluster(6);
    const auto replicas = testKeyReplicas();
    cluster.network.isolate(replicas[2]);
    REQUIRE(cluster.requestAndWait(replicas[0]) == ClaimVerdict::Run);
    ClaimCluster::Node& node = cluster.nodes[replicas[0]];
    node.disk.eraseAll();
    Json::Value ready(Json::objectValue);
    ready["ready"] = Json::UInt64(ClaimPlacement(claimHosts).epoch());
    REQUIRE(node.disk.append(pvt::journalFile, pvt::journalLine(ready)));
    REQUIRE(node.disk.sync(pvt::journalFile));
    cluster.startReplica(replicas[0]);
    cluster.network.isolate(replicas[2], false);
    cluster.network.isolate(replicas[1]);
    cluster.requestAndWait(replicas[2]);
    REQUIRE(cluster.ranTwice());
}

TEST_CASE("a grant from before a disk loss and a later grant never form two majorities")
{
    ClaimCluster cluster(7);
    const auto replicas = testKeyReplicas();
    // The first request reaches replica 0 at once and replica 1 late. Replica 0 loses its disk in
    // between.
    cluster.network.setDelay([&](const HostId& from, const HostId& to) {
        const bool late = from == hostWithoutReplica() && to == replicas[1];
        const bool never = from == hostWithoutReplica() && to == replicas[2];
        return late ? Duration(300ms) : never ? Duration(1h) : Duration(1ms);
    });
    cluster.network.cut(replicas[2], replicas[1]);
    const auto first = cluster.request(hostWithoutReplica());
    cluster.run(20ms);
    cluster.replaceDisk(replicas[0]);
    cluster.run(50ms);
    const auto second = cluster.request(replicas[2]);
    cluster.run(3s);
    REQUIRE(first->has_value());
    REQUIRE(second->has_value());
    REQUIRE_FALSE(cluster.ranTwice());
}

TEST_CASE("a host that cannot sync grants nothing")
{
    ClaimCluster cluster(8);
    const auto replicas = testKeyReplicas();
    for (const auto& host : replicas)
        cluster.nodes[host].disk.failSyncs(1);
    REQUIRE(cluster.requestAndWait(hostWithoutReplica()) == ClaimVerdict::Unavailable);
    for (const auto& host : replicas)
        REQUIRE(cluster.nodes[host].replica->storageFailed());
}

TEST_CASE("a damaged journal is rejected with file and offset, a torn tail is truncated")
{
    ClaimCluster cluster(9);
    REQUIRE(cluster.requestAndWait(HostId("a1")) == ClaimVerdict::Run);
    const HostId host = testKeyReplicas()[0];
    FakeStorage& disk = cluster.nodes[host].disk;
    const std::string text = disk.read(pvt::journalFile).value();
    for (std::size_t offset = 0; offset < text.size(); ++offset) {
        CAPTURE(offset);
        FakeStorage damaged;
        REQUIRE(damaged.replace(pvt::journalFile, text));
        damaged.flipBit(pvt::journalFile, offset);
        ClaimReplica replica(host, ClaimPlacement(claimHosts), {}, damaged, "life");
        const auto opened = replica.open(cluster.network.now());
        REQUIRE_FALSE(opened.has_value());
        REQUIRE(opened.error().message.find("offset") != std::string::npos);
    }
    for (std::size_t length = 0; length < text.size(); ++length) {
        CAPTURE(length);
        FakeStorage torn;
        REQUIRE(torn.replace(pvt::journalFile, text.substr(0, length)));
        ClaimReplica replica(host, ClaimPlacement(claimHosts), {}, torn, "life");
        if (text[length] != '\n')
            REQUIRE(replica.open(cluster.network.now()).has_value());
    }
}

TEST_CASE("random faults and resends never lead to two executions of a key")
{
    for (std::uint64_t seed = 100; seed < 130; ++seed) {
        CAPTURE(seed);
        ClaimCluster cluster(seed);
        Random random(seed);
        cluster.network.setFaults({ 0.05, 0.1, 30ms });
        std::vector<std::pair<HostId, std::shared_ptr<std::optional<ClaimDecision>>>> requested;
        for (int step = 0; step < 60; ++step) {
            const HostId host = claimHosts[uniformBelow(random, claimHosts.size())].host;
            const HostId victim = claimHosts[uniformBelow(random, claimHosts.size())].host;
            const auto choice = uniformBelow(random, 10);
            const ClaimKey key { ServiceId("s"),
                IdempotencyKey("k" + std::to_string(uniformBelow(random, 4))) };
            if (choice < 5)
                requested.emplace_back(host, cluster.request(host, key));
            else if (choice == 5)
                cluster.restartReplica(victim);
            else if (choice == 6 && step % 20 == 0)
                cluster.replaceDisk(victim);
            else if (choice == 7)
                cluster.network.isolate(victim, uniformBelow(random, 2) == 0);
            else if (choice == 8)
                cluster.network.cut(host, victim, uniformBelow(random, 2) == 0);
            else
                cluster.network.freeze(victim, uniformBelow(random, 3) == 0);
            cluster.run(std::chrono::milliseconds(uniformBelow(random, 400)));
            REQUIRE_FALSE(cluster.ranTwice());
        }
    }
}
