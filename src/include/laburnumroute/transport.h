/// Messages between laburnumd processes. Decision libraries return PeerMessages; network code and
/// test fakes deliver them. Delivery is best effort: a message can be lost, delayed, duplicated or
/// reordered.
#pragma once

#include <string>

#include <json/value.h>

#include <laburnumroute/ids.h>

namespace laburnum {

/// A one-way message. `method` has the form `library.verb`, such as `log.append`; `params` is a
/// JSON object encoded and decoded by that library.
struct PeerMessage {
    HostId from;
    HostId to;
    std::string method;
    Json::Value params;
};

/// Sends messages to other hosts. send() never blocks and may drop a message; thread-safe.
class Transport {
public:
    virtual ~Transport() = default;
    virtual void send(PeerMessage message) = 0;
};

} // namespace laburnum
