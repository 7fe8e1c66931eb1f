/// How a body is delimited on one connection.
#pragma once

#include <string>
#include <vector>

#include <laburnumroute/http_message.h>

namespace laburnum::pvt {

enum class BodyFraming {
    None,
    /// The body's bytes as they are: by Content-Length, or up to the end of the connection.
    Identity,
    Chunked,
};

/// The bytes to send for one part of a body.
std::string frameBodyPart(BodyFraming framing, std::string part);
/// The bytes to send after the last part.
std::string frameBodyEnd(BodyFraming framing, const std::vector<HeaderField>& trailers);

} // namespace laburnum::pvt
