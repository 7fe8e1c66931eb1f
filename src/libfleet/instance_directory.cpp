#include <laburnumroute/instance_directory.h>

namespace laburnum {

bool InstanceDirectory::merge(const InstanceRecord& record, TimePoint now)
{
    const auto found = m_entries.find(record.id);
    if (found != m_entries.end() && found->second.record.version >= record.version)
        return false;
    m_entries[record.id] = { record, now + record.lease };
    return true;
}

std::vector<InstanceId> InstanceDirectory::expire(TimePoint now)
{
    std::vector<InstanceId> lapsed;
    for (auto entry = m_entries.begin(); entry != m_entries.end();) {
        if (entry->second.lapses > now) {
            ++entry;
            continue;
        }
        lapsed.push_back(entry->first);
        entry = m_entries.erase(entry);
    }
    return lapsed;
}

std::vector<InstanceRecord> InstanceDirectory::records() const
{
    std::vector<InstanceRecord> result;
    result.reserve(m_entries.size());
    for (const auto& [id, entry] : m_entries)
        result.push_back(entry.record);
    return result;
}

} // namespace laburnum
