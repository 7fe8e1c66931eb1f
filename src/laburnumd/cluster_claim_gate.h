/// The request path's claim gate over the fleet's claim hosts.
#pragma once

#include <map>
#include <mutex>

#include <laburnumroute/claim_gate.h>

#include "claim_role.h"

namespace laburnum {

/// Carries calls from request workers to the claim coordinator's strand. Its lock is a leaf.
class ClusterClaimGate final : public ClaimGate {
public:
    explicit ClusterClaimGate(ClaimRole& role)
        : m_role(role)
    {
    }

    void begin(const ServiceId& service, const IdempotencyKey& key,
        const RequestFingerprint& fingerprint, Callback callback) override;
    void finish(ClaimId claim, ClaimOutcome outcome) override;

private:
    ClaimDecision decide(const ClaimResult& result);
    ClaimId remember(const ClaimToken& token);

    /// Time after which a claim whose end was never told counts as unknown.
    static constexpr Duration longestRequest = std::chrono::hours(1);

    ClaimRole& m_role;
    std::mutex m_mutex;
    /// Tokens of granted claims; guarded by m_mutex.
    std::map<ClaimId, ClaimToken> m_tokens;
    ClaimId m_lastClaim;
};

} // namespace laburnum
