#include <laburnumroute/instance_directory.h>

#include <algorithm>

#include <laburnumroute/json.h>

#include "hash_pvt.h"

namespace laburnum {

namespace {

    constexpr std::uint64_t keyMask = (std::uint64_t { 1 } << 53) - 1;

} // namespace

std::uint64_t contentKey(const InstanceRecord& record)
{
    InstanceRecord content = record;
    content.version = 0;
    content.load = 0.0;
    return pvt::stableHash(toJsonText(encodeInstance(content))) & keyMask;
}

MergeResult InstanceDirectory::accept(const InstanceRecord& record, Duration age, TimePoint now)
{
    const bool lapsed = age >= record.lease;
    const std::uint64_t key = contentKey(record);
    const auto found = m_entries.find(record.id);
    if (found == m_entries.end()) {
        m_entries[record.id] = { record, key, now - age, lapsed };
        m_keys[key] = record.id;
        m_size += lapsed ? 0 : 1;
        return lapsed ? MergeResult::Stale : MergeResult::Changed;
    }
    DirectoryEntry& entry = found->second;
    if (!supersedes(record, entry.record))
        return MergeResult::Stale;
    const bool same = key == entry.key && !entry.expired && !lapsed;
    m_keys.erase(entry.key);
    m_keys[key] = record.id;
    entry.record = record;
    entry.key = key;
    entry.confirmed = same ? std::max(entry.confirmed, now - age) : now - age;
    // A live entry whose newer record has lapsed stays live until expire() reports it.
    if (!lapsed)
        setExpired(entry, false);
    if (lapsed && entry.expired)
        return MergeResult::Stale;
    return same ? MergeResult::Renewed : MergeResult::Changed;
}

MergeResult InstanceDirectory::renew(
    std::uint64_t key, std::uint64_t version, double load, Duration age, TimePoint now)
{
    const DirectoryEntry* entry = findKey(key);
    if (!entry || version <= entry->record.version || age >= entry->record.lease)
        return MergeResult::Stale;
    InstanceRecord record = entry->record;
    record.version = version;
    record.load = load;
    return accept(record, age, now);
}

bool InstanceDirectory::isAnyLeaseEnding(TimePoint now) const
{
    return std::any_of(m_entries.begin(), m_entries.end(), [&](const auto& item) {
        const DirectoryEntry& entry = item.second;
        return !entry.expired && now - entry.confirmed >= 2 * entry.record.lease / 3;
    });
}

std::vector<InstanceId> InstanceDirectory::expire(TimePoint now)
{
    std::vector<InstanceId> lapsed;
    for (auto item = m_entries.begin(); item != m_entries.end();) {
        DirectoryEntry& entry = item->second;
        const TimePoint expiry = entry.confirmed + entry.record.lease;
        if (!entry.expired && expiry <= now) {
            lapsed.push_back(item->first);
            setExpired(entry, true);
        }
        item = expiry + tombstoneRetention <= now ? eraseEntry(item) : std::next(item);
    }
    return lapsed;
}

void InstanceDirectory::setExpired(DirectoryEntry& entry, bool expired) noexcept
{
    if (entry.expired == expired)
        return;
    entry.expired = expired;
    m_size = expired ? m_size - 1 : m_size + 1;
}

InstanceDirectory::Entries::iterator InstanceDirectory::eraseEntry(Entries::iterator entry)
{
    m_keys.erase(entry->second.key);
    return m_entries.erase(entry);
}

const DirectoryEntry* InstanceDirectory::find(const InstanceId& id) const
{
    const auto entry = m_entries.find(id);
    return entry == m_entries.end() ? nullptr : &entry->second;
}

const DirectoryEntry* InstanceDirectory::findKey(std::uint64_t key) const
{
    const auto id = m_keys.find(key);
    return id == m_keys.end() ? nullptr : find(id->second);
}

std::vector<InstanceRecord> InstanceDirectory::records() const
{
    std::vector<InstanceRecord> result;
    result.reserve(m_size);
    for (const auto& [id, entry] : m_entries) {
        if (!entry.expired)
            result.push_back(entry.record);
    }
    return result;
}

} // namespace laburnum
