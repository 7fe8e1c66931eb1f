/// Error handling by values: fallible calls return Expected<T>; no exception crosses the API.
#pragma once

#include <string>
#include <utility>

#include <tl/expected.hpp>

namespace laburnum {

/// Category of a failure, for callers to branch on.
enum class ErrorCode {
    InvalidArgument,
    NotFound,
    Conflict,
    Unavailable,
    Timeout,
    Corrupt,
    Io,
    PermissionDenied,
    Closed,
    TooLarge,
};

/// Returns the stable lower-case name of `code`, used in logs and JSON.
const char* errorCodeName(ErrorCode code) noexcept;

/// A failure: its category and a message for people that names what failed.
struct Error {
    ErrorCode code = ErrorCode::Io;
    std::string message;
};

template <class T> using Expected = tl::expected<T, Error>;

/// Creates the error value of any Expected<T>.
inline tl::unexpected<Error> fail(ErrorCode code, std::string message)
{
    return tl::unexpected<Error>(Error { code, std::move(message) });
}

} // namespace laburnum
