#include <laburnumroute/frame_meter.h>

#include "controller_messages_pvt.h"

namespace laburnum {

namespace {

    using namespace pvt;

    constexpr std::size_t lengthPrefixBytes = 4;

    template <class... Messages> bool isOneOf(std::string_view frame)
    {
        return (isFrame<Messages>(frame) || ...);
    }

} // namespace

std::string_view FrameMeter::purpose(std::string_view frame)
{
    if (isOneOf<PlacementRequestFrame, AttemptEndFrame, CancelFrame, LocalPlacementFrame,
            GrantedFrame, RefusedFrame, WaitingFrame>(frame))
        return "placement";
    if (isFrame<ConfigFrame>(frame))
        return "config";
    if (isFrame<InstancesFrame>(frame))
        return "instances";
    if (isFrame<HeartbeatFrame>(frame))
        return "heartbeat";
    if (isFrame<LogMessageFrame>(frame))
        return "log";
    return isOneOf<ForwardedCallFrame, CallResultFrame>(frame) ? "call" : "other";
}

void FrameMeter::count(std::string_view frame, FrameDirection direction)
{
    Total& total = m_totals[{ purpose(frame), direction }];
    ++total.frames;
    total.bytes += frame.size() + lengthPrefixBytes;
}

FrameMeter::Total FrameMeter::total(std::string_view purpose, FrameDirection direction) const
{
    const auto found = m_totals.find({ purpose, direction });
    return found == m_totals.end() ? Total {} : found->second;
}

std::string FrameMeter::render() const
{
    std::string bytes = "# TYPE laburnum_control_bytes_total counter\n";
    std::string frames = "# TYPE laburnum_control_frames_total counter\n";
    for (const auto& [key, total] : m_totals) {
        const std::string labels = "{purpose=\"" + std::string(key.first) + "\",direction=\""
            + (key.second == FrameDirection::In ? "in" : "out") + "\"} ";
        bytes += "laburnum_control_bytes_total" + labels + std::to_string(total.bytes) + '\n';
        frames += "laburnum_control_frames_total" + labels + std::to_string(total.frames) + '\n';
    }
    return bytes + frames;
}

} // namespace laburnum
