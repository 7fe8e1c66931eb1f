#include "report.h"

#include <fstream>
#include <ostream>
#include <sstream>

#include <laburnumroute/balancer.h>
#include <laburnumroute/configuration.h>
#include <laburnumroute/json.h>

#include "exit_codes.h"

namespace laburnum::ctl {

int reportError(const Session& session, const Error& error)
{
    if (session.options.json) {
        Json::Value value(Json::objectValue);
        value["error"] = errorCodeName(error.code);
        value["message"] = error.message;
        printJson(session, value);
    } else {
        session.errors << "laburnumctl: " << error.message << '\n';
    }
    return exitCodeOf(error);
}

void printJson(const Session& session, const Json::Value& value)
{
    session.out << toJsonText(value) << '\n';
}

std::optional<std::string> readFile(const Session& session, const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    if (file)
        text << file.rdbuf();
    if (file && !file.bad())
        return text.str();
    session.errors << "laburnumctl: cannot read '" << path << "'\n";
    return std::nullopt;
}

Findings checkConfiguration(const std::string& text, const std::string& path)
{
    Findings findings;
    readConfiguration(text, path, findings, { BalancerRegistry::instance().names(), {} });
    return findings;
}

} // namespace laburnum::ctl
