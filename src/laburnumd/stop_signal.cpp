#include "stop_signal.h"

#include <csignal>

#include <laburnumroute/planned_stop.h>

namespace laburnum {

bool isStopForced(int number, Duration elapsed, std::size_t inFlight, DecisionLog& log)
{
    const StopSignal signal = number == SIGINT ? StopSignal::Interrupt : StopSignal::Terminate;
    const bool isForced = PlannedStop::isForcedBy(signal, elapsed);
    Decision decision { "stop", isForced ? "forced" : "repeated" };
    decision.facts["signal"] = signal == StopSignal::Interrupt ? "interrupt" : "terminate";
    decision.facts["after_ms"] = Json::Int64(toMillis(elapsed));
    decision.facts["in_flight"] = Json::UInt64(inFlight);
    log.record(decision);
    return isForced;
}

} // namespace laburnum
