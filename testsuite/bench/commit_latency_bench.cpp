// Case "commit_latency": virtual time from the submission of a change, at the leader or a follower,
// to its acknowledgement, with simulated one-way delays and a disk without latency.

#include <algorithm>
#include <chrono>

#include "bench.h"
#include "fakes/state_cluster.h"

namespace laburnum::bench {

namespace {

    using namespace std::chrono_literals;

    constexpr unsigned changes = 400;
    /// Time between changes, which spreads them over all phases of the heartbeat interval.
    constexpr auto pause = 37ms;

    /// Latencies in milliseconds, sorted.
    std::vector<double> commitMillis(
        unsigned voters, Duration oneWay, bool atLeader, std::uint64_t seed)
    {
        fakes::StateClusterOptions options;
        options.hosts = voters;
        options.seed = seed;
        options.checksDurability = false;
        fakes::StateCluster cluster(options);
        cluster.network().setDelay(
            [oneWay](const HostId& from, const HostId& to) { return from == to ? 0ms : oneWay; });
        cluster.run(10s, [&] { return cluster.leader().has_value(); });
        cluster.run(2s);
        std::vector<double> millis;
        millis.reserve(changes);
        for (unsigned i = 0; i < changes; ++i) {
            const ChangeId id("change-" + std::to_string(i));
            HostId host = *cluster.leader();
            for (const HostId& other : cluster.hosts())
                if (!atLeader && other != *cluster.leader())
                    host = other;
            const TimePoint start = cluster.network().now();
            cluster.submit(host, { id, cluster.newestAccepted(), "content" });
            cluster.run(10s, [&] { return cluster.submitted().at(id).answers > 0; });
            millis.push_back(
                std::chrono::duration<double, std::milli>(cluster.network().now() - start).count());
            cluster.run(pause);
        }
        std::sort(millis.begin(), millis.end());
        return millis;
    }

    class CommitLatencyCase final : public Case {
    public:
        void run(const Reporter& reporter, std::uint64_t seed) override
        {
            constexpr double median = 0.5;
            constexpr double high = 0.99;
            for (const unsigned voters : { 3U, 5U })
                for (const auto oneWay : { 1ms, 20ms })
                    for (const bool atLeader : { true, false }) {
                        const auto millis = commitMillis(voters, oneWay, atLeader, seed);
                        const std::string name = std::to_string(voters) + "-voters/"
                            + std::to_string(oneWay.count()) + "ms/"
                            + (atLeader ? "at-leader" : "at-follower");
                        const auto quantile = [&](double share) {
                            return millis[static_cast<std::size_t>(
                                share * static_cast<double>(millis.size() - 1))];
                        };
                        reporter.report({ name + "/p50", quantile(median), "ms", "" });
                        reporter.report({ name + "/p99", quantile(high), "ms", "" });
                    }
        }
    };

    const Registration<CaseRegistry> registration(
        "commit_latency", [] { return std::make_unique<CommitLatencyCase>(); });

} // namespace

} // namespace laburnum::bench
