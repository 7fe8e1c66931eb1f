#include "record_file_pvt.h"

#include <algorithm>

#include <xxhash.h>

#include "byte_codec_pvt.h"

namespace laburnum::pvt {

namespace {

    constexpr std::string_view magic = "LBRN";
    constexpr std::string_view trailer = "LBRN-END";
    constexpr std::size_t sectorSize = 512; // bytes that a disk writes atomically
    constexpr XXH32_hash_t checksumSeed32 = 0x6c627231;
    constexpr XXH64_hash_t checksumSeed64 = 0x6c627231;

    std::uint32_t checksum32(std::string_view bytes)
    {
        return XXH32(bytes.data(), bytes.size(), checksumSeed32);
    }

    std::uint64_t checksum64(std::string_view bytes)
    {
        return XXH64(bytes.data(), bytes.size(), checksumSeed64);
    }

    tl::unexpected<Error> corrupt(std::string_view name, std::size_t offset, const char* what)
    {
        return fail(ErrorCode::Corrupt,
            "file '" + std::string(name) + "' is corrupt at offset " + std::to_string(offset) + ": "
                + what);
    }

    bool allZero(std::string_view bytes)
    {
        return std::all_of(bytes.begin(), bytes.end(), [](char c) { return c == 0; });
    }

    /// True when `record` includes part of a sector that was never written. `record` starts at
    /// `offset` in its file.
    bool hasUnwrittenSector(std::string_view record, std::size_t offset)
    {
        while (!record.empty()) {
            const std::size_t part = std::min(sectorSize - offset % sectorSize, record.size());
            if (allZero(record.substr(0, part)))
                return true;
            record.remove_prefix(part);
            offset += part;
        }
        return false;
    }

    std::size_t paddingOf(std::size_t payloadSize)
    {
        return (recordAlignment - payloadSize % recordAlignment) % recordAlignment;
    }

    bool isValidRecord(std::string_view record, std::uint64_t checksum, std::size_t payloadSize)
    {
        const std::string_view payload = record.substr(recordHeaderSize, payloadSize);
        const std::string_view rest = record.substr(recordHeaderSize + payloadSize);
        return checksum64(payload) == checksum && allZero(rest.substr(0, paddingOf(payloadSize)))
            && rest.ends_with(trailer);
    }

    Expected<void> checkHeader(
        std::string_view name, std::string_view content, FileKind kind, std::uint64_t sequence)
    {
        ByteReader reader(content.substr(0, fileHeaderSize));
        const bool isMagic = reader.raw(magic.size()) == magic;
        const auto foundKind = reader.u8();
        const auto version = reader.u8();
        reader.raw(2);
        const auto foundSequence = reader.u64();
        reader.raw(sizeof(std::uint32_t));
        if (reader.u32() != checksum32(content.substr(0, fileHeaderSize - sizeof(std::uint32_t)))
            || !isMagic)
            return corrupt(name, 0, "bad file header");
        if (version != formatVersion)
            return corrupt(name, 0, "unknown format version");
        if (foundKind != static_cast<std::uint8_t>(kind) || foundSequence != sequence)
            return corrupt(name, 0, "header belongs to another file");
        return {};
    }

} // namespace

std::string encodeFileHeader(FileKind kind, std::uint64_t sequence)
{
    ByteWriter writer;
    writer.raw(magic);
    writer.u8(static_cast<std::uint8_t>(kind));
    writer.u8(formatVersion);
    writer.u8(0);
    writer.u8(0);
    writer.u64(sequence);
    writer.u32(0);
    std::string header = writer.take();
    ByteWriter checksum;
    checksum.u32(checksum32(header));
    return header + checksum.take();
}

std::string encodeRecord(std::string_view payload)
{
    ByteWriter length;
    length.u32(static_cast<std::uint32_t>(payload.size()));
    const std::string lengthBytes = length.take();
    ByteWriter record;
    record.raw(lengthBytes);
    record.u32(checksum32(lengthBytes));
    record.u64(checksum64(payload));
    record.raw(payload);
    record.raw(std::string(paddingOf(payload.size()), '\0'));
    record.raw(trailer);
    return record.take();
}

Expected<RecordScan> scanRecords(
    std::string_view name, std::string_view content, FileKind kind, std::uint64_t sequence)
{
    RecordScan scan;
    if (content.size() < fileHeaderSize || allZero(content.substr(0, fileHeaderSize)))
        return scan;
    if (auto header = checkHeader(name, content, kind, sequence); !header)
        return tl::unexpected<Error>(header.error());
    std::size_t at = fileHeaderSize;
    scan.validSize = at;
    while (content.size() - at >= recordHeaderSize) {
        ByteReader reader(content.substr(at, recordHeaderSize));
        const std::uint32_t size = reader.u32();
        const std::uint32_t lengthChecksum = reader.u32();
        const std::uint64_t checksum = reader.u64();
        if (size == 0 && lengthChecksum == 0)
            break;
        if (lengthChecksum != checksum32(content.substr(at, sizeof size)))
            return corrupt(name, at, "bad record length");
        const std::size_t total = recordHeaderSize + size + paddingOf(size) + trailer.size();
        if (content.size() - at < total)
            break;
        const std::string_view record = content.substr(at, total);
        if (!isValidRecord(record, checksum, size)) {
            if (at + total == content.size() && hasUnwrittenSector(record, at))
                break;
            return corrupt(name, at, "bad record checksum");
        }
        scan.payloads.push_back(record.substr(recordHeaderSize, size));
        at += total;
        scan.validSize = at;
    }
    return scan;
}

Expected<std::string_view> scanSingleRecord(
    std::string_view name, std::string_view content, FileKind kind)
{
    const auto scan = scanRecords(name, content, kind, 0);
    if (!scan)
        return tl::unexpected<Error>(scan.error());
    if (scan->payloads.size() != 1 || scan->validSize != content.size())
        return corrupt(name, scan->validSize, "truncated, or followed by trailing data");
    return scan->payloads.front();
}

} // namespace laburnum::pvt
