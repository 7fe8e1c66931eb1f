#include "http_api.h"

#include <charconv>

#include <laburnumroute/json.h>

namespace laburnum {

namespace {

    constexpr int statusOk = 200;
    constexpr int statusBadRequest = 400;
    constexpr int statusNotFound = 404;
    constexpr int statusConflict = 409;
    constexpr int statusTooLarge = 413;
    constexpr int statusUnavailable = 503;

    int statusOf(ErrorCode code)
    {
        switch (code) {
        case ErrorCode::NotFound:
            return statusNotFound;
        case ErrorCode::Conflict:
            return statusConflict;
        case ErrorCode::TooLarge:
            return statusTooLarge;
        case ErrorCode::InvalidArgument:
            return statusBadRequest;
        default:
            return statusUnavailable;
        }
    }

    AdminResponse errorResponse(const Error& error)
    {
        Json::Value body(Json::objectValue);
        body["error"] = errorCodeName(error.code);
        body["message"] = error.message;
        return { statusOf(error.code), "application/json", toJsonText(body) + '\n' };
    }

    AdminResponse jsonResponse(const Json::Value& body)
    {
        return { statusOk, "application/json", toJsonText(body) + '\n' };
    }

    AdminResponse textResponse(int status, const std::string& text)
    {
        return { status, "text/plain", text };
    }

    Json::Value encodeVersion(const ConfigVersion& version)
    {
        Json::Value value(Json::objectValue);
        value["revision"] = Json::UInt64(version.revision.value());
        value["change"] = version.change.value();
        value["content"] = version.content;
        return value;
    }

    std::string queryValue(const AdminRequest& request, const char* name)
    {
        const auto found = request.query.find(name);
        return found == request.query.end() ? std::string() : found->second;
    }

    Json::Value encodeHosts(const FleetStatus& fleet)
    {
        Json::Value list(Json::arrayValue);
        for (const auto& host : fleet.hosts) {
            Json::Value row(Json::objectValue);
            row["host"] = host.host.value();
            row["revision"] = Json::UInt64(host.revision.value());
            row["alive"] = fleet.live.contains(host.host);
            row["behind"] = host.revision < fleet.revision;
            if (host.age)
                row["lag_ms"] = Json::Int64(toMillis(*host.age));
            list.append(row);
        }
        return list;
    }

    AdminResponse status(const ApiContext& api)
    {
        const FleetStatus fleet = api.fleet.status();
        Json::Value body(Json::objectValue);
        body["host"] = api.settings.location.host.value();
        body["revision"] = Json::UInt64(fleet.revision.value());
        body["instances"] = Json::UInt64(fleet.instances);
        body["serving"] = api.serving.load();
        body["hosts"] = encodeHosts(fleet);
        if (!api.control)
            return jsonResponse(body);
        const ControlStatus control = api.control->status();
        body["role"] = logRoleName(control.role);
        body["term"] = Json::UInt64(control.term.value());
        body["commit_index"] = Json::UInt64(control.commitIndex.value());
        body["leader"] = control.leader ? control.leader->value() : "";
        body["failure"] = control.failure;
        return jsonResponse(body);
    }

    AdminResponse announce(const ApiContext& api, const AdminRequest& request)
    {
        const auto value = parseJson(request.body);
        if (!value)
            return errorResponse(value.error());
        const auto record = decodeInstance(*value);
        if (!record)
            return errorResponse(record.error());
        if (api.fleet.announce(*record) != AnnounceResult::Superseded)
            return jsonResponse(Json::Value(Json::objectValue));
        return errorResponse({ ErrorCode::Conflict,
            "a newer announcement of '" + record->id.value()
                + "' is known: raise its version, or its incarnation after a drain" });
    }

    AdminResponse ready(const ApiContext& api)
    {
        if (!api.serving)
            return textResponse(statusUnavailable, "stopping\n");
        if (api.settings.entry && api.fleet.status().revision == Revision(0))
            return textResponse(statusUnavailable, "no configuration yet\n");
        return textResponse(statusOk, "ready\n");
    }

    /// Validates the content of a change as laburnumctl does; the error message lists all findings.
    Expected<void> checkContent(const std::string& content)
    {
        Findings findings;
        ConfigContext context;
        context.balancers = BalancerRegistry::instance().names();
        context.refusesAccounts = true;
        readConfiguration(content, "content", findings, context);
        if (!findings.hasErrors())
            return {};
        std::string all;
        for (const auto& finding : findings.sorted())
            all += formatFinding(finding) + '\n';
        return fail(ErrorCode::InvalidArgument, all);
    }

