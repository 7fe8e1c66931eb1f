/// One attempt of a request at one instance: connect, send the request, relay the response.
#pragma once

#include <functional>
#include <memory>
#include <optional>

#include <laburnumroute/request_attempts.h>

#include "entry_context_pvt.h"
#include "local_response_pvt.h"
#include "request_body_pvt.h"
#include "request_cut_pvt.h"
#include "response_writer_pvt.h"
#include "uploader_pvt.h"
#include "watchdog_pvt.h"

namespace laburnum::pvt {

/// How an attempt ended. For values up to BadResponse nothing of a response was sent to the caller;
/// the order is relied upon.
enum class AttemptEnd {
    /// No connection was opened, so the request was not run.
    NotConnected,
    /// The instance rejected the request and stated that it was not run.
    Shed,
    /// The connection was closed without a response.
    NoResponse,
    /// No valid response: the bytes are not HTTP, maxUnattributedBytes is exceeded, or a status
    /// below 300 comes without the stamp of an instance.
    BadResponse,
    /// The deadline passed.
    TimedOut,
    /// This host closed the connection because another attempt's response was used.
    Abandoned,
    /// The deadline passed while the caller was still sending its body.
    CallerSlow,
    /// The caller's body is malformed.
    CallerMalformed,
    /// The caller closed its connection.
    CallerDisconnected,
    /// The complete response was sent to the caller.
    Completed,
    /// Only a part of the response was sent; the caller's connection must be aborted.
    Truncated,
    /// The response was a server error and is dropped in favour of another instance's response.
    ServerError,
    /// The complete response is buffered in the outcome; nothing of it was sent to the caller.
    Buffered,
};

/// A complete response that has not been sent to the caller yet.
struct BufferedResponse {
    HttpHead head;
    std::string body;
    BufferShare share;
};

/// The caller's side of a request, shared with its attempts.
struct CallerContext {
    EntryContext& entry;
    HttpStream& stream;
    RequestBody& body;
    Watchdog& watchdog;
    const HttpHead& request;
    SteadyTime arrival;
    /// By when the head of the response must have arrived, and a buffered response completely.
    SteadyTime deadline;
    /// By when the response must have been sent to the caller completely.
    SteadyTime responseDeadline = SteadyTime::max();
    /// Keep a copy of the response.
    bool captureResponse = false;
    /// `100 Continue` has been sent to the caller.
    bool continueSent = false;
    /// Called when an instance responds with a server error. Returns true if a replacement instance
    /// has been assigned, in which case the error response is dropped.
    std::function<bool()> replacesServerError;
    /// The request may safely run more than once.
    bool retryable = false;
    /// Responses up to this many bytes are read completely before anything is sent to the caller,
    /// so that the request can be retried if a response breaks off.
    std::size_t responseBufferBytes = 0;
    /// Set if another attempt may run concurrently. Awaited before the first byte of a response
    /// with this status is sent to the caller; false ends the attempt with nothing sent.
    std::function<asio::awaitable<bool>(unsigned status)> awaitRelayGrant;
    /// Called when the caller has disconnected.
    std::function<void()> onCallerDisconnect;
    /// Instances get neither the account key nor an account name that the caller sent.
    bool removesAccountFields = false;
    /// Name of the caller's account, which instances get; may be empty.
    std::string account;
    /// The first byte of a final response may have been sent to the caller. Shared by the attempts
    /// of a request.
    std::shared_ptr<bool> responseStarted = std::make_shared<bool>(false);
    /// Interim (1xx) responses of the instance are forwarded to the caller.
    bool forwardsInterim = true;
    /// The abort by a stop, once there is one. Learns that the response has been read.
    RequestCut* cut = nullptr;
};

/// Result of an attempt.
struct AttemptOutcome {
    AttemptEnd end = AttemptEnd::NotConnected;
    /// False only if it is certain that the instance did not run the request.
    bool mayHaveRun = false;
    /// Status of the instance's response; 0 if there was none.
    unsigned status = 0;
    Duration latency {};
    /// The response is an instance's own: it has the stamp, where the fleet has one.
    bool hasStamp = false;
    /// Time spent waiting for the instance's response head and body.
    Duration instanceWait {};
    std::uint64_t responseBytes = 0;
    /// The caller's connection can be kept alive.
    bool keepAlive = false;
    std::optional<StoredResponse> captured;
    /// Value of Retry-After if the instance shed the request.
    std::string retryAfter;
    /// The response was truncated because of the caller, not the instance.
    bool callerFailed = false;
    /// The instance's host refused the TCP connection.
    bool connectionRefused = false;
    /// Time that a new connection took to open; zero if there was none.
    Duration connectTime {};
    /// Running and queued requests as reported in the response; negative if not reported.
    std::int32_t reportedLoad = -1;
    std::optional<BufferedResponse> buffered;
    /// The response said that the instance is leaving.
    bool isLeaving = false;
    /// Retry-After of a 503 of the instance.
    Duration pause {};
    /// Why the attempt was ended while the instance was at work; unset if it was not.
    std::optional<TerminationCause> cause;
    /// What was wrong with the instance's bytes or its connection; empty if nothing was.
    std::string error;
};

/// Runs one attempt. Must be used from the session's strand.
class Exchange {
public:
    Exchange(CallerContext& caller, const Assignment& assigned);

