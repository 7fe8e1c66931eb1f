/// JSON-RPC 2.0 notifications between laburnumd processes, by libjsonrpccpp.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include <json/value.h>

#include <laburnumroute/error.h>

namespace laburnum {

/// Encodes a notification. `params` is a JSON object.
std::string encodeNotification(const std::string& method, const Json::Value& params);

/// Decodes notifications and calls the handler of their method. add() is called before the first
/// dispatch(); afterwards dispatch() is safe from any thread if the handlers are.
class NotificationDispatcher {
public:
    using Handler = std::function<void(const Json::Value& params)>;

    NotificationDispatcher();
    ~NotificationDispatcher();

    void add(const std::string& method, Handler handler);
    /// Handles one encoded notification. InvalidArgument: it is malformed. NotFound: its method has
    /// no handler, as happens while hosts of different versions talk.
    Expected<void> dispatch(const std::string& text);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace laburnum
