/// Encoding of message bodies for one connection.
#pragma once

#include <string>
#include <vector>

#include <laburnumroute/http_message.h>

namespace laburnum::pvt {

enum class BodyFraming {
    None,
    /// Bytes are sent unchanged; Content-Length or the end of the connection delimits the body.
    Identity,
    Chunked,
};

/// Returns the bytes to send for one part of a body.
std::string frameBodyPart(BodyFraming framing, std::string part);
/// Returns the bytes to send after the last part.
std::string frameBodyEnd(BodyFraming framing, const std::vector<HeaderField>& trailers);

} // namespace laburnum::pvt
