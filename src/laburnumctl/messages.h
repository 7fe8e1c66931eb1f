/// The messages of the operators' API as docs/operators-api.md describes them.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include <json/value.h>

#include <laburnumroute/config_ledger.h>
#include <laburnumroute/error.h>
#include <laburnumroute/ids.h>

namespace laburnum::ctl {

/// One accepted revision without its content.
struct HistoryEntry {
    Revision revision;
    ChangeId change;
};

/// The state of one host as known to a control host.
struct HostStatus {
    HostId host;
    /// Revision in force at the host according to its last message.
    Revision revision;
    /// Time since the last message from the host, in milliseconds.
    std::optional<std::uint64_t> lagMs;
    bool alive = false;
};

/// The state of the fleet as known to a control host.
struct FleetStatus {
    Revision revision;
    /// Leader of the replicated log; empty when there is none.
    HostId leader;
    std::vector<HostStatus> hosts;
};

/// An instance of the service, with the reason why a request can or cannot go to it.
struct ExplainedCandidate {
    InstanceId instance;
    DataCentreId dataCentre;
    std::string state;
    std::string reason;
};

/// How a request would be routed and why.
struct Explanation {
    /// Empty when no route matches.
    ServiceId service;
    std::vector<ExplainedCandidate> candidates;
    std::string reason;
};

/// An error of a decoder names the member that is missing or has a wrong type.
Expected<ConfigVersion> decodeVersion(const Json::Value& value);
Expected<std::vector<HistoryEntry>> decodeHistory(const Json::Value& value);
Expected<FleetStatus> decodeStatus(const Json::Value& value);
Expected<Explanation> decodeExplanation(const Json::Value& value);

} // namespace laburnum::ctl
