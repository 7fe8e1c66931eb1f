/// One attempt of a request at one instance: connection, request, answer.
#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "entry_context_pvt.h"
#include "local_response_pvt.h"
#include "request_body_pvt.h"
#include "uploader_pvt.h"
#include "watchdog_pvt.h"

namespace laburnum::pvt {

/// How an attempt ended for the caller. Up to BadAnswer nothing of an answer went to the caller.
enum class AttemptEnd {
    /// Proved not run: no connection was opened.
    NotConnected,
    /// Proved not run: the instance said so.
    Shed,
    /// The connection ended without an answer.
    NoAnswer,
    /// The answer is no valid HTTP.
    BadAnswer,
    /// The deadline passed.
    TimedOut,
    /// This host closed the connection because another attempt's answer is the caller's.
    GivenUp,
    /// The deadline passed while the caller was still sending.
    CallerSlow,
    /// The caller's body is malformed.
    CallerMalformed,
    /// The caller closed its connection.
    CallerGone,
    /// The caller got the whole answer.
    Passed,
    /// The caller got a part of the answer; its connection must break.
    Cut,
    /// The answer was a server error; another instance is to answer in its place.
    ServerError,
    /// The whole answer is held in the outcome; nothing of it went to the caller.
    Held,
};

/// An answer that came whole and was not passed on yet.
struct HeldAnswer {
    HttpHead head;
    std::string body;
};

/// What the caller's side of a request gives to each of its attempts.
struct CallerSide {
    EntryContext& entry;
    HttpStream& stream;
    RequestBody& body;
    Watchdog& watchdog;
    const HttpHead& request;
    SteadyTime arrival;
    SteadyTime deadline;
    /// Keep a copy of the answer.
    bool capture = false;
    /// `100 Continue` went to the caller already.
    bool continued = false;
    /// Asked when an instance answers with a server error: true when another instance is held ready
    /// for the request, so that the error is dropped.
    std::function<bool()> replacesError;
    /// The request may run more than once.
    bool repeatable = false;
    /// Answers up to this many bytes are read whole before any of it is passed on, so that one that
    /// breaks off can be replaced.
    std::size_t holdBytes = 0;
    /// Set when another attempt may run at the same time. Asked before the first byte of an answer
    /// with this status goes to the caller: false ends the attempt without a word to it.
    std::function<asio::awaitable<bool>(unsigned status)> awaitTurn;
    /// Called when the caller has left.
    std::function<void()> onCallerGone;
    /// Interim answers (1xx) of the instance go to the caller.
    bool passesInterim = true;
};

/// What became of an attempt.
struct AttemptOutcome {
    AttemptEnd end = AttemptEnd::NotConnected;
    /// False only if the request is proved not to have run.
    bool mayHaveRun = false;
    /// Status of the instance's answer; 0 without one.
    unsigned status = 0;
    Duration latency {};
    /// Time that was spent waiting for the instance's answer to begin and its body to flow.
    Duration waited {};
    std::uint64_t answerBytes = 0;
    /// The caller's connection can carry another request.
    bool keepAlive = false;
    std::optional<StoredResponse> captured;
    /// The instance's Retry-After, when it shed the request.
    std::string retryAfter;
    /// The caller stopped taking the answer.
    bool callerBroke = false;
    /// The instance's machine refused the connection.
    bool refused = false;
    /// Requests at the instance as its answer reported; negative when it said nothing.
    std::int32_t reportedLoad = -1;
    std::optional<HeldAnswer> held;
};

/// Runs one attempt. Use from the session's strand.
class Exchange {
public:
    Exchange(CallerSide& caller, const Assignment& assigned);

    asio::awaitable<AttemptOutcome> run();
    /// Closes the connection while run() is under way, which ends as `end` unless an answer is
    /// there already.
    void abandon(AttemptEnd end);
    /// The request has been sent whole.
    bool sent() const;

private:
    /// Takes an idle connection if the request may be repeated, else opens one.
    asio::awaitable<bool> connect(bool mayReuse);
    asio::awaitable<void> sendRequest();
    asio::awaitable<void> passAnswer();
    asio::awaitable<Expected<HttpHead>> readFinalHead();
    asio::awaitable<void> passInterim(const HttpHead& head);
    /// Reads past an answer that belongs to another request.
    asio::awaitable<Expected<void>> skipAnswer();
    asio::awaitable<void> holdAnswer(HttpHead head);
    asio::awaitable<void> relayAnswer(HttpHead head);
    asio::awaitable<void> relayBody(std::string bytes, BodyFraming framing);
    asio::awaitable<void> settle();

    std::string renderRequest();
    void startUpload(BodyFraming framing);
    BodyFraming answerFraming(const HttpHead& head) const;
    std::vector<HeaderField> answerFields(const HttpHead& head, BodyFraming framing) const;
    void watchDeadline();
    void watchProgress();
    /// Ends the attempt when the caller leaves, from before its connection is opened.
    void watchCaller();
    /// Asked before the request's first byte leaves.
    bool callerLeft();
    AttemptEnd endFor(const Error& error) const;
    bool isForeign(const HttpHead& head) const;
    bool saysNotRun(const HttpHead& head) const;
    void noteAnswer(const HttpHead& head);
    void capturePart(const std::string& part);
    /// The caller left, or its body is malformed.
    bool callerBroke() const;

    CallerSide& m_caller;
    const Assignment& m_assigned;
    /// While a connection is being opened.
    std::shared_ptr<asio::ip::tcp::socket> m_connecting;
    std::shared_ptr<HttpStream> m_upstream;
    std::shared_ptr<Uploader> m_uploader;
    AttemptOutcome m_outcome;
    SteadyTime m_start;
    bool m_reused = false;
    bool m_timedOut = false;
    bool m_callerGone = false;
    std::optional<AttemptEnd> m_abandonedAs;
    bool m_relaying = false;
    bool m_upstreamKeepAlive = false;
};

} // namespace laburnum::pvt
