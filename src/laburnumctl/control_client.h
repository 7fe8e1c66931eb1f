/// A client of the control hosts' operators' API, over cpp-httplib.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <laburnumroute/auth.h>
#include <laburnumroute/clock.h>

#include "messages.h"

namespace laburnum::ctl {

/// The clock and the sleep function of the client; tests replace both with a manual clock.
struct TimeSource {
    const Clock& clock;
    std::function<void(Duration)> sleep;
};

/// Where the client sends requests and how it signs them.
struct ControlAccess {
    /// Addresses of control hosts, tried in order.
    std::vector<std::string> addresses;
    /// Signs every request when set.
    std::optional<SharedKey> key;
    /// How long a request is retried while no host answers.
    Duration timeout;
};

/// Sends each request to one control host after another until one answers. Every request is
/// idempotent and can be retried after a lost response.
class ControlClient {
public:
    ControlClient(ControlAccess access, TimeSource time);

    /// Submits a change and returns its revision. Fails with Conflict when another change was
    /// accepted first, and with Unavailable when no host sent a valid response: the outcome is then
    /// unknown, and the same change can be submitted again.
    Expected<Revision> submit(const ConfigChange& change);
    /// The version of `revision`, or the newest.
    Expected<ConfigVersion> version(std::optional<Revision> revision);
    Expected<std::vector<HistoryEntry>> history();
    Expected<FleetStatus> status();
    Expected<Explanation> explain(
        const std::string& method, const std::string& host, const std::string& target);
    Expected<void> drain(const InstanceId& instance);

private:
    struct Request {
        const char* method;
        std::string target;
        std::string body;
    };

    Expected<Json::Value> call(const Request& request);
    Expected<Json::Value> callOnce(const std::string& address, const Request& request) const;

    ControlAccess m_access;
    TimeSource m_time;
    /// Index of the address that answered last; the next request tries it first.
    std::size_t m_preferred = 0;
};

} // namespace laburnum::ctl
