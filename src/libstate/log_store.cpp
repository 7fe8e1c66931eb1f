#include <laburnumroute/log_store.h>

#include <algorithm>

#include "log_store_pvt.h"
#include "record_file_pvt.h"

namespace laburnum {

using namespace pvt;

std::optional<Term> LogStore::termAt(LogIndex index) const
{
    if (index == m_baseIndex)
        return m_baseTerm;
    if (index == m_snapshot.index)
        return m_snapshot.term;
    if (index < m_baseIndex || index > lastIndex())
        return std::nullopt;
    return at(index).term;
}

const LogEntry& LogStore::at(LogIndex index) const
{
    return m_entries[index.value() - m_baseIndex.value() - 1];
}

/// Records a failure, after which the store refuses writes.
Expected<void> LogStore::noteFailure(Expected<void> result)
{
    if (!result)
        m_failure = result.error();
    return result;
}

Expected<void> LogStore::saveVote(const Vote& vote)
{
    if (m_failure)
        return tl::unexpected<Error>(*m_failure);
    const std::string content
        = encodeFileHeader(FileKind::Vote, 0) + encodeRecord(encodeVote(vote));
    if (auto saved = noteFailure(m_storage->replace(voteFile, content)); !saved)
        return saved;
    m_vote = vote;
    return {};
}

Expected<void> LogStore::append(LogIndex first, const std::vector<LogEntry>& entries)
{
    if (m_failure)
        return tl::unexpected<Error>(*m_failure);
    if (entries.empty() || first <= m_baseIndex || first > next(lastIndex()))
        return fail(ErrorCode::InvalidArgument, "append leaves a gap in the log");
    std::string bytes = encodeRecord(encodeEntries(first, entries));
    const bool isNew = m_segments.empty() || m_segments.back().size >= segmentSizeLimit;
    if (isNew) {
        const std::uint64_t sequence
            = m_segments.empty() ? m_firstSequence : m_segments.back().sequence + 1;
        m_segments.push_back({ sequence, 0, LogIndex(0) });
        bytes.insert(0, encodeFileHeader(FileKind::Segment, sequence));
    }
    Segment& segment = m_segments.back();
    const std::string name = segmentName(segment.sequence);
    if (auto written = noteFailure(m_storage->append(name, bytes)); !written)
        return written;
    if (auto synced = noteFailure(m_storage->sync(name)); !synced)
        return synced;
    segment.size += bytes.size();
    segment.maxIndex = std::max(segment.maxIndex, LogIndex(first.value() + entries.size() - 1));
    insertEntries(first, entries);
    return {};
}

/// Updates the entries in memory; skips entries at or before the base.
void LogStore::insertEntries(LogIndex first, const std::vector<LogEntry>& entries)
{
    while (!m_entries.empty() && lastIndex() >= first) {
        m_entryBytes -= m_entries.back().command.size();
        m_entries.pop_back();
    }
    std::uint64_t index = first.value();
    for (const LogEntry& entry : entries) {
        if (index++ <= m_baseIndex.value())
            continue;
        m_entryBytes += entry.command.size();
        m_entries.push_back(entry);
    }
}

Expected<void> LogStore::saveSnapshot(LogSnapshot snapshot, LogIndex base)
{
    if (m_failure)
        return tl::unexpected<Error>(*m_failure);
    const auto baseTerm = termAt(base);
    if (!baseTerm || base > snapshot.index || snapshot.index > lastIndex() || base < m_baseIndex)
        return fail(ErrorCode::InvalidArgument, "snapshot or base is outside the log");
    if (!m_segments.empty()) {
        const auto kept = std::find_if(m_segments.begin(), m_segments.end(),
            [&](const Segment& segment) { return segment.maxIndex > base; });
        m_firstSequence = kept == m_segments.end() ? m_segments.back().sequence : kept->sequence;
    }
    if (auto written = writeSnapshot(std::move(snapshot), base, *baseTerm); !written)
        return written;
    return removeOldSegments();
}

Expected<void> LogStore::installSnapshot(LogSnapshot snapshot)
{
    if (m_failure)
        return tl::unexpected<Error>(*m_failure);
    if (!m_segments.empty())
        m_firstSequence = m_segments.back().sequence + 1;
    const LogIndex base = snapshot.index;
    const Term baseTerm = snapshot.term;
    m_entries.clear();
    m_entryBytes = 0;
    if (auto written = writeSnapshot(std::move(snapshot), base, baseTerm); !written)
        return written;
    m_baseIndex = base;
    return removeOldSegments();
}

Expected<void> LogStore::writeSnapshot(LogSnapshot snapshot, LogIndex base, Term baseTerm)
{
    const StoredSnapshot stored { std::move(snapshot), base, baseTerm, m_firstSequence };
    const std::string content
        = encodeFileHeader(FileKind::Snapshot, 0) + encodeRecord(encodeSnapshot(stored));
    if (auto written = noteFailure(m_storage->replace(snapshotFile, content)); !written)
        return written;
    m_snapshot = stored.snapshot;
    compactTo(base, baseTerm);
    return {};
}

void LogStore::compactTo(LogIndex base, Term baseTerm)
{
    while (m_baseIndex < base && !m_entries.empty()) {
        m_entryBytes -= m_entries.front().command.size();
        m_entries.pop_front();
        m_baseIndex = next(m_baseIndex);
    }
    m_baseIndex = base;
    m_baseTerm = baseTerm;
}

Expected<void> LogStore::removeOldSegments()
{
    while (!m_segments.empty() && m_segments.front().sequence < m_firstSequence) {
        const std::string name = segmentName(m_segments.front().sequence);
        if (auto removed = noteFailure(m_storage->remove(name)); !removed)
            return removed;
        m_segments.pop_front();
    }
    return {};
}

} // namespace laburnum
