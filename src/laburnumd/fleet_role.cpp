#include "fleet_role.h"

#include <random>

#include <laburnumroute/disk_storage.h>

namespace laburnum {

namespace {

    std::vector<HostId> peersOf(const Settings& settings)
    {
        std::vector<HostId> hosts;
        hosts.reserve(settings.peers.size());
        for (const auto& peer : settings.peers)
            hosts.push_back(peer.location.host);
        return hosts;
    }

    std::vector<HostLocation> allHostsOf(const Settings& settings)
    {
        std::vector<HostLocation> hosts { settings.location };
        for (const auto& peer : settings.peers)
            hosts.push_back(peer.location);
        return hosts;
    }

    std::uint64_t randomNumber()
    {
        std::random_device device;
        return (std::uint64_t { device() } << 32U) | device();
    }

} // namespace

FleetRole::FleetRole(asio::io_context& context, const Settings& settings, PeerTransport& transport,
    const Clock& clock, DecisionLog& log, SynchronizedDispatcher& sharedDispatcher)
    : m_runner(context, settings.location.host, transport, clock, log)
    , m_log(log)
    , m_sharedDispatcher(sharedDispatcher)
    , m_traffic(sharedDispatcher)
{
}

Expected<void> FleetRole::open(const Settings& settings)
{
    if (!settings.dataFolder.empty()) {
        auto storage = openDiskStorage(settings.dataFolder + "/config");
        if (!storage)
            return tl::unexpected<Error>(storage.error());
        m_storage = std::move(*storage);
    }
    const HostId& self = settings.location.host;
    const auto peers = peersOf(settings);
    const auto hosts = allHostsOf(settings);
    m_config = std::make_unique<ConfigGossip>(self, peers, m_storage.get(), randomNumber());
    m_instances = std::make_unique<InstanceGossip>(self, peers, randomNumber());
    m_membership = std::make_unique<HostMembership>(self, hosts, randomNumber());
    m_ownership = std::make_unique<OwnershipLeases>(self, hosts, randomNumber());
    m_ejectionOwner = std::make_unique<EjectionOwner>(*m_ownership, m_traffic);
    m_ejectionClient = std::make_unique<EjectionClient>(
        settings.location.dataCentre, randomNumber() >> 11U, *m_ownership, m_traffic);
    m_runner.add(*m_config);
    m_runner.add(*m_instances);
    m_runner.add(*m_membership);
    m_runner.add(*m_ownership);
    m_runner.add(*m_ejectionOwner);
    m_runner.add(*m_ejectionClient);
    m_runner.setAfterEach([this] { applyChanges(); });
    m_sharedDispatcher.with([&](Dispatcher& dispatcher, TimePoint) {
        dispatcher.setHostCount(static_cast<unsigned>(peers.size() + 1));
    });
    return {};
}

AnnounceResult FleetRole::announce(const InstanceRecord& record)
{
    return m_runner.call(
        [&](TimePoint now, Outbox&) { return m_instances->announce(record, now); });
}

Expected<void> FleetRole::drain(const InstanceId& id)
{
    return m_runner.call([&](TimePoint now, Outbox&) -> Expected<void> {
        const DirectoryEntry* entry = m_instances->directory().find(id);
        if (!entry || entry->expired)
            return fail(ErrorCode::NotFound, "no instance '" + id.value() + "'");
        InstanceRecord record = entry->record;
        record.phase = InstancePhase::Draining;
        ++record.version;
        m_instances->announce(record, now);
        return {};
    });
}

void FleetRole::publish(ConfigVersion version)
{
    m_runner.post([this, version = std::move(version)](
                      TimePoint now, Outbox& out) { m_config->adopt(version, now, out); });
}

FleetStatus FleetRole::status()
{
    return m_runner.call([&](TimePoint now, Outbox&) {
        FleetStatus status { m_config->current().revision, m_instances->directory().size(),
            m_config->revisions(now), {} };
        for (const auto& location : m_membership->liveHosts())
            status.live.insert(location.host);
        return status;
    });
}

void FleetRole::resign()
{
    m_runner.call([&](TimePoint now, Outbox& out) {
        m_ownership->resign(now, out);
        return true;
    });
}

ConfigVersion FleetRole::current()
{
    return m_runner.call([&](TimePoint, Outbox&) { return m_config->current(); });
}

void FleetRole::applyChanges()
{
    if (const auto version = m_config->takeNewVersion())
        applyConfiguration(*version);
    const auto changes = m_instances->takeChanges();
    if (changes.empty())
        return;
    m_sharedDispatcher.with([&](Dispatcher& dispatcher, TimePoint now) {
        for (const auto& change : changes) {
            if (change.removed)
                dispatcher.removeInstance(change.record.id, now);
            else
                dispatcher.upsertInstance(change.record, now);
        }
    });
}

void FleetRole::applyConfiguration(const ConfigVersion& version)
{
    Findings findings;
    const Configuration configuration = readConfiguration(version.content, "content", findings);
    m_sharedDispatcher.with(
        [&](Dispatcher& dispatcher, TimePoint) { dispatcher.setConfiguration(configuration); });
    std::set<ServiceId> services;
    for (const auto& service : configuration.services)
        services.insert(service.name);
    m_ownership->setServices(services);
    Decision decision { "config", "in-force" };
    decision.facts["revision"] = Json::UInt64(version.revision.value());
    decision.facts["change"] = version.change.value();
    m_log.record(decision);
}

} // namespace laburnum
