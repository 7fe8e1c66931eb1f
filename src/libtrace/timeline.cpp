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

    struct Look {
        const char* name;
        const char* colour;
    };

    constexpr std::array<Look, 6> looks { {
        { "served", "#2a9d3a" },
        { "failed", "#c0272d" },
        { "shed", "#e08a1e" },
        { "silent", "#6a3d9a" },
        { "not-connected", "#555555" },
        { "doubted", "#f2d0d0" },
    } };

    constexpr std::int64_t secondMs = 1000;
    // Sizes of the picture in pixels.
    constexpr int rowHeight = 14;
    constexpr int nameWidth = 140;
    constexpr int picturesWidth = 1000;
    constexpr int top = 40;
    constexpr int halfMark = 2;

    /// An attempt that its host gave up before the instance had had an attempt's time.
    bool isEarly(const LogLine& line)
    {
        return line.reason == "given-up"
            && (line.number("status") != 0 || line.number("ms") < line.number("limit_ms"));
    }

    std::optional<EventKind> kindOf(const LogLine& line)
    {
        if (pvt::isServed(line))
            return EventKind::Served;
        if (line.kind != "attempt" || line.reason == "caller-gone" || isEarly(line))
            return std::nullopt;
        if (line.reason == "shed")
            return EventKind::Shed;
        if (line.reason == "deadline" || line.reason == "given-up")
            return EventKind::Silent;
        if (line.reason == "not-connected")
            return EventKind::NotConnected;
        return EventKind::Failed;
    }

    /// Text that may stand in XML.
    std::string escaped(const std::string& text)
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

    void addDoubts(const LogLine& line, const std::set<std::string>& instances, Timeline& timeline)
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
    return looks.at(static_cast<std::size_t>(kind)).name;
}

Timeline buildTimeline(const LogLines& log, const std::string& name)
{
    Timeline timeline;
    const auto instances = instancesOf(log, name);
    for (const LogLine& line : log.lines) {
        if (line.kind == "judge")
            addDoubts(line, instances, timeline);
        const std::string instance = line.text("instance");
        const auto kind = kindOf(line);
        if (kind && instances.contains(instance))
            timeline.events.push_back({ line.timeMs, *kind, instance, line.host, line.text("id") });
    }
    return timeline;
}

std::string renderTimelineText(const Timeline& timeline)
{
    if (timeline.events.empty())
        return "nothing happened there\n";
    const std::int64_t first = timeline.events.front().timeMs;
    std::map<std::pair<std::int64_t, std::string>, std::array<unsigned, looks.size()>> counts;
    for (const TimelineEvent& event : timeline.events)
        ++counts[{ (event.timeMs - first) / secondMs, event.instance }].at(
            static_cast<std::size_t>(event.kind));
    std::ostringstream out;
    out << "seconds from " << first << " ms, instance, counts\n";
    for (const auto& [key, row] : counts) {
        out << key.first << ' ' << key.second;
        for (std::size_t i = 0; i < looks.size(); ++i) {
            if (row.at(i) != 0)
                out << ' ' << looks.at(i).name << '=' << row.at(i);
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
    int next = 0;
    for (auto& [instance, row] : rows)
        row = next++;
    const std::int64_t first = timeline.events.empty() ? 0 : timeline.events.front().timeMs;
    const std::int64_t last = timeline.events.empty() ? 0 : timeline.events.back().timeMs;
    const auto xOf = [&](std::int64_t timeMs) {
        return nameWidth
            + (timeMs - first) * picturesWidth / std::max<std::int64_t>(last - first, 1);
    };
    std::ostringstream out;
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << nameWidth + picturesWidth + 10
        << "\" height=\"" << top + rowHeight * (next + 2)
        << "\" font-family=\"sans-serif\" font-size=\"10\">\n<text x=\"4\" y=\"14\">"
        << escaped(title) << "</text>\n";
    int x = nameWidth;
    for (const Look& look : looks) {
        out << "<text x=\"" << x << "\" y=\"28\" fill=\"" << look.colour << "\">" << look.name
            << "</text>\n";
        x += nameWidth;
    }
    for (const auto& [instance, row] : rows)
        out << "<text x=\"4\" y=\"" << top + rowHeight * (row + 1) << "\">" << escaped(instance)
            << "</text>\n";
    for (const TimelineEvent& event : timeline.events)
        out << "<rect x=\"" << xOf(event.timeMs) - halfMark << "\" y=\""
            << top + rowHeight * rows[event.instance] + 4 << "\" width=\"" << 2 * halfMark
            << "\" height=\"" << rowHeight - 4 << "\" fill=\""
            << looks.at(static_cast<std::size_t>(event.kind)).colour << "\"><title>"
            << event.timeMs - first << " ms " << escaped(event.host + ' ' + event.id)
            << "</title></rect>\n";
    out << "<text x=\"" << nameWidth << "\" y=\"" << top + rowHeight * (next + 1)
        << "\">0 s</text>\n"
        << "<text x=\"" << nameWidth + picturesWidth - 40 << "\" y=\""
        << top + rowHeight * (next + 1) << "\">" << (last - first) / secondMs
        << " s</text>\n</svg>\n";
    return out.str();
}

} // namespace laburnum
