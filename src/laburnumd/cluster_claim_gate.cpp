#include "cluster_claim_gate.h"

#include <optional>

namespace laburnum {

void ClusterClaimGate::begin(const ClaimSpec& demand, Callback callback)
{
    m_role.runner().post(
        [this, demand, callback = std::move(callback)](TimePoint now, Outbox& out) {
            m_role.coordinator().begin(demand, callback, now, out);
        });
}

void ClusterClaimGate::finish(const ClaimId& claim, ClaimOutcome end, const StoredResponse* answer)
{
    const auto kept = answer ? std::optional(*answer) : std::nullopt;
    m_role.runner().post([this, claim, end, kept](TimePoint now, Outbox& out) {
        m_role.coordinator().finish(claim, end, kept ? &*kept : nullptr, now, out);
    });
}

} // namespace laburnum
