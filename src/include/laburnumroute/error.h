/// Errors as values: every fallible call returns Expected<T>; nothing throws across the API.
#pragma once

#include <string>
#include <utility>

#include <tl/expected.hpp>

namespace laburnum {

/// What kind of failure an Error reports; callers branch on this, people read the message.
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

/// Returns the stable lower-case name of `code`, as it stands in logs and JSON.
const char* errorCodeName(ErrorCode code) noexcept;

/// A failure: a code to branch on and a message that names the thing that failed.
struct Error {
    ErrorCode code = ErrorCode::Io;
    std::string message;
};

template <class T> using Expected = tl::expected<T, Error>;

/// Builds the failure side of any Expected<T>.
inline tl::unexpected<Error> fail(ErrorCode code, std::string message)
{
    return tl::unexpected<Error>(Error { code, std::move(message) });
}

} // namespace laburnum
