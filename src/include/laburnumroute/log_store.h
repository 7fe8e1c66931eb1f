/// The persistent state of the replicated log: entries, vote, snapshot and member id.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include <laburnumroute/error.h>
#include <laburnumroute/ids.h>
#include <laburnumroute/membership.h>
#include <laburnumroute/storage.h>

namespace laburnum {

/// The type of a log entry.
enum class EntryKind : std::uint8_t {
    /// The first entry of a leader's term; not applied to the state machine.
    Noop = 0,
    /// A command for the state machine.
    Command = 1,
    /// A membership; takes effect as soon as it is appended.
    Membership = 2,
};

/// A log entry. Its index is its position in the log.
struct LogEntry {
    Term term;
    EntryKind kind = EntryKind::Noop;
    std::string command;

    friend bool operator==(const LogEntry&, const LogEntry&) = default;
};

/// The current term and the candidate voted for in it; empty when no vote was cast.
struct Vote {
    Term term;
    MemberId votedFor;

    friend bool operator==(const Vote&, const Vote&) = default;
};

/// The state machine's state up to and including `index`. Index 0 is the empty state.
struct LogSnapshot {
    LogIndex index;
    Term term;
    Membership membership;
    std::string state;
};

/// Persists entries, vote and snapshot in a Storage. Every successful write is durable when the
/// call returns. After a failed write or sync the content of the disk is unknown, so the store
/// refuses all further writes until it is reopened. Keeps the entries after the base in memory. Not
/// thread-safe.
class LogStore {
public:
    /// Opens the store, or creates it with the member id `newMember` when the folder is empty.
    /// Truncates a torn tail. A Corrupt error names the file and offset. `storage` must outlive the
    /// store. `foundingHosts` are the hosts that may found the log, if this is the first start of
    /// the whole group; a created store keeps them.
    static Expected<LogStore> open(
        Storage& storage, const MemberId& newMember, const std::vector<HostId>& foundingHosts = {});

    /// The member id with which the folder was created.
    const MemberId& member() const noexcept { return m_member; }
    const Vote& vote() const noexcept { return m_vote; }
    /// The hosts that may found the log; empty unless the folder was created at the first start.
    const std::vector<HostId>& foundingHosts() const noexcept { return m_foundingHosts; }
    const LogSnapshot& snapshot() const noexcept { return m_snapshot; }

    /// Entries up to and including the base are compacted. The base is at or before the snapshot.
    LogIndex baseIndex() const noexcept { return m_baseIndex; }
    LogIndex lastIndex() const { return LogIndex(m_baseIndex.value() + m_entries.size()); }
    Term lastTerm() const { return m_entries.empty() ? m_baseTerm : m_entries.back().term; }
    /// The term of the entry at `index`; empty before the base or past the end.
    std::optional<Term> termAt(LogIndex index) const;
    /// The entry at `index`, which must be after the base and not past the end.
    const LogEntry& at(LogIndex index) const;
    /// Total size of the commands after the base, in bytes.
    std::uint64_t entryBytes() const noexcept { return m_entryBytes; }

    Expected<void> saveVote(const Vote& vote);
    /// Writes `entries` starting at index `first`, which is at most one past the end. Replaces all
    /// existing entries from `first` on.
    Expected<void> append(LogIndex first, const std::vector<LogEntry>& entries);
    /// Saves a snapshot at an index in the log and compacts the log up to `base`, which must not be
    /// after the snapshot nor before the current base.
    Expected<void> saveSnapshot(LogSnapshot snapshot, LogIndex base);
    /// Replaces the whole log by a snapshot received from the leader.
    Expected<void> installSnapshot(LogSnapshot snapshot);

    /// The failure after which the store refuses writes.
    const std::optional<Error>& failure() const noexcept { return m_failure; }

private:
    /// A log file with consecutive entries.
    struct Segment {
        std::uint64_t sequence = 0;
        std::uint64_t size = 0;
        /// The highest index ever written to it, including replaced entries.
        LogIndex maxIndex;
    };

    explicit LogStore(Storage& storage)
        : m_storage(&storage)
    {
    }

    Expected<void> create(const MemberId& newMember, const std::vector<HostId>& foundingHosts,
        const std::vector<std::string>& names);
    Expected<void> readFoundingHosts();
    Expected<void> recover(const std::vector<std::string>& names);
    Expected<void> readSnapshot();
    Expected<void> readSegments(const std::vector<std::string>& names);
    Expected<void> readSegment(std::uint64_t sequence, bool isLast);
    Expected<void> replay(std::string_view name, std::string_view payload, Segment& segment);

    Expected<void> noteFailure(Expected<void> result);
    Expected<void> writeSnapshot(LogSnapshot snapshot, LogIndex base, Term baseTerm);
    void insertEntries(LogIndex first, const std::vector<LogEntry>& entries);
    void compactTo(LogIndex base, Term baseTerm);
    Expected<void> removeOldSegments();

    Storage* m_storage;
    MemberId m_member;
    Vote m_vote;
    std::vector<HostId> m_foundingHosts;
    LogSnapshot m_snapshot;
    LogIndex m_baseIndex;
    Term m_baseTerm;
    std::deque<LogEntry> m_entries;
    std::uint64_t m_entryBytes = 0;
    std::deque<Segment> m_segments;
    std::uint64_t m_firstSequence = 1;
    std::optional<Error> m_failure;
};

} // namespace laburnum
