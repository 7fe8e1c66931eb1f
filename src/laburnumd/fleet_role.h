/// Fleet role of this process: replicates configuration, instances, ownership and ejections, and
/// applies them to the dispatcher.
#pragma once

#include <memory>
#include <vector>

#include <laburnumroute/config_gossip.h>
#include <laburnumroute/ejection_client.h>
#include <laburnumroute/ejection_owner.h>
#include <laburnumroute/host_membership.h>
#include <laburnumroute/instance_gossip.h>
#include <laburnumroute/locked_traffic_view.h>
#include <laburnumroute/ownership_leases.h>
#include <laburnumroute/synchronized_dispatcher.h>

#include "participant_runner.h"
#include "settings.h"

namespace laburnum {

/// A host's view of the fleet, for status calls.
struct FleetStatus {
    Revision revision;
    std::size_t instances = 0;
    std::vector<HostRevision> hosts;
    /// Hosts that failure detection considers live, including this one.
    std::set<HostId> live;
};

/// Owns the fleet participants and their strand. Lock order: the strand, then the
/// SynchronizedDispatcher.
class FleetRole {
public:
    /// Keeps references to all arguments but `settings`.
    FleetRole(asio::io_context& context, const Settings& settings, PeerTransport& transport,
        const Clock& clock, DecisionLog& log, SynchronizedDispatcher& sharedDispatcher);

    /// Loads the configuration stored in the data folder, if any, and registers the participants.
    Expected<void> open(const Settings& settings);
    void start() { m_runner.start(); }
    void stop() { m_runner.stop(); }
    /// Releases the ownership of all services, so that other hosts can take it over at once.
    /// Blocks; must not be called from the control context.
    void resign();

    /// Handles an instance's announcement. Blocks; must not be called from the control context.
    AnnounceResult announce(const InstanceRecord& record);
    /// Drains an instance for an operator; NotFound when it is unknown. Blocks; must not be called
    /// from the control context.
    Expected<void> drain(const InstanceId& id);
    /// Gossips a version that the control hosts committed. Safe from any thread.
    void publish(ConfigVersion version);
    /// Blocks; must not be called from the control context.
    FleetStatus status();
    /// The active configuration. Blocks; must not be called from the control context.
    ConfigVersion current();

private:
    void applyChanges();
    void applyConfiguration(const ConfigVersion& version);

    ParticipantRunner m_runner;
    DecisionLog& m_log;
    SynchronizedDispatcher& m_sharedDispatcher;
    LockedTrafficView m_traffic;
    std::unique_ptr<Storage> m_storage;
    std::unique_ptr<ConfigGossip> m_config;
    std::unique_ptr<InstanceGossip> m_instances;
    std::unique_ptr<HostMembership> m_membership;
    std::unique_ptr<OwnershipLeases> m_ownership;
    std::unique_ptr<EjectionOwner> m_ejectionOwner;
    std::unique_ptr<EjectionClient> m_ejectionClient;
};

} // namespace laburnum
