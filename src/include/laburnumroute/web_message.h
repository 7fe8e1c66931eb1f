/// Requests to and responses of a process's own HTTP interface, with bodies held in memory.
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
