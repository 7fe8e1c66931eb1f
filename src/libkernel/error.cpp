#include <laburnumroute/error.h>

namespace laburnum {

const char* errorCodeName(ErrorCode code) noexcept
{
    switch (code) {
    case ErrorCode::InvalidArgument:
        return "invalid-argument";
    case ErrorCode::NotFound:
        return "not-found";
    case ErrorCode::Conflict:
        return "conflict";
    case ErrorCode::Unavailable:
        return "unavailable";
    case ErrorCode::Timeout:
        return "timeout";
    case ErrorCode::Corrupt:
        return "corrupt";
    case ErrorCode::Io:
        return "io";
    case ErrorCode::PermissionDenied:
        return "permission-denied";
    case ErrorCode::Closed:
        return "closed";
    case ErrorCode::TooLarge:
        return "too-large";
    }
    return "unknown";
}

} // namespace laburnum
