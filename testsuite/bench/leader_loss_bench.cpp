// Case "leader_loss": virtual time after the loss of the leader during which no change is accepted,
// with one-way delays of 1 ms between all control hosts, and of 20 ms as between regions.

#include <algorithm>
#include <chrono>

#include "bench.h"
#include "fakes/state_cluster.h"

namespace laburnum::bench {

namespace {

    using namespace std::chrono_literals;

    constexpr unsigned runs = 50;

    enum class Loss { Killed, Frozen, CutOut, CutIn };

    void injectLoss(fakes::StateCluster& cluster, const HostId& leader, Loss loss)
    {
        if (loss == Loss::Killed)
            cluster.kill(leader);
        else if (loss == Loss::Frozen)
            cluster.network().freeze(leader);
        for (const HostId& other : cluster.hosts()) {
            if (loss == Loss::CutOut)
                cluster.network().cut(leader, other);
            if (loss == Loss::CutIn)
                cluster.network().cut(other, leader);
        }
    }

    /// Milliseconds until a change submitted at another host right after the loss is accepted.
    double unavailableMillis(Loss loss, Duration oneWay, std::uint64_t seed)
    {
        fakes::StateClusterOptions options;
        options.seed = seed;
        options.checksDurability = false;
        fakes::StateCluster cluster(options);
        cluster.network().setDelay(
            [oneWay](const HostId& from, const HostId& to) { return from == to ? 0ms : oneWay; });
        cluster.run(10s, [&] { return cluster.leader().has_value(); });
        cluster.run(2s + std::chrono::milliseconds(seed % 100));
        const HostId leader = *cluster.leader();
        const HostId other
            = cluster.hosts().front() == leader ? cluster.hosts().back() : cluster.hosts().front();
        injectLoss(cluster, leader, loss);
        const TimePoint start = cluster.network().now();
        const ConfigChange change { ChangeId("change"), Revision(0), "content" };
        cluster.submit(other, change);
        const auto isAccepted
            = [&] { return cluster.submitted().at(change.id).accepted.has_value(); };
        cluster.run(30s, isAccepted);
        return std::chrono::duration<double, std::milli>(cluster.network().now() - start).count();
    }

    class LeaderLossCase final : public Case {
    public:
        void run(const Reporter& reporter, std::uint64_t seed) override
        {
            const std::pair<Loss, const char*> losses[]
                = { { Loss::Killed, "killed" }, { Loss::Frozen, "frozen" },
                      { Loss::CutOut, "cut-out" }, { Loss::CutIn, "cut-in" } };
            for (const auto oneWay : { 1ms, 20ms })
                for (const auto& [loss, name] : losses) {
                    std::vector<double> millis;
                    millis.reserve(runs);
                    for (unsigned i = 0; i < runs; ++i)
                        millis.push_back(unavailableMillis(loss, oneWay, seed + i));
                    std::sort(millis.begin(), millis.end());
                    const std::string figure
                        = std::string(name) + '/' + std::to_string(oneWay.count()) + "ms";
                    reporter.report({ figure + "/p50", millis[runs / 2], "ms", "" });
                    reporter.report({ figure + "/max", millis.back(), "ms", "" });
                }
        }
    };

    const Registration<CaseRegistry> registration(
        "leader_loss", [] { return std::make_unique<LeaderLossCase>(); });

} // namespace

} // namespace laburnum::bench
