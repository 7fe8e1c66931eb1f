/// Semantic checks on request heads, and values derived from them.
#pragma once

#include <laburnumroute/dispatcher.h>
#include <laburnumroute/header_names.h>
#include <laburnumroute/http_message.h>

namespace laburnum::pvt {

/// Rejects a missing, repeated or malformed Host and methods that cannot be forwarded. Rewrites a
/// target in absolute form to origin form, with its authority as Host (RFC 9112, section 3.2.2).
Expected<void> validateRequest(HttpHead& request);
/// The attributes of a validated request that the dispatcher routes by.
RequestAttributes attributesOf(const HttpHead& request);
/// Whether the caller may wait for `100 Continue` before it sends the body.
bool expectsContinue(const HttpHead& request);
/// The time limit stated by the caller, if there is a valid one.
std::optional<Duration> callerDeadline(const HttpHead& request, const HeaderNames& names);
/// The smaller of `maximum` and the time limit stated by the caller.
Duration timeLimit(const HttpHead& request, const HeaderNames& names, Duration maximum);

} // namespace laburnum::pvt
