/// The directory of announced instances at one host: newest record per instance, under leases.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include <laburnumroute/clock.h>
#include <laburnumroute/instance.h>

namespace laburnum {

/// What became of a record that was offered to the directory.
enum class MergeResult {
    /// Nothing newer than what is known.
    Stale,
    /// The same content, confirmed again; load and version are taken over.
    Renewed,
    /// New content: a new instance, another phase or capacity, a restart.
    Changed,
};

/// Hash of all that a record says except version and load: equal keys mean equal content. Fits
/// into 53 bits, so that it is exact in JSON.
std::uint64_t contentKey(const InstanceRecord& record);

/// One instance as the directory keeps it.
struct DirectoryEntry {
    InstanceRecord record;
    std::uint64_t key = 0;
    /// When the instance itself last confirmed the record, as far as is known here.
    TimePoint confirmed;
    /// Its lease ran out. Kept for a while so that late messages do not bring it back.
    bool expired = false;
};

/// No I/O; not thread-safe.
class InstanceDirectory {
public:
    /// Time for which expired instances are remembered.
    static constexpr Duration departedRetention = std::chrono::minutes(15);

    /// Takes `record`, which the instance confirmed `age` ago, if it supersedes what is known. A
    /// record whose lease ran out already is remembered as expired.
    MergeResult accept(const InstanceRecord& record, Duration age, TimePoint now);
    /// As accept() of a record that the instance just announced; returns whether it was taken.
    bool merge(const InstanceRecord& record, TimePoint now)
    {
        return accept(record, Duration::zero(), now) != MergeResult::Stale;
    }
    /// Renews the instance whose content has `key` if `version` is higher than the one known.
    MergeResult renew(
        std::uint64_t key, std::uint64_t version, double load, Duration age, TimePoint now);
    /// Removes records whose lease ran out and returns their ids.
    std::vector<InstanceId> expire(TimePoint now);

    /// The entry of an instance, expired ones included; null when unknown.
    const DirectoryEntry* find(const InstanceId& id) const;
    /// The entry whose current content has `key`, expired ones included; null when unknown.
    const DirectoryEntry* findKey(std::uint64_t key) const;
    /// Entries by key, expired ones included.
    const std::map<std::uint64_t, InstanceId>& keys() const noexcept { return m_keys; }
    /// All records that have not expired, sorted by id.
    std::vector<InstanceRecord> records() const;
    /// Number of records that have not expired.
    std::size_t size() const noexcept { return m_size; }

private:
    using Entries = std::map<InstanceId, DirectoryEntry>;

    void setDeparted(DirectoryEntry& entry, bool expired) noexcept;
    Entries::iterator forget(Entries::iterator entry);

    Entries m_entries;
    std::map<std::uint64_t, InstanceId> m_keys;
    std::size_t m_size = 0;
};

} // namespace laburnum
