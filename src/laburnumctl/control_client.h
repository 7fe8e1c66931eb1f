/// A client of the operators' API on control hosts, over cpp-httplib.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <laburnumroute/auth.h>
#include <laburnumroute/clock.h>

#include "messages.h"

namespace laburnum::ctl {

/// Time as the client sees it; tests put in a clock that stands still.
struct Pacer {
    const Clock& clock;
    /// Waits for a while.
    std::function<void(Duration)> pause;
};

/// Where the client sends requests and how it signs them.
struct ControlAccess {
    /// Addresses of control hosts, tried in turn.
    std::vector<std::string> addresses;
    /// Signs every request when set.
    std::optional<SharedKey> key;
    /// How long a request is repeated while no host answers it.
    Duration timeout;
};

/// Sends each request to one control host after another until one answers it. Every request is
/// idempotent, so that it can be repeated after a lost answer.
class ControlClient {
public:
    ControlClient(ControlAccess access, Pacer pacer);

    /// Submits a change and returns its revision. Conflict: another change came before.
    /// Unavailable: nobody answered, so the outcome is unknown; submit the same change again.
    Expected<Revision> submit(const ConfigChange& change);
    /// The newest version, or that of `revision`.
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
    Pacer m_pacer;
    /// Index of the address that answered last.
    std::size_t m_preferred = 0;
};

} // namespace laburnum::ctl
