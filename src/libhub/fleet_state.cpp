#include <laburnumroute/fleet_state.h>

#include <algorithm>

#include "codec_pvt.h"

namespace laburnum {

namespace {

    /// Larger contents are refused before they reach the log.
    constexpr std::size_t contentLimit = std::size_t { 16 } << 20U;

    struct PutConfigCommand {
        static constexpr std::uint8_t type = 1;
        std::uint64_t number = 0;
        std::string deflated;
        MSGPACK_DEFINE(number, deflated)
    };

    struct PutInstanceCommand {
        static constexpr std::uint8_t type = 2;
        pvt::InstanceRow row;
        MSGPACK_DEFINE(row)
    };

    struct RemoveInstanceCommand {
        static constexpr std::uint8_t type = 3;
        std::string id;
        std::uint64_t incarnation = 0;
        MSGPACK_DEFINE(id, incarnation)
    };

    struct StateImage {
        static constexpr std::uint8_t type = 4;
        std::uint64_t number = 0;
        std::string content;
        std::vector<pvt::InstanceRow> instances;
        std::vector<std::pair<std::string, std::uint64_t>> departures;
        std::uint64_t instancesIndex = 0;
        MSGPACK_DEFINE(number, content, instances, departures, instancesIndex)
    };

} // namespace

std::string FleetState::putConfig(const NumberedConfig& config)
{
    return pvt::pack(PutConfigCommand { config.number, pvt::deflateText(config.content, "") });
}

std::string FleetState::putInstance(const InstanceRecord& record)
{
    return pvt::pack(PutInstanceCommand { pvt::toRow(record) });
}

std::string FleetState::removeInstance(const Deregistration& deregistration)
{
    return pvt::pack(
        RemoveInstanceCommand { deregistration.id.value(), deregistration.incarnation });
}

void FleetState::apply(LogIndex index, std::string_view command)
{
    if (const auto put = pvt::unpack<PutConfigCommand>(command)) {
        auto content = pvt::inflateText(put->deflated, "", contentLimit);
        if (put->number <= m_config.number || !content)
            return;
        m_earlier.push_back(std::move(m_config));
        if (m_earlier.size() > keptConfigs)
            m_earlier.pop_front();
        m_config = { put->number, std::move(*content) };
    } else if (const auto instance = pvt::unpack<PutInstanceCommand>(command)) {
        const InstanceRecord record = pvt::fromRow(instance->row);
        if (wouldChange(record))
            putRecord(index, record);
    } else if (const auto removal = pvt::unpack<RemoveInstanceCommand>(command)) {
        const Deregistration deregistration { InstanceId(removal->id), removal->incarnation };
        if (wouldChange(deregistration))
            depart(index, deregistration);
    }
}

const NumberedConfig* FleetState::configNumbered(std::uint64_t number) const
{
    const auto found = std::find_if(m_earlier.begin(), m_earlier.end(),
        [&](const NumberedConfig& config) { return config.number == number; });
    return found == m_earlier.end() || number == 0 ? nullptr : &*found;
}

std::optional<std::set<InstanceId>> FleetState::changedSince(LogIndex index) const
{
    if (index < m_changesFrom)
        return std::nullopt;
    std::set<InstanceId> ids;
    for (const auto& [at, id] : m_changes) {
        if (at > index)
            ids.insert(id);
    }
    return ids;
}

bool FleetState::hasDeparted(const InstanceId& id, std::uint64_t incarnation) const
{
    const auto found = m_departed.find(id);
    return found != m_departed.end() && incarnation <= found->second;
}

const InstanceRecord* FleetState::atEndpoint(const Endpoint& endpoint) const
{
    const auto found = m_byEndpoint.find(endpoint);
    return found == m_byEndpoint.end() ? nullptr : &m_instances.at(found->second);
}

/// What was said by an incarnation that has ended, or before what is held.
bool FleetState::isStale(const InstanceRecord& record) const
{
    if (hasDeparted(record.id, record.incarnation))
        return true;
    const auto known = m_instances.find(record.id);
    if (known != m_instances.end() && !supersedes(record, known->second))
        return true;
    const InstanceRecord* holder = atEndpoint(record.endpoint);
    return holder != nullptr && holder->id != record.id && holder->incarnation > record.incarnation;
}

bool FleetState::wouldChange(const InstanceRecord& record) const
{
    if (isStale(record))
        return false;
    const auto known = m_instances.find(record.id);
    if (known == m_instances.end())
        return true;
    const InstanceRecord& held = known->second;
    return held.incarnation != record.incarnation || held.phase != record.phase
        || held.endpoint != record.endpoint || held.service != record.service
        || held.slots != record.slots || held.dataCentre != record.dataCentre;
}

bool FleetState::wouldChange(const Deregistration& deregistration) const
{
    const auto known = m_instances.find(deregistration.id);
    const bool holds
        = known != m_instances.end() && known->second.incarnation <= deregistration.incarnation;
    return holds || !hasDeparted(deregistration.id, deregistration.incarnation);
}

void FleetState::noteChange(LogIndex index, const InstanceId& id)
{
    m_instancesIndex = index;
    m_changes.emplace_back(index, id);
    while (m_changes.size() > keptChanges) {
        m_changesFrom = m_changes.front().first;
        m_changes.pop_front();
    }
}

void FleetState::putRecord(LogIndex index, const InstanceRecord& record)
{
    const InstanceRecord* holder = atEndpoint(record.endpoint);
    if (holder != nullptr && holder->id != record.id)
        depart(index, { holder->id, holder->incarnation });
    hold(record);
    noteChange(index, record.id);
}

void FleetState::hold(const InstanceRecord& record)
{
    const auto former = m_instances.find(record.id);
    if (former != m_instances.end())
        m_byEndpoint.erase(former->second.endpoint);
    m_instances[record.id] = record;
    m_byEndpoint[record.endpoint] = record.id;
}

void FleetState::depart(LogIndex index, const Deregistration& deregistration)
{
    const auto known = m_instances.find(deregistration.id);
    if (known != m_instances.end() && known->second.incarnation <= deregistration.incarnation) {
        m_byEndpoint.erase(known->second.endpoint);
        m_instances.erase(known);
    }
    auto& last = m_departed[deregistration.id];
    last = std::max(last, deregistration.incarnation);
    m_departureOrder.push_back(deregistration.id);
    if (m_departureOrder.size() > rememberedDepartures) {
        m_departed.erase(m_departureOrder.front());
        m_departureOrder.pop_front();
    }
    noteChange(index, deregistration.id);
}

std::string FleetState::snapshot() const
{
    StateImage image { m_config.number, m_config.content, {}, {}, m_instancesIndex.value() };
    for (const auto& [id, record] : m_instances)
        image.instances.push_back(pvt::toRow(record));
    for (const InstanceId& id : m_departureOrder) {
        const auto found = m_departed.find(id);
        if (found != m_departed.end())
            image.departures.emplace_back(id.value(), found->second);
    }
    return pvt::pack(image);
}

Expected<void> FleetState::restore(std::string_view bytes)
{
    *this = FleetState();
    if (bytes.empty())
        return {};
    const auto image = pvt::unpack<StateImage>(bytes);
    if (!image)
        return fail(ErrorCode::Corrupt, "the snapshot of the fleet's state cannot be read");
    m_config = { image->number, image->content };
    for (const auto& row : image->instances)
        hold(pvt::fromRow(row));
    for (const auto& [id, incarnation] : image->departures) {
        m_departed[InstanceId(id)] = incarnation;
        m_departureOrder.emplace_back(id);
    }
    m_instancesIndex = LogIndex(image->instancesIndex);
    m_changesFrom = m_instancesIndex;
    return {};
}

} // namespace laburnum
