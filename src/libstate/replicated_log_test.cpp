#include <catch2/catch.hpp>

#include "fakes/state_cluster.h"

using namespace laburnum;
using namespace laburnum::fakes;
using namespace std::chrono_literals;

namespace {

/// Submits `count` changes one after the other at `host` and waits for each.
void submitMany(
    StateCluster& cluster, const HostId& host, unsigned count, const std::string& prefix)
{
    for (unsigned i = 0; i < count; ++i) {
        const ChangeId id(prefix + std::to_string(i));
        cluster.submit(host, { id, cluster.newestAccepted(), "content of " + id.value() });
        cluster.run(10s, [&] { return cluster.submitted().at(id).answers > 0; });
    }
}

} // namespace

TEST_CASE("blank hosts found one log and accept changes at any host")
{
    StateClusterOptions options;
    options.hosts = GENERATE(1, 3, 5);
    CAPTURE(options.hosts, options.seed);
    StateCluster cluster(options);
    cluster.run(5s, [&] { return cluster.leader().has_value(); });
    REQUIRE(cluster.leader());
    for (const HostId& host : cluster.hosts())
        submitMany(cluster, host, 10, host.value() + "-");
    REQUIRE(cluster.newestAccepted() == Revision(10UL * options.hosts));
    cluster.settle();
    REQUIRE(cluster.violations() == std::vector<std::string>());
}
