/// Submits configuration changes at any control host, through the replicated log.
#pragma once

#include <functional>
#include <map>

#include <laburnumroute/config_ledger.h>
#include <laburnumroute/participant.h>
#include <laburnumroute/replicated_log.h>

namespace laburnum {

/// Wraps the configuration ledger as the state machine of the log and tracks pending submissions. A
/// submission is resent to the leader until the change is applied at this host; the result comes
/// from this host's own ledger, so there is no reply between hosts that could be lost. No I/O; the
/// owner serializes all calls, together with those of the log.
class ConfigService final : public Participant, public StateMachine {
public:
    /// Receives the accepted revision, Conflict, NotFound, or Unavailable when the outcome is not
    /// known in time; the change may then still be applied later, and can be resent with the same
    /// id. Called once, from within submit(), receive() or tick() of the service or of the log;
    /// must not call back into either.
    using Done = std::function<void(const Expected<Revision>&)>;

    /// Maximum time that a submission waits for its result.
    static constexpr Duration submitTimeout = std::chrono::seconds(5);
    /// Maximum content size of a change, in bytes.
    static constexpr std::size_t maxContentBytes = std::size_t { 4 } << 20U;

    explicit ConfigService(HostId host)
        : m_host(std::move(host))
    {
    }

    /// Sets the log that this service submits to. Call it before anything else, and again for each
    /// new log; `log` must outlive its use here.
    void attach(ReplicatedLog& log) { m_log = &log; }

    /// Submits `change`. TooLarge and InvalidArgument are reported at once, through `done`.
    void submit(const ConfigChange& change, TimePoint now, Outbox& out, Done done);

    std::vector<std::string> methods() const override;
    void receive(const PeerMessage& message, TimePoint now, Outbox& out) override;
    void tick(TimePoint now, Outbox& out) override;

    void apply(LogIndex index, std::string_view command) override;
    std::string snapshot() const override { return m_ledger.snapshot(); }
    Expected<void> restore(std::string_view bytes) override { return m_ledger.restore(bytes); }

    /// The changes applied at this host so far.
    const ConfigLedger& ledger() const noexcept { return m_ledger; }
    /// Number of submissions without a result.
    std::size_t waiting() const noexcept { return m_submissions.size(); }

private:
    /// A pending change submitted at this host.
    struct Submission {
        ChangeId id;
        std::string command;
        TimePoint deadline;
        TimePoint nextSend;
        Done done;
    };

    /// The log position of a change that this host proposed as leader.
    struct Proposal {
        LogIndex index;
        Term term;
    };

    using SubmissionKey = std::uint64_t;

    void forward(SubmissionKey key, TimePoint now, Outbox& out);
    void finish(SubmissionKey key, const Expected<Revision>& result);
    void proposeOnce(const std::string& command, TimePoint now, Outbox& out);
    void logResult(const ConfigChange& change, const Expected<Revision>& result);

    HostId m_host;
    ReplicatedLog* m_log = nullptr;
    ConfigLedger m_ledger;
    std::map<SubmissionKey, Submission> m_submissions;
    SubmissionKey m_lastKey = 0;
    std::map<std::string, Proposal> m_proposals;
    std::vector<Decision> m_decisions;
};

} // namespace laburnum
