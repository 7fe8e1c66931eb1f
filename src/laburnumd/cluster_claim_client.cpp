#include "cluster_claim_client.h"

#include <optional>

namespace laburnum {

void ClusterClaimClient::begin(const ClaimSpec& spec, Callback callback)
{
    m_role.runner().post([this, spec, callback = std::move(callback)](TimePoint now, Outbox& out) {
        m_role.coordinator().begin(spec, callback, now, out);
    });
}

void ClusterClaimClient::finish(
    const ClaimId& claim, ClaimOutcome outcome, const StoredResponse* response)
{
    const auto copy = response ? std::optional(*response) : std::nullopt;
    m_role.runner().post([this, claim, outcome, copy](TimePoint now, Outbox& out) {
        m_role.coordinator().finish(claim, outcome, copy ? &*copy : nullptr, now, out);
    });
}

} // namespace laburnum
