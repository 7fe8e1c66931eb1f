/// Balancer "two-choices": picks the less loaded of two random instances, by the sum of this host's
/// own and the reported load.

#include <laburnumroute/balancer.h>

namespace laburnum::pvt {

class TwoChoicesBalancer final : public Balancer {
public:
    std::size_t pick(std::span<const Candidate> candidates, Random& random) override
    {
        const std::size_t first = uniformBelow(random, candidates.size());
        if (candidates.size() == 1)
            return first;
        const std::size_t step = 1 + uniformBelow(random, candidates.size() - 1);
        const std::size_t second = (first + step) % candidates.size();
        return loadOf(candidates[first]) <= loadOf(candidates[second]) ? first : second;
    }

private:
    static double loadOf(const Candidate& candidate)
    {
        return static_cast<double>(candidate.inFlight) / candidate.slots + candidate.reportedLoad;
    }
};

namespace {
    const Registration<BalancerRegistry> registration(
        "two-choices", [] { return std::make_unique<TwoChoicesBalancer>(); });
}

} // namespace laburnum::pvt
