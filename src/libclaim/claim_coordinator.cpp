#include <laburnumroute/claim_coordinator.h>

#include "claim_messages_pvt.h"

namespace laburnum {

using namespace pvt;

ClaimCoordinator::ClaimCoordinator(HostId self, ClaimPlacement placement, std::string nonce)
    : m_self(std::move(self))
    , m_placement(std::move(placement))
    , m_nonce(std::move(nonce))
{
}

std::vector<std::string> ClaimCoordinator::methods() const
{
    return { methodReply, methodConfirm };
}

void ClaimCoordinator::begin(const ClaimSpec& spec, Callback callback, TimePoint now, Outbox& out)
{
    const ClaimId claim(m_self.value() + '/' + m_nonce + '/' + std::to_string(++m_lastClaim));
    PendingClaim pendingClaim;
    pendingClaim.spec = spec;
    pendingClaim.replicas = m_placement.replicasOf(spec.key);
    pendingClaim.callback = std::move(callback);
    pendingClaim.giveUpTime = now + std::min<Duration>(requestTimeout, spec.deadline);
    const auto position = m_pendingClaims.emplace(claim, std::move(pendingClaim)).first;
    sendRequests(claim, position->second, now, out);
}

void ClaimCoordinator::sendRequests(
    const ClaimId& claim, PendingClaim& pendingClaim, TimePoint now, Outbox& out)
{
    pendingClaim.nextSend = now + resendInterval;
    const Json::Value request
        = encode(ClaimRequest { pendingClaim.spec, claim, m_placement.epoch() });
    for (const auto& replica : pendingClaim.replicas) {
        if (!pendingClaim.replied.contains(replica))
            out.send(replica, methodRequest, request);
    }
}

void ClaimCoordinator::receive(const PeerMessage& message, TimePoint now, Outbox& out)
{
    if (message.method == methodReply)
        onReply(message, now, out);
    else if (message.method == methodConfirm)
        onConfirmed(message);
}

void ClaimCoordinator::onReply(const PeerMessage& message, TimePoint now, Outbox& out)
{
    const auto reply = decodeReply(message.params);
    if (!reply)
        return;
    const auto pendingClaim = m_pendingClaims.find(reply->claim);
    if (pendingClaim != m_pendingClaims.end())
        applyReply(pendingClaim, message.from, *reply, now, out);
}

void ClaimCoordinator::applyReply(PendingIterator pendingClaim, const HostId& from,
    const ClaimReply& reply, TimePoint now, Outbox& out)
{
    PendingClaim& state = pendingClaim->second;
    // After the process was suspended, a reply can arrive before tick() has timed out the claim.
    // Grants received after the timeout do not count.
    if (state.giveUpTime <= now)
        return resolve(pendingClaim, { state.refusal, {}, {} }, now, out);
    switch (reply.verdict) {
    case ClaimVerdict::Run:
        state.granted.insert(from);
        break;
    case ClaimVerdict::Replay:
    case ClaimVerdict::ResponseNotStored:
        return resolve(pendingClaim,
            { reply.verdict, {}, reply.response.value_or(StoredResponse {}) }, now, out);
    case ClaimVerdict::InProgress:
    case ClaimVerdict::Unknown:
    case ClaimVerdict::Mismatch:
        state.refusal = reply.verdict;
        break;
    case ClaimVerdict::Unavailable:
        // The host cannot grant yet; it may be ready at the next retransmission.
        return;
    }
    state.replied.insert(from);
    if (state.granted.size() >= m_placement.majority())
        return resolve(pendingClaim, { ClaimVerdict::Run, pendingClaim->first, {} }, now, out);
    const std::size_t open = state.replicas.size() - state.replied.size();
    if (state.granted.size() + open < m_placement.majority())
        resolve(pendingClaim, { state.refusal, {}, {} }, now, out);
}

void ClaimCoordinator::resolve(
    PendingIterator pendingClaim, const ClaimDecision& decision, TimePoint now, Outbox& out)
{
    const ClaimId claim = pendingClaim->first;
    const PendingClaim state = std::move(pendingClaim->second);
    m_pendingClaims.erase(pendingClaim);
    const RunningClaim running { state.spec, state.replicas };
    if (decision.verdict == ClaimVerdict::Run)
        m_running[claim] = running;
    else
        startEnding(claim, running, ClaimOutcome::NotRun, nullptr, now, out);
    Decision line { "claim", claimVerdictName(decision.verdict) };
    line.facts["service"] = state.spec.key.service.value();
    line.facts["claim"] = claim.value();
    line.facts["granted"] = Json::UInt64(state.granted.size());
    line.facts["answered"] = Json::UInt64(state.replied.size());
    out.log(std::move(line));
    state.callback(decision);
}

void ClaimCoordinator::finish(const ClaimId& claim, ClaimOutcome outcome,
    const StoredResponse* response, TimePoint now, Outbox& out)
{
    const auto running = m_running.find(claim);
    if (running == m_running.end())
        return;
    startEnding(claim, running->second, outcome, response, now, out);
    m_running.erase(running);
}

void ClaimCoordinator::startEnding(const ClaimId& claim, const RunningClaim& running,
    ClaimOutcome outcome, const StoredResponse* response, TimePoint now, Outbox& out)
{
    ClaimEndNotice notice { running.spec.key, claim, running.spec.fingerprint, outcome, {} };
    if (response)
        notice.response = *response;
    EndingClaim ending;
    ending.unconfirmed.insert(running.replicas.begin(), running.replicas.end());
    ending.message = encode(notice);
    ending.nextSend = now + resendInterval;
    ending.giveUpTime = now + endTimeout;
    for (const auto& replica : ending.unconfirmed)
        out.send(replica, methodEnd, ending.message);
    m_ending[claim] = std::move(ending);
}

void ClaimCoordinator::onConfirmed(const PeerMessage& message)
{
    const Json::Value& claim = message.params["claim"];
    const auto ending
        = claim.isString() ? m_ending.find(ClaimId(claim.asString())) : m_ending.end();
    if (ending == m_ending.end())
        return;
    ending->second.unconfirmed.erase(message.from);
    if (ending->second.unconfirmed.empty())
        m_ending.erase(ending);
}

void ClaimCoordinator::tick(TimePoint now, Outbox& out)
{
    for (auto next = m_pendingClaims.begin(); next != m_pendingClaims.end();) {
        const auto pendingClaim = next++;
        if (pendingClaim->second.giveUpTime <= now)
            resolve(pendingClaim, { pendingClaim->second.refusal, {}, {} }, now, out);
        else if (pendingClaim->second.nextSend <= now)
            sendRequests(pendingClaim->first, pendingClaim->second, now, out);
    }
    for (auto& [claim, ending] : m_ending) {
        if (ending.nextSend > now)
            continue;
        ending.nextSend = now + resendInterval;
        for (const auto& replica : ending.unconfirmed)
            out.send(replica, methodEnd, ending.message);
    }
    std::erase_if(m_ending, [&](const auto& ending) { return ending.second.giveUpTime <= now; });
}

} // namespace laburnum
