/// One process of a seeded fleet: an entry host or a control host, on a single thread.
#pragma once

#include <memory>
#include <string>

#include "seeded_settings.h"

namespace laburnum {

class SeededNode {
public:
    virtual ~SeededNode() = default;
    /// Binds the addresses. An ErrorCode::Io error names the address that cannot be bound.
    virtual Expected<void> start() = 0;
    /// Serves until SIGTERM or SIGINT, then stops gracefully.
    virtual void run() = 0;
};

/// The file at `settingsPath` is watched; a change updates the seeds.
std::unique_ptr<SeededNode> makeEntryNode(SeededSettings settings, std::string settingsPath);
std::unique_ptr<SeededNode> makeControlNode(SeededSettings settings, std::string settingsPath);

/// A control host's id: its peer address as text.
HostId controlHostId(const Endpoint& peer);
std::vector<HostId> controlHostIds(const std::vector<Endpoint>& peers);
/// Random seed from std::random_device.
std::uint64_t randomSeed();
/// Appends a gauge without labels in the Prometheus text format.
void addGauge(std::string& text, const std::string& name, const std::string& value);
/// Logs the start with the role, the data centre, `first_start` and the seeds.
void logStart(const SeededSettings& settings, DecisionLog& log);

} // namespace laburnum
