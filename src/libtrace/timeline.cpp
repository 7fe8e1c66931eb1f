#include <laburnumroute/timeline.h>

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <set>
#include <sstream>

#include "instance_record_pvt.h"

namespace laburnum {

namespace {

    struct EventStyle {
        const char* name;
        const char* colour;
    };

    constexpr std::array<EventStyle, 6> eventStyles { {
        { "served", "#2a9d3a" },
        { "failed", "#c0272d" },
        { "shed", "#e08a1e" },
        { "silent", "#6a3d9a" },
        { "not-connected", "#555555" },
        { "doubted", "#f2d0d0" },
    } };

    constexpr std::int64_t secondMs = 1000;
    // Dimensions of the picture in pixels.
    constexpr int rowHeight = 14;
    constexpr int nameWidth = 140;
    constexpr int plotWidth = 1000;
    constexpr int topMargin = 40;
    constexpr int halfMarkWidth = 2;

    /// True for an attempt that the host abandoned after a response had begun, or before the
    /// attempt's time limit had passed; it says nothing about the instance.
    bool abandonedEarly(const LogLine& line)
    {
        return line.reason == "given-up"
            && (line.number("status") != 0 || line.number("ms") < line.number("limit_ms"));
    }

    std::optional<EventKind> eventKindOf(const LogLine& line)
    {
        if (pvt::isServed(line))
            return EventKind::Served;
        if (line.kind != "attempt" || line.reason == "caller-gone" || abandonedEarly(line))
            return std::nullopt;
        if (line.reason == "shed")
            return EventKind::Shed;
        if (line.reason == "deadline" || line.reason == "given-up")
            return EventKind::Silent;
        if (line.reason == "not-connected")
            return EventKind::NotConnected;
        return EventKind::Failed;
    }

    /// `text` as XML character data.
    std::string xmlEscaped(const std::string& text)
    {
        std::string result;
        for (const char c : text) {
            if (c == '<')
                result += "&lt;";
            else if (c == '&')
                result += "&amp;";
            else
                result += c;
        }
        return result;
    }

    std::set<std::string> instancesOf(const LogLines& log, const std::string& name)
    {
        std::set<std::string> instances;
        for (const LogLine& line : log.lines) {
            const std::string instance = line.text("instance");
            if (!instance.empty() && (instance == name || line.text("service") == name))
                instances.insert(instance);
        }
        return instances;
    }

    void addDoubtedEvents(
        const LogLine& line, const std::set<std::string>& instances, Timeline& timeline)
    {
        for (const Json::Value& each : line.facts["instances"]) {
            if (each.isString() && instances.contains(each.asString()))
                timeline.events.push_back(
                    { line.timeMs, EventKind::Doubted, each.asString(), line.host, {} });
        }
    }

} // namespace

const char* eventKindName(EventKind kind) noexcept
{
    return eventStyles.at(static_cast<std::size_t>(kind)).name;
}

Timeline buildTimeline(const LogLines& log, const std::string& name)
{
    Timeline timeline;
    const auto instances = instancesOf(log, name);
    for (const LogLine& line : log.lines) {
        if (line.kind == "judge")
            addDoubtedEvents(line, instances, timeline);
        const std::string instance = line.text("instance");
        const auto kind = eventKindOf(line);
        if (kind && instances.contains(instance))
            timeline.events.push_back({ line.timeMs, *kind, instance, line.host, line.text("id") });
    }
    return timeline;
}

std::string renderTimelineText(const Timeline& timeline)
{
    if (timeline.events.empty())
        return "no events found\n";
    const std::int64_t first = timeline.events.front().timeMs;
    std::map<std::pair<std::int64_t, std::string>, std::array<unsigned, eventStyles.size()>> counts;
    for (const TimelineEvent& event : timeline.events)
        ++counts[{ (event.timeMs - first) / secondMs, event.instance }].at(
            static_cast<std::size_t>(event.kind));
    std::ostringstream out;
    out << "seconds from " << first << " ms, instance, counts\n";
    for (const auto& [key, row] : counts) {
        out << key.first << ' ' << key.second;
        for (std::size_t i = 0; i < eventStyles.size(); ++i) {
            if (row.at(i) != 0)
                out << ' ' << eventStyles.at(i).name << '=' << row.at(i);
        }
        out << '\n';
    }
    return out.str();
}

std::string renderTimelineSvg(const Timeline& timeline, const std::string& title)
{
    std::map<std::string, int> rows;
    for (const TimelineEvent& event : timeline.events)
        rows.try_emplace(event.instance, 0);
    int rowCount = 0;
    for (auto& [instance, row] : rows)
        row = rowCount++;
    const std::int64_t first = timeline.events.empty() ? 0 : timeline.events.front().timeMs;
    const std::int64_t last = timeline.events.empty() ? 0 : timeline.events.back().timeMs;
    const auto xOf = [&](std::int64_t timeMs) {
        return nameWidth + (timeMs - first) * plotWidth / std::max<std::int64_t>(last - first, 1);
    };
    std::ostringstream out;
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << nameWidth + plotWidth + 10
        << "\" height=\"" << topMargin + rowHeight * (rowCount + 2)
        << "\" font-family=\"sans-serif\" font-size=\"10\">\n<text x=\"4\" y=\"14\">"
        << xmlEscaped(title) << "</text>\n";
    int x = nameWidth;
    for (const EventStyle& style : eventStyles) {
        out << "<text x=\"" << x << "\" y=\"28\" fill=\"" << style.colour << "\">" << style.name
            << "</text>\n";
        x += nameWidth;
    }
    for (const auto& [instance, row] : rows)
        out << "<text x=\"4\" y=\"" << topMargin + rowHeight * (row + 1) << "\">"
            << xmlEscaped(instance) << "</text>\n";
    for (const TimelineEvent& event : timeline.events)
        out << "<rect x=\"" << xOf(event.timeMs) - halfMarkWidth << "\" y=\""
            << topMargin + rowHeight * rows[event.instance] + 4 << "\" width=\""
            << 2 * halfMarkWidth << "\" height=\"" << rowHeight - 4 << "\" fill=\""
            << eventStyles.at(static_cast<std::size_t>(event.kind)).colour << "\"><title>"
            << event.timeMs - first << " ms " << xmlEscaped(event.host + ' ' + event.id)
            << "</title></rect>\n";
    out << "<text x=\"" << nameWidth << "\" y=\"" << topMargin + rowHeight * (rowCount + 1)
        << "\">0 s</text>\n"
        << "<text x=\"" << nameWidth + plotWidth - 40 << "\" y=\""
        << topMargin + rowHeight * (rowCount + 1) << "\">" << (last - first) / secondMs
        << " s</text>\n</svg>\n";
    return out.str();
}

} // namespace laburnum
