/// The answers that an entry host gives in its own name, and the header fields that it sets.
#pragma once

#include <optional>
#include <string>

#include <laburnumroute/claims.h>
#include <laburnumroute/dispatcher.h>
#include <laburnumroute/http_message.h>
#include <laburnumroute/request_metrics.h>

namespace laburnum::pvt {

/// Tells the caller what became of its request; an instance proves "not run" with it.
inline constexpr const char* outcomeHeader = "Laburnum-Outcome";
/// A stable word that says why.
inline constexpr const char* reasonHeader = "Laburnum-Reason";

/// Words of the reason header; docs/outcomes.md lists them.
namespace reasons {
    inline constexpr const char* malformed = "malformed";
    inline constexpr const char* headTooLarge = "head-too-large";
    inline constexpr const char* slowHead = "slow-head";
    inline constexpr const char* malformedBody = "malformed-body";
    inline constexpr const char* slowBody = "slow-body";
    inline constexpr const char* notConnected = "not-connected";
    inline constexpr const char* shed = "shed";
    inline constexpr const char* noConfiguration = "no-configuration";
    inline constexpr const char* noRoute = "no-route";
    inline constexpr const char* bodyTooLarge = "body-too-large";
    inline constexpr const char* noAnswer = "no-answer";
    inline constexpr const char* badAnswer = "bad-answer";
    inline constexpr const char* deadline = "deadline";
    inline constexpr const char* inProgress = "in-progress";
    inline constexpr const char* claimUnknown = "claim-unknown";
    inline constexpr const char* answeredWithoutCopy = "answered-without-copy";
    inline constexpr const char* keyReused = "key-reused";
    inline constexpr const char* claimsUnreachable = "claims-unreachable";
    inline constexpr const char* replayed = "replayed";
} // namespace reasons

/// An answer of the entry host itself.
struct OwnAnswer {
    unsigned status = 0;
    RequestOutcome outcome = RequestOutcome::NotRun;
    const char* reason = "";
    /// For people; defaults to the reason.
    std::string detail;
    /// Value of Retry-After; the default applies to every 503 that was not run.
    std::string retryAfter = "1";
};

/// How a caller's connection goes on after an answer.
struct AnswerContext {
    bool headRequest = false;
    unsigned versionMinor = 1;
    bool keepAlive = false;
};

/// The answer to a request that cannot be read.
OwnAnswer malformedAnswer(const Error& error);
/// The answer to a request that the dispatcher refused.
OwnAnswer refusalAnswer(RefusalReason reason);
/// Renders an own answer, head and body.
std::string renderAnswer(const OwnAnswer& answer, const AnswerContext& context);
/// Renders the stored answer of an earlier request with the same key.
std::string renderReplay(const StoredResponse& answer, const AnswerContext& context);
/// Adds the Connection field that `context` asks for.
void addConnection(std::vector<HeaderField>& fields, const AnswerContext& context);

} // namespace laburnum::pvt
