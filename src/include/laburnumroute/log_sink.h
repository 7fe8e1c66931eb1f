/// The decision log on log4cxx: JSON lines to a file or standard output, written off the request
/// path.
#pragma once

#include <memory>
#include <string>

#include <laburnumroute/decision.h>
#include <laburnumroute/ids.h>

namespace laburnum {

/// Opens the log. `file` is a path, or empty for standard output. One per process.
std::unique_ptr<DecisionLog> openDecisionLog(const HostId& host, const std::string& file);

} // namespace laburnum
