// Case "ownership_failover": virtual time without an owner after the owner's death, and after its
// planned resignation. 48 hosts in three regions, 1% loss.

#include <laburnumroute/ownership_leases.h>

#include "bench.h"
#include "fakes/fake_network.h"
#include "regions.h"

namespace laburnum::bench {

namespace {

    constexpr unsigned hostCount = 48;
    constexpr unsigned runs = 21;
    constexpr auto limit = std::chrono::seconds(60);

    class LeaseFleet {
    public:
        explicit LeaseFleet(std::uint64_t seed)
            : network(seed)
            , m_places(hostPlaces(hostCount))
        {
            network.setDelay(regionalDelay);
            network.setFaults({ 0.01, 0.0, std::chrono::milliseconds(2) });
            for (unsigned i = 0; i < hostCount; ++i) {
                hosts.push_back(std::make_unique<OwnershipLeases>(
                    m_places[i].host, m_places, seed * hostCount + i));
                hosts[i]->setServices({ service });
                network.attach(m_places[i].host, *hosts[i]);
            }
        }

        /// Index of the owner; hostCount when there is none.
        unsigned owner() const
        {
            unsigned i = 0;
            while (i < hostCount && !hosts[i]->isOwner(service, network.now()))
                ++i;
            return i;
        }

        double millisUntilOwner(unsigned former)
        {
            const TimePoint start = network.now();
            while ((owner() == hostCount || owner() == former) && network.now() - start < limit)
                network.run(std::chrono::milliseconds(1));
            return static_cast<double>(toMillis(network.now() - start));
        }

        const ServiceId service { "s" };
        fakes::FakeNetwork network;
        std::vector<std::unique_ptr<OwnershipLeases>> hosts;

    private:
        std::vector<HostLocation> m_places;
    };

    double failoverMillis(bool planned, std::uint64_t seed)
    {
        LeaseFleet fleet(seed);
        // Not a multiple of the renewal interval, so that deaths fall anywhere between renewals.
        fleet.network.run(std::chrono::milliseconds(15'000 + (seed * 137) % 1500));
        const unsigned former = fleet.owner();
        if (former == hostCount)
            return static_cast<double>(toMillis(limit));
        const HostId host("h" + std::to_string(former));
        if (planned) {
            Outbox out(host);
            fleet.hosts[former]->resign(fleet.network.now(), out);
            fleet.network.flush(out);
        } else {
            fleet.network.isolate(host);
        }
        return fleet.millisUntilOwner(former);
    }

    class OwnershipFailoverCase final : public Case {
    public:
        void run(const Reporter& reporter, std::uint64_t seed) override
        {
            for (const bool planned : { false, true }) {
                std::vector<double> times;
                for (unsigned i = 0; i < runs; ++i)
                    times.push_back(failoverMillis(planned, seed + i));
                reportSpread(reporter, planned ? "resignation" : "death", times);
            }
        }
    };

    const Registration<CaseRegistry> registration(
        "ownership_failover", [] { return std::make_unique<OwnershipFailoverCase>(); });

} // namespace

} // namespace laburnum::bench
