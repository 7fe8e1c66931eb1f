// Granting and ending claims; see claim_replica.h. Recovery is in claim_replica_recovery.cpp.

#include <laburnumroute/claim_replica.h>

#include <algorithm>

#include "claim_journal_pvt.h"
#include "claim_messages_pvt.h"

namespace laburnum {

using namespace pvt;

namespace {

    constexpr auto sweepInterval = std::chrono::seconds(1);

    /// What a claim that is held means for another request with its key.
    ClaimReply replyFor(const ClaimRequest& request, const ClaimRecord& held, TimePoint now)
    {
        ClaimReply reply { request.claim };
        if (held.fingerprint != request.demand.fingerprint)
            reply.verdict = ClaimVerdict::Mismatch;
        else if (!held.end)
            reply.verdict = held.expires > now ? ClaimVerdict::InProgress : ClaimVerdict::Unknown;
        else if (*held.end == ClaimOutcome::Unknown)
            reply.verdict = ClaimVerdict::Unknown;
        else
            reply.verdict = held.answer ? ClaimVerdict::Replay : ClaimVerdict::ResponseNotStored;
        if (reply.verdict == ClaimVerdict::Replay)
            reply.answer = held.answer;
        return reply;
    }

} // namespace

std::vector<std::string> ClaimReplica::methods() const
{
    return { methodRequest, methodEnd, methodFetch, methodFetched };
}

void ClaimReplica::receive(const PeerMessage& message, TimePoint now, Outbox& out)
{
    if (m_broken)
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
    if (m_broken)
        return;
    syncJournal();
    if (m_broken) {
        m_afterSync.clear();
        out.log({ "claim", "storage-failed" });
        return;
    }
    for (auto& message : m_afterSync)
        out.send(message.to, message.method, std::move(message.params));
    m_afterSync.clear();
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
    const auto held = m_claims.find(request->demand.key);
    if (held == m_claims.end() || request->epoch != m_placement.epoch())
        return grantNew(message, *request, now);
    if (held->second.id == request->claim && !held->second.end)
        return m_afterSync.push_back({ m_self, message.from, methodReply,
            encode(ClaimReply { request->claim, ClaimVerdict::Run, {} }) });
    replyHeld(message, *request, held->second, now);
}

void ClaimReplica::grantNew(const PeerMessage& message, const ClaimRequest& request, TimePoint now)
{
    ClaimReply reply { request.claim };
    const bool allowed = request.epoch == m_placement.epoch() && mayGrant(request.demand.key)
        && !m_released.contains(request.claim) && m_claims.size() < m_limits.maxClaims;
    if (allowed) {
        reply.verdict = ClaimVerdict::Run;
        put(request.demand.key,
            { request.claim, request.demand.fingerprint, std::nullopt, std::nullopt,
                now + request.demand.deadline },
            now);
    }
    m_afterSync.push_back({ m_self, message.from, methodReply, encode(reply) });
}

void ClaimReplica::replyHeld(
    const PeerMessage& message, const ClaimRequest& request, const ClaimRecord& held, TimePoint now)
{
    m_afterSync.push_back(
        { m_self, message.from, methodReply, encode(replyFor(request, held, now)) });
}

void ClaimReplica::onEnd(const PeerMessage& message, TimePoint now)
{
    const auto notice = decodeEnd(message.params);
    if (!notice)
        return;
    applyEnd(*notice, now);
    m_afterSync.push_back({ m_self, message.from, methodConfirm, encodeConfirm(notice->claim) });
}

void ClaimReplica::applyEnd(const ClaimEndNotice& notice, TimePoint now)
{
    const auto held = m_claims.find(notice.key);
    const bool isHeld = held != m_claims.end() && held->second.id == notice.claim;
    if (notice.end == ClaimOutcome::NotRun) {
        m_released[notice.claim] = now + ClaimCoordinator::endTimeout;
        if (isHeld && !held->second.end)
            drop(notice.key);
        return;
    }
    // An end other than NotRun comes from a holder with a majority, so it goes before any other
    // claim that this host may hold for the key without one.
    const bool ended = held != m_claims.end() && held->second.end.has_value();
    const bool learnsMore = isHeld && ended && *held->second.end == ClaimOutcome::Unknown;
    if (ended && !learnsMore)
        return;
    put(notice.key,
        { notice.claim, notice.fingerprint, notice.end, notice.answer, now + m_limits.retention },
        now);
}

void ClaimReplica::insert(const ClaimKey& key, ClaimRecord record)
{
    erase(key);
    if (record.answer) {
        m_answerBytes += record.answer->body.size();
        m_answerOrder.push_back(key);
    }
    m_claims[key] = std::move(record);
}

void ClaimReplica::erase(const ClaimKey& key)
{
    const auto held = m_claims.find(key);
    if (held == m_claims.end())
        return;
    if (held->second.answer)
        m_answerBytes -= held->second.answer->body.size();
    m_claims.erase(held);
}

void ClaimReplica::put(const ClaimKey& key, ClaimRecord record, TimePoint now)
{
    journal(encodeRecord(key, record, now));
    insert(key, std::move(record));
    dropOldAnswers(now);
}

void ClaimReplica::drop(const ClaimKey& key)
{
    if (!m_claims.contains(key))
        return;
    erase(key);
    Json::Value entry = encodeKey(key);
    entry["drop"] = true;
    journal(entry);
}

void ClaimReplica::forgetExpired(TimePoint now)
{
    std::vector<ClaimKey> expired;
    for (auto& [key, record] : m_claims) {
        if (record.expires > now)
            continue;
        // A claim whose holder never told its end is kept as unknown for the whole retention time.
        if (!record.end) {
            record.end = ClaimOutcome::Unknown;
            record.expires = now + m_limits.retention;
            journal(encodeRecord(key, record, now));
        } else {
            expired.push_back(key);
        }
    }
    for (const auto& key : expired)
        drop(key);
    std::erase_if(m_released, [&](const auto& released) { return released.second <= now; });
}

void ClaimReplica::dropOldAnswers(TimePoint now)
{
    while (m_answerBytes > m_limits.maxAnswerBytes && !m_answerOrder.empty()) {
        const ClaimKey key = std::move(m_answerOrder.front());
        m_answerOrder.pop_front();
        const auto held = m_claims.find(key);
        if (held == m_claims.end() || !held->second.answer)
            continue;
        m_answerBytes -= held->second.answer->body.size();
        held->second.answer.reset();
        journal(encodeRecord(key, held->second, now));
    }
}

void ClaimReplica::journal(const Json::Value& entry) { m_unwritten += journalLine(entry); }

void ClaimReplica::syncJournal()
{
    if (m_unwritten.empty())
        return;
    const bool written = m_storage.append(journalName, m_unwritten).has_value();
    m_broken = !written || !m_storage.sync(journalName).has_value();
    m_journalBytes += m_unwritten.size();
    m_unwritten.clear();
}

} // namespace laburnum
