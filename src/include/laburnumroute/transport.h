/// Messages between laburnumd processes. Decision libraries return PeerMessages; shells and fakes
/// carry them. Delivery is best effort: a message can be lost, delayed, repeated or reordered.
#pragma once

#include <string>

#include <json/value.h>

#include <laburnumroute/ids.h>

namespace laburnum {

/// One one-way message. `method` is `library.verb`, such as `log.append`; `params` is a JSON object
/// that the library encodes from and decodes into a typed message.
struct PeerMessage {
    HostId from;
    HostId to;
    std::string method;
    Json::Value params;
};

/// Carries messages to other hosts. send() never blocks and may drop; safe from any thread.
class Transport {
public:
    virtual ~Transport() = default;
    virtual void send(PeerMessage message) = 0;
};

} // namespace laburnum
