/// Balancer "least-in-flight": picks the instance with the smallest share of its slots in use by
/// this host; breaks ties at random.

#include <laburnumroute/balancer.h>

namespace laburnum::pvt {

class LeastInFlightBalancer final : public Balancer {
public:
    std::size_t pick(std::span<const Candidate> candidates, Random& random) override
    {
        std::size_t best = 0;
        std::uint64_t ties = 0;
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            const double share = shareOf(candidates[i]);
            const double bestShare = shareOf(candidates[best]);
            if (i > 0 && share > bestShare)
                continue;
            ties = share < bestShare ? 1 : ties + 1;
            if (uniformBelow(random, ties) == 0)
                best = i;
        }
        return best;
    }

private:
    static double shareOf(const Candidate& candidate)
    {
        return static_cast<double>(candidate.inFlight) / candidate.slots;
    }
};

namespace {
    const Registration<BalancerRegistry> registration(
        "least-in-flight", [] { return std::make_unique<LeastInFlightBalancer>(); });
}

} // namespace laburnum::pvt
