/// The process's part as a control host: a member of the replicated log that accepts changes.
#pragma once

#include <functional>
#include <memory>

#include <laburnumroute/config_service.h>

#include "participant_runner.h"
#include "settings.h"

namespace laburnum {

/// What a control host knows of the log.
struct ControlStatus {
    LogRole role = LogRole::Follower;
    Term term;
    LogIndex commitIndex;
    std::optional<HostId> leader;
    /// Why this member takes no further part; empty while it does.
    std::string failure;
};

/// Owns the log's participants and their strand, so that its syncs delay nothing else.
class ControlRole {
public:
    /// Receives each newly committed version, on the log's strand.
    using Committed = std::function<void(const ConfigVersion&)>;

    /// Keeps references to all arguments but `settings`.
    ControlRole(asio::io_context& context, const Settings& settings, PeerTransport& transport,
        const Clock& clock, DecisionLog& log, Committed committed);

    /// Opens the log in the data folder and registers the participants. Corrupt names file and
    /// offset.
    Expected<void> open(const Settings& settings, const Clock& clock);
    void start() { m_runner.start(); }
    void stop() { m_runner.stop(); }

    /// Submits a change and waits for its result; blocks for up to ConfigService::submitTimeout.
    Expected<Revision> submit(const ConfigChange& change);
    /// Blocks; not for the control context.
    ControlStatus status();
    /// Calls `function(const ConfigLedger&)` on the strand and returns its result. Blocks.
    template <class Function> auto withLedger(Function function)
    {
        return m_runner.call([&](TimePoint, Outbox&) { return function(m_service.ledger()); });
    }

private:
    void publishCommitted();

    ParticipantRunner m_runner;
    Committed m_committed;
    Revision m_published;
    std::unique_ptr<Storage> m_storage;
    ConfigService m_service;
    std::unique_ptr<ReplicatedLog> m_log;
};

} // namespace laburnum
