#include "attempt_log_pvt.h"

namespace laburnum::pvt {

const char* attemptEndName(AttemptEnd end)
{
    switch (end) {
    case AttemptEnd::NotConnected:
        return reasons::notConnected;
    case AttemptEnd::Shed:
        return reasons::shed;
    case AttemptEnd::NoResponse:
        return reasons::noAnswer;
    case AttemptEnd::BadResponse:
        return reasons::badAnswer;
    case AttemptEnd::TimedOut:
        return reasons::deadline;
    case AttemptEnd::Abandoned:
        return "given-up";
    case AttemptEnd::CallerSlow:
        return reasons::slowBody;
    case AttemptEnd::CallerMalformed:
        return reasons::malformedBody;
    case AttemptEnd::CallerDisconnected:
        return "caller-gone";
    case AttemptEnd::Truncated:
        return "cut";
    case AttemptEnd::ServerError:
        return "server-error";
    case AttemptEnd::Completed:
    case AttemptEnd::Buffered:
        return "answered";
    }
    return "unknown";
}

Decision attemptDecision(
    const CallerContext& caller, const Assignment& assigned, const AttemptOutcome& outcome)
{
    Decision decision { "attempt", attemptEndName(outcome.end) };
    decision.alwaysLog = true;
    decision.facts["id"] = std::string(caller.request.field(caller.entry.options.names.requestId));
    decision.facts["instance"] = assigned.instance.value();
    decision.facts["status"] = outcome.status;
    decision.facts["service"] = assigned.service.value();
    decision.facts["ms"] = Json::Int64(toMillis(outcome.latency));
    decision.facts["may_have_run"] = outcome.mayHaveRun;
    if (outcome.cause) {
        decision.facts["cause"] = terminationCauseName(*outcome.cause);
        decision.facts["by"] = terminationPartyName(terminationRule(*outcome.cause).party);
    }
    if (!outcome.error.empty())
        decision.facts["error"] = outcome.error;
    return decision;
}

} // namespace laburnum::pvt
