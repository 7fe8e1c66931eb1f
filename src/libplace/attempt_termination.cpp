#include <laburnumroute/attempt_termination.h>

namespace laburnum {

namespace {

    using Cause = TerminationCause;
    using Party = TerminationParty;
    using State = TerminationState;

    constexpr unsigned statusMultipleChoices = 300;
    constexpr unsigned statusServerError = 500;

    bool otherResponseCounts(const State& state)
    {
        if (state.otherStatus == 0 || !state.otherHasStamp)
            return false;
        // Between two server errors either may be sent.
        return state.otherStatus < statusServerError || state.ownStatus >= statusServerError;
    }

    const std::array<TerminationRule, terminationCauseCount> rules { {
        { Cause::CallerDisconnected, "caller-gone", Party::Caller, "at any time",
            [](const State& s) { return s.callerClosed; } },
        { Cause::CallerStalled, "caller-stalled", Party::Caller,
            "it has not read or sent for as long as the idle limit",
            [](const State& s) { return s.waitsForCaller && s.idle >= s.idleLimit; } },
        { Cause::CallerMalformed, "caller-malformed", Party::Caller,
            "malformed bytes have been read", [](const State& s) { return s.callerMalformed; } },
        { Cause::Deadline, "deadline", Party::Operator,
            "from the time limit on that was in force when the request was read",
            [](const State& s) { return s.now >= s.deadline; } },
        { Cause::InstanceStalled, "instance-stalled", Party::Instance,
            "its response made no progress for as long as the idle limit, and has no time limit or "
            "is not silent",
            [](const State& s) {
                return !s.waitsForCaller && (s.deadline == maxDuration || !s.isSilent)
                    && s.ownStatus != 0 && s.idle >= s.idleLimit;
            } },
        { Cause::OtherResponse, "other-response", Party::Host,
            "another instance's response is complete or relayed, and is no server error unless "
            "this one is",
            otherResponseCounts },
        { Cause::NotHttp, "not-http", Party::Instance, "such bytes have been read",
            [](const State& s) { return s.notHttp; } },
        { Cause::TooLong, "too-long", Party::Instance, "more than the limit has been read",
            [](const State& s) { return s.tooLong; } },
        { Cause::NoStamp, "no-stamp", Party::Instance, "the head of a success has been read",
            [](const State& s) {
                return !s.hasStamp && s.ownStatus != 0 && s.ownStatus < statusMultipleChoices;
            } },
        { Cause::ServerErrorReplaced, "server-error", Party::Host,
            "the head of a server error has been read and another instance is assigned",
            [](const State& s) { return s.replaced && s.ownStatus >= statusServerError; } },
        { Cause::StopAbort, "stop-abort", Party::Operator, "from the abort time of the stop on",
            [](const State& s) { return s.stopSignals > 0 && s.sinceStop >= s.abortAfter; } },
        { Cause::StopExit, "stop-exit", Party::Operator, "from the exit time of the stop on",
            [](const State& s) { return s.stopSignals > 0 && s.sinceStop >= s.exitAfter; } },
        { Cause::SecondSignal, "second-signal", Party::Operator, "during a stop, at any time",
            [](const State& s) { return s.stopSignals > 1; } },
        { Cause::ConnectionLost, "connection-lost", Party::Instance, "at any time",
            [](const State& s) { return s.connectionClosed; } },
    } };

} // namespace

const std::array<TerminationRule, terminationCauseCount>& terminationRules() { return rules; }

const TerminationRule& terminationRule(TerminationCause cause)
{
    return rules.at(static_cast<std::size_t>(cause));
}

const char* terminationCauseName(TerminationCause cause) { return terminationRule(cause).name; }

const char* terminationPartyName(TerminationParty party)
{
    static constexpr std::array names { "caller", "operator", "instance", "host" };
    return names.at(static_cast<std::size_t>(party));
}

bool mayTerminate(TerminationCause cause, const TerminationState& state)
{
    return terminationRule(cause).permits(state);
}

} // namespace laburnum
