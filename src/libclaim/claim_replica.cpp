// Granting and ending claims; see claim_replica.h. Recovery is in claim_replica_recovery.cpp.

#include <laburnumroute/claim_replica.h>

#include <algorithm>

#include "claim_journal_pvt.h"
#include "claim_messages_pvt.h"

namespace laburnum {

using namespace pvt;

namespace {

    constexpr auto sweepInterval = std::chrono::seconds(1);

    /// Reply to a request whose key already has the claim `held`.
    ClaimReply replyFor(const ClaimRequest& request, const ClaimRecord& held, TimePoint now)
    {
        ClaimReply reply { request.claim };
        if (held.fingerprint != request.spec.fingerprint)
            reply.verdict = ClaimVerdict::Mismatch;
        else if (!held.outcome)
            reply.verdict = held.expires > now ? ClaimVerdict::InProgress : ClaimVerdict::Unknown;
        else if (*held.outcome == ClaimOutcome::Unknown)
            reply.verdict = ClaimVerdict::Unknown;
        else
            reply.verdict = held.response ? ClaimVerdict::Replay : ClaimVerdict::ResponseNotStored;
        if (reply.verdict == ClaimVerdict::Replay)
            reply.response = held.response;
        return reply;
    }

} // namespace

std::vector<std::string> ClaimReplica::methods() const
{
    return { methodRequest, methodEnd, methodFetch, methodFetched };
}

void ClaimReplica::receive(const PeerMessage& message, TimePoint now, Outbox& out)
{
    if (m_storageFailed)
        return;
    if (message.method == methodRequest)
        onRequest(message, now);
    else if (message.method == methodEnd)
        onEnd(message, now);
    else if (message.method == methodFetch)
        onFetch(message, now, out);
    else if (message.method == methodFetched)
        onFetched(message, now, out);
}

void ClaimReplica::tick(TimePoint now, Outbox& out)
{
    if (m_storageFailed)
        return;
    syncJournal();
    if (m_storageFailed) {
        m_repliesAfterSync.clear();
        out.log({ "claim", "storage-failed" });
        return;
    }
    for (auto& message : m_repliesAfterSync)
        out.send(message.to, message.method, std::move(message.params));
    m_repliesAfterSync.clear();
    updateReady(now);
    if (!m_ready)
        fetch(now, out);
    if (now < m_nextSweep)
        return;
    m_nextSweep = now + sweepInterval;
    forgetExpired(now);
    rewriteJournal(now);
}

void ClaimReplica::onRequest(const PeerMessage& message, TimePoint now)
{
    const auto request = decodeRequest(message.params);
    if (!request)
        return;
    const auto held = m_claims.find(request->spec.key);
    if (held == m_claims.end() || request->epoch != m_placement.epoch())
        return grantNew(message, *request, now);
    if (held->second.id == request->claim && !held->second.outcome)
        return m_repliesAfterSync.push_back({ m_self, message.from, methodReply,
            encode(ClaimReply { request->claim, ClaimVerdict::Run, {} }) });
    replyHeld(message, *request, held->second, now);
}

void ClaimReplica::grantNew(const PeerMessage& message, const ClaimRequest& request, TimePoint now)
{
    ClaimReply reply { request.claim };
    const bool allowed = request.epoch == m_placement.epoch() && mayGrant(request.spec.key)
        && !m_released.contains(request.claim) && m_claims.size() < m_limits.maxClaims;
    if (allowed) {
        reply.verdict = ClaimVerdict::Run;
        store(request.spec.key,
            { request.claim, request.spec.fingerprint, std::nullopt, std::nullopt,
                now + request.spec.deadline },
            now);
    }
    m_repliesAfterSync.push_back({ m_self, message.from, methodReply, encode(reply) });
}

void ClaimReplica::replyHeld(
    const PeerMessage& message, const ClaimRequest& request, const ClaimRecord& held, TimePoint now)
{
    m_repliesAfterSync.push_back(
        { m_self, message.from, methodReply, encode(replyFor(request, held, now)) });
}

void ClaimReplica::onEnd(const PeerMessage& message, TimePoint now)
{
    const auto notice = decodeEnd(message.params);
    if (!notice)
        return;
    applyEnd(*notice, now);
    m_repliesAfterSync.push_back(
        { m_self, message.from, methodConfirm, encodeConfirm(notice->claim) });
}

void ClaimReplica::applyEnd(const ClaimEndNotice& notice, TimePoint now)
{
    const auto held = m_claims.find(notice.key);
    const bool isHeld = held != m_claims.end() && held->second.id == notice.claim;
    if (notice.outcome == ClaimOutcome::NotRun) {
        m_released[notice.claim] = now + ClaimCoordinator::endTimeout;
        if (isHeld && !held->second.outcome)
            remove(notice.key);
        return;
    }
    // An outcome other than NotRun comes from a claim granted by a majority. It replaces any other
    // claim on the key that was granted by this host but not by a majority.
    const bool ended = held != m_claims.end() && held->second.outcome.has_value();
    const bool learnsMore = isHeld && ended && *held->second.outcome == ClaimOutcome::Unknown;
    if (ended && !learnsMore)
        return;
    store(notice.key,
        { notice.claim, notice.fingerprint, notice.outcome, notice.response,
            now + m_limits.retention },
        now);
}

void ClaimReplica::insert(const ClaimKey& key, ClaimRecord record)
{
    erase(key);
    if (record.response) {
        m_responseBytes += record.response->body.size();
        m_responseOrder.push_back(key);
    }
    m_claims[key] = std::move(record);
}

void ClaimReplica::erase(const ClaimKey& key)
{
    const auto held = m_claims.find(key);
    if (held == m_claims.end())
        return;
    if (held->second.response)
        m_responseBytes -= held->second.response->body.size();
    m_claims.erase(held);
}

void ClaimReplica::store(const ClaimKey& key, ClaimRecord record, TimePoint now)
{
    appendJournal(encodeRecord(key, record, now));
    insert(key, std::move(record));
    dropOldResponses(now);
}

void ClaimReplica::remove(const ClaimKey& key)
{
    if (!m_claims.contains(key))
        return;
    erase(key);
    Json::Value entry = encodeKey(key);
    entry["drop"] = true;
    appendJournal(entry);
}

void ClaimReplica::forgetExpired(TimePoint now)
{
    std::vector<ClaimKey> expired;
    for (auto& [key, record] : m_claims) {
        if (record.expires > now)
            continue;
        // A claim whose outcome was never reported is kept as Unknown for the full retention time.
        if (!record.outcome) {
            record.outcome = ClaimOutcome::Unknown;
            record.expires = now + m_limits.retention;
            appendJournal(encodeRecord(key, record, now));
        } else {
            expired.push_back(key);
        }
    }
    for (const auto& key : expired)
        remove(key);
    std::erase_if(m_released, [&](const auto& released) { return released.second <= now; });
}

void ClaimReplica::dropOldResponses(TimePoint now)
{
    while (m_responseBytes > m_limits.maxResponseBytes && !m_responseOrder.empty()) {
        const ClaimKey key = std::move(m_responseOrder.front());
        m_responseOrder.pop_front();
        const auto held = m_claims.find(key);
        if (held == m_claims.end() || !held->second.response)
            continue;
        m_responseBytes -= held->second.response->body.size();
        held->second.response.reset();
        appendJournal(encodeRecord(key, held->second, now));
    }
}

void ClaimReplica::appendJournal(const Json::Value& entry) { m_unwritten += journalLine(entry); }

void ClaimReplica::syncJournal()
{
    if (m_unwritten.empty())
        return;
    const bool written = m_storage.append(journalFile, m_unwritten).has_value();
    m_storageFailed = !written || !m_storage.sync(journalFile).has_value();
    m_journalBytes += m_unwritten.size();
    m_unwritten.clear();
}

} // namespace laburnum
