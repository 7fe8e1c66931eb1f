// Case "spread": virtual time until a revision is in force on all hosts that are up, with 0, 1 and
// 10 of 48 hosts unreachable. Delays as between three regions, 1% loss.

#include <algorithm>

#include <laburnumroute/config_gossip.h>

#include "bench.h"
#include "fakes/fake_network.h"
#include "regions.h"

namespace laburnum::bench {

namespace {

    constexpr unsigned hostCount = 48;
    constexpr unsigned runs = 21;
    constexpr auto limit = std::chrono::seconds(30);

    /// Milliseconds from the acceptance at host 0 until `up` hosts have the revision in force.
    double spreadMillis(unsigned up, std::uint64_t seed)
    {
        fakes::FakeNetwork network(seed);
        network.setDelay(regionalDelay);
        network.setFaults({ 0.01, 0.0, std::chrono::milliseconds(2) });
        const auto ids = hostIds(hostCount);
        std::vector<std::unique_ptr<ConfigGossip>> hosts;
        for (unsigned i = 0; i < hostCount; ++i) {
            hosts.push_back(
                std::make_unique<ConfigGossip>(ids[i], ids, nullptr, seed * hostCount + i));
            network.attach(ids[i], *hosts.back());
            if (i >= up)
                network.isolate(ids[i]);
        }
        network.run(std::chrono::seconds(2));
        Outbox out(ids[0]);
        hosts[0]->adopt({ Revision(1), ChangeId("c"), std::string(4000, 'x') }, network.now(), out);
        network.flush(out);
        const TimePoint start = network.now();
        const auto inForce = [&] {
            return std::all_of(hosts.begin(), hosts.begin() + up,
                [](const auto& host) { return host->current().revision == Revision(1); });
        };
        while (!inForce() && network.now() - start < limit)
            network.run(std::chrono::milliseconds(1));
        return static_cast<double>(toMillis(network.now() - start));
    }

    class SpreadCase final : public Case {
    public:
        void run(const Reporter& reporter, std::uint64_t seed) override
        {
            for (const unsigned down : { 0U, 1U, 10U }) {
                std::vector<double> times;
                for (unsigned i = 0; i < runs; ++i)
                    times.push_back(spreadMillis(hostCount - down, seed + i));
                reportSpread(reporter, std::to_string(down) + "-down", times);
            }
        }
    };

    const Registration<CaseRegistry> registration(
        "spread", [] { return std::make_unique<SpreadCase>(); });

} // namespace

} // namespace laburnum::bench
