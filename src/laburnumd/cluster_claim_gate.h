/// The request path's claim gate over the fleet's claim hosts.
#pragma once

#include <laburnumroute/claim_gate.h>

#include "claim_role.h"

namespace laburnum {

/// Carries calls from request workers to the claim coordinator's strand.
class ClusterClaimGate final : public ClaimGate {
public:
    explicit ClusterClaimGate(ClaimRole& role)
        : m_role(role)
    {
    }

    void begin(const ClaimDemand& demand, Callback callback) override;
    void finish(const ClaimId& claim, ClaimEnd end, const StoredAnswer* answer) override;

private:
    ClaimRole& m_role;
};

} // namespace laburnum
