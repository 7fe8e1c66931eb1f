// The commands check, diff and show; see commands.h.

#include "commands.h"

#include <ostream>

#include "exit_codes.h"
#include "report.h"
#include "text_diff.h"

namespace laburnum::ctl {

namespace {

    Json::Value encodeFindings(const Findings& findings)
    {
        Json::Value array(Json::arrayValue);
        for (const auto& finding : findings.sorted()) {
            Json::Value value(Json::objectValue);
            value["file"] = finding.location.file;
            value["line"] = Json::UInt64(finding.location.line);
            value["column"] = Json::UInt64(finding.location.column);
            value["severity"] = finding.severity == Severity::Error ? "error" : "warning";
            value["message"] = finding.message;
            array.append(value);
        }
        return array;
    }

    std::optional<Revision> revisionOf(const Options& options)
    {
        if (!options.revision)
            return std::nullopt;
        return Revision(*options.revision);
    }

    Json::Value encodeVersion(const ConfigVersion& version)
    {
        Json::Value value(Json::objectValue);
        value["revision"] = Json::UInt64(version.revision.value());
        value["change"] = version.change.value();
        value["content"] = version.content;
        return value;
    }

} // namespace

int runCheck(Session& session)
{
    const std::string& path = session.options.arguments[0];
    const auto text = readFile(session, path);
    if (!text)
        return ExitUsage;
    const Findings findings = checkConfiguration(*text, path);
    if (session.options.json) {
        printJson(session, encodeFindings(findings));
    } else {
        for (const auto& finding : findings.sorted())
            session.out << formatFinding(finding) << '\n';
    }
    return findings.empty() ? ExitOk : ExitFindings;
}

int runDiff(Session& session)
{
    const auto text = readFile(session, session.options.arguments[0]);
    if (!text)
        return ExitUsage;
    const auto version = session.client.version(revisionOf(session.options));
    if (!version)
        return reportError(session, version.error());
    const std::string diff = diffLines(version->content, *text);
    if (session.options.json) {
        Json::Value value(Json::objectValue);
        value["revision"] = Json::UInt64(version->revision.value());
        value["diff"] = diff;
        printJson(session, value);
    } else {
        session.out << diff;
    }
    return diff.empty() ? ExitOk : ExitFindings;
}

int runShow(Session& session)
{
    const auto version = session.client.version(revisionOf(session.options));
    if (!version)
        return reportError(session, version.error());
    if (session.options.json)
        printJson(session, encodeVersion(*version));
    else
        session.out << version->content;
    return ExitOk;
}

} // namespace laburnum::ctl
