#include <laburnumroute/fleet_state.h>

#include <algorithm>

#include "codec_pvt.h"

namespace laburnum {

namespace {

    /// Larger contents are refused before they reach the log.
    constexpr std::size_t maxContentBytes = std::size_t { 16 } << 20U;

    struct PutConfigCommand {
        static constexpr std::uint8_t type = 1;
        std::uint64_t number = 0;
        std::string deflated;
        MSGPACK_DEFINE(number, deflated)
    };

    struct PutInstanceCommand {
        static constexpr std::uint8_t type = 2;
        pvt::InstanceRow row;
        bool reinstates = false;
        MSGPACK_DEFINE(row, reinstates)
    };

    struct RemoveInstanceCommand {
        static constexpr std::uint8_t type = 3;
        std::string id;
        std::uint64_t incarnation = 0;
        bool isStated = true;
        std::uint64_t version = 0;
        MSGPACK_DEFINE(id, incarnation, isStated, version)
    };

    struct DeregistrationRow {
        std::string id;
        std::uint64_t incarnation = 0;
        bool isStated = true;
        std::uint64_t version = 0;
        MSGPACK_DEFINE(id, incarnation, isStated, version)
    };

    struct StateSnapshot {
        static constexpr std::uint8_t type = 4;
        std::uint64_t number = 0;
        std::string content;
        std::vector<pvt::InstanceRow> instances;
        std::vector<DeregistrationRow> deregistrations;
        std::uint64_t instancesIndex = 0;
        /// Tells the number 0 from no configuration.
        bool hasConfig = false;
        MSGPACK_DEFINE(number, content, instances, deregistrations, instancesIndex, hasConfig)
    };

} // namespace

Json::Value configNumberFact(const ConfigNumber& number)
{
    return number ? Json::Value(Json::UInt64(*number)) : Json::Value();
}

std::string FleetState::encodePutConfig(const NumberedConfig& config)
{
    return pvt::pack(
        PutConfigCommand { config.number.value(), pvt::deflateText(config.content, "") });
}

std::string FleetState::encodePutInstance(const InstanceRecord& record)
{
    return pvt::pack(PutInstanceCommand { pvt::toRow(record) });
}

std::string FleetState::encodeReinstateInstance(const InstanceRecord& record)
{
    return pvt::pack(PutInstanceCommand { pvt::toRow(record), true });
}

std::string FleetState::encodeRemoveInstance(const Deregistration& deregistration)
{
    return pvt::pack(RemoveInstanceCommand { deregistration.id.value(), deregistration.incarnation,
        deregistration.isStated, deregistration.version });
}

void FleetState::apply(LogIndex index, std::string_view command)
{
    if (const auto put = pvt::unpack<PutConfigCommand>(command)) {
        auto content = pvt::inflateText(put->deflated, "", maxContentBytes);
        if (put->number <= m_config.number || !content)
            return;
        if (m_config.number)
            m_earlierConfigs.push_back(std::move(m_config));
        if (m_earlierConfigs.size() > maxEarlierConfigs)
            m_earlierConfigs.pop_front();
        m_config = { put->number, std::move(*content) };
    } else if (const auto instance = pvt::unpack<PutInstanceCommand>(command)) {
        const InstanceRecord record = pvt::fromRow(instance->row);
        if (instance->reinstates ? canReinstate(record) : wouldChange(record))
            applyRecord(index, record);
    } else if (const auto removal = pvt::unpack<RemoveInstanceCommand>(command)) {
        const Deregistration deregistration { InstanceId(removal->id), removal->incarnation,
            removal->isStated, removal->version };
        if (wouldChange(deregistration))
            deregister(index, deregistration);
    }
}

const NumberedConfig* FleetState::earlierConfig(const ConfigNumber& number) const
{
    const auto found = std::find_if(m_earlierConfigs.begin(), m_earlierConfigs.end(),
        [&](const NumberedConfig& config) { return config.number == number; });
    return found == m_earlierConfigs.end() ? nullptr : &*found;
}

std::optional<std::set<InstanceId>> FleetState::changedSince(LogIndex index) const
{
    if (index < m_changesSince)
        return std::nullopt;
    std::set<InstanceId> ids;
    for (const auto& [at, id] : m_changes) {
        if (at > index)
            ids.insert(id);
    }
    return ids;
}

bool FleetState::isDeregistered(const InstanceId& id, std::uint64_t incarnation) const
{
    const auto found = m_deregistered.find(id);
    return found != m_deregistered.end() && incarnation <= found->second.incarnation;
}

const InstanceRecord* FleetState::findByEndpoint(const Endpoint& endpoint) const
{
    const auto found = m_byEndpoint.find(endpoint);
    return found == m_byEndpoint.end() ? nullptr : &m_instances.at(found->second);
}

/// True for a record of an incarnation that has ended, or one older than the stored record. At a
/// shared address the instance with the later incarnation wins.
bool FleetState::isStale(const InstanceRecord& record) const
{
    if (isDeregistered(record.id, record.incarnation))
        return true;
    const auto known = m_instances.find(record.id);
    if (known != m_instances.end() && !supersedes(record, known->second))
        return true;
    const InstanceRecord* holder = findByEndpoint(record.endpoint);
    return holder != nullptr && holder->id != record.id && holder->incarnation > record.incarnation;
}

const InstanceRecord* FleetState::rival(const InstanceRecord& record) const
{
    const auto known = m_instances.find(record.id);
    if (known != m_instances.end() && known->second.incarnation != record.incarnation)
        return &known->second;
    const InstanceRecord* holder = findByEndpoint(record.endpoint);
    return holder != nullptr && holder->id != record.id ? holder : nullptr;
}

bool FleetState::canReinstate(const InstanceRecord& record) const
{
    if (record.phase != InstancePhase::Serving || !isStale(record))
        return false;
    const auto known = m_instances.find(record.id);
    if (known != m_instances.end() && known->second.incarnation == record.incarnation)
        return false; // a late record, or one of a draining instance
    const auto ended = m_deregistered.find(record.id);
    if (ended == m_deregistered.end() || record.incarnation > ended->second.incarnation)
        return true;
    const bool isLate = record.incarnation == ended->second.incarnation
        && record.version <= ended->second.version;
    return !ended->second.isStated && !isLate;
}

bool FleetState::wouldChange(const InstanceRecord& record) const
{
    if (isStale(record))
        return false;
    const auto known = m_instances.find(record.id);
    if (known == m_instances.end())
        return true;
    const InstanceRecord& current = known->second;
    return current.incarnation != record.incarnation || current.phase != record.phase
        || current.endpoint != record.endpoint || current.service != record.service
        || current.slots != record.slots || current.dataCentre != record.dataCentre;
}

bool FleetState::wouldChange(const Deregistration& deregistration) const
{
    const auto known = m_instances.find(deregistration.id);
    const bool removesCurrent
        = known != m_instances.end() && known->second.incarnation <= deregistration.incarnation;
    return removesCurrent || !isDeregistered(deregistration.id, deregistration.incarnation);
}

void FleetState::recordChange(LogIndex index, const InstanceId& id)
{
    m_instancesIndex = index;
    m_changes.emplace_back(index, id);
    while (m_changes.size() > maxRecordedChanges) {
        m_changesSince = m_changes.front().first;
        m_changes.pop_front();
    }
}

void FleetState::applyRecord(LogIndex index, const InstanceRecord& record)
{
    // The start time says that the address has passed on, not that its former holder said so.
    const InstanceRecord* holder = findByEndpoint(record.endpoint);
    if (holder != nullptr && holder->id != record.id)
        deregister(index, { holder->id, holder->incarnation, false, holder->version });
    if (isDeregistered(record.id, record.incarnation)) {
        m_deregistered.erase(record.id);
        std::erase(m_deregistrationOrder, record.id);
    }
    storeRecord(record);
    recordChange(index, record.id);
}

void FleetState::removeRecord(const InstanceId& id)
{
    const auto found = m_instances.find(id);
    if (found == m_instances.end())
        return;
    m_byEndpoint.erase(found->second.endpoint);
    m_instances.erase(found);
}

void FleetState::storeRecord(const InstanceRecord& record)
{
    removeRecord(record.id);
    m_instances[record.id] = record;
    m_byEndpoint[record.endpoint] = record.id;
}

void FleetState::deregister(LogIndex index, const Deregistration& deregistration)
{
    EndedIncarnation ended { deregistration.incarnation, deregistration.isStated,
        deregistration.version };
    const auto known = m_instances.find(deregistration.id);
    if (known != m_instances.end() && known->second.incarnation <= deregistration.incarnation) {
        if (known->second.incarnation == ended.incarnation)
            ended.version = std::max(ended.version, known->second.version);
        removeRecord(deregistration.id);
    }
    const auto [last, isNew] = m_deregistered.try_emplace(deregistration.id, ended);
    if (last->second.incarnation < ended.incarnation) {
        last->second = ended;
    } else if (last->second.incarnation == ended.incarnation) {
        last->second.isStated = last->second.isStated || ended.isStated;
        last->second.version = std::max(last->second.version, ended.version);
    }
    if (isNew)
        m_deregistrationOrder.push_back(deregistration.id);
    if (m_deregistrationOrder.size() > maxDeregistrations) {
        m_deregistered.erase(m_deregistrationOrder.front());
        m_deregistrationOrder.pop_front();
    }
    recordChange(index, deregistration.id);
}

std::string FleetState::snapshot() const
{
    StateSnapshot image { m_config.number.value_or(0), m_config.content, {}, {},
        m_instancesIndex.value(), m_config.number.has_value() };
    for (const auto& [id, record] : m_instances)
        image.instances.push_back(pvt::toRow(record));
    for (const InstanceId& id : m_deregistrationOrder) {
        const auto found = m_deregistered.find(id);
        if (found != m_deregistered.end())
            image.deregistrations.push_back({ id.value(), found->second.incarnation,
                found->second.isStated, found->second.version });
    }
    return pvt::pack(image);
}

Expected<void> FleetState::restore(std::string_view bytes)
{
    *this = FleetState();
    if (bytes.empty())
        return {};
    const auto image = pvt::unpack<StateSnapshot>(bytes);
    if (!image)
        return fail(ErrorCode::Corrupt, "cannot decode the snapshot of the fleet state");
    // Snapshots without `hasConfig` hold no configuration with the number 0.
    if (image->hasConfig || image->number != 0)
        m_config = { image->number, image->content };
    for (const auto& row : image->instances)
        storeRecord(pvt::fromRow(row));
    for (const auto& row : image->deregistrations) {
        m_deregistered[InstanceId(row.id)] = { row.incarnation, row.isStated, row.version };
        m_deregistrationOrder.emplace_back(row.id);
    }
    m_instancesIndex = LogIndex(image->instancesIndex);
    m_changesSince = m_instancesIndex;
    return {};
}

} // namespace laburnum
