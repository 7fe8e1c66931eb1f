/// The format that all files of a data folder share: a header, then checksummed records.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <laburnumroute/error.h>

namespace laburnum::pvt {

/// What a file holds; part of its header.
enum class FileKind : std::uint8_t { Identity = 1, Vote = 2, Snapshot = 3, Segment = 4 };

/// The only version that this program reads and writes.
constexpr std::uint8_t formatVersion = 1;
/// Bytes of a file header.
constexpr std::size_t fileHeaderSize = 24;
/// Records begin at multiples of this many bytes, so that a sector holds the length with its
/// checksum, or the trailer, whole or not at all.
constexpr std::size_t recordAlignment = 8;
/// Bytes of a record in front of its payload.
constexpr std::size_t recordHeaderSize = 16;

/// The header of a file. `sequence` tells a renamed segment from the right one.
std::string encodeFileHeader(FileKind kind, std::uint64_t sequence);
/// A record: length, checksum of the length, checksum of the payload, payload, zeros up to the
/// alignment, and a trailer that is not zero.
std::string encodeRecord(std::string_view payload);

/// What a scan found.
struct RecordScan {
    /// Payloads; views into the scanned content.
    std::vector<std::string_view> payloads;
    /// Bytes up to the end of the last whole record. Less than the content when the tail is torn.
    std::size_t wholeSize = 0;
};

/// Reads all records. An append that did not end leaves a torn tail, which the scan leaves out:
/// a record cut short, or one of which some sector was never written and reads as zeros. Anything
/// else that is wrong is Corrupt, naming `name` and the offset.
Expected<RecordScan> scanRecords(
    std::string_view name, std::string_view content, FileKind kind, std::uint64_t sequence);

/// The one record of a file that is only ever replaced as a whole; there a torn tail is Corrupt.
Expected<std::string_view> scanSingleRecord(
    std::string_view name, std::string_view content, FileKind kind);

} // namespace laburnum::pvt
