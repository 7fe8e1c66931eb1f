#include <algorithm>

#include <laburnumroute/log_store.h>

#include "log_store_pvt.h"
#include "record_file_pvt.h"

namespace laburnum {

using namespace pvt;

namespace {

    tl::unexpected<Error> corruptFile(const std::string& name, const std::string& what)
    {
        return fail(ErrorCode::Corrupt, "file '" + name + "' is corrupt at offset 0: " + what);
    }

    bool contains(const std::vector<std::string>& names, std::string_view name)
    {
        return std::find(names.begin(), names.end(), name) != names.end();
    }

    bool holdsState(const std::vector<std::string>& names)
    {
        return contains(names, snapshotFile)
            || std::any_of(names.begin(), names.end(),
                [](const std::string& name) { return segmentSequence(name) != 0; });
    }

} // namespace

Expected<LogStore> LogStore::open(
    Storage& storage, const MemberId& newMember, const std::vector<HostId>& foundingHosts)
{
    const auto names = storage.list();
    if (!names)
        return tl::unexpected<Error>(names.error());
    LogStore store(storage);
    if (contains(*names, foundingFile)) {
        if (auto read = store.readFoundingHosts(); !read)
            return tl::unexpected<Error>(read.error());
    }
    const Expected<void> opened = contains(*names, identityFile)
        ? store.recover(*names)
        : store.create(newMember, foundingHosts, *names);
    if (!opened)
        return tl::unexpected<Error>(opened.error());
    return store;
}

/// The identity is written last, so that a folder with an identity is complete.
Expected<void> LogStore::create(const MemberId& newMember, const std::vector<HostId>& foundingHosts,
    const std::vector<std::string>& names)
{
    if (holdsState(names))
        return corruptFile(identityFile, "it is missing, but the folder holds a log");
    if (!foundingHosts.empty()) {
        const std::string content
            = encodeFileHeader(FileKind::Founding, 0) + encodeRecord(encodeHosts(foundingHosts));
        if (auto saved = m_storage->replace(foundingFile, content); !saved)
            return saved;
        m_foundingHosts = foundingHosts;
    }
    if (auto saved = saveVote({}); !saved)
        return saved;
    m_member = newMember;
    return m_storage->replace(
        identityFile, encodeFileHeader(FileKind::Identity, 0) + encodeRecord(newMember.value()));
}

Expected<void> LogStore::recover(const std::vector<std::string>& names)
{
    const auto identity = m_storage->read(identityFile);
    if (!identity)
        return tl::unexpected<Error>(identity.error());
    const auto member = scanSingleRecord(identityFile, *identity, FileKind::Identity);
    if (!member)
        return tl::unexpected<Error>(member.error());
    m_member = MemberId(std::string(*member));

    if (!contains(names, voteFile))
        return corruptFile(voteFile, "it is missing");
    const auto voteContent = m_storage->read(voteFile);
    if (!voteContent)
        return tl::unexpected<Error>(voteContent.error());
    const auto votePayload = scanSingleRecord(voteFile, *voteContent, FileKind::Vote);
    if (!votePayload)
        return tl::unexpected<Error>(votePayload.error());
    const auto vote = decodeVote(*votePayload);
    if (!vote)
        return corruptFile(voteFile, vote.error().message);

    if (contains(names, snapshotFile)) {
        if (auto read = readSnapshot(); !read)
            return read;
    }
    if (auto read = readSegments(names); !read)
        return read;
    if (lastIndex() < m_snapshot.index)
        return corruptFile(snapshotFile, "the log ends before the snapshot");
    // Rewriting the vote makes the renames of an earlier process durable.
    return saveVote(*vote);
}

Expected<void> LogStore::readFoundingHosts()
{
    const auto content = m_storage->read(foundingFile);
    if (!content)
        return tl::unexpected<Error>(content.error());
    const auto payload = scanSingleRecord(foundingFile, *content, FileKind::Founding);
    if (!payload)
        return tl::unexpected<Error>(payload.error());
    auto hosts = decodeHosts(*payload);
    if (!hosts)
        return corruptFile(foundingFile, hosts.error().message);
    m_foundingHosts = std::move(*hosts);
    return {};
}

Expected<void> LogStore::readSnapshot()
{
    const auto content = m_storage->read(snapshotFile);
    if (!content)
        return tl::unexpected<Error>(content.error());
    const auto payload = scanSingleRecord(snapshotFile, *content, FileKind::Snapshot);
    if (!payload)
        return tl::unexpected<Error>(payload.error());
    auto stored = decodeSnapshot(*payload);
    if (!stored)
        return corruptFile(snapshotFile, stored.error().message);
    m_snapshot = std::move(stored->snapshot);
    m_baseIndex = stored->base;
    m_baseTerm = stored->baseTerm;
    m_firstSequence = stored->firstSequence;
    return {};
}

Expected<void> LogStore::readSegments(const std::vector<std::string>& names)
{
    std::vector<std::uint64_t> sequences;
    for (const auto& name : names) {
        const std::uint64_t sequence = segmentSequence(name);
        if (sequence >= m_firstSequence)
            sequences.push_back(sequence);
        else if (sequence != 0)
            if (auto removed = m_storage->remove(name); !removed)
                return removed;
    }
    for (std::size_t i = 0; i < sequences.size(); ++i) {
        if (sequences[i] != m_firstSequence + i)
            return corruptFile(segmentName(m_firstSequence + i), "it is missing");
        if (auto read = readSegment(sequences[i], i + 1 == sequences.size()); !read)
            return read;
    }
    return {};
}

Expected<void> LogStore::readSegment(std::uint64_t sequence, bool isLast)
{
    const std::string name = segmentName(sequence);
    const auto content = m_storage->read(name);
    if (!content)
        return tl::unexpected<Error>(content.error());
    const auto scan = scanRecords(name, *content, FileKind::Segment, sequence);
    if (!scan)
        return tl::unexpected<Error>(scan.error());
    if (scan->validSize != content->size() && !isLast)
        return fail(ErrorCode::Corrupt,
            "file '" + name + "' is corrupt at offset " + std::to_string(scan->validSize)
                + ": truncated, but a later segment exists");
    Segment segment { sequence, scan->validSize, LogIndex(0) };
    for (const std::string_view payload : scan->payloads)
        if (auto replayed = replay(name, payload, segment); !replayed)
            return replayed;
    if (scan->payloads.empty())
        return isLast ? m_storage->remove(name) : corruptFile(name, "it holds no entries");
    m_segments.push_back(segment);
    if (!isLast)
        return {};
    // Data that an earlier process wrote without a successful sync may be readable without being on
    // the disk; rewriting the file makes it durable.
    return m_storage->replace(name, content->substr(0, scan->validSize));
}

Expected<void> LogStore::replay(std::string_view name, std::string_view payload, Segment& segment)
{
    const auto stored = decodeEntries(payload);
    if (!stored)
        return corruptFile(std::string(name), stored.error().message);
    if (stored->first > next(lastIndex()))
        return corruptFile(std::string(name),
            "entry " + std::to_string(stored->first.value()) + " leaves a gap after entry "
                + std::to_string(lastIndex().value()));
    insertEntries(stored->first, stored->entries);
    segment.maxIndex
        = std::max(segment.maxIndex, LogIndex(stored->first.value() + stored->entries.size() - 1));
    return {};
}

} // namespace laburnum
