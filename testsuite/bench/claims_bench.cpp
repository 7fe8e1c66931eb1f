// Case "claims": virtual time, messages and bytes per claim with six claim hosts in three regions,
// with one-way delays of 1 ms between data centres and 20 ms between regions; and the real time
// that the coordinator, the replicas and the fakes together take per claim.

#include <algorithm>

#include <laburnumroute/claim_coordinator.h>
#include <laburnumroute/claim_replica.h>

#include "bench.h"
#include "fakes/fake_network.h"
#include "fakes/fake_storage.h"

namespace laburnum::bench {

namespace {

    using namespace std::chrono_literals;

    constexpr int claimCount = 300;
    constexpr std::size_t answerBytes = 512;

    std::vector<ClaimHost> sixHosts()
    {
        return {
            { HostId("a1"), DataCentreId("a-1"), RegionId("a") },
            { HostId("a2"), DataCentreId("a-2"), RegionId("a") },
            { HostId("b1"), DataCentreId("b-1"), RegionId("b") },
            { HostId("b2"), DataCentreId("b-2"), RegionId("b") },
            { HostId("c1"), DataCentreId("c-1"), RegionId("c") },
            { HostId("c2"), DataCentreId("c-2"), RegionId("c") },
        };
    }

    double percentile(std::vector<double> values, double share)
    {
        std::sort(values.begin(), values.end());
        return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
    }

    class ClaimsCase final : public Case {
    public:
        void run(const Reporter& reporter, std::uint64_t seed) override
        {
            fakes::FakeNetwork network(seed);
            network.setDelay([](const HostId& from, const HostId& to) {
                return from.value()[0] == to.value()[0] ? Duration(1ms) : Duration(20ms);
            });
            const ClaimPlacement placement(sixHosts());
            std::map<HostId, fakes::FakeStorage> disks;
            std::vector<std::unique_ptr<ClaimReplica>> replicas;
            for (const auto& host : sixHosts()) {
                replicas.push_back(std::make_unique<ClaimReplica>(
                    host.host, placement, ClaimLimits {}, disks[host.host], "bench"));
                if (!replicas.back()->open(network.now()))
                    return;
                network.attach(host.host, *replicas.back());
            }
            const HostId self("a1");
            ClaimCoordinator coordinator(self, placement, "bench");
            network.attach(self, coordinator);
            network.run(3s);
            const auto messages = network.messagesSent();
            const auto bytes = network.bytesSent();
            const SteadyClock clock;
            const TimePoint start = clock.now();
            const auto times = claimTimes(network, coordinator, self);
            const double micros
                = std::chrono::duration<double, std::micro>(clock.now() - start).count();
            reporter.report({ "claim-time/p50", percentile(times, 0.5), "ms", "no claim: 0 ms" });
            reporter.report({ "claim-time/p99", percentile(times, 0.99), "ms", "no claim: 0 ms" });
            reporter.report({ "messages", double(network.messagesSent() - messages) / claimCount,
                "per claim", "" });
            reporter.report(
                { "bytes", double(network.bytesSent() - bytes) / claimCount, "per claim", "" });
            reporter.report({ "cpu", micros / claimCount,
                "us per claim, coordinator and three replicas and fakes", "" });
        }

    private:
        /// Virtual milliseconds from begin() to its decision, for consecutive claims.
        static std::vector<double> claimTimes(
            fakes::FakeNetwork& network, ClaimCoordinator& coordinator, const HostId& self)
        {
            std::vector<double> times;
            const StoredResponse answer { 201, { { "Content-Type", "application/json" } },
                std::string(answerBytes, 'x') };
            for (int i = 0; i < claimCount; ++i) {
                Outbox out(self);
                const TimePoint begun = network.now();
                const ClaimKey key { ServiceId("claimdesk"),
                    IdempotencyKey("key-" + std::to_string(i)) };
                coordinator.begin(
                    { key, "POST /claims", 10s },
                    [&](const ClaimDecision& decision) {
                        times.push_back(
                            std::chrono::duration<double, std::milli>(network.now() - begun)
                                .count());
                        Outbox end(self);
                        coordinator.finish(
                            decision.claim, ClaimOutcome::Answered, &answer, network.now(), end);
                        network.flush(end);
                    },
                    network.now(), out);
                network.flush(out);
                network.run(100ms);
            }
            return times;
        }
    };

    const Registration<CaseRegistry> registration(
        "claims", [] { return std::make_unique<ClaimsCase>(); });

} // namespace

} // namespace laburnum::bench
