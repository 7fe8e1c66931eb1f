/// The common format of all files in a data folder: a header, then checksummed records.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <laburnumroute/error.h>

namespace laburnum::pvt {

/// The kind of content of a file; part of its header.
enum class FileKind : std::uint8_t {
    Identity = 1,
    Vote = 2,
    Snapshot = 3,
    Segment = 4,
    Founding = 5
};

/// The only version that this program reads and writes.
constexpr std::uint8_t formatVersion = 1;
/// Size of a file header, in bytes.
constexpr std::size_t fileHeaderSize = 24;
/// Records start at multiples of this many bytes, so that the length with its checksum, and the
/// trailer, are each in a single sector and are written completely or not at all.
constexpr std::size_t recordAlignment = 8;
/// Size of a record before its payload, in bytes.
constexpr std::size_t recordHeaderSize = 16;

/// Encodes a file header. `sequence` detects a segment stored under the wrong name.
std::string encodeFileHeader(FileKind kind, std::uint64_t sequence);
/// Encodes a record: length, checksum of the length, checksum of the payload, payload, zero padding
/// up to the alignment, and a nonzero trailer.
std::string encodeRecord(std::string_view payload);

/// The result of scanning a file.
struct RecordScan {
    /// Payloads; views into the scanned content.
    std::vector<std::string_view> payloads;
    /// Size up to the end of the last complete record. Less than the content when the tail is torn.
    std::size_t validSize = 0;
};

/// Reads all records. An interrupted append leaves a torn tail, which is skipped: a truncated
/// record, or one with a sector that was never written and reads as zeros. Any other damage is
/// Corrupt, and the message contains `name` and the offset.
Expected<RecordScan> scanRecords(
    std::string_view name, std::string_view content, FileKind kind, std::uint64_t sequence);

/// Reads the single record of a file that is only replaced as a whole. A torn tail is Corrupt here.
Expected<std::string_view> scanSingleRecord(
    std::string_view name, std::string_view content, FileKind kind);

} // namespace laburnum::pvt
