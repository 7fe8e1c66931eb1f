// The commands status, history, explain and drain; see commands.h.

#include "commands.h"

#include <ostream>

#include "exit_codes.h"
#include "report.h"
#include "text_table.h"

namespace laburnum::ctl {

namespace {

    std::string textOf(const Revision& revision) { return std::to_string(revision.value()); }

    Json::Value encodeStatus(const FleetStatus& status)
    {
        Json::Value value(Json::objectValue);
        value["revision"] = Json::UInt64(status.revision.value());
        value["leader"] = status.leader.value();
        value["hosts"] = Json::arrayValue;
        for (const auto& host : status.hosts) {
            Json::Value item(Json::objectValue);
            item["host"] = host.host.value();
            item["revision"] = Json::UInt64(host.revision.value());
            item["alive"] = host.alive;
            if (host.lagMs)
                item["lag_ms"] = Json::UInt64(*host.lagMs);
            value["hosts"].append(item);
        }
        return value;
    }

    void printStatus(const Session& session, const FleetStatus& status)
    {
        session.out << "revision " << textOf(status.revision) << ", leader "
                    << (status.leader.value().empty() ? "unknown" : status.leader.value())
                    << "\n\n";
        std::vector<TableRow> rows;
        for (const auto& host : status.hosts) {
            const bool lags = host.revision < status.revision;
            rows.push_back(
                { host.host.value(), textOf(host.revision), host.alive ? "alive" : "out of reach",
                    host.lagMs ? std::to_string(*host.lagMs) : "-", lags ? "lags" : "in force" });
        }
        session.out << renderTable({ "HOST", "REVISION", "STATE", "HEARD MS AGO", "" }, rows);
    }

    Json::Value encodeExplanation(const Explanation& explanation)
    {
        Json::Value value(Json::objectValue);
        value["service"] = explanation.service.value();
        value["reason"] = explanation.reason;
        value["candidates"] = Json::arrayValue;
        for (const auto& candidate : explanation.candidates) {
            Json::Value item(Json::objectValue);
            item["instance"] = candidate.instance.value();
            item["data_centre"] = candidate.dataCentre.value();
            item["state"] = candidate.state;
            item["reason"] = candidate.reason;
            value["candidates"].append(item);
        }
        return value;
    }

    void printExplanation(const Session& session, const Explanation& explanation)
    {
        const std::string& service = explanation.service.value();
        session.out << (service.empty() ? "no service" : "service " + service) << ": "
                    << explanation.reason << '\n';
        if (explanation.candidates.empty())
            return;
        std::vector<TableRow> rows;
        rows.reserve(explanation.candidates.size());
        for (const auto& candidate : explanation.candidates)
            rows.push_back({ candidate.instance.value(), candidate.dataCentre.value(),
                candidate.state, candidate.reason });
        session.out << '\n' << renderTable({ "INSTANCE", "DATA CENTRE", "STATE", "REASON" }, rows);
    }

} // namespace

int runStatus(Session& session)
{
    const auto status = session.client.status();
    if (!status)
        return reportError(session, status.error());
    if (session.options.json)
        printJson(session, encodeStatus(*status));
    else
        printStatus(session, *status);
    return ExitOk;
}

int runHistory(Session& session)
{
    const auto history = session.client.history();
    if (!history)
        return reportError(session, history.error());
    Json::Value array(Json::arrayValue);
    std::vector<TableRow> rows;
    for (const auto& entry : *history) {
        Json::Value item(Json::objectValue);
        item["revision"] = Json::UInt64(entry.revision.value());
        item["change"] = entry.change.value();
        array.append(item);
        rows.push_back({ textOf(entry.revision), entry.change.value() });
    }
    if (session.options.json)
        printJson(session, array);
    else
        session.out << renderTable({ "REVISION", "CHANGE" }, rows);
    return ExitOk;
}

int runExplain(Session& session)
{
    const auto& arguments = session.options.arguments;
    const auto explanation = session.client.explain(arguments[0], arguments[1], arguments[2]);
    if (!explanation)
        return reportError(session, explanation.error());
    if (session.options.json)
        printJson(session, encodeExplanation(*explanation));
    else
        printExplanation(session, *explanation);
    return ExitOk;
}

int runDrain(Session& session)
{
    const std::string& instance = session.options.arguments[0];
    const auto drained = session.client.drain(InstanceId(instance));
    if (!drained)
        return reportError(session, drained.error());
    if (session.options.json)
        printJson(session, Json::Value(Json::objectValue));
    else
        session.out << "instance '" << instance << "' is draining\n";
    return ExitOk;
}

} // namespace laburnum::ctl