    Expected<ConfigChange> readChange(const std::string& text)
    {
        const auto value = parseJson(text);
        if (!value)
            return tl::unexpected<Error>(value.error());
        const auto id = stringMember(*value, "change");
        const auto expected = unsignedMember(*value, "expected");
        if (!id || !expected)
            return fail(ErrorCode::InvalidArgument, "a change needs 'change' and 'expected'");
        ConfigChange change { ChangeId(*id), Revision(*expected), "",
            value->get("note", "").asString(), {} };
        if (const auto restored = unsignedMember(*value, "restore")) {
            change.restored = Revision(*restored);
            return change;
        }
        const auto content = stringMember(*value, "content");
        if (!content)
            return tl::unexpected<Error>(content.error());
        if (const auto checked = checkContent(*content); !checked)
            return tl::unexpected<Error>(checked.error());
        change.content = *content;
        return change;
    }

    AdminResponse submit(const ApiContext& api, const AdminRequest& request)
    {
        const auto change = readChange(request.body);
        if (!change)
            return errorResponse(change.error());
        const auto revision = api.control->submit(*change);
        if (!revision)
            return errorResponse(revision.error());
        Json::Value body(Json::objectValue);
        body["revision"] = Json::UInt64(revision->value());
        return jsonResponse(body);
    }

    AdminResponse showVersion(const ApiContext& api, const AdminRequest& request)
    {
        const std::string wanted = queryValue(request, "revision");
        if (wanted.empty()) {
            return jsonResponse(encodeVersion(api.control->withLedger(
                [](const ConfigLedger& ledger) { return ledger.current(); })));
        }
        std::uint64_t number = 0;
        const auto [end, code]
            = std::from_chars(wanted.data(), wanted.data() + wanted.size(), number);
        if (code != std::errc() || end != wanted.data() + wanted.size())
            return errorResponse({ ErrorCode::InvalidArgument, "'revision' must be a number" });
        const auto version = api.control->withLedger(
            [&](const ConfigLedger& ledger) { return ledger.version(Revision(number)); });
        return version ? jsonResponse(encodeVersion(*version)) : errorResponse(version.error());
    }

    AdminResponse history(const ApiContext& api)
    {
        const auto records
            = api.control->withLedger([](const ConfigLedger& ledger) { return ledger.history(); });
        Json::Value list(Json::arrayValue);
        for (const auto& record : records) {
            Json::Value row(Json::objectValue);
            row["revision"] = Json::UInt64(record.revision.value());
            row["change"] = record.change.value();
            row["note"] = record.note;
            if (record.restored)
                row["restored"] = Json::UInt64(record.restored->value());
            list.append(row);
        }
        return jsonResponse(list);
    }

    AdminResponse explain(const ApiContext& api, const AdminRequest& request)
    {
        RequestAttributes attributes { queryValue(request, "method"), queryValue(request, "host"),
            queryValue(request, "target") };
        if (attributes.method.empty())
            attributes.method = "GET";
        if (attributes.target.empty())
            attributes.target = "/";
        return jsonResponse(api.sharedDispatcher.with([&](Dispatcher& dispatcher, TimePoint now) {
            return encodeExplanation(dispatcher.explain(attributes, now));
        }));
    }

    AdminResponse drain(const ApiContext& api, const AdminRequest& request)
    {
        const auto value = parseJson(request.body);
        const auto id = value ? stringMember(*value, "instance")
                              : Expected<std::string>(tl::unexpected(value.error()));
        if (!id)
            return errorResponse(id.error());
        const auto drained = api.fleet.drain(InstanceId(*id));
        return drained ? jsonResponse(Json::Value(Json::objectValue))
                       : errorResponse(drained.error());
    }

} // namespace

void registerPublicCalls(AdminServer& server, const ApiContext& api)
{
    server.handle(
        "GET", "/healthz", [](const AdminRequest&) { return textResponse(statusOk, "ok\n"); });
    server.handle("GET", "/readyz", [api](const AdminRequest&) { return ready(api); });
    server.handle("GET", "/metrics", [api](const AdminRequest&) {
        return AdminResponse { statusOk, "text/plain; version=0.0.4", api.renderMetrics() };
    });
    server.handle("GET", "/v1/status", [api](const AdminRequest&) { return status(api); });
    server.handle("POST", "/v1/announce",
        [api](const AdminRequest& request) { return announce(api, request); });
}

void registerOperatorCalls(AdminServer& server, const ApiContext& api)
{
    server.handle("GET", "/v1/status", [api](const AdminRequest&) { return status(api); });
    server.handle(
        "POST", "/v1/config", [api](const AdminRequest& request) { return submit(api, request); });
    server.handle("GET", "/v1/config",
        [api](const AdminRequest& request) { return showVersion(api, request); });
    server.handle("GET", "/v1/history", [api](const AdminRequest&) { return history(api); });
    server.handle(
        "GET", "/v1/explain", [api](const AdminRequest& request) { return explain(api, request); });
    server.handle("POST", "/v1/announce",
        [api](const AdminRequest& request) { return announce(api, request); });
    server.handle(
        "POST", "/v1/drain", [api](const AdminRequest& request) { return drain(api, request); });
}

} // namespace laburnum
