/// File names and record formats of the data folder, shared by writing and recovery.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <laburnumroute/log_store.h>

namespace laburnum::pvt {

constexpr const char* identityFile = "identity";
constexpr const char* voteFile = "vote";
constexpr const char* snapshotFile = "snapshot";
constexpr const char* foundingFile = "founding";
constexpr std::string_view segmentPrefix = "log-";
/// A segment that has reached this size in bytes is closed.
constexpr std::uint64_t segmentSizeLimit = std::uint64_t { 1 } << 20U;

/// `log-` and the sequence with eight digits.
std::string segmentName(std::uint64_t sequence);
/// The sequence in a segment's name; 0 for other names.
std::uint64_t segmentSequence(std::string_view name);

/// The content of the snapshot file.
struct StoredSnapshot {
    LogSnapshot snapshot;
    LogIndex base;
    Term baseTerm;
    /// Segments before this one are obsolete.
    std::uint64_t firstSequence = 1;
};

std::string encodeHosts(const std::vector<HostId>& hosts);
Expected<std::vector<HostId>> decodeHosts(std::string_view payload);
std::string encodeVote(const Vote& vote);
Expected<Vote> decodeVote(std::string_view payload);
std::string encodeSnapshot(const StoredSnapshot& stored);
Expected<StoredSnapshot> decodeSnapshot(std::string_view payload);
std::string encodeEntries(LogIndex first, const std::vector<LogEntry>& entries);
/// The entries of one record; their indices start at `first`.
struct StoredEntries {
    LogIndex first;
    std::vector<LogEntry> entries;
};
Expected<StoredEntries> decodeEntries(std::string_view payload);

} // namespace laburnum::pvt
