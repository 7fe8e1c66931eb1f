/// Checks on a request's head that go beyond its syntax.
#pragma once

#include <laburnumroute/dispatcher.h>
#include <laburnumroute/header_names.h>
#include <laburnumroute/http_message.h>

namespace laburnum::pvt {

/// Refuses a missing, repeated or malformed Host and methods that cannot be forwarded. A target in
/// absolute form is put into origin form, and its authority becomes the Host (RFC 9112, section
/// 3.2.2).
Expected<void> vetRequest(HttpHead& request);
/// What the dispatcher needs to know of a vetted request.
RequestAttributes factsOf(const HttpHead& request);
/// True when the caller may wait for `100 Continue` before it sends the body.
bool expectsContinue(const HttpHead& request);
/// The caller's own time limit, if it states a valid one.
std::optional<Duration> callerDeadline(const HttpHead& request, const HeaderNames& names);
/// `most`, or the caller's own time limit if that is shorter.
Duration timeLimit(const HttpHead& request, const HeaderNames& names, Duration most);

} // namespace laburnum::pvt
