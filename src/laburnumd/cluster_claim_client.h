/// The request path's claim gate over the fleet's claim hosts.
#pragma once

#include <laburnumroute/claim_client.h>

#include "claim_role.h"

namespace laburnum {

/// Carries calls from request workers to the claim coordinator's strand.
class ClusterClaimClient final : public ClaimClient {
public:
    explicit ClusterClaimClient(ClaimRole& role)
        : m_role(role)
    {
    }

    void begin(const ClaimSpec& demand, Callback callback) override;
    void finish(const ClaimId& claim, ClaimOutcome end, const StoredResponse* answer) override;

private:
    ClaimRole& m_role;
};

} // namespace laburnum
