#include <laburnumroute/config_service.h>

#include <laburnumroute/json.h>

namespace laburnum {

namespace {

    constexpr const char* methodSubmit = "config.submit";
    constexpr auto resendInterval = std::chrono::milliseconds(250);
    constexpr std::size_t maxPendingSubmissions = 1024; // per host

} // namespace

std::vector<std::string> ConfigService::methods() const { return { methodSubmit }; }

void ConfigService::submit(const ConfigChange& change, TimePoint now, Outbox& out, Done done)
{
    if (change.content.size() > maxContentBytes)
        return done(fail(ErrorCode::TooLarge,
            "the content has " + std::to_string(change.content.size()) + " bytes, more than "
                + std::to_string(maxContentBytes)));
    if (change.id.value().empty())
        return done(fail(ErrorCode::InvalidArgument, "a change needs an id"));
    if (m_submissions.size() >= maxPendingSubmissions)
        return done(
            fail(ErrorCode::Unavailable, "too many pending changes; this one was not submitted"));
    m_submissions[++m_lastKey]
        = { change.id, encodeConfigChange(change), now + submitTimeout, now, std::move(done) };
    forward(m_lastKey, now, out);
}

/// Sends a submission to the leader, or proposes it when this host is the leader.
void ConfigService::forward(SubmissionKey key, TimePoint now, Outbox& out)
{
    Submission& submission = m_submissions.at(key);
    const std::string command = submission.command;
    const auto leader = m_log->leader();
    submission.nextSend = leader ? now + resendInterval : now;
    if (m_log->role() == LogRole::Leader) {
        // The proposal may commit immediately, which finishes this submission and possibly others.
        proposeOnce(command, now, out);
    } else if (leader) {
        Json::Value params(Json::objectValue);
        params["change"] = command;
        out.send(*leader, methodSubmit, std::move(params));
    }
}

/// Removes a submission and reports its result.
void ConfigService::finish(SubmissionKey key, const Expected<Revision>& result)
{
    const Done done = std::move(m_submissions.at(key).done);
    m_submissions.erase(key);
    done(result);
}

/// Proposes `command` unless an earlier proposal of it is still pending.
void ConfigService::proposeOnce(const std::string& command, TimePoint now, Outbox& out)
{
    const auto earlier = m_proposals.find(command);
    if (earlier != m_proposals.end()
        && m_log->proposalStatus(earlier->second.index, earlier->second.term)
            == ProposalStatus::Pending)
        return;
    const Term term = m_log->term();
    const auto index = m_log->propose(command, now, out);
    if (index && m_log->proposalStatus(*index, term) == ProposalStatus::Pending)
        m_proposals[command] = { *index, term };
}

void ConfigService::receive(const PeerMessage& message, TimePoint now, Outbox& out)
{
    const auto command = stringMember(message.params, "change");
    if (message.method == methodSubmit && command && m_log->role() == LogRole::Leader
        && decodeConfigChange(*command))
        proposeOnce(*command, now, out);
}

void ConfigService::tick(TimePoint now, Outbox& out)
{
    if (m_log->role() != LogRole::Leader)
        m_proposals.clear();
    for (auto& decision : std::exchange(m_decisions, {}))
        out.log(std::move(decision));
    SubmissionKey last = 0;
    for (auto item = m_submissions.begin(); item != m_submissions.end();
         item = m_submissions.upper_bound(last)) {
        last = item->first;
        if (now >= item->second.deadline)
            finish(last,
                fail(ErrorCode::Unavailable,
                    "the outcome of change '" + item->second.id.value()
                        + "' is unknown; resend it with the same id and expected revision"));
        else if (now >= item->second.nextSend)
            forward(last, now, out);
    }
}

void ConfigService::apply(LogIndex /*index*/, std::string_view command)
{
    const auto change = decodeConfigChange(command);
    if (!change)
        return;
    const Expected<Revision> result = m_ledger.apply(*change);
    logResult(*change, result);
    m_proposals.erase(std::string(command));
    SubmissionKey last = 0;
    for (auto item = m_submissions.begin(); item != m_submissions.end();
         item = m_submissions.upper_bound(last)) {
        last = item->first;
        if (item->second.command == command)
            finish(last, result);
    }
}

void ConfigService::logResult(const ConfigChange& change, const Expected<Revision>& result)
{
    Decision decision { "config", result ? "accepted" : "refused" };
    decision.facts["change"] = change.id.value();
    decision.facts["expected"] = Json::UInt64(change.expected.value());
    if (result)
        decision.facts["revision"] = Json::UInt64(result->value());
    else
        decision.facts["message"] = result.error().message;
    m_decisions.push_back(std::move(decision));
}

} // namespace laburnum
