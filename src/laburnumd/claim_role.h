/// Idempotency-key claims in this process: a coordinator on every host, a replica on claim hosts.
#pragma once

#include <memory>

#include <laburnumroute/claim_coordinator.h>
#include <laburnumroute/claim_replica.h>

#include "participant_runner.h"
#include "settings.h"

namespace laburnum {

/// Owns the claim participants and runs them on their own strand, so that syncing the claims
/// journal to disk delays no other work.
class ClaimRole {
public:
    /// Keeps references to all arguments but `settings`.
    ClaimRole(asio::io_context& context, const Settings& settings, PeerTransport& transport,
        const Clock& clock, DecisionLog& log);

    /// Opens the claims journal on claim hosts and registers the participants. An
    /// ErrorCode::Corrupt error names the file and the offset.
    Expected<void> open(const Settings& settings, const Clock& clock);
    void start() { m_runner.start(); }
    void stop() { m_runner.stop(); }

    ParticipantRunner& runner() noexcept { return m_runner; }
    ClaimCoordinator& coordinator() noexcept { return m_coordinator; }

private:
    ParticipantRunner m_runner;
    ClaimPlacement m_placement;
    ClaimCoordinator m_coordinator;
    std::unique_ptr<Storage> m_storage;
    std::unique_ptr<ClaimReplica> m_replica;
};

} // namespace laburnum
