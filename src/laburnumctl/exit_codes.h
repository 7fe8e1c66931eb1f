/// Exit codes of laburnumctl; docs/laburnumctl.md describes them for users.
#pragma once

#include <laburnumroute/error.h>

namespace laburnum::ctl {

enum ExitCode {
    ExitOk = 0,
    /// check: findings. diff: differences. apply: the file has errors, nothing was sent. trace and
    /// timeline: nothing found in the logs.
    ExitFindings = 1,
    /// Unknown command, option or argument, or a file that cannot be read.
    ExitUsage = 2,
    /// No control host answered in time. After apply the outcome is unknown: submit it again.
    ExitUnreachable = 3,
    /// A control host refused the request, for example because of a conflict.
    ExitRefused = 4,
    /// The change is accepted but not yet in force at every host.
    ExitLagging = 5,
};

/// The exit code for a request that failed with `error`.
inline ExitCode exitCodeOf(const Error& error) noexcept
{
    const bool unreachable
        = error.code == ErrorCode::Unavailable || error.code == ErrorCode::Timeout;
    return unreachable ? ExitUnreachable : ExitRefused;
}

} // namespace laburnum::ctl
