/// Who may end an attempt at which an instance is at work, and when. No I/O.
///
/// An attempt is at work from the first byte of its request to the instance until the response is
/// complete. This host closes the connection of such an attempt for one of these causes only, each
/// under its condition. Nothing else is a reason: no hedge delay, no refusal of a hedge, no change
/// of configuration, settings, leader or account key.
///
/// Load pattern: during planned work instances need many times their usual latency. A request that
/// is broken off has cost its slot and is lost to its caller, who cannot tell whether it ran.
#pragma once

#include <array>
#include <cstdint>

#include <laburnumroute/clock.h>

namespace laburnum {

enum class TerminationCause : std::uint8_t {
    /// The caller closed its connection.
    CallerDisconnected,
    /// The caller did not read or send for as long as the idle limit.
    CallerStalled,
    /// The caller's body is malformed.
    CallerMalformed,
    /// The time limit of the request, fixed when its head was read, has passed.
    Deadline,
    /// A response made no progress for as long as the idle limit, and has no time limit or is not
    /// silent: it sends bytes without end that are none of the body.
    InstanceStalled,
    /// Another attempt's response, made by its instance, is complete or is relayed.
    OtherResponse,
    /// The bytes are not a response in HTTP.
    NotHttp,
    /// More bytes than allowed arrived that are not the instance's response.
    TooLong,
    /// A success without the stamp of an instance.
    NoStamp,
    /// A server error that is dropped because another instance was assigned.
    ServerErrorReplaced,
    /// The abort of a planned stop.
    StopAbort,
    /// The process ends with the planned stop.
    StopExit,
    /// A second signal during the stop.
    SecondSignal,
    /// The instance or the network closed the connection.
    ConnectionLost,
};

inline constexpr std::size_t terminationCauseCount = 14;

/// Who may end the attempt.
enum class TerminationParty : std::uint8_t { Caller, Operator, Instance, Host };

/// What is known when an attempt is about to be ended. Times of the request are counted from when
/// its head had been read, those of the stop from the signal.
struct TerminationState {
    Duration now {};
    /// Earlier one of the caller's and the route's time limit.
    Duration deadline = maxDuration;
    bool callerClosed = false;
    bool callerMalformed = false;
    /// What this host waits for: the caller, or the instance's next bytes.
    bool waitsForCaller = false;
    /// Time without progress, and its limit.
    Duration idle {};
    Duration idleLimit = maxDuration;
    /// No byte arrived meanwhile.
    bool isSilent = true;
    /// Status of the attempt's own response; 0 before its head.
    unsigned ownStatus = 0;
    /// Status of another attempt's response that is complete or ready to be relayed; 0 if none is.
    unsigned otherStatus = 0;
    /// That response is an instance's own.
    bool otherHasStamp = true;
    /// What arrived is not HTTP.
    bool notHttp = false;
    /// What arrived exceeds the limit on bytes that are not the instance's response.
    bool tooLong = false;
    bool hasStamp = true;
    /// Another instance was assigned in place of this one.
    bool replaced = false;
    bool connectionClosed = false;
    /// Signals to stop so far.
    unsigned stopSignals = 0;
    Duration sinceStop {};
    Duration abortAfter = maxDuration;
    Duration exitAfter = maxDuration;
};

/// A row of the table of causes.
struct TerminationRule {
    TerminationCause cause;
    /// Stable name in logs and metrics.
    const char* name;
    TerminationParty party;
    /// When the party may, in words.
    const char* condition;
    bool (*permits)(const TerminationState&);
};

/// One rule for each cause, in the order of the causes.
const std::array<TerminationRule, terminationCauseCount>& terminationRules();

const TerminationRule& terminationRule(TerminationCause cause);
const char* terminationCauseName(TerminationCause cause);
const char* terminationPartyName(TerminationParty party);

/// Whether an attempt in this state may be ended for `cause`. If not, it has to go on.
bool mayTerminate(TerminationCause cause, const TerminationState& state);

} // namespace laburnum
