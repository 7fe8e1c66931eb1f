/// Reconstructs one request from the logs of all hosts and determines why it ended as it did.
#pragma once

#include <string>
#include <vector>

#include <laburnumroute/log_lines.h>

namespace laburnum {

/// Why a request ended as it did.
enum class OutcomeCause {
    /// No line contains the id: no host that wrote these logs read the request, or the host died
    /// before it logged a line.
    NeverSeen,
    /// There are attempts, but no final line: the host's process ended before the request did.
    HostDied,
    /// The instance's response was passed on and its status is below 500.
    Served,
    /// The instance failed this request and others at about the same time.
    InstanceGray,
    /// The instance failed this request and hardly any other.
    InstanceError,
    /// No answer in time, but the instance served other requests.
    InstanceSlow,
    /// No answer in time, and other requests at the instance failed too.
    InstanceSilent,
    /// The connection ended without a response, or the response was cut off or invalid.
    AnswerBroken,
    /// No host could connect to the instance, or its address belongs to another instance now.
    InstanceGone,
    /// This host could not reach an instance that others reached.
    PathCut,
    /// The host abandoned an attempt that had no response yet, and no retry was placed.
    GivenUp,
    /// Instances declined the request, and the retry budget was used up.
    Shed,
    /// The host refused the request as busy, or most of its time passed while it waited for a slot.
    NoPlace,
    NoInstance,
    NoConfiguration,
    NoRoute,
    /// The caller closed the connection before the request ended.
    CallerLeft,
    /// The host refused the request for another reason, which the explanation gives.
    Refused,
};

/// The name of `cause` in the output of `laburnumctl trace`.
const char* outcomeCauseName(OutcomeCause cause) noexcept;

/// The history of one request.
struct RequestTrace {
    /// Lines with the request's id, and lines about the state of its host (leader, configuration,
    /// start and stop) from shortly before it began until its last line; by time.
    std::vector<LogLine> lines;
    OutcomeCause cause = OutcomeCause::NeverSeen;
    /// The cause in one sentence, with the numbers behind it.
    std::string explanation;
};

/// Collects the lines of the request `id` from `log`, which must be sorted by time. If a caller
/// sent the id several times, the cause is that of the last request.
RequestTrace traceRequest(const LogLines& log, const std::string& id);

} // namespace laburnum
