/// Settings of one laburnumd process, read from TOML.
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

/// Another laburnumd process that this one talks to.
struct PeerSettings {
    HostLocation place;
    Endpoint endpoint;
    /// The peer is a voter of the replicated log.
    bool control = false;
    /// The peer keeps claims on idempotency keys.
    bool claims = false;
};

/// Everything that a process is told at its start.
struct Settings {
    HostLocation place;
    /// Serves callers when set.
    std::optional<Endpoint> entry;
    /// Announcements, health and metrics.
    Endpoint admin;
    /// Operators' calls, signed with the shared key; set on control hosts.
    std::optional<Endpoint> operators;
    /// Messages from other laburnumd processes.
    Endpoint peer;
    /// The process is a voter of the replicated log.
    bool control = false;
    /// The process keeps claims on idempotency keys.
    bool claims = false;
    /// Folder for durable state; empty on a host without a disk. Control hosts and hosts that keep
    /// claims need one.
    std::string dataFolder;
    /// File with the key that hosts and operators share; empty leaves the fleet open.
    std::string keyFile;
    /// File of the decision log; empty for standard output.
    std::string logFile;
    /// Threads that serve requests.
    unsigned workers = 2;
    std::vector<PeerSettings> peers;
};

/// Reads settings; all problems go to `findings`.
Settings readSettings(std::string_view text, const std::string& fileName, Findings& findings);

} // namespace laburnum
