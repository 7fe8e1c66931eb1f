/// Submission of configuration changes at any control host, over the replicated log.
#pragma once

#include <functional>
#include <map>

#include <laburnumroute/config_ledger.h>
#include <laburnumroute/participant.h>
#include <laburnumroute/replicated_log.h>

namespace laburnum {

/// The configuration ledger as the log's applied state, and the submissions that wait for it. A
/// submission travels to the leader as often as needed; its result is taken from this host's own
/// ledger once the change is committed here, so that no answer between hosts can be lost. No I/O;
/// calls are serialized by the shell, together with those of the log.
class ConfigService final : public Participant, public StateMachine {
public:
    /// Receives the accepted revision, or Conflict, or NotFound, or Unavailable when the outcome
    /// did not become known in time; the change may then still take effect, and can be resent with
    /// the same id. Called once, from within receive() or tick() of the service or of the log; must
    /// not call back into either.
    using Done = std::function<void(const Expected<Revision>&)>;

    /// How long a submission waits for its result.
    static constexpr Duration submitTimeout = std::chrono::seconds(5);
    /// The largest content of a change, in bytes.
    static constexpr std::size_t contentLimit = std::size_t { 4 } << 20U;

    explicit ConfigService(HostId host)
        : m_host(std::move(host))
    {
    }

    /// Gives the log that applies to this service. Call before anything else, and again with a new
    /// log; `log` must outlive its use here.
    void attach(ReplicatedLog& log) { m_log = &log; }

    /// Submits `change`. TooLarge and InvalidArgument are reported at once, through `done`.
    void submit(const ConfigChange& change, TimePoint now, Outbox& out, Done done);

    std::vector<std::string> methods() const override;
    void receive(const PeerMessage& message, TimePoint now, Outbox& out) override;
    void tick(TimePoint now, Outbox& out) override;

    void apply(LogIndex index, std::string_view command) override;
    std::string snapshot() const override { return m_ledger.snapshot(); }
    Expected<void> restore(std::string_view bytes) override { return m_ledger.restore(bytes); }

    /// What is committed, as far as this host knows.
    const ConfigLedger& ledger() const noexcept { return m_ledger; }
    /// Submissions that wait for a result.
    std::size_t waiting() const noexcept { return m_submissions.size(); }

private:
    /// A change submitted at this host.
    struct Submission {
        ChangeId id;
        std::string command;
        TimePoint deadline;
        TimePoint nextSend;
        Done done;
    };

    /// A change that this host proposed as the leader.
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
