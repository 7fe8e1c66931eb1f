// Case "drain_spread": virtual time until an announced drain is in force at all 48 hosts that are
// up, the drain said once to one host. Delays as between three regions.

#include "bench.h"
#include "fakes/instance_fleet.h"
#include "regions.h"

namespace laburnum::bench {

namespace {

    constexpr unsigned hostCount = 48;
    constexpr unsigned instanceCount = 47;
    constexpr unsigned runs = 11;
    constexpr auto limit = std::chrono::seconds(30);

    double drainMillis(double loss, unsigned down, std::uint64_t seed)
    {
        fakes::InstanceFleet fleet(hostCount, instanceCount, seed);
        fleet.network.setDelay(regionalDelay);
        fleet.run(std::chrono::seconds(4));
        fleet.network.setFaults({ loss, 0.0, std::chrono::milliseconds(2) });
        for (unsigned i = 0; i < down; ++i) {
            fleet.down.insert(i);
            fleet.network.isolate(fleet.ids[i]);
        }
        fleet.upstreams[0].phase = InstancePhase::Draining;
        fleet.announce(0);
        fleet.silent.insert(0);
        const TimePoint start = fleet.network.now();
        while (fleet.countKnown(0, InstancePhase::Draining) < hostCount - down
            && fleet.network.now() - start < limit)
            fleet.network.run(std::chrono::milliseconds(1));
        return static_cast<double>(toMillis(fleet.network.now() - start));
    }

    class DrainSpreadCase final : public Case {
    public:
        void run(const Reporter& reporter, std::uint64_t seed) override
        {
            for (const double loss : { 0.0, 0.2 }) {
                for (const unsigned down : { 0U, 10U }) {
                    std::vector<double> times;
                    for (unsigned i = 0; i < runs; ++i)
                        times.push_back(drainMillis(loss, down, seed + i));
                    reportSpread(reporter,
                        "loss-" + std::to_string(static_cast<int>(loss * 100)) + "%/"
                            + std::to_string(down) + "-down",
                        times);
                }
            }
        }
    };

    const Registration<CaseRegistry> registration(
        "drain_spread", [] { return std::make_unique<DrainSpreadCase>(); });

} // namespace

} // namespace laburnum::bench
