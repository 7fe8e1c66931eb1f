/// Counts the frames between entry hosts and control hosts, and among control hosts, by purpose.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace laburnum {

enum class FrameDirection { In, Out };

/// Not thread-safe.
class FrameMeter {
public:
    struct Total {
        std::uint64_t frames = 0;
        /// With the length prefix, without headers of TCP.
        std::uint64_t bytes = 0;
    };
    using Key = std::pair<std::string_view, FrameDirection>;

    /// What a frame is for: placement, config, instances, heartbeat, log, call or other.
    static std::string_view purpose(std::string_view frame);
    void count(std::string_view frame, FrameDirection direction);
    Total total(std::string_view purpose, FrameDirection direction) const;
    /// The counters in the text format of Prometheus.
    std::string render() const;

private:
    std::map<Key, Total> m_totals;
};

} // namespace laburnum
