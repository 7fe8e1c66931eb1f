#include <algorithm>
#include <set>

#include <laburnumroute/claims.h>

#include <xxhash.h>

namespace laburnum {

namespace {

    std::uint64_t hashOf(const std::string& text, std::uint64_t seed)
    {
        return XXH3_64bits_withSeed(text.data(), text.size(), seed);
    }

    /// Number of data centres and regions that `host` shares with the chosen hosts; data centres
    /// weigh more. Hosts with the lowest value are chosen first.
    std::size_t proximity(const ClaimHost& host, const std::vector<ClaimHost>& chosen)
    {
        std::size_t shared = 0;
        for (const auto& other : chosen) {
            shared += other.region == host.region ? 1 : 0;
            shared += other.dataCentre == host.dataCentre ? ClaimPlacement::replicas : 0;
        }
        return shared;
    }

} // namespace

ClaimPlacement::ClaimPlacement(std::vector<ClaimHost> hosts)
    : m_hosts(std::move(hosts))
{
    std::sort(m_hosts.begin(), m_hosts.end());
    for (const auto& host : m_hosts) {
        for (const std::string& part :
            { host.host.value(), host.dataCentre.value(), host.region.value() })
            m_epoch = hashOf(part, m_epoch + 1);
    }
    // Limited to 53 bits, so that any JSON library represents it exactly.
    m_epoch >>= 11;
}

std::vector<HostId> ClaimPlacement::replicasOf(const ClaimKey& key) const
{
    const std::uint64_t seed = hashOf(key.key.value(), hashOf(key.service.value(), 0));
    std::vector<std::pair<std::uint64_t, const ClaimHost*>> ranked;
    ranked.reserve(m_hosts.size());
    for (const auto& host : m_hosts)
        ranked.emplace_back(hashOf(host.host.value(), seed), &host);
    std::sort(ranked.begin(), ranked.end());
    std::vector<ClaimHost> chosen;
    while (chosen.size() < std::min(replicas, m_hosts.size())) {
        const auto best
            = std::min_element(ranked.begin(), ranked.end(), [&](const auto& a, const auto& b) {
                  return proximity(*a.second, chosen) < proximity(*b.second, chosen);
              });
        chosen.push_back(*best->second);
        ranked.erase(best);
    }
    std::vector<HostId> result;
    result.reserve(chosen.size());
    for (const auto& host : chosen)
        result.push_back(host.host);
    return result;
}

std::size_t ClaimPlacement::majority() const noexcept
{
    return std::min(replicas, m_hosts.size()) / 2 + 1;
}

} // namespace laburnum
