/// Directory of announced instances at one host: the newest record of each instance, with leases.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include <laburnumroute/clock.h>
#include <laburnumroute/instance.h>

namespace laburnum {

/// Result of merging a record into the directory.
enum class MergeResult {
    /// Not newer than the known record; ignored.
    Stale,
    /// Same content with a newer version: the lease is renewed, load and version are updated.
    Renewed,
    /// New content: a new instance, a changed phase or capacity, or a restart.
    Changed,
};

/// Hash of all fields of a record except version and load: equal keys mean equal content. Limited
/// to 53 bits, so that JSON represents it exactly.
std::uint64_t contentKey(const InstanceRecord& record);

/// Directory entry of one instance.
struct DirectoryEntry {
    InstanceRecord record;
    std::uint64_t key = 0;
    /// Time of the last announcement by the instance that is known here.
    TimePoint confirmed;
    /// The lease has expired. The entry is kept as a tombstone, so that delayed messages do not
    /// restore the instance.
    bool expired = false;
};

/// No I/O; not thread-safe.
class InstanceDirectory {
public:
    /// Time for which the entries of expired instances are kept.
    static constexpr Duration tombstoneRetention = std::chrono::minutes(15);

    /// Merges `record`, which the instance announced `age` ago, if it supersedes the known record.
    /// A record whose lease has already run out is kept as expired.
    MergeResult accept(const InstanceRecord& record, Duration age, TimePoint now);
    /// Like accept() for a record announced just now; returns whether it was accepted.
    bool merge(const InstanceRecord& record, TimePoint now)
    {
        return accept(record, Duration::zero(), now) != MergeResult::Stale;
    }
    /// Renews the lease of the instance with content `key` if `version` is higher than the known
    /// one.
    MergeResult renew(
        std::uint64_t key, std::uint64_t version, double load, Duration age, TimePoint now);
    /// Whether a record that is not expired has been without a renewal for two thirds of its lease.
    bool isAnyLeaseEnding(TimePoint now) const;
    /// Marks records whose lease ran out as expired and returns their ids.
    std::vector<InstanceId> expire(TimePoint now);

    /// The entry of an instance, also when expired; null when unknown.
    const DirectoryEntry* find(const InstanceId& id) const;
    /// The entry whose current content has `key`, also when expired; null when unknown.
    const DirectoryEntry* findKey(std::uint64_t key) const;
    /// Instance ids by content key, including expired instances.
    const std::map<std::uint64_t, InstanceId>& keys() const noexcept { return m_keys; }
    /// All records that are not expired, sorted by id.
    std::vector<InstanceRecord> records() const;
    /// Number of records that are not expired.
    std::size_t size() const noexcept { return m_size; }

private:
    using Entries = std::map<InstanceId, DirectoryEntry>;

    void setExpired(DirectoryEntry& entry, bool expired) noexcept;
    Entries::iterator eraseEntry(Entries::iterator entry);

    Entries m_entries;
    std::map<std::uint64_t, InstanceId> m_keys;
    std::size_t m_size = 0;
};

} // namespace laburnum
