/// The durable part of the replicated log: entries, vote, snapshot and the identity of the disk.
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

/// What an entry means to the log itself.
enum class EntryKind : std::uint8_t {
    /// The first entry of a leader's term; applies nothing.
    Noop = 0,
    /// A command for the applied state machine.
    Command = 1,
    /// A membership, in force as soon as it is appended.
    Membership = 2,
};

/// One entry; its index is its place.
struct LogEntry {
    Term term;
    EntryKind kind = EntryKind::Noop;
    std::string command;

    friend bool operator==(const LogEntry&, const LogEntry&) = default;
};

/// For whom a member voted in a term; empty when for nobody yet.
struct Vote {
    Term term;
    MemberId votedFor;

    friend bool operator==(const Vote&, const Vote&) = default;
};

/// The applied state up to and including `index`. Index 0 is the empty state.
struct LogSnapshot {
    LogIndex index;
    Term term;
    Membership membership;
    std::string state;
};

/// Entries, vote and snapshot over a Storage. Every call that succeeds is durable when it returns.
/// After a failed write or sync the store refuses all further writes until it is opened again:
/// what the disk holds is then unknown. Keeps the entries behind the base in memory. Not
/// thread-safe.
class LogStore {
public:
    /// Opens the folder, or creates it with the identity `fresh` when it is empty. Cuts a torn
    /// tail. Corrupt names the file and offset. `storage` must outlive the store.
    static Expected<LogStore> open(Storage& storage, const MemberId& fresh);

    /// The identity that the folder was created with.
    const MemberId& member() const noexcept { return m_member; }
    const Vote& vote() const noexcept { return m_vote; }
    const LogSnapshot& snapshot() const noexcept { return m_snapshot; }

    /// Entries up to the base are no longer kept. The base lies at or before the snapshot.
    LogIndex baseIndex() const noexcept { return m_baseIndex; }
    LogIndex lastIndex() const { return LogIndex(m_baseIndex.value() + m_entries.size()); }
    Term lastTerm() const { return m_entries.empty() ? m_baseTerm : m_entries.back().term; }
    /// The term of the entry at `index`; nothing before the base or past the end.
    std::optional<Term> termAt(LogIndex index) const;
    /// The entry at `index`, which lies behind the base and not past the end.
    const LogEntry& at(LogIndex index) const;
    /// Bytes of commands behind the base.
    std::uint64_t entryBytes() const noexcept { return m_entryBytes; }

    Expected<void> saveVote(const Vote& vote);
    /// Writes `entries` from index `first` on, at most one past the end. Entries from `first` on
    /// that were there before are replaced.
    Expected<void> append(LogIndex first, const std::vector<LogEntry>& entries);
    /// Takes a snapshot of an index in the log, and forgets entries up to `base`, which lies at or
    /// before the snapshot and at or behind the old base.
    Expected<void> saveSnapshot(LogSnapshot snapshot, LogIndex base);
    /// Replaces the whole log by a snapshot received from the leader.
    Expected<void> installSnapshot(LogSnapshot snapshot);

    /// The failure since which the store refuses to write.
    const std::optional<Error>& failure() const noexcept { return m_failure; }

private:
    /// A file of entries.
    struct Segment {
        std::uint64_t sequence = 0;
        std::uint64_t size = 0;
        /// The highest index that it ever held.
        LogIndex last;
    };

    explicit LogStore(Storage& storage)
        : m_storage(&storage)
    {
    }

    Expected<void> create(const MemberId& fresh, const std::vector<std::string>& names);
    Expected<void> recover(const std::vector<std::string>& names);
    Expected<void> readSnapshot();
    Expected<void> readSegments(const std::vector<std::string>& names);
    Expected<void> readSegment(std::uint64_t sequence, bool isLast);
    Expected<void> replay(std::string_view name, std::string_view payload, Segment& segment);

    Expected<void> guard(Expected<void> result);
    Expected<void> writeSnapshot(LogSnapshot snapshot, LogIndex base, Term baseTerm);
    void place(LogIndex first, const std::vector<LogEntry>& entries);
    void dropUpTo(LogIndex base, Term baseTerm);
    Expected<void> removeOldSegments();

    Storage* m_storage;
    MemberId m_member;
    Vote m_vote;
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
