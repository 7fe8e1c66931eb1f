/// Calls to a process itself, whole in memory.
#pragma once

#include <string>
#include <vector>

#include <laburnumroute/http_message.h>

namespace laburnum {

struct WebRequest {
    std::string method;
    std::string target;
    std::string body;
};

struct WebResponse {
    unsigned status = 200;
    std::string contentType = "application/json";
    std::string body;
    std::vector<HeaderField> fields;
};

} // namespace laburnum
