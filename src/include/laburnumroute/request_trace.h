/// One request's life from the logs of all hosts, and the cause of its end.
#pragma once

#include <string>
#include <vector>

#include <laburnumroute/log_lines.h>

namespace laburnum {

/// Why a request ended as it did.
enum class OutcomeCause {
    /// No line names the id: no host that wrote these logs read the request, or it died first.
    NeverSeen,
    /// Attempts, but no end: the host's process ended meanwhile.
    HostDied,
    Served,
    /// The instance failed this request and others around it.
    InstanceGray,
    /// The instance failed this request and hardly any other.
    InstanceError,
    /// No answer in time, where the instance's others were served.
    InstanceSlow,
    /// No answer in time, and others at the instance failed too.
    InstanceSilent,
    /// The instance's answer broke off or was no answer.
    AnswerBroken,
    /// Nothing listens there, for any host.
    InstanceGone,
    /// This host could not reach an instance that others reached.
    PathCut,
    /// The host left an instance that had not answered yet, and got no place for a repeat.
    GivenUp,
    /// Instances declined the request, and no repeat was left.
    Shed,
    /// Most of the time went by waiting for a place.
    NoPlace,
    NoInstance,
    NoConfiguration,
    NoRoute,
    CallerLeft,
    /// The host itself refused the request: see the reason.
    Refused,
};

/// The stable word for `cause`.
const char* outcomeCauseName(OutcomeCause cause) noexcept;

/// A request's life.
struct RequestTrace {
    /// Lines that name the id, and those of its host that explain it, in order of time.
    std::vector<LogLine> lines;
    OutcomeCause cause = OutcomeCause::NeverSeen;
    /// The cause in a sentence, with the numbers that it rests on.
    std::string sentence;
};

/// Tells the life of the request `id` from `log`, which is sorted by time. A caller that sent the
/// id several times gets the cause of the last.
RequestTrace traceRequest(const LogLines& log, const std::string& id);

} // namespace laburnum
