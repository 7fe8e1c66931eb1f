/// Encodes the updates that the leader sends to entry hosts.
#pragma once

#include <map>
#include <optional>
#include <string>

#include <laburnumroute/fleet_state.h>

namespace laburnum::pvt {

/// Hosts at the same version get the same bytes, which are encoded once for each version of the
/// state. Not thread-safe.
class UpdateEncoder {
public:
    /// `state` must outlive the encoder.
    explicit UpdateEncoder(const FleetState& state)
        : m_state(state)
    {
    }

    /// A ConfigFrame with the configuration, as a difference to number `baseNumber` where possible.
    /// Valid until the next call.
    const std::string& configFrame(const ConfigNumber& baseNumber);
    /// An InstancesFrame with the changes to the instances after `known`, or with all instances.
    /// Valid until the next call.
    const std::string& instancesFrame(std::optional<LogIndex> known);

private:
    const FleetState& m_state;
    /// By the version that the receiver has.
    std::map<ConfigNumber, std::string> m_configFrames;
    ConfigNumber m_configNumber;
    std::map<std::optional<LogIndex>, std::string> m_instanceFrames;
    LogIndex m_instancesIndex;
};

} // namespace laburnum::pvt
