#include "cluster_claim_client.h"

#include <optional>

namespace laburnum {

void ClusterClaimClient::begin(const ClaimSpec& demand, Callback callback)
{
    m_role.runner().post(
        [this, demand, callback = std::move(callback)](TimePoint now, Outbox& out) {
            m_role.coordinator().begin(demand, callback, now, out);
        });
}

void ClusterClaimClient::finish(const ClaimId& claim, ClaimOutcome end, const StoredResponse* answer)
{
    const auto kept = answer ? std::optional(*answer) : std::nullopt;
    m_role.runner().post([this, claim, end, kept](TimePoint now, Outbox& out) {
        m_role.coordinator().finish(claim, end, kept ? &*kept : nullptr, now, out);
    });
}

} // namespace laburnum
