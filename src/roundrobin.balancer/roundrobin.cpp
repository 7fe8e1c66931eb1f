/// Balancer "round-robin": picks the instances in turn, starting with a random one.

#include <laburnumroute/balancer.h>

namespace laburnum::pvt {

class RoundRobinBalancer final : public Balancer {
public:
    std::size_t pick(std::span<const Candidate> candidates, Random& random) override
    {
        if (!m_started) {
            m_next = uniformBelow(random, candidates.size());
            m_started = true;
        }
        return m_next++ % candidates.size();
    }

private:
    std::size_t m_next = 0;
    bool m_started = false;
};

namespace {
    const Registration<BalancerRegistry> registration(
        "round-robin", [] { return std::make_unique<RoundRobinBalancer>(); });
}

} // namespace laburnum::pvt
