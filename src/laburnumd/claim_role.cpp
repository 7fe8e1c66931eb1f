#include "claim_role.h"

#include <random>

#include <laburnumroute/disk_storage.h>

namespace laburnum {

namespace {

    std::vector<ClaimHost> claimHostsOf(const Settings& settings)
    {
        std::vector<ClaimHost> hosts;
        const auto add = [&](const HostLocation& location) {
            hosts.push_back({ location.host, location.dataCentre, location.region });
        };
        if (settings.claims)
            add(settings.location);
        for (const auto& peer : settings.peers) {
            if (peer.claims)
                add(peer.location);
        }
        return hosts;
    }

    /// Unique per process start, so that two processes that ran on one host never share it.
    std::string randomNonce()
    {
        std::random_device device;
        return std::to_string((std::uint64_t { device() } << 32U) | device());
    }

} // namespace

ClaimRole::ClaimRole(asio::io_context& context, const Settings& settings, PeerTransport& transport,
    const Clock& clock, DecisionLog& log)
    : m_runner(context, settings.location.host, transport, clock, log)
    , m_placement(claimHostsOf(settings))
    , m_coordinator(settings.location.host, m_placement, randomNonce())
{
}

Expected<void> ClaimRole::open(const Settings& settings, const Clock& clock)
{
    m_runner.add(m_coordinator);
    if (!settings.claims)
        return {};
    auto storage = openDiskStorage(settings.dataFolder + "/claims");
    if (!storage)
        return tl::unexpected<Error>(storage.error());
    m_storage = std::move(*storage);
    m_replica = std::make_unique<ClaimReplica>(
        settings.location.host, m_placement, ClaimLimits {}, *m_storage, randomNonce());
    if (auto opened = m_replica->open(clock.now()); !opened)
        return opened;
    m_runner.add(*m_replica);
    return {};
}

} // namespace laburnum
