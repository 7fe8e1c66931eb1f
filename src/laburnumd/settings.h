/// Settings of one laburnumd process in a fleet whose settings list all hosts, read from TOML.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <laburnumroute/dispatcher.h>
#include <laburnumroute/endpoint.h>
#include <laburnumroute/findings.h>
#include <laburnumroute/ids.h>

namespace laburnum {

/// Another laburnumd process of the fleet.
struct PeerSettings {
    HostLocation location;
    Endpoint endpoint;
    /// The peer is a voter of the replicated log.
    bool control = false;
    /// The peer stores claims on idempotency keys.
    bool claims = false;
};

struct Settings {
    HostLocation location;
    /// Address for callers; the process serves none when unset.
    std::optional<Endpoint> entry;
    /// Address for announcements, health checks and metrics.
    Endpoint admin;
    /// Address for operators' calls, which are signed with the shared key; used on control hosts.
    std::optional<Endpoint> operators;
    /// Address for messages from other laburnumd processes.
    Endpoint peer;
    /// The process is a voter of the replicated log.
    bool control = false;
    /// The process stores claims on idempotency keys.
    bool claims = false;
    /// Folder for durable state; empty on a host without a disk. Required on control hosts and on
    /// hosts that store claims.
    std::string dataFolder;
    /// File with the key that hosts and operators share; empty disables authentication.
    std::string keyFile;
    /// Decision log file; empty for standard output.
    std::string logFile;
    /// Number of threads that serve requests.
    unsigned workers = 2;
    std::vector<PeerSettings> peers;
};

/// Parses `text`; all problems are added to `findings`.
Settings readSettings(std::string_view text, const std::string& fileName, Findings& findings);

} // namespace laburnum
