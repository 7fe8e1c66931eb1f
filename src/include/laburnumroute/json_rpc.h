/// JSON-RPC 2.0 notifications between laburnumd processes, built on libjsonrpccpp.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include <json/value.h>

#include <laburnumroute/error.h>

namespace laburnum {

/// Encodes a notification. `params` is a JSON object.
std::string encodeNotification(const std::string& method, const Json::Value& params);

/// Decodes notifications and calls the handler of their method. All handlers must be added before
/// the first dispatch(). dispatch() is thread-safe if the handlers are.
class NotificationDispatcher {
public:
    using Handler = std::function<void(const Json::Value& params)>;

    NotificationDispatcher();
    ~NotificationDispatcher();

    void add(const std::string& method, Handler handler);
    /// Dispatches one encoded notification. Fails with InvalidArgument when it is malformed, and
    /// with NotFound when its method has no handler, as happens between hosts of different
    /// versions.
    Expected<void> dispatch(const std::string& text);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace laburnum
