#include "update_encoder_pvt.h"

#include <utility>

#include "controller_messages_pvt.h"
#include "text_delta_pvt.h"

namespace laburnum::pvt {

const std::string& UpdateEncoder::configFrame(const ConfigNumber& baseNumber)
{
    const NumberedConfig& config = m_state.config();
    if (std::exchange(m_configNumber, config.number) != config.number)
        m_configFrames.clear();
    const NumberedConfig* base = m_state.earlierConfig(baseNumber);
    std::string& bytes = m_configFrames[base != nullptr ? base->number : std::nullopt];
    if (bytes.empty())
        bytes = pack(ConfigFrame { config.number.value(),
            base != nullptr ? base->number.value() : 0,
            encodeDelta(config.content, base != nullptr ? base->content : ""), base != nullptr });
    return bytes;
}

const std::string& UpdateEncoder::instancesFrame(std::optional<LogIndex> known)
{
    if (std::exchange(m_instancesIndex, m_state.instancesIndex()) != m_state.instancesIndex())
        m_instanceFrames.clear();
    std::string& bytes = m_instanceFrames[known];
    if (!bytes.empty())
        return bytes;
    InstancesFrame frame;
    frame.index = m_state.instancesIndex().value();
    const auto changed = known ? m_state.changedSince(*known) : std::nullopt;
    frame.full = !changed;
    frame.base = known.value_or(LogIndex(0)).value();
    for (const auto& [id, record] : m_state.instances()) {
        if (!changed || changed->contains(id))
            frame.instances.push_back(toRow(record));
    }
    if (changed) {
        for (const InstanceId& id : *changed) {
            if (!m_state.instances().contains(id))
                frame.removed.push_back(id.value());
        }
    }
    bytes = pack(frame);
    return bytes;
}

} // namespace laburnum::pvt