    asio::awaitable<AttemptOutcome> run();
    /// Closes the connection while run() is in progress. The attempt then ends as Abandoned or
    /// CallerDisconnected, unless the response is already complete. Returns false if that is not
    /// permitted.
    bool abandon(const TerminationStep& step);
    /// Whether the request has been sent completely.
    bool sent() const;

private:
    /// Takes an idle connection from the pool if allowed and available, otherwise opens one.
    asio::awaitable<bool> connect(bool mayReuse);
    asio::awaitable<void> sendRequest();
    asio::awaitable<void> relayResponse();
    asio::awaitable<Expected<HttpHead>> readFinalHead();
    /// Writes an interim head to the caller.
    asio::awaitable<void> writeInterim(std::string bytes);
    /// Whether the response is read completely before anything is sent to the caller.
    bool buffersResponse(const HttpHead& head, bool proven);
    /// Reads and discards a response that belongs to another request.
    asio::awaitable<Expected<void>> discardResponse();
    asio::awaitable<void> bufferResponse(HttpHead head);
    asio::awaitable<void> streamResponse(HttpHead head);
    asio::awaitable<void> streamBody(std::string bytes, BodyFraming framing);
    /// Sends the next bytes of a streamed response to the caller.
    asio::awaitable<bool> sendToCaller(std::string bytes, bool last);
    void startWriter(std::function<void()> onProgress);
    /// Waits until everything is sent to the caller.
    asio::awaitable<void> finishWriting();
    asio::awaitable<void> releaseConnection();

    std::string renderRequest();
    /// Replaces the account fields of the caller by its account's name.
    void setAccountFields(std::vector<HeaderField>& fields) const;
    void startUpload(BodyFraming framing);
    BodyFraming responseFraming(const HttpHead& head) const;
    std::vector<HeaderField> responseFields(const HttpHead& head, BodyFraming framing) const;
    void armDeadline();
    /// Limits the wait for the next part of a response that is being relayed.
    void armIdleTimeout();
    /// Ends a relay that made no progress for as long as the idle limit, or whose deadline passed.
    void endIdle();
    /// Ends the attempt when the caller disconnects. Active even before the upstream connection is
    /// opened.
    void watchCaller();
    /// Whether the caller has disconnected. Checked before the first byte of the request is sent.
    bool callerDisconnected();
    /// The only place that closes the connection of an attempt at which the instance is at work.
    /// Returns false and closes nothing if mayTerminate() forbids it. `state` holds the facts that
    /// led to the call, the others are added.
    bool terminate(TerminationCause cause, TerminationState state);
    /// Ends the attempt because the caller's connection is closed, by the caller or by a stop.
    bool terminateForCaller();
    void recordRefusedTermination(TerminationCause cause) const;
    AttemptEnd endForError(const Error& error);
    bool belongsToOtherRequest(const HttpHead& head) const;
    bool provesNotRun(const HttpHead& head) const;
    void recordResponseHead(const HttpHead& head);
    /// Records whether the instance wants further requests of this host.
    void recordClosure(const HttpHead& head);
    /// Whether the instance made the response, not something in front of it.
    bool isFromInstance(const HttpHead& head) const;
    void reportRateLimit(const HttpHead& head) const;
    void captureBodyPart(const std::string& part);
    /// Whether the caller disconnected or its body is malformed.
    bool callerFailed() const;

    CallerContext& m_caller;
    const Assignment& m_assigned;
    /// Set while a connection is being opened.
    std::shared_ptr<asio::ip::tcp::socket> m_connecting;
    std::shared_ptr<HttpStream> m_upstream;
    std::shared_ptr<Uploader> m_uploader;
    /// Set while a response is relayed that did not arrive with its head.
    std::shared_ptr<ResponseWriter> m_writer;
    bool m_smallSendBuffer = false;
    /// Share of the response that is being buffered.
    BufferShare m_share;
    AttemptOutcome m_outcome;
    SteadyTime m_start;
    bool m_reused = false;
    bool m_timedOut = false;
    /// When a relayed response made progress last.
    SteadyTime m_lastProgress;
    /// Bytes that had been received when a relayed response made progress last.
    std::uint64_t m_bytesAtProgress = 0;
    /// The caller did not read for as long as the idle timeout.
    bool m_callerStalled = false;
    bool m_callerDisconnected = false;
    std::optional<AttemptEnd> m_abandonedAs;
    bool m_streaming = false;
    bool m_upstreamKeepAlive = false;
    /// The response has been read completely.
    bool m_responseComplete = false;
};

} // namespace laburnum::pvt
