#include "local_response_pvt.h"

#include "http_status_pvt.h"

#include <http_parser.h>

namespace laburnum::pvt {

namespace {

    const char* reasonPhrase(unsigned status)
    {
        return http_status_str(static_cast<http_status>(status));
    }

} // namespace

LocalResponse malformedRequestResponse(const Error& error)
{
    LocalResponse response { statusBadRequest, RequestOutcome::NotRun, reasons::malformed };
    response.detail = error.message;
    return response;
}

LocalResponse refusalResponse(RefusalReason reason)
{
    const unsigned status = reason == RefusalReason::NoRoute ? statusNotFound : statusUnavailable;
    return { status, RequestOutcome::NotRun, refusalName(reason) };
}

void addConnectionField(std::vector<HeaderField>& fields, const ResponseContext& context)
{
    if (!context.keepAlive)
        fields.push_back({ "Connection", "close" });
    else if (context.versionMinor == 0)
        fields.push_back({ "Connection", "keep-alive" });
}

std::string renderLocalResponse(const LocalResponse& response, const ResponseContext& context)
{
    HttpHead head;
    head.status = response.status;
    head.reason = reasonPhrase(response.status);
    const std::string body = (response.detail.empty() ? response.reason : response.detail) + '\n';
    std::vector<HeaderField> fields { { "Content-Type", "text/plain" },
        { "Content-Length", std::to_string(body.size()) },
        { outcomeHeader, outcomeName(response.outcome) }, { reasonHeader, response.reason } };
    const bool mayReturn
        = response.status == statusUnavailable || response.status == statusTooManyRequests;
    if (mayReturn && response.outcome == RequestOutcome::NotRun)
        fields.push_back({ "Retry-After", response.retryAfter });
    // RFC 9110, section 15.5.2: a 401 names the scheme that the server expects.
    if (response.status == statusUnauthorized)
        fields.push_back({ "WWW-Authenticate", "Api-Key" });
    addConnectionField(fields, context);
    return renderResponseHead(head, fields) + (context.headRequest ? "" : body);
}

std::string renderReplay(const StoredResponse& response, const ResponseContext& context)
{
    HttpHead head;
    head.status = response.status;
    head.reason = reasonPhrase(response.status);
    std::vector<HeaderField> fields;
    for (const auto& field : response.fields) {
        if (!equalsIgnoreCase(field.name, "content-length"))
            fields.push_back(field);
    }
    if (!isBodiless(response.status))
        fields.push_back({ "Content-Length", std::to_string(response.body.size()) });
    fields.push_back({ outcomeHeader, outcomeName(RequestOutcome::Answered) });
    fields.push_back({ reasonHeader, reasons::replayed });
    addConnectionField(fields, context);
    return renderResponseHead(head, fields) + (context.headRequest ? "" : response.body);
}

} // namespace laburnum::pvt
