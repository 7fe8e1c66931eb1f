/// Outcomes of the requests at a service's instances over time, from the logs of all hosts.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <laburnumroute/log_lines.h>

namespace laburnum {

/// What happened at an instance.
enum class EventKind {
    /// A response with a status below 500.
    Served,
    Failed,
    Shed,
    /// No response by the deadline or within the time limit of the attempt.
    Silent,
    NotConnected,
    /// The leader listed the instance as doubtful.
    Doubted
};

/// The name of `kind` in the text and the picture.
const char* eventKindName(EventKind kind) noexcept;

struct TimelineEvent {
    std::int64_t timeMs = 0;
    EventKind kind = EventKind::Served;
    std::string instance;
    /// The host that logged the event; the leader for Doubted.
    std::string host;
    /// Id of the request; empty for Doubted.
    std::string id;
};

/// Events in the order of the log.
struct Timeline {
    std::vector<TimelineEvent> events;
};

/// Collects the events of the instance `name`, or of all instances of the service `name`, from
/// `log`, which must be sorted by time.
Timeline buildTimeline(const LogLines& log, const std::string& name);

/// Renders the number of events of each kind by second and instance as text.
std::string renderTimelineText(const Timeline& timeline);

/// Renders an SVG 1.1 picture with a row for each instance and a mark for each event.
std::string renderTimelineSvg(const Timeline& timeline, const std::string& title);

} // namespace laburnum
