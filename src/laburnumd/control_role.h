/// Control-host role of this process: member of the replicated log that accepts configuration
/// changes.
#pragma once

#include <functional>
#include <memory>

#include <laburnumroute/config_service.h>

#include "participant_runner.h"
#include "settings.h"

namespace laburnum {

/// A control host's view of the replicated log.
struct ControlStatus {
    LogRole role = LogRole::Follower;
    Term term;
    LogIndex commitIndex;
    std::optional<HostId> leader;
    /// Why this member stopped taking part in the log; empty while it takes part.
    std::string failure;
};

/// Owns the log's participants and runs them on their own strand, so that syncing the log to disk
/// delays no other work.
class ControlRole {
public:
    /// Receives newly committed versions, on the log's strand.
    using CommitHandler = std::function<void(const ConfigVersion&)>;

    /// Keeps references to all arguments but `settings`.
    ControlRole(asio::io_context& context, const Settings& settings, PeerTransport& transport,
        const Clock& clock, DecisionLog& log, CommitHandler onCommit);

    /// Opens the log in the data folder and registers the participants. An ErrorCode::Corrupt error
    /// names the file and the offset.
    Expected<void> open(const Settings& settings, const Clock& clock);
    void start() { m_runner.start(); }
    void stop() { m_runner.stop(); }

    /// Submits a change and blocks until its result, at most ConfigService::submitTimeout.
    Expected<Revision> submit(const ConfigChange& change);
    /// Blocks; must not be called from the control context.
    ControlStatus status();
    /// Calls `function(const ConfigLedger&)` on the strand and returns its result. Blocks.
    template <class Function> auto withLedger(Function function)
    {
        return m_runner.call([&](TimePoint, Outbox&) { return function(m_service.ledger()); });
    }

private:
    void publishCommitted();

    ParticipantRunner m_runner;
    CommitHandler m_onCommit;
    Revision m_publishedRevision;
    std::unique_ptr<Storage> m_storage;
    ConfigService m_service;
    std::unique_ptr<ReplicatedLog> m_log;
};

} // namespace laburnum
