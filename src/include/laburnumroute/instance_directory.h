/// The directory of announced instances at one host: newest record per instance, under leases.
#pragma once

#include <map>
#include <vector>

#include <laburnumroute/clock.h>
#include <laburnumroute/instance.h>

namespace laburnum {

/// No I/O; not thread-safe.
class InstanceDirectory {
public:
    /// Takes `record` if it is newer than what is known; returns whether it was taken.
    bool merge(const InstanceRecord& record, TimePoint now);
    /// Removes records whose lease ran out and returns their ids.
    std::vector<InstanceId> expire(TimePoint now);
    /// All records, sorted by id.
    std::vector<InstanceRecord> records() const;
    std::size_t size() const noexcept { return m_entries.size(); }

private:
    struct Entry {
        InstanceRecord record;
        TimePoint lapses;
    };

    std::map<InstanceId, Entry> m_entries;
};

} // namespace laburnum
