/// How a stop of this host ends the request that a session serves.
#pragma once

#include <functional>
#include <optional>

#include <laburnumroute/attempt_termination.h>

namespace laburnum::pvt {

struct RequestCut {
    /// Set once the stop has ended the request; `state` tells how far the stop was.
    std::optional<TerminationCause> cause;
    TerminationState state;
    /// The instance's whole response has been read; only the caller has to read on.
    bool isResponseRead = false;
    /// Set by the request while it is served. Called once, before the connection is closed.
    std::function<void()> onCut;
};

} // namespace laburnum::pvt
