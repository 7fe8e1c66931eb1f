/// What became of the requests at a service's instances over time, from the logs of all hosts.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <laburnumroute/log_lines.h>

namespace laburnum {

/// What happened at an instance.
enum class EventKind { Served, Failed, Shed, Silent, NotConnected, Doubted };

/// The stable word for `kind`.
const char* eventKindName(EventKind kind) noexcept;

struct TimelineEvent {
    std::int64_t timeMs = 0;
    EventKind kind = EventKind::Served;
    std::string instance;
    /// The host that saw it; the leader for Doubted.
    std::string host;
    /// The request; empty for Doubted.
    std::string id;
};

/// Events in order of time.
struct Timeline {
    std::vector<TimelineEvent> events;
};

/// The events of the instance or of all instances of the service that is called `name`.
Timeline buildTimeline(const LogLines& log, const std::string& name);

/// Counts of each kind by instance and second, as text.
std::string renderTimelineText(const Timeline& timeline);

/// A picture: a row for each instance, a mark for each event. SVG 1.1.
std::string renderTimelineSvg(const Timeline& timeline, const std::string& title);

} // namespace laburnum
