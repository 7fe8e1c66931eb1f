#include <catch2/catch.hpp>

#include "fakes/state_cluster.h"

using namespace laburnum;
using namespace laburnum::fakes;
using namespace std::chrono_literals;

namespace {

const std::vector<std::string> noViolations;

} // namespace

TEST_CASE("of two concurrent changes at two hosts one is accepted and the other gets a conflict")
{
    StateClusterOptions options;
    options.seed = GENERATE(1, 2, 3, 4, 5);
    CAPTURE(options.seed);
    StateCluster cluster(options);
    cluster.run(5s, [&] { return cluster.leader().has_value(); });
    cluster.submit(HostId("c1"), { ChangeId("a"), Revision(0), "x", "for a" });
    cluster.submit(HostId("c2"), { ChangeId("b"), Revision(0), "y", "for b" });
    cluster.run(2s);
    const auto& a = cluster.submitted().at(ChangeId("a"));
    const auto& b = cluster.submitted().at(ChangeId("b"));
    REQUIRE(a.accepted.has_value() != b.accepted.has_value());
    REQUIRE(a.refused != b.refused);
    cluster.settle();
    REQUIRE(cluster.violations() == noViolations);
}

TEST_CASE("a submission whose leader is lost ends as unknown and succeeds when resent")
{
    StateClusterOptions options;
    options.seed = GENERATE(1, 2, 3, 4);
    CAPTURE(options.seed);
    StateCluster cluster(options);
    cluster.run(5s, [&] { return cluster.leader().has_value(); });
    cluster.run(1s);
    const HostId old = *cluster.leader();
    cluster.network().isolate(old);
    const ConfigChange change { ChangeId("a"), Revision(0), "x" };
    cluster.submit(old, change);
    cluster.run(6s);
    REQUIRE(cluster.submitted().at(change.id).unknown);
    for (const HostId& host : cluster.hosts())
        cluster.submit(host, change);
    cluster.run(4s);
    REQUIRE(cluster.submitted().at(change.id).accepted == Revision(1));
    cluster.settle();
    REQUIRE(cluster.submitted().at(change.id).accepted == Revision(1));
    REQUIRE(cluster.violations() == noViolations);
}

TEST_CASE("thousands of changes survive a restart of all hosts")
{
    StateClusterOptions options;
    options.snapshotEntries = 512;
    options.trailingEntries = 64;
    options.checksDurability = false;
    StateCluster cluster(options);
    cluster.run(5s, [&] { return cluster.leader().has_value(); });
    constexpr unsigned changes = 3000;
    for (unsigned i = 0; i < changes; ++i) {
        const ChangeId id("change " + std::to_string(i));
        cluster.submit(*cluster.leader(), { id, Revision(i), "content " + std::to_string(i) });
        cluster.run(1s, [&] { return cluster.submitted().at(id).answers > 0; });
    }
    REQUIRE(cluster.newestAccepted() == Revision(changes));
    for (const HostId& host : cluster.hosts())
        cluster.kill(host);
    cluster.settle();
    REQUIRE(cluster.violations() == noViolations);
    const ConfigLedger& ledger = cluster.service(HostId("c1")).ledger();
    REQUIRE(ledger.current().revision == Revision(changes + 1));
    REQUIRE(ledger.version(Revision(changes))->content == "content " + std::to_string(changes - 1));
}
