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

    /// Invalid lines that are reported one by one; the others are only counted.
    constexpr std::size_t maxReportedLines = 3;

    /// Reads the files named after the first argument; nothing when one cannot be read.
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
        for (std::size_t i = 0; i < std::min(log.invalid.size(), maxReportedLines); ++i)
            session.errors << log.invalid[i].file << ':' << log.invalid[i].number
                           << ": skipped: " << log.invalid[i].problem << '\n';
        if (log.invalid.size() > maxReportedLines)
            session.errors << "and " << log.invalid.size() - maxReportedLines
                           << " more invalid lines\n";
        return log;
    }

    void printTrace(const Session& session, const RequestTrace& trace)
    {
        const std::int64_t first = trace.lines.empty() ? 0 : trace.lines.front().timeMs;
        for (const LogLine& line : trace.lines) {
            Json::Value facts = line.facts;
            for (const char* printed : { "kind", "reason", "host", "time_ms", "id" })
                facts.removeMember(printed);
            session.out << '+' << line.timeMs - first << " ms " << line.host << ' ' << line.kind
                        << ": " << line.reason << ' ' << toJsonText(facts) << '\n';
        }
        session.out << "cause: " << outcomeCauseName(trace.cause) << ": " << trace.explanation
                    << '\n';
    }

    Json::Value encode(const RequestTrace& trace)
    {
        Json::Value value(Json::objectValue);
        value["cause"] = outcomeCauseName(trace.cause);
        value["sentence"] = trace.explanation;
        value["lines"] = Json::Value(Json::arrayValue);
        for (const LogLine& line : trace.lines)
            value["lines"].append(line.facts);
        return value;
    }

} // namespace

int runTrace(Session& session)
{
    const auto log = readLogs(session);
    if (!log)
        return ExitUsage;
    const RequestTrace trace = traceRequest(*log, session.options.arguments.front());
    if (session.options.json)
        printJson(session, encode(trace));
    else
        printTrace(session, trace);
    return trace.cause == OutcomeCause::NeverSeen ? ExitFindings : ExitOk;
}

int runTimeline(Session& session)
{
    const auto log = readLogs(session);
    if (!log)
        return ExitUsage;
    const std::string& name = session.options.arguments.front();
    const Timeline timeline = buildTimeline(*log, name);
    if (session.options.svgFile.empty()) {
        session.out << renderTimelineText(timeline);
    } else {
        std::ofstream file(session.options.svgFile, std::ios::binary);
        file << renderTimelineSvg(timeline, name);
        if (!file.flush()) {
            session.errors << "laburnumctl: cannot write '" << session.options.svgFile << "'\n";
            return ExitUsage;
        }
    }
    return timeline.events.empty() ? ExitFindings : ExitOk;
}

} // namespace laburnum::ctl
