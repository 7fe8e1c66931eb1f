/// The process's part in the fleet: configuration, instances, ownership and ejections, and how they
/// reach the dispatcher.
#pragma once

#include <memory>
#include <vector>

#include <laburnumroute/config_gossip.h>
#include <laburnumroute/ejection_client.h>
#include <laburnumroute/ejection_owner.h>
#include <laburnumroute/host_membership.h>
#include <laburnumroute/instance_gossip.h>
#include <laburnumroute/ownership_leases.h>
#include <laburnumroute/locked_traffic_view.h>
#include <laburnumroute/synchronized_dispatcher.h>

#include "participant_runner.h"
#include "settings.h"

namespace laburnum {

/// What a host knows of the fleet, for status calls.
struct FleetStatus {
    Revision revision;
    std::size_t instances = 0;
    std::vector<HostRevision> hosts;
    /// Hosts that the failure detection counts as live, this one included.
    std::set<HostId> live;
};

/// Owns the fleet participants and their strand. Lock order: the strand, then the dispatch table.
class FleetRole {
public:
    /// Keeps references to all arguments but `settings`.
    FleetRole(asio::io_context& context, const Settings& settings, PeerTransport& transport,
        const Clock& clock, DecisionLog& log, SynchronizedDispatcher& table);

    /// Takes up the configuration that the data folder holds and registers the participants.
    Expected<void> open(const Settings& settings);
    void start() { m_runner.start(); }
    void stop() { m_runner.stop(); }
    /// Gives up the ownership of all services, so that others take it at once. Blocks; not for the
    /// control context.
    void resign();

    /// Handles an announcement of an upstream. Blocks; not for the control context.
    AnnounceResult announce(const InstanceRecord& record);
    /// Drains an instance on an operator's behalf; NotFound when it is not known. Blocks; not for
    /// the control context.
    Expected<void> drain(const InstanceId& id);
    /// Spreads a version that the control hosts accepted; safe from any thread.
    void publish(ConfigVersion version);
    /// Blocks; not for the control context.
    FleetStatus status();
    /// The version in force. Blocks; not for the control context.
    ConfigVersion current();

private:
    void carryChanges();
    void putInForce(const ConfigVersion& version);

    ParticipantRunner m_runner;
    DecisionLog& m_log;
    SynchronizedDispatcher& m_table;
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
