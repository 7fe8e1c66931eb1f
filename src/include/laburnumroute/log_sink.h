/// Decision log built on log4cxx: JSON lines to a file or standard output, written by a background
/// thread. A slow or absent reader does not block callers. Lines are queued in memory up to a
/// limit; beyond it, lines about ordinary outcomes are dropped first and lines that explain failed
/// requests last. Dropped lines are counted and reported as `log-volume: dropped` once writing
/// succeeds again. The number of lines of one kind and reason is limited per second
/// (log_rate_limiter.h).
#pragma once

#include <cstddef>
#include <memory>
#include <string>

#include <laburnumroute/decision.h>
#include <laburnumroute/ids.h>

namespace laburnum {

/// Capacity of the queue; at about 350 bytes a line it takes at most 3 MB.
inline constexpr std::size_t maxQueuedLogLines = 8192;
/// Queue length from which lines without Decision::alwaysLog are dropped.
inline constexpr std::size_t maxQueuedOrdinaryLogLines = maxQueuedLogLines / 2;

/// Opens the log; one per process. `file` is a path, or empty for standard output. Ignores SIGPIPE
/// from then on, so that a reader that closes its end does not terminate the process. When the file
/// cannot be opened, reports it on standard error and logs to standard output.
std::unique_ptr<DecisionLog> openDecisionLog(const HostId& host, const std::string& file);

} // namespace laburnum
