// The commands trace and timeline; see commands.h.

#include "commands.h"

#include <fstream>
#include <ostream>
#include <sstream>

#include <laburnumroute/json.h>
#include <laburnumroute/request_trace.h>
#include <laburnumroute/timeline.h>

#include "exit_codes.h"
#include "report.h"

namespace laburnum::ctl {

namespace {

    /// Bad lines that are named one by one; the rest is counted.
    constexpr std::size_t badLinesNamed = 3;

    /// Reads the files behind the first argument; nothing when one cannot be read.
    std::optional<LogLines> readLogs(const Session& session)
    {
        LogLines log;
        const auto& arguments = session.options.arguments;
        for (auto file = arguments.begin() + 1; file != arguments.end(); ++file) {
            const auto text = readFile(session, *file);
            if (!text)
                return std::nullopt;
            std::istringstream in(*text);
            log.read(in, *file);
        }
        log.sortByTime();
        for (std::size_t i = 0; i < std::min(log.bad.size(), badLinesNamed); ++i)
            session.errors << log.bad[i].file << ':' << log.bad[i].number
                           << ": passed over: " << log.bad[i].why << '\n';
        if (log.bad.size() > badLinesNamed)
            session.errors << "and " << log.bad.size() - badLinesNamed << " more such lines\n";
        return log;
    }

    void printStory(const Session& session, const RequestTrace& story)
    {
        const std::int64_t first = story.lines.empty() ? 0 : story.lines.front().timeMs;
        for (const LogLine& line : story.lines) {
            Json::Value facts = line.facts;
            for (const char* shown : { "kind", "reason", "host", "time_ms", "id" })
                facts.removeMember(shown);
            session.out << '+' << line.timeMs - first << " ms " << line.host << ' ' << line.kind
                        << ": " << line.reason << ' ' << toJsonText(facts) << '\n';
        }
        session.out << "cause: " << outcomeCauseName(story.cause) << ": " << story.sentence << '\n';
    }

    Json::Value encode(const RequestTrace& story)
    {
        Json::Value value(Json::objectValue);
        value["cause"] = outcomeCauseName(story.cause);
        value["sentence"] = story.sentence;
        value["lines"] = Json::Value(Json::arrayValue);
        for (const LogLine& line : story.lines)
            value["lines"].append(line.facts);
        return value;
    }

} // namespace

int runTrace(Session& session)
{
    const auto log = readLogs(session);
    if (!log)
        return ExitUsage;
    const RequestTrace story = traceRequest(*log, session.options.arguments.front());
    if (session.options.json)
        printJson(session, encode(story));
    else
        printStory(session, story);
    return story.cause == OutcomeCause::NeverSeen ? ExitFindings : ExitOk;
}

int runTimeline(Session& session)
{
    const auto log = readLogs(session);
    if (!log)
        return ExitUsage;
    const std::string& name = session.options.arguments.front();
    const Timeline timeline = buildTimeline(*log, name);
    if (session.options.picture.empty()) {
        session.out << renderTimelineText(timeline);
    } else {
        std::ofstream file(session.options.picture, std::ios::binary);
        file << renderTimelineSvg(timeline, name);
        if (!file.flush()) {
            session.errors << "laburnumctl: cannot write '" << session.options.picture << "'\n";
            return ExitUsage;
        }
    }
    return timeline.events.empty() ? ExitFindings : ExitOk;
}

} // namespace laburnum::ctl
