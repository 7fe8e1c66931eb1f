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

void ClaimCoordinator::begin(const ClaimSpec& demand, Callback callback, TimePoint now, Outbox& out)
{
    const ClaimId claim(m_self.value() + '/' + m_nonce + '/' + std::to_string(++m_lastClaim));
    Asking asking;
    asking.demand = demand;
    asking.replicas = m_placement.replicasOf(demand.key);
    asking.callback = std::move(callback);
    asking.givesUp = now + std::min<Duration>(requestTimeout, demand.deadline);
    const auto position = m_asking.emplace(claim, std::move(asking)).first;
    sendRequests(claim, position->second, now, out);
}

void ClaimCoordinator::sendRequests(
    const ClaimId& claim, Asking& asking, TimePoint now, Outbox& out)
{
    asking.nextSend = now + resendInterval;
    const Json::Value request = encode(ClaimRequest { asking.demand, claim, m_placement.epoch() });
    for (const auto& replica : asking.replicas) {
        if (!asking.answered.contains(replica))
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
    const auto asking = m_asking.find(reply->claim);
    if (asking != m_asking.end())
        noteReply(asking, message.from, *reply, now, out);
}

void ClaimCoordinator::noteReply(
    AskingPosition asking, const HostId& from, const ClaimReply& reply, TimePoint now, Outbox& out)
{
    Asking& state = asking->second;
    // After a freeze, tick() may not yet have ended what ran out of time; grants no longer count
    // then.
    if (state.givesUp <= now)
        return settle(asking, { state.refusal, {}, {} }, now, out);
    switch (reply.verdict) {
    case ClaimVerdict::Run:
        state.granted.insert(from);
        break;
    case ClaimVerdict::Replay:
    case ClaimVerdict::ResponseNotStored:
        return settle(
            asking, { reply.verdict, {}, reply.answer.value_or(StoredResponse {}) }, now, out);
    case ClaimVerdict::InProgress:
    case ClaimVerdict::Unknown:
    case ClaimVerdict::Mismatch:
        state.refusal = reply.verdict;
        break;
    case ClaimVerdict::Unavailable:
        // The host cannot grant yet; a resend may find it ready.
        return;
    }
    state.answered.insert(from);
    if (state.granted.size() >= m_placement.majority())
        return settle(asking, { ClaimVerdict::Run, asking->first, {} }, now, out);
    const std::size_t open = state.replicas.size() - state.answered.size();
    if (state.granted.size() + open < m_placement.majority())
        settle(asking, { state.refusal, {}, {} }, now, out);
}

void ClaimCoordinator::settle(
    AskingPosition asking, const ClaimDecision& decision, TimePoint now, Outbox& out)
{
    const ClaimId claim = asking->first;
    const Asking state = std::move(asking->second);
    m_asking.erase(asking);
    const Running running { state.demand, state.replicas };
    if (decision.verdict == ClaimVerdict::Run)
        m_running[claim] = running;
    else
        startEnding(claim, running, ClaimOutcome::NotRun, nullptr, now, out);
    Decision line { "claim", claimVerdictName(decision.verdict) };
    line.facts["service"] = state.demand.key.service.value();
    line.facts["claim"] = claim.value();
    line.facts["granted"] = Json::UInt64(state.granted.size());
    line.facts["answered"] = Json::UInt64(state.answered.size());
    out.log(std::move(line));
    state.callback(decision);
}

void ClaimCoordinator::finish(const ClaimId& claim, ClaimOutcome end, const StoredResponse* answer,
    TimePoint now, Outbox& out)
{
    const auto running = m_running.find(claim);
    if (running == m_running.end())
        return;
    startEnding(claim, running->second, end, answer, now, out);
    m_running.erase(running);
}

void ClaimCoordinator::startEnding(const ClaimId& claim, const Running& running, ClaimOutcome end,
    const StoredResponse* answer, TimePoint now, Outbox& out)
{
    ClaimEndNotice notice { running.demand.key, claim, running.demand.fingerprint, end, {} };
    if (answer)
        notice.answer = *answer;
    Ending ending;
    ending.unconfirmed.insert(running.replicas.begin(), running.replicas.end());
    ending.message = encode(notice);
    ending.nextSend = now + resendInterval;
    ending.givesUp = now + endTimeout;
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
    for (auto next = m_asking.begin(); next != m_asking.end();) {
        const auto asking = next++;
        if (asking->second.givesUp <= now)
            settle(asking, { asking->second.refusal, {}, {} }, now, out);
        else if (asking->second.nextSend <= now)
            sendRequests(asking->first, asking->second, now, out);
    }
    for (auto& [claim, ending] : m_ending) {
        if (ending.nextSend > now)
            continue;
        ending.nextSend = now + resendInterval;
        for (const auto& replica : ending.unconfirmed)
            out.send(replica, methodEnd, ending.message);
    }
    std::erase_if(m_ending, [&](const auto& ending) { return ending.second.givesUp <= now; });
}

} // namespace laburnum
