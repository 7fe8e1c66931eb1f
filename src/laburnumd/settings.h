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
    HostId host;
    Endpoint endpoint;
    /// The peer is a voter of the replicated log.
    bool control = false;
};

/// Everything that a process is told at its start.
struct Settings {
    HostPlace place;
    /// Serves callers when set.
    std::optional<Endpoint> entry;
    /// Announcements, health, metrics and operators.
    Endpoint admin;
    /// Messages from other laburnumd processes.
    Endpoint peer;
    /// The process is a voter of the replicated log.
    bool control = false;
    /// Folder for durable state; control hosts need one.
    std::string dataFolder;
    /// File of the decision log; empty for standard output.
    std::string logFile;
    /// Threads that serve requests.
    unsigned workers = 2;
    std::vector<PeerSettings> peers;
};

/// Reads settings; all problems go to `findings`.
Settings readSettings(std::string_view text, const std::string& fileName, Findings& findings);

} // namespace laburnum
