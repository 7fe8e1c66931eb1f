/// Settings of one process of a seeded fleet, which knows some control hosts (the seeds) and
/// discovers the others through them.
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
    HostLocation location;
    /// Registered name of the protocol adapter.
    std::string interface;
    /// Control host if true, entry host if false.
    bool control = false;
    /// Address for callers; set on entry hosts.
    std::optional<Endpoint> entry;
    /// Address for readiness checks; optional, used on entry hosts.
    std::optional<Endpoint> readiness;
    /// Address for calls of instances and operators; set on control hosts.
    std::optional<Endpoint> apiEndpoint;
    /// Address for other hosts: TCP on control hosts, UDP on entry hosts. Required on control
    /// hosts.
    std::optional<Endpoint> peer;
    std::optional<Endpoint> metrics;
    /// Peer addresses of control hosts.
    std::vector<Endpoint> seeds;
    /// Allows bootstrapping a new fleet: set only when the whole fleet starts for the first time.
    bool firstStart = false;
    /// Folder for durable state; required on control hosts.
    std::string dataFolder;
    DataCentreMap dataCentres;
    /// Simultaneous losses of control hosts that the fleet survives.
    unsigned toleratedFailures = 2;
    RetryBudgetLimits retryBudget;
    /// Longest time for which an entry host accepts an account key that was removed. Zero: no
    /// limit while the host has no contact with the control hosts.
    Duration keyValidity {};
    /// Control hosts: one-way delay from which on another data centre of the region counts as far;
    /// zero: none does.
    Duration spilloverFrom {};
    /// Time from the stop signal to the end of the process.
    Duration stopGrace = std::chrono::seconds(30);
    /// Bound on the bytes that an entry host holds for its connections.
    std::size_t bufferBytes = std::size_t { 32 } * 1024 * 1024;
    /// Decision log file; empty for standard output.
    std::string logFile;
};

/// Reads settings from `reader`, which collects all problems as findings.
SeededSettings readSeededSettings(TableReader& reader);
/// Reads the settings file at `path`. Returns nothing when it cannot be read or parsed, or when it
/// has no `seeds` key and thus belongs to a fleet that lists all its hosts (settings.h).
std::optional<SeededSettings> readSeededFile(const std::string& path, Findings& findings);

} // namespace laburnum
