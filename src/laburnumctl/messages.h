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

/// What a control host knows of one host.
struct HostStatus {
    HostId host;
    /// Revision in force there, as last heard.
    Revision revision;
    /// Time since the host was last heard, in milliseconds.
    std::optional<std::uint64_t> lagMs;
    bool alive = false;
};

/// The fleet as a control host sees it.
struct FleetStatus {
    Revision revision;
    /// Leader of the replicated log; empty when there is none.
    HostId leader;
    std::vector<HostStatus> hosts;
};

/// An instance that a request could go to, or the reason why not.
struct ExplainedCandidate {
    InstanceId instance;
    DataCentreId dataCentre;
    std::string state;
    std::string reason;
};

/// Where a request would go and why.
struct Explanation {
    /// Empty when no route matches.
    ServiceId service;
    std::vector<ExplainedCandidate> candidates;
    std::string reason;
};

/// Each decoder names the member that is missing or wrong.
Expected<ConfigVersion> decodeVersion(const Json::Value& value);
Expected<std::vector<HistoryEntry>> decodeHistory(const Json::Value& value);
Expected<FleetStatus> decodeStatus(const Json::Value& value);
Expected<Explanation> decodeExplanation(const Json::Value& value);

} // namespace laburnum::ctl
