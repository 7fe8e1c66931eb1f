/// The decision log on log4cxx: JSON lines to a file or standard output, written off the request
/// path. A reader that is slow or gone holds nothing up: lines wait in memory up to a bound, then
/// those of ordinary ends are dropped first, those that explain failed requests last; dropped lines
/// are counted and told as `log-volume: dropped` once the reader takes lines again. Lines of one
/// sort are bounded a second (log_rate_limiter.h).
#pragma once

#include <cstddef>
#include <memory>
#include <string>

#include <laburnumroute/decision.h>
#include <laburnumroute/ids.h>

namespace laburnum {

/// Lines that wait for the writer; about 350 bytes each, so 3 MB at most.
inline constexpr std::size_t maxQueuedLogLines = 8192;
/// The part of the queue that lines which need not be kept may fill.
inline constexpr std::size_t maxQueuedOrdinaryLogLines = maxQueuedLogLines / 2;

/// Opens the log. `file` is a path, or empty for standard output. One per process. SIGPIPE is
/// ignored from then on: a reader that goes away must not end the process. A file that cannot be
/// opened is told on standard error, and standard output is used.
std::unique_ptr<DecisionLog> openDecisionLog(const HostId& host, const std::string& file);

} // namespace laburnum
