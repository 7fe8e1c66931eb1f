/// Settings of a process of a seeded fleet: it is told a few control hosts, and finds the rest.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include <laburnumroute/endpoint.h>
#include <laburnumroute/findings.h>
#include <laburnumroute/host_location.h>
#include <laburnumroute/protocol_adapter.h>
#include <laburnumroute/retry_window.h>
#include <laburnumroute/toml_table.h>

namespace laburnum {

struct SeededSettings {
    HostLocation place;
    /// Name of the registered outer interface.
    std::string interface;
    /// Keeps the fleet's state; else serves callers.
    bool control = false;
    /// Serves callers; set on entry hosts.
    std::optional<Endpoint> entry;
    /// Answers whether the host is ready; set on entry hosts.
    std::optional<Endpoint> ready;
    /// Calls of instances and operators; set on control hosts.
    std::optional<Endpoint> calls;
    /// Other hosts reach this one here: a control host by TCP, an entry host by UDP. Set on control
    /// hosts.
    std::optional<Endpoint> peer;
    std::optional<Endpoint> metrics;
    /// Where other control hosts are reached.
    std::vector<Endpoint> seeds;
    /// The whole fleet starts for the first time.
    bool firstStart = false;
    /// Folder for durable state; set on control hosts.
    std::string dataFolder;
    DataCentreMap dataCentres;
    /// Losses of control hosts to be borne at once.
    unsigned toleratedFailures = 2;
    RetryBudgetLimits repeats;
    /// From the signal to stop to the end.
    Duration stopGrace = std::chrono::seconds(30);
    /// File of the decision log; empty for standard output.
    std::string logFile;
};

/// Reads the settings of a seeded fleet's process; all problems go to `findings`.
SeededSettings readSeededSettings(TableReader& reader);
/// Reads the settings file at `path`. Nothing when it cannot be read or is of a listed fleet.
std::optional<SeededSettings> readSeededFile(const std::string& path, Findings& findings);

} // namespace laburnum
