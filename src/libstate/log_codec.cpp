#include "log_store_pvt.h"

#include <algorithm>
#include <charconv>

#include "byte_codec_pvt.h"

namespace laburnum::pvt {

namespace {

    constexpr std::size_t sequenceDigits = 8;

    tl::unexpected<Error> corruptRecord(const char* what)
    {
        return fail(ErrorCode::Corrupt, std::string("unreadable ") + what);
    }

} // namespace

std::string segmentName(std::uint64_t sequence)
{
    std::string digits = std::to_string(sequence);
    digits.insert(0, sequenceDigits - std::min(sequenceDigits, digits.size()), '0');
    return std::string(segmentPrefix) + digits;
}

std::uint64_t segmentSequence(std::string_view name)
{
    if (!name.starts_with(segmentPrefix))
        return 0;
    const std::string_view digits = name.substr(segmentPrefix.size());
    std::uint64_t sequence = 0;
    const auto result = std::from_chars(digits.data(), digits.data() + digits.size(), sequence);
    const bool isValidRecord
        = result.ec == std::errc() && result.ptr == digits.data() + digits.size();
    return isValidRecord && segmentName(sequence) == name ? sequence : 0;
}

std::string encodeVote(const Vote& vote)
{
    ByteWriter writer;
    writer.u64(vote.term.value());
    writer.text(vote.votedFor.value());
    return writer.take();
}

Expected<Vote> decodeVote(std::string_view payload)
{
    ByteReader reader(payload);
    const Term term(reader.u64());
    const MemberId votedFor(reader.text());
    if (!reader.finished())
        return corruptRecord("vote");
    return Vote { term, votedFor };
}

std::string encodeHosts(const std::vector<HostId>& hosts)
{
    ByteWriter writer;
    for (const HostId& host : hosts)
        writer.text(host.value());
    return writer.take();
}

Expected<std::vector<HostId>> decodeHosts(std::string_view payload)
{
    ByteReader reader(payload);
    std::vector<HostId> hosts;
    while (!reader.failed() && !reader.finished())
        hosts.emplace_back(reader.text());
    if (reader.failed())
        return corruptRecord("list of hosts");
    return hosts;
}

std::string encodeSnapshot(const StoredSnapshot& stored)
{
    ByteWriter writer;
    writer.u64(stored.snapshot.index.value());
    writer.u64(stored.snapshot.term.value());
    writer.text(encodeMembership(stored.snapshot.membership));
    writer.u64(stored.base.value());
    writer.u64(stored.baseTerm.value());
    writer.u64(stored.firstSequence);
    writer.text(stored.snapshot.state);
    return writer.take();
}

Expected<StoredSnapshot> decodeSnapshot(std::string_view payload)
{
    ByteReader reader(payload);
    StoredSnapshot stored;
    stored.snapshot.index = LogIndex(reader.u64());
    stored.snapshot.term = Term(reader.u64());
    const auto membership = decodeMembership(reader.text());
    stored.base = LogIndex(reader.u64());
    stored.baseTerm = Term(reader.u64());
    stored.firstSequence = reader.u64();
    stored.snapshot.state = reader.text();
    if (!reader.finished() || !membership || stored.base > stored.snapshot.index)
        return corruptRecord("snapshot");
    stored.snapshot.membership = *membership;
    return stored;
}

std::string encodeEntries(LogIndex first, const std::vector<LogEntry>& entries)
{
    ByteWriter writer;
    writer.u64(first.value());
    writer.u32(static_cast<std::uint32_t>(entries.size()));
    for (const LogEntry& entry : entries) {
        writer.u64(entry.term.value());
        writer.u8(static_cast<std::uint8_t>(entry.kind));
        writer.text(entry.command);
    }
    return writer.take();
}

Expected<StoredEntries> decodeEntries(std::string_view payload)
{
    ByteReader reader(payload);
    StoredEntries stored;
    stored.first = LogIndex(reader.u64());
    const std::uint32_t count = reader.u32();
    for (std::uint32_t i = 0; i < count && !reader.failed(); ++i) {
        LogEntry entry;
        entry.term = Term(reader.u64());
        const std::uint8_t kind = reader.u8();
        if (kind > static_cast<std::uint8_t>(EntryKind::Membership))
            return corruptRecord("kind of entry");
        entry.kind = static_cast<EntryKind>(kind);
        entry.command = reader.text();
        stored.entries.push_back(std::move(entry));
    }
    if (!reader.finished() || stored.first.value() == 0)
        return corruptRecord("entries");
    return stored;
}

} // namespace laburnum::pvt
