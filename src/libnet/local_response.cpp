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

OwnAnswer malformedAnswer(const Error& error)
{
    OwnAnswer answer { statusBadRequest, RequestOutcome::NotRun, reasons::malformed };
    answer.detail = error.message;
    return answer;
}

OwnAnswer refusalAnswer(RefusalReason reason)
{
    const unsigned status = reason == RefusalReason::NoRoute ? statusNotFound : statusUnavailable;
    return { status, RequestOutcome::NotRun, refusalName(reason) };
}

void addConnection(std::vector<HeaderField>& fields, const AnswerContext& context)
{
    if (!context.keepAlive)
        fields.push_back({ "Connection", "close" });
    else if (context.versionMinor == 0)
        fields.push_back({ "Connection", "keep-alive" });
}

std::string renderAnswer(const OwnAnswer& answer, const AnswerContext& context)
{
    HttpHead head;
    head.status = answer.status;
    head.reason = reasonPhrase(answer.status);
    const std::string body = (answer.detail.empty() ? answer.reason : answer.detail) + '\n';
    std::vector<HeaderField> fields { { "Content-Type", "text/plain" },
        { "Content-Length", std::to_string(body.size()) },
        { outcomeHeader, outcomeName(answer.outcome) }, { reasonHeader, answer.reason } };
    if (answer.status == statusUnavailable && answer.outcome == RequestOutcome::NotRun)
        fields.push_back({ "Retry-After", answer.retryAfter });
    addConnection(fields, context);
    return renderResponseHead(head, fields) + (context.headRequest ? "" : body);
}

std::string renderReplay(const StoredResponse& answer, const AnswerContext& context)
{
    HttpHead head;
    head.status = answer.status;
    head.reason = reasonPhrase(answer.status);
    std::vector<HeaderField> fields;
    for (const auto& field : answer.fields) {
        if (!equalsIgnoreCase(field.name, "content-length"))
            fields.push_back(field);
    }
    if (!isBodiless(answer.status))
        fields.push_back({ "Content-Length", std::to_string(answer.body.size()) });
    fields.push_back({ outcomeHeader, outcomeName(RequestOutcome::Answered) });
    fields.push_back({ reasonHeader, reasons::replayed });
    addConnection(fields, context);
    return renderResponseHead(head, fields) + (context.headRequest ? "" : answer.body);
}

} // namespace laburnum::pvt
