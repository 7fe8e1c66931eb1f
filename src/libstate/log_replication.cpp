// Replication: sending entries to followers, acknowledgement, commit, apply, local snapshots.

#include <algorithm>

#include "replicated_log_pvt.h"

namespace laburnum {

using namespace pvt;

namespace {

    constexpr std::size_t maxBatchEntries = 256;
    constexpr std::size_t maxBatchBytes = std::size_t { 1 } << 20U;
    constexpr unsigned maxInFlight = 8; // unacknowledged append requests per follower

    std::uint64_t toWire(TimePoint time)
    {
        return static_cast<std::uint64_t>(time.time_since_epoch().count());
    }

    TimePoint fromWire(std::uint64_t ticks)
    {
        return TimePoint(Duration(static_cast<Duration::rep>(ticks)));
    }

} // namespace

void ReplicatedLog::Impl::onAppendRequest(
    const AppendRequest& request, const HostId& from, TimePoint now, Outbox& out)
{
    AppendResponse response;
    response.sentAt = request.sentAt;
    if (followLeader(request.header, from, now, out)) {
        if (request.acknowledged > store.lastIndex()) {
            halt({ ErrorCode::Corrupt,
                     "entry " + std::to_string(request.acknowledged.value())
                         + " was acknowledged by this member and is missing: the data folder was "
                           "restored from an old copy; empty it to rejoin as a new member" },
                out);
            return;
        }
        const auto known = store.termAt(request.previous);
        const bool isBehindBase = request.previous < store.baseIndex();
        response.matched = isBehindBase || known == request.previousTerm;
        response.index = response.matched
            ? LogIndex(request.previous.value() + request.entries.size())
            : conflictHint(request.previous);
        if (response.matched && !storeEntries(request, out))
            return;
        if (response.matched)
            commitTo(std::min(request.commitIndex, response.index), now, out);
    }
    if (failure)
        return;
    response.header = header(request.header.sender);
    out.send(from, methodAppended, encode(response));
}

/// Writes the entries that are new or differ. Committed entries are never overwritten.
bool ReplicatedLog::Impl::storeEntries(const AppendRequest& request, Outbox& out)
{
    LogIndex index = next(request.previous);
    auto entry = request.entries.begin();
    while (entry != request.entries.end()
        && (index <= store.baseIndex() || store.termAt(index) == entry->term)) {
        index = next(index);
        ++entry;
    }
    if (entry == request.entries.end())
        return true;
    if (index <= commitIndex)
        return halt({ ErrorCode::Corrupt,
                        "entry " + std::to_string(index.value())
                            + " is committed here, but the leader holds a different one" },
            out);
    const std::vector<LogEntry> rest(entry, request.entries.end());
    if (!checkSaved(store.append(index, rest), out))
        return false;
    memberships.update(store, index);
    return true;
}

/// The index at which the leader should look for a match next: the end of this log, or the index
/// before the first entry of the conflicting term.
LogIndex ReplicatedLog::Impl::conflictHint(LogIndex previous) const
{
    if (previous > store.lastIndex())
        return store.lastIndex();
    const auto wrong = store.termAt(previous);
    LogIndex hint(previous.value() - 1);
    while (hint > commitIndex && store.termAt(hint) == wrong)
        hint = LogIndex(hint.value() - 1);
    return hint;
}

FollowerProgress* ReplicatedLog::Impl::recordContact(
    const LogHeader& from, std::uint64_t sentAt, TimePoint now)
{
    const auto found = m_followers.find(from.sender);
    if (role != LogRole::Leader || from.term != term() || found == m_followers.end())
        return nullptr;
    found->second.lastContact = now;
    found->second.lastConfirmed = std::max(found->second.lastConfirmed, fromWire(sentAt));
    return &found->second;
}

void ReplicatedLog::Impl::onAppendResponse(
    const AppendResponse& response, TimePoint now, Outbox& out)
{
    if (response.header.term > term()) {
        if (enterTerm(response.header.term, MemberId(), out))
            stepDown("higher-term", now, out);
        return;
    }
    FollowerProgress* progress = recordContact(response.header, response.sentAt, now);
    if (progress == nullptr || response.index > store.lastIndex())
        return;
    if (progress->inFlight > 0)
        --progress->inFlight;
    if (response.matched) {
        progress->matchIndex = std::max(progress->matchIndex, response.index);
        progress->nextIndex
            = std::max(progress->nextIndex, LogIndex(progress->matchIndex.value() + 1));
        advanceCommit(now, out);
    } else if (response.index.value() + 1 < progress->nextIndex.value()) {
        progress->nextIndex = LogIndex(std::max(response.index, progress->matchIndex).value() + 1);
        progress->inFlight = 0;
    }
    const Member* member = memberships.current().find(response.header.sender);
    if (member != nullptr && role == LogRole::Leader)
        sendTo(*member, false, now, out);
}

/// Writes the queued proposals, then sends them. False when the write failed.
bool ReplicatedLog::Impl::flushProposals(TimePoint now, Outbox& out)
{
    if (m_proposals.empty())
        return true;
    const LogIndex first = next(store.lastIndex());
    if (!checkSaved(store.append(first, m_proposals), out))
        return false;
    m_proposals.clear();
    memberships.update(store, first);
    trackFollowers(now);
    m_uncommittedBatches.push_back(store.lastIndex());
    broadcast(false, now, out);
    advanceCommit(now, out);
    return !failure;
}

void ReplicatedLog::Impl::broadcast(bool heartbeat, TimePoint now, Outbox& out)
{
    for (const Member& member : memberships.current().members())
        if (member.id != self())
            sendTo(member, heartbeat, now, out);
}

void ReplicatedLog::Impl::sendTo(const Member& member, bool heartbeat, TimePoint now, Outbox& out)
{
    const auto found = m_followers.find(member.id);
    if (found == m_followers.end())
        return;
    FollowerProgress& progress = found->second;
    const bool isOverdue = now - progress.lastSent >= options.timing.heartbeatInterval;
    if (heartbeat && isOverdue && progress.inFlight > 0) {
        progress.inFlight = 0;
        progress.nextIndex = next(progress.matchIndex);
    }
    // An unresponsive member gets empty probes; its entries are not resent until it answers.
    if (now - progress.lastContact > options.timing.electionTimeoutMin) {
        if (heartbeat)
            sendProbe(member, progress, now, out);
        return;
    }
    if (progress.snapshot || progress.nextIndex <= store.baseIndex()) {
        if (!progress.snapshot || isOverdue)
            sendChunk(member, progress, now, out);
        return;
    }
    bool hasSent = false;
    while (progress.inFlight < maxInFlight && sendEntries(member, progress, now, out))
        hasSent = true;
    if (heartbeat && !hasSent)
        out.send(member.host, methodAppend, encode(appendRequest(member, progress, now)));
}

/// Sends a request without entries to an unresponsive member; its response resumes replication.
void ReplicatedLog::Impl::sendProbe(
    const Member& member, FollowerProgress& progress, TimePoint now, Outbox& out)
{
    progress.inFlight = 0;
    progress.nextIndex = std::max(next(progress.matchIndex), next(store.baseIndex()));
    out.send(member.host, methodAppend, encode(appendRequest(member, progress, now)));
}

/// Sends the next batch of entries. False when there is none.
bool ReplicatedLog::Impl::sendEntries(
    const Member& member, FollowerProgress& progress, TimePoint now, Outbox& out)
{
    if (progress.nextIndex > store.lastIndex())
        return false;
    AppendRequest request = appendRequest(member, progress, now);
    std::size_t bytes = 0;
    while (progress.nextIndex <= store.lastIndex() && request.entries.size() < maxBatchEntries
        && bytes < maxBatchBytes) {
        request.entries.push_back(store.at(progress.nextIndex));
        bytes += request.entries.back().command.size();
        progress.nextIndex = next(progress.nextIndex);
    }
    ++progress.inFlight;
    progress.lastSent = now;
    out.send(member.host, methodAppend, encode(request));
    return true;
}

AppendRequest ReplicatedLog::Impl::appendRequest(
    const Member& member, const FollowerProgress& progress, TimePoint now) const
{
    AppendRequest request { header(member.id) };
    request.previous = LogIndex(progress.nextIndex.value() - 1);
    request.previousTerm = store.termAt(request.previous).value_or(Term(0));
    request.commitIndex = commitIndex;
    request.acknowledged = progress.matchIndex;
    request.sentAt = toWire(now);
    return request;
}

/// Commits up to the highest index that a quorum holds, if its entry is of the current term.
void ReplicatedLog::Impl::advanceCommit(TimePoint now, Outbox& out)
{
    std::vector<LogIndex> matches;
    for (const Member& member : memberships.current().members()) {
        if (!member.voter)
            continue;
        if (member.id == self())
            matches.push_back(store.lastIndex());
        else
            matches.push_back(m_followers[member.id].matchIndex);
    }
    if (matches.empty())
        return;
    std::sort(matches.begin(), matches.end(), std::greater<>());
    const LogIndex agreed = matches[memberships.current().quorum() - 1];
    if (agreed <= commitIndex || store.termAt(agreed) != term())
        return;
    commitTo(agreed, now, out);
    while (!m_uncommittedBatches.empty() && m_uncommittedBatches.front() <= commitIndex)
        m_uncommittedBatches.pop_front();
    if (!failure && role == LogRole::Leader)
        broadcast(true, now, out);
}

void ReplicatedLog::Impl::commitTo(LogIndex index, TimePoint now, Outbox& out)
{
    if (index <= commitIndex)
        return;
    commitIndex = std::min(index, store.lastIndex());
    applyCommitted(out);
    const bool isRemoved = role == LogRole::Leader && memberships.currentIndex() <= commitIndex
        && memberships.current().find(self()) == nullptr;
    if (isRemoved)
        stepDown("removed", now, out);
}

void ReplicatedLog::Impl::applyCommitted(Outbox& out)
{
    while (appliedIndex < commitIndex) {
        appliedIndex = next(appliedIndex);
        const LogEntry& entry = store.at(appliedIndex);
        if (entry.kind == EntryKind::Command)
            m_state.apply(appliedIndex, entry.command);
    }
    maybeSnapshot(out);
}

void ReplicatedLog::Impl::maybeSnapshot(Outbox& out)
{
    const std::uint64_t since = appliedIndex.value() - store.snapshot().index.value();
    if (since < options.snapshotEntries
        && (since == 0 || store.entryBytes() < options.snapshotBytes))
        return;
    LogIndex base = appliedIndex;
    std::uint64_t bytes = 0;
    while (
        base > store.baseIndex() && appliedIndex.value() - base.value() < options.trailingEntries) {
        bytes += store.at(base).command.size();
        if (bytes > options.snapshotBytes / 2)
            break;
        base = LogIndex(base.value() - 1);
    }
    LogSnapshot snapshot { appliedIndex, *store.termAt(appliedIndex), memberships.at(appliedIndex),
        m_state.snapshot() };
    if (!checkSaved(store.saveSnapshot(std::move(snapshot), base), out))
        return;
    logDecision("snapshot", out);
}

std::size_t ReplicatedLog::Impl::votersSince(
    TimePoint FollowerProgress::*instant, TimePoint since) const
{
    std::size_t count = 0;
    for (const Member& member : memberships.current().members()) {
        if (!member.voter)
            continue;
        const auto found = m_followers.find(member.id);
        const bool isSelf = member.id == self();
        if (isSelf || (found != m_followers.end() && found->second.*instant > since))
            ++count;
    }
    return count;
}

void ReplicatedLog::Impl::tickLeader(TimePoint now, Outbox& out)
{
    const TimePoint since = now - options.timing.electionTimeoutMax;
    if (m_electedAt < since
        && votersSince(&FollowerProgress::lastContact, since) < memberships.current().quorum()) {
        Json::Value facts(Json::objectValue);
        facts["heard_ms_ago"] = voterContactAges(now);
        stepDown("quorum-lost", now, out, std::move(facts));
        return;
    }
    if (!flushProposals(now, out))
        return;
    processJoins(now, out);
    if (failure || role != LogRole::Leader || now < m_nextHeartbeat)
        return;
    if (now - m_nextHeartbeat >= options.timing.heartbeatInterval) {
        Json::Value facts(Json::objectValue);
        facts["late_ms"] = Json::Int64(toMillis(now - m_nextHeartbeat));
        logDecision("heartbeat-late", out, std::move(facts));
    }
    m_nextHeartbeat = now + options.timing.heartbeatInterval;
    broadcast(true, now, out);
}

bool ReplicatedLog::Impl::holdsLease(TimePoint now) const
{
    const TimePoint since = now - options.timing.leaseDuration;
    return !failure && role == LogRole::Leader && store.termAt(commitIndex) == term()
        && votersSince(&FollowerProgress::lastConfirmed, since) >= memberships.current().quorum();
}

} // namespace laburnum
