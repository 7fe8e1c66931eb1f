/// The replicated state of the control hosts: the numbered configuration and the registered
/// instances. Commands come from the replicated log.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <laburnumroute/decision.h>
#include <laburnumroute/instance.h>
#include <laburnumroute/replicated_log.h>

namespace laburnum {

/// The number that its author gave a configuration, 0 included; empty without a configuration,
/// which orders before all numbers.
using ConfigNumber = std::optional<std::uint64_t>;

/// The number as a fact of a decision; null without a configuration.
Json::Value configNumberFact(const ConfigNumber& number);

/// A configuration with its number. The highest number is in force.
struct NumberedConfig {
    ConfigNumber number;
    std::string content;
};

/// Removes an instance. Later announcements of the ended incarnations are ignored.
struct Deregistration {
    InstanceId id;
    /// Incarnations up to and including this one have ended.
    std::uint64_t incarnation = 0;
    /// The instance itself stated the incarnation. Otherwise it was inferred, and the instance is
    /// reinstated if it goes on announcing (FleetState::canReinstate).
    bool isStated = true;
    /// Version of the last announcement of the incarnation that was heard before. Only later ones
    /// show that the instance goes on.
    std::uint64_t version = 0;
};

/// A change to the instance set, as sent to entry hosts.
struct InstanceChange {
    InstanceId id;
    /// Empty when the instance was removed.
    std::optional<InstanceRecord> record;
};

/// The state machine behind the replicated log of the control hosts. Deterministic; not
/// thread-safe.
class FleetState final : public StateMachine {
public:
    /// Deregistrations kept to reject late announcements; the oldest are dropped first.
    static constexpr std::size_t maxDeregistrations = 4096;
    /// Earlier configurations and instance changes kept in memory, so that entry hosts can be sent
    /// differences.
    static constexpr std::size_t maxEarlierConfigs = 8;
    static constexpr std::size_t maxRecordedChanges = 512;

    /// Commands for the replicated log.
    static std::string encodePutConfig(const NumberedConfig& config);
    static std::string encodePutInstance(const InstanceRecord& record);
    /// Registers an instance for which canReinstate() holds.
    static std::string encodeReinstateInstance(const InstanceRecord& record);
    static std::string encodeRemoveInstance(const Deregistration& deregistration);

    void apply(LogIndex index, std::string_view command) override;
    std::string snapshot() const override;
    Expected<void> restore(std::string_view bytes) override;

    const NumberedConfig& config() const noexcept { return m_config; }
    /// The earlier configuration with `number`, or null when it is no longer kept.
    const NumberedConfig* earlierConfig(const ConfigNumber& number) const;
    const std::map<InstanceId, InstanceRecord>& instances() const noexcept { return m_instances; }
    /// Log index of the last change to the instances.
    LogIndex instancesIndex() const noexcept { return m_instancesIndex; }
    /// Instances that changed after `index`; empty optional when the recorded changes do not reach
    /// back that far.
    std::optional<std::set<InstanceId>> changedSince(LogIndex index) const;

    /// True when `record` would change the state: a new instance or incarnation, or another phase,
    /// address, service, number of slots or data centre. False for renewals and stale records.
    bool wouldChange(const InstanceRecord& record) const;
    /// True when `deregistration` would remove an instance or block its return.
    bool wouldChange(const Deregistration& deregistration) const;
    /// True when `record` is ignored only because of an inference that its sender can disprove by
    /// going on: an incarnation that did not itself state its end, or one with an earlier start
    /// time than the present holder of its id or address.
    bool canReinstate(const InstanceRecord& record) const;
    /// The other instance, or start of the same one, that holds the id or address of `record`.
    const InstanceRecord* rival(const InstanceRecord& record) const;

private:
    bool isStale(const InstanceRecord& record) const;
    bool isDeregistered(const InstanceId& id, std::uint64_t incarnation) const;
    const InstanceRecord* findByEndpoint(const Endpoint& endpoint) const;
    void storeRecord(const InstanceRecord& record);
    void removeRecord(const InstanceId& id);
    void applyRecord(LogIndex index, const InstanceRecord& record);
    void deregister(LogIndex index, const Deregistration& deregistration);
    void recordChange(LogIndex index, const InstanceId& id);

    NumberedConfig m_config;
    std::deque<NumberedConfig> m_earlierConfigs;
    std::map<InstanceId, InstanceRecord> m_instances;
    /// Each address belongs to at most one instance.
    std::map<Endpoint, InstanceId> m_byEndpoint;
    struct EndedIncarnation {
        std::uint64_t incarnation = 0;
        bool isStated = true;
        /// See Deregistration::version.
        std::uint64_t version = 0;
    };
    std::map<InstanceId, EndedIncarnation> m_deregistered;
    std::deque<InstanceId> m_deregistrationOrder;
    LogIndex m_instancesIndex;
    /// m_changes is complete after this index.
    LogIndex m_changesSince;
    std::deque<std::pair<LogIndex, InstanceId>> m_changes;
};

} // namespace laburnum
