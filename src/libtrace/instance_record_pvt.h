/// Outcomes at one instance around a point in time, from the logs of all hosts.
#pragma once

#include <cstdint>
#include <string>

#include <laburnumroute/log_lines.h>

namespace laburnum::pvt {

/// Events within this time before and after a request count. Gray failures last some seconds.
inline constexpr std::int64_t recordWindowMs = 4000;

struct InstanceRecord {
    /// Other requests that the instance answered with a status below 500.
    unsigned served = 0;
    /// Attempts of other requests that it failed, shed or did not answer. Attempts that the host
    /// abandoned or whose caller left do not count.
    unsigned failed = 0;
    /// Attempts of other requests that could not connect to it.
    unsigned notConnected = 0;
    /// The leader listed it as doubtful.
    bool doubted = false;

    /// At least one other request failed, and at least one in six of those served or failed: any
    /// instance fails a request now and then.
    bool isGray() const { return failed >= 1 && 5 * failed >= served; }
};

/// The record of `instance` within recordWindowMs of `timeMs`, without the request `id`.
InstanceRecord instanceRecordNear(
    const LogLines& log, const std::string& instance, std::int64_t timeMs, const std::string& id);

/// True for the final line of a request that was answered with a status below 500.
bool isServed(const LogLine& line);

} // namespace laburnum::pvt
