/// One process of a seeded fleet: an entry host or a control host. Everything runs on one thread.
#pragma once

#include <memory>
#include <string>

#include "seeded_settings.h"

namespace laburnum {

class SeededNode {
public:
    virtual ~SeededNode() = default;
    /// Binds the addresses. Io names the one that cannot be bound.
    virtual Expected<void> start() = 0;
    /// Serves until a signal stops it.
    virtual void run() = 0;
};

/// `settingsPath` is read again when it changes.
std::unique_ptr<SeededNode> makeEntryNode(SeededSettings settings, std::string settingsPath);
std::unique_ptr<SeededNode> makeControlNode(SeededSettings settings, std::string settingsPath);

/// The name by which a control host goes among hosts.
HostId controlHostAt(const Endpoint& peer);
std::vector<HostId> controlHostsAt(const std::vector<Endpoint>& peers);
/// A number that differs with every start.
std::uint64_t drawSeed();
/// Adds a gauge without labels to `text`, in the metrics' text format.
void addGauge(std::string& text, const std::string& name, const std::string& value);
/// Logs a start with the settings that matter afterwards.
void recordStart(const SeededSettings& settings, DecisionLog& log);

} // namespace laburnum
