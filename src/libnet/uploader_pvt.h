/// Sends a request's body upstream while the answer is awaited on the same connection.
#pragma once

#include <functional>
#include <memory>
#include <optional>

#include <asio/steady_timer.hpp>

#include <laburnumroute/clock.h>

#include "body_framing_pvt.h"
#include "request_body_pvt.h"

namespace laburnum::pvt {

/// One part is in memory at a time: the caller is read only as fast as the instance takes bytes.
/// Use from one strand only; join() it before the body or the caller's stream goes away.
class Uploader : public std::enable_shared_from_this<Uploader> {
public:
    enum class Phase {
        ReadingCaller,
        WritingUpstream,
        Sent,
        /// The caller went away or its body is malformed.
        CallerFailed,
        /// The instance takes no more; its answer may still come.
        UpstreamFailed,
    };

    Uploader(HttpStream& caller, RequestBody& body, std::shared_ptr<HttpStream> upstream,
        BodyFraming framing);

    /// Starts to send. `onProgress` is called after each part, `onEnd` once.
    void start(std::function<void()> onProgress, std::function<void()> onEnd);
    /// Waits until the upload ends by itself or `limit` passes, then stops it. No byte read from
    /// the caller is lost: a repeated attempt may go on with the body.
    asio::awaitable<void> join(Duration limit);

    Phase phase() const noexcept { return m_phase; }
    bool ended() const noexcept { return m_ended; }
    /// Set when the phase is CallerFailed.
    const std::optional<Error>& callerError() const noexcept { return m_callerError; }

private:
    asio::awaitable<void> run();
    asio::awaitable<bool> sendPart();

    HttpStream& m_caller;
    RequestBody& m_body;
    std::shared_ptr<HttpStream> m_upstream;
    const BodyFraming m_framing;
    std::function<void()> m_onProgress;
    std::function<void()> m_onEnd;
    asio::steady_timer m_endEvent;
    Phase m_phase = Phase::ReadingCaller;
    bool m_stopping = false;
    bool m_ended = false;
    std::optional<Error> m_callerError;
};

} // namespace laburnum::pvt
