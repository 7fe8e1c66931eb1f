// Snapshot transfer: a follower that needs compacted entries gets the snapshot in chunks.

#include <algorithm>

#include "replicated_log_pvt.h"

namespace laburnum {

using namespace pvt;

namespace {

    constexpr std::size_t chunkSize = std::size_t { 64 } << 10U;

} // namespace

void ReplicatedLog::Impl::sendChunk(
    const Member& member, FollowerProgress& progress, TimePoint now, Outbox& out)
{
    if (!progress.snapshot) {
        progress.snapshot = std::make_shared<const LogSnapshot>(store.snapshot());
        progress.offset = 0;
    }
    const LogSnapshot& snapshot = *progress.snapshot;
    ChunkRequest request { header(member.id), snapshot.index, snapshot.term, snapshot.membership };
    request.offset = progress.offset;
    request.total = snapshot.state.size();
    request.bytes = snapshot.state.substr(progress.offset, chunkSize);
    request.sentAt = static_cast<std::uint64_t>(now.time_since_epoch().count());
    progress.lastSent = now;
    out.send(member.host, methodChunk, encode(request));
}

void ReplicatedLog::Impl::onChunkRequest(
    const ChunkRequest& request, const HostId& from, TimePoint now, Outbox& out)
{
    ChunkResponse response;
    response.index = request.index;
    response.sentAt = request.sentAt;
    if (followLeader(request.header, from, now, out)) {
        response.offset = request.index <= commitIndex ? request.total : takeChunk(request);
        if (request.index > commitIndex && response.offset >= request.total
            && !install(request, out))
            return;
    }
    if (failure)
        return;
    response.header = header(request.header.sender);
    out.send(from, methodChunked, encode(response));
}

/// Appends the chunk if it is the next one. Returns the next expected offset.
std::uint64_t ReplicatedLog::Impl::takeChunk(const ChunkRequest& request)
{
    const bool isSame = m_incoming && m_incoming->index == request.index
        && m_incoming->lastTerm == request.lastTerm;
    if (!isSame)
        m_incoming = IncomingSnapshot { request.index, request.lastTerm, {} };
    if (m_incoming->bytes.size() == request.offset)
        m_incoming->bytes += request.bytes;
    return m_incoming->bytes.size();
}

bool ReplicatedLog::Impl::install(const ChunkRequest& request, Outbox& out)
{
    LogSnapshot snapshot { request.index, request.lastTerm, request.membership,
        std::move(m_incoming->bytes) };
    m_incoming.reset();
    if (auto restored = m_state.restore(snapshot.state); !restored)
        return halt(restored.error(), out);
    const bool fits
        = store.termAt(request.index) == request.lastTerm && request.index <= store.lastIndex();
    if (!checkSaved(fits ? store.saveSnapshot(std::move(snapshot), request.index)
                         : store.installSnapshot(std::move(snapshot)),
            out))
        return false;
    memberships.reset(store);
    commitIndex = request.index;
    appliedIndex = request.index;
    logDecision("snapshot-installed", out);
    return true;
}

void ReplicatedLog::Impl::onChunkResponse(const ChunkResponse& response, TimePoint now, Outbox& out)
{
    if (response.header.term > term()) {
        if (enterTerm(response.header.term, MemberId(), out))
            stepDown("higher-term", now, out);
        return;
    }
    FollowerProgress* progress = recordContact(response.header, response.sentAt, now);
    if (progress == nullptr || !progress->snapshot || progress->snapshot->index != response.index)
        return;
    const Member* member = memberships.current().find(response.header.sender);
    if (member == nullptr)
        return;
    if (response.offset >= progress->snapshot->state.size()) {
        progress->matchIndex = std::max(progress->matchIndex, response.index);
        progress->nextIndex = next(progress->matchIndex);
        progress->snapshot.reset();
        progress->inFlight = 0;
        sendTo(*member, true, now, out);
    } else if (response.offset != progress->offset) {
        progress->offset = response.offset;
        sendChunk(*member, *progress, now, out);
    }
}

} // namespace laburnum
