/// What the logs of all hosts say of one instance around a moment.
#pragma once

#include <cstdint>
#include <string>

#include <laburnumroute/log_lines.h>

namespace laburnum::pvt {

/// A spell of a gray instance lasts some seconds; what it did within this of a request counts.
inline constexpr std::int64_t aroundMs = 4000;

struct InstanceRecord {
    /// Requests that the instance answered well.
    unsigned served = 0;
    /// Other requests that it failed, shed or left without an answer; none given up.
    unsigned failed = 0;
    /// Tries of other requests that found no connection to it.
    unsigned unreached = 0;
    /// The leader listed it as doubtful.
    bool doubted = false;

    /// It failed others too, and not just as rarely as any instance does.
    bool isGray() const { return failed >= 1 && 5 * failed >= served; }
};

/// The record of `instance` within aroundMs of `timeMs`, the request `id` left out.
InstanceRecord recordAround(
    const LogLines& log, const std::string& instance, std::int64_t timeMs, const std::string& id);

/// Whether `line` tells of a request that its instance answered well.
bool isServed(const LogLine& line);

} // namespace laburnum::pvt
