/// Balancer "weighted-random": picks at random, in proportion to the slots left free by this host's
/// own and the reported load.

#include <laburnumroute/balancer.h>

#include <algorithm>

namespace laburnum::pvt {

class WeightedRandomBalancer final : public Balancer {
public:
    std::size_t pick(std::span<const Candidate> candidates, Random& random) override
    {
        double total = 0.0;
        for (const auto& candidate : candidates)
            total += freeSlots(candidate);
        double rest = uniformReal(random) * total;
        for (std::size_t i = 0; i + 1 < candidates.size(); ++i) {
            rest -= freeSlots(candidates[i]);
            if (rest < 0.0)
                return i;
        }
        return candidates.size() - 1;
    }

private:
    /// Lower bound on the free share of the slots, since the reported load is only a hint.
    static constexpr double minFreeShare = 0.05;

    static double freeSlots(const Candidate& candidate)
    {
        const double used
            = candidate.reportedLoad + static_cast<double>(candidate.inFlight) / candidate.slots;
        return candidate.slots * std::max(minFreeShare, 1.0 - used);
    }
};

namespace {
    const Registration<BalancerRegistry> registration(
        "weighted-random", [] { return std::make_unique<WeightedRandomBalancer>(); });
}

} // namespace laburnum::pvt
