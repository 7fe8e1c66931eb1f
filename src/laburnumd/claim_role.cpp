#include "claim_role.h"

#include <random>

#include <laburnumroute/disk_storage.h>

namespace laburnum {

namespace {

    std::vector<ClaimHost> claimHostsOf(const Settings& settings)
    {
        std::vector<ClaimHost> hosts;
        const auto add = [&](const HostLocation& place) {
            hosts.push_back({ place.host, place.dataCentre, place.region });
        };
        if (settings.claims)
            add(settings.place);
        for (const auto& peer : settings.peers) {
            if (peer.claims)
                add(peer.place);
        }
        return hosts;
    }

    /// Differs between any two processes that ever ran on a host.
    std::string drawNonce()
    {
        std::random_device device;
        return std::to_string((std::uint64_t { device() } << 32U) | device());
    }

} // namespace

ClaimRole::ClaimRole(asio::io_context& context, const Settings& settings, PeerTransport& transport,
    const Clock& clock, DecisionLog& log)
    : m_runner(context, settings.place.host, transport, clock, log)
    , m_placement(claimHostsOf(settings))
    , m_coordinator(settings.place.host, m_placement, drawNonce())
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
        settings.place.host, m_placement, ClaimLimits {}, *m_storage, drawNonce());
    if (auto opened = m_replica->open(clock.now()); !opened)
        return opened;
    m_runner.add(*m_replica);
    return {};
}

} // namespace laburnum
