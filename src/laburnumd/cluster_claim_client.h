/// ClaimClient backed by the fleet's claim hosts.
#pragma once

#include <laburnumroute/claim_client.h>

#include "claim_role.h"

namespace laburnum {

/// Posts calls from request threads to the claim coordinator's strand. Safe from any thread.
class ClusterClaimClient final : public ClaimClient {
public:
    explicit ClusterClaimClient(ClaimRole& role)
        : m_role(role)
    {
    }

    void begin(const ClaimSpec& spec, Callback callback) override;
    void finish(
        const ClaimId& claim, ClaimOutcome outcome, const StoredResponse* response) override;

private:
    ClaimRole& m_role;
};

} // namespace laburnum
