/// Times of a planned stop, and which attempts may start during it. No I/O.
///
/// Load pattern: callers keep sending requests on connections that were open when the host was told
/// to stop. An attempt that is still running when the host aborts is lost to its caller, who cannot
/// tell whether it ran. An instance may need many times its usual latency, so no reserve that is
/// derived from the latency objective rules that out. A request that is refused as not run costs
/// its caller one more request to another host.
#pragma once

#include <laburnumroute/clock.h>

namespace laburnum {

/// An attempt that is about to start. All times are counted from the stop signal.
struct StopAttempt {
    /// When the head of the request had been read.
    Duration read {};
    Duration now {};
    /// When the request ends at the latest, answered or not.
    Duration deadline {};
    /// Latency objective and time limit of the route.
    Duration objective {};
    Duration timeout {};
};

/// Programs send Terminate, a person at a terminal sends Interrupt.
enum class StopSignal { Terminate, Interrupt };

class PlannedStop {
public:
    /// `grace` is the time from the stop signal until the process is killed.
    explicit PlannedStop(Duration grace)
        : m_grace(grace)
    {
    }

    /// How long the host serves requests as before.
    Duration lateAfter() const;
    /// When the host closes its idle connections and stops accepting.
    Duration drainAfter() const;
    /// When the host aborts the requests in flight.
    Duration abortAfter() const;
    /// When the process ends, whatever is left.
    Duration exitAfter() const;

    /// An attempt whose request ends before the abort may always start. Any other may start if its
    /// request was read within lateAfter() and its stopAllowance() is left until the abort.
    bool mayStart(const StopAttempt& attempt) const;

    /// Whether a further signal, `elapsed` after the first one, aborts the requests in flight at
    /// once. An operator's tool and a service manager may both send Terminate; the grace period
    /// bounds the stop anyway. One key press may arrive twice, from the terminal and from the
    /// program that started the host, so only a later Interrupt is a new order.
    static bool isForcedBy(StopSignal signal, Duration elapsed);

private:
    Duration m_grace;
};

} // namespace laburnum
