#include "cluster_claim_gate.h"

namespace laburnum {

namespace {

    ClaimEnd endOf(ClaimOutcome::Kind kind)
    {
        switch (kind) {
        case ClaimOutcome::Kind::Answered:
            return ClaimEnd::Answered;
        case ClaimOutcome::Kind::NotRun:
            return ClaimEnd::NotRun;
        case ClaimOutcome::Kind::Unknown:
            return ClaimEnd::Unknown;
        }
        return ClaimEnd::Unknown;
    }

} // namespace

void ClusterClaimGate::begin(const ServiceId& service, const IdempotencyKey& key,
    const RequestFingerprint& fingerprint, Callback callback)
{
    const ClaimDemand demand { { service, key }, fingerprint.value(), longestRequest };
    m_role.runner().post([this, demand, callback = std::move(callback)](TimePoint now, Outbox& out) {
        m_role.coordinator().begin(
            demand, [this, callback](const ClaimResult& result) { callback(decide(result)); }, now, out);
    });
}

void ClusterClaimGate::finish(ClaimId claim, ClaimOutcome outcome)
{
    ClaimToken token;
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_tokens.find(claim);
        if (found == m_tokens.end())
            return;
        token = std::move(found->second);
        m_tokens.erase(found);
    }
    m_role.runner().post([this, token, outcome = std::move(outcome)](TimePoint now, Outbox& out) {
        const StoredAnswer* answer = outcome.answer ? &*outcome.answer : nullptr;
        m_role.coordinator().finish(token, endOf(outcome.kind), answer, now, out);
    });
}

ClaimDecision ClusterClaimGate::decide(const ClaimResult& result)
{
    switch (result.verdict) {
    case ClaimVerdict::Run:
        return ClaimRun { remember(result.claim) };
    case ClaimVerdict::Replay:
        return ClaimReplay { result.answer };
    case ClaimVerdict::InProgress:
        return ClaimInProgress {};
    case ClaimVerdict::AnsweredWithoutCopy:
    case ClaimVerdict::Unknown:
        return ClaimUnknown {};
    case ClaimVerdict::Mismatch:
        return ClaimRefused { ClaimRefused::Cause::KeyReused };
    case ClaimVerdict::OutOfReach:
        return ClaimRefused { ClaimRefused::Cause::Unreachable };
    }
    return ClaimRefused {};
}

ClaimId ClusterClaimGate::remember(const ClaimToken& token)
{
    const std::lock_guard lock(m_mutex);
    m_lastClaim = next(m_lastClaim);
    m_tokens[m_lastClaim] = token;
    return m_lastClaim;
}

} // namespace laburnum
