/// What the control hosts agree on: the configuration that its author numbered, and the instances
/// with the order of what they said of themselves. Applied from the replicated log.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <laburnumroute/instance.h>
#include <laburnumroute/replicated_log.h>

namespace laburnum {

/// A configuration as its author numbered it. The highest number is in force; 0 is "none".
struct NumberedConfig {
    std::uint64_t number = 0;
    std::string content;
};

/// An instance that ended; what it said before is not believed any more.
struct Deregistration {
    InstanceId id;
    /// Incarnations up to this one have ended.
    std::uint64_t incarnation = 0;
};

/// A change of the instances that entry hosts are told of.
struct InstanceChange {
    InstanceId id;
    /// Nothing when the instance is gone.
    std::optional<InstanceRecord> record;
};

/// Deterministic; not thread-safe.
class FleetState final : public StateMachine {
public:
    /// Departures that are remembered; the oldest are forgotten first.
    static constexpr std::size_t rememberedDepartures = 4096;
    /// Earlier configurations and changes kept in memory, so that hosts are told differences only.
    static constexpr std::size_t keptConfigs = 8;
    static constexpr std::size_t keptChanges = 512;

    static std::string putConfig(const NumberedConfig& config);
    static std::string putInstance(const InstanceRecord& record);
    static std::string removeInstance(const Deregistration& deregistration);

    void apply(LogIndex index, std::string_view command) override;
    std::string snapshot() const override;
    Expected<void> restore(std::string_view bytes) override;

    const NumberedConfig& config() const noexcept { return m_config; }
    /// An earlier configuration, or null when it is no longer kept.
    const NumberedConfig* configNumbered(std::uint64_t number) const;
    const std::map<InstanceId, InstanceRecord>& instances() const noexcept { return m_instances; }
    /// Index of the last change of the instances.
    LogIndex instancesIndex() const noexcept { return m_instancesIndex; }
    /// Ids that changed after `index`; nothing when that is not known any more.
    std::optional<std::set<InstanceId>> changedSince(LogIndex index) const;

    /// True when `record` would change what is held: a new instance or incarnation, a phase, an
    /// address or a service. A mere renewal and what came late do not.
    bool wouldChange(const InstanceRecord& record) const;
    /// True when `deregistration` would take an instance away or keep it from coming back.
    bool wouldChange(const Deregistration& deregistration) const;

private:
    bool isStale(const InstanceRecord& record) const;
    bool hasDeparted(const InstanceId& id, std::uint64_t incarnation) const;
    const InstanceRecord* atEndpoint(const Endpoint& endpoint) const;
    void hold(const InstanceRecord& record);
    void putRecord(LogIndex index, const InstanceRecord& record);
    void depart(LogIndex index, const Deregistration& deregistration);
    void noteChange(LogIndex index, const InstanceId& id);

    NumberedConfig m_config;
    std::deque<NumberedConfig> m_earlier;
    std::map<InstanceId, InstanceRecord> m_instances;
    /// An address belongs to one instance.
    std::map<Endpoint, InstanceId> m_byEndpoint;
    std::map<InstanceId, std::uint64_t> m_departed;
    std::deque<InstanceId> m_departureOrder;
    LogIndex m_instancesIndex;
    /// Changes are known from here on.
    LogIndex m_changesFrom;
    std::deque<std::pair<LogIndex, InstanceId>> m_changes;
};

} // namespace laburnum
