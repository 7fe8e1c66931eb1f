/// Names of the header fields by which callers, entry hosts and instances tell each other more than
/// HTTP does. The defaults are this project's own; an outer interface may bring others.
#pragma once

#include <string>

namespace laburnum {

/// An empty name means that the field is not used.
struct HeaderNames {
    /// Milliseconds that the caller waits; passed on less the time that has passed.
    std::string deadline = "Laburnum-Deadline-Ms";
    /// The caller's id of the request, which instances echo.
    std::string requestId;
    /// The instance that the request is meant for; any other refuses it.
    std::string expectedInstance;
    /// On an answer: the instance did not run the request.
    std::string notRun;
    /// On an answer: running requests, waiting requests and slots, separated by commas.
    std::string load;
    /// On an answer: present whenever an instance made it.
    std::string responseStamp;
};

} // namespace laburnum
