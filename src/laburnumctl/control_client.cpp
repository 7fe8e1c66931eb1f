#include "control_client.h"

#include <algorithm>

#include <httplib.h>

#include <laburnumroute/http_message.h>
#include <laburnumroute/json.h>

namespace laburnum::ctl {

namespace {

    constexpr auto retryInterval = std::chrono::milliseconds(200);
    constexpr time_t connectTimeoutSeconds = 2;
    constexpr time_t readTimeoutSeconds = 5;
    constexpr int statusOk = 200;
    constexpr int firstServerError = 500;
    constexpr const char* jsonType = "application/json";

    struct StatusMapping {
        int status;
        ErrorCode code;
    };
    constexpr std::array<StatusMapping, 6> statusMappings { {
        { 400, ErrorCode::InvalidArgument },
        { 401, ErrorCode::PermissionDenied },
        { 403, ErrorCode::PermissionDenied },
        { 404, ErrorCode::NotFound },
        { 409, ErrorCode::Conflict },
        { 413, ErrorCode::TooLarge },
    } };

    ErrorCode errorCodeOf(int status)
    {
        for (const auto& mapping : statusMappings) {
            if (mapping.status == status)
                return mapping.code;
        }
        return status >= firstServerError ? ErrorCode::Unavailable : ErrorCode::Io;
    }

    Error errorFrom(const httplib::Response& response)
    {
        const auto body = parseJson(response.body);
        const auto message = body ? stringMember(*body, "message") : tl::unexpected(body.error());
        return { errorCodeOf(response.status),
            message.value_or("HTTP status " + std::to_string(response.status)) };
    }

    /// The defect of a response that cpp-httplib accepts, or null. A malformed response does not
    /// tell the outcome of the request.
    const char* findDefect(const httplib::Response& response)
    {
        if (response.status < statusOk || !isStatusCode(static_cast<unsigned>(response.status)))
            return "invalid status code";
        const bool namesValid = std::all_of(response.headers.begin(), response.headers.end(),
            [](const auto& field) { return isFieldName(field.first); });
        return namesValid ? nullptr : "header field name is not a token";
    }

    WallTime wallClock()
    {
        return std::chrono::time_point_cast<WallTime::duration>(std::chrono::system_clock::now());
    }

    /// `text` for a query string, with all but unreserved characters as `%XX`.
    std::string percentEncoded(std::string_view text)
    {
        constexpr std::string_view hexDigits = "0123456789ABCDEF";
        std::string result;
        for (const char c : text) {
            const auto byte = static_cast<unsigned char>(c);
            const bool unreserved = (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z')
                || (c >= 'A' && c <= 'Z') || c == '-' || c == '.' || c == '_' || c == '~';
            if (unreserved) {
                result += c;
                continue;
            }
            result += '%';
            result += hexDigits[byte >> 4];
            result += hexDigits[byte & 0xf];
        }
        return result;
    }

} // namespace

ControlClient::ControlClient(ControlAccess access, TimeSource time)
    : m_access(std::move(access))
    , m_time(std::move(time))
{
}

Expected<Revision> ControlClient::submit(const ConfigChange& change)
{
    Json::Value body(Json::objectValue);
    body["change"] = change.id.value();
    body["expected"] = Json::UInt64(change.expected.value());
    body["content"] = change.content;
    const auto response = call({ "POST", "/v1/config", toJsonText(body) });
    if (!response)
        return tl::unexpected<Error>(response.error());
    return unsignedMember(*response, "revision").map([](std::uint64_t number) {
        return Revision(number);
    });
}

Expected<ConfigVersion> ControlClient::version(std::optional<Revision> revision)
{
    const std::string query = revision ? "?revision=" + std::to_string(revision->value()) : "";
    return call({ "GET", "/v1/config" + query, "" }).and_then(decodeVersion);
}

Expected<std::vector<HistoryEntry>> ControlClient::history()
{
    return call({ "GET", "/v1/history", "" }).and_then(decodeHistory);
}

Expected<FleetStatus> ControlClient::status()
{
    return call({ "GET", "/v1/status", "" }).and_then(decodeStatus);
}

Expected<Explanation> ControlClient::explain(
    const std::string& method, const std::string& host, const std::string& target)
{
    const std::string query = "?method=" + percentEncoded(method) + "&host=" + percentEncoded(host)
        + "&target=" + percentEncoded(target);
    return call({ "GET", "/v1/explain" + query, "" }).and_then(decodeExplanation);
}

Expected<void> ControlClient::drain(const InstanceId& instance)
{
    Json::Value body(Json::objectValue);
    body["instance"] = instance.value();
    return call({ "POST", "/v1/drain", toJsonText(body) }).map([](const Json::Value&) {});
}

Expected<Json::Value> ControlClient::call(const Request& request)
{
    const TimePoint deadline = m_time.clock.now() + m_access.timeout;
    while (true) {
        std::string reasons;
        for (std::size_t i = 0; i < m_access.addresses.size(); ++i) {
            const std::size_t index = (m_preferred + i) % m_access.addresses.size();
            const std::string& address = m_access.addresses[index];
            auto response = callOnce(address, request);
            if (response || response.error().code != ErrorCode::Unavailable) {
                m_preferred = index;
                return response;
            }
            reasons += (reasons.empty() ? "" : "; ") + address + ": " + response.error().message;
        }
        if (m_time.clock.now() >= deadline)
            return fail(ErrorCode::Unavailable, "no control host answered: " + reasons);
        m_time.sleep(retryInterval);
    }
}

Expected<Json::Value> ControlClient::callOnce(
    const std::string& address, const Request& request) const
{
    httplib::Client client(address);
    if (!client.is_valid())
        return fail(
            ErrorCode::InvalidArgument, "'" + address + "' is not of the form http://IP:PORT");
    client.set_connection_timeout(connectTimeoutSeconds);
    client.set_read_timeout(readTimeoutSeconds);
    httplib::Headers headers;
    if (m_access.key)
        headers.emplace(signatureHeader,
            signRequest(
                *m_access.key, { request.method, request.target, request.body }, wallClock()));
    const bool isPost = std::string_view(request.method) == "POST";
    const auto response = isPost ? client.Post(request.target, headers, request.body, jsonType)
                                 : client.Get(request.target, headers);
    if (!response)
        return fail(ErrorCode::Unavailable, httplib::to_string(response.error()));
    if (const char* defect = findDefect(*response))
        return fail(ErrorCode::Unavailable, std::string("malformed response: ") + defect);
    if (response->status != statusOk)
        return tl::unexpected<Error>(errorFrom(*response));
    auto body = parseJson(response->body);
    if (!body)
        return fail(ErrorCode::Unavailable, "malformed response: " + body.error().message);
    return body;
}

} // namespace laburnum::ctl
