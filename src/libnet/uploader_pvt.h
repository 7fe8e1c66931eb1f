/// Sends a request body to an instance while the response is read from the same connection.
#pragma once

#include <functional>
#include <memory>
#include <optional>

#include <asio/steady_timer.hpp>

#include <laburnumroute/clock.h>

#include "body_framing_pvt.h"
#include "request_body_pvt.h"

namespace laburnum::pvt {

/// Holds one part in memory at a time, so that the caller is read only as fast as the instance
/// accepts data. Must be used from one strand only, and joined before the body or the caller's
/// stream is destroyed.
class Uploader : public std::enable_shared_from_this<Uploader> {
public:
    enum class Phase {
        ReadingCaller,
        WritingUpstream,
        Sent,
        /// The caller disconnected or its body is malformed.
        CallerFailed,
        /// The instance no longer accepts data; its response may still arrive.
        UpstreamFailed,
    };

    /// `share` is held until the upload ends.
    Uploader(HttpStream& caller, RequestBody& body, std::shared_ptr<HttpStream> upstream,
        BodyFraming framing, BufferShare share);

    /// Starts the upload. `onProgress` is called after each part, and `onEnd` at the end unless it
    /// was stopped by join().
    void start(std::function<void()> onProgress, std::function<void()> onEnd);
    /// Waits up to `limit` for the upload to end, then stops it. No byte read from the caller is
    /// lost, so that a retry can continue with the body.
    asio::awaitable<void> join(Duration limit);

    Phase phase() const noexcept { return m_phase; }
    bool ended() const noexcept { return m_ended; }
    /// Set if the phase is CallerFailed.
    const std::optional<Error>& callerError() const noexcept { return m_callerError; }

private:
    asio::awaitable<void> run();
    asio::awaitable<bool> sendPart();

    HttpStream& m_caller;
    RequestBody& m_body;
    std::shared_ptr<HttpStream> m_upstream;
    const BodyFraming m_framing;
    BufferShare m_share;
    std::function<void()> m_onProgress;
    std::function<void()> m_onEnd;
    asio::steady_timer m_endEvent;
    Phase m_phase = Phase::ReadingCaller;
    bool m_stopping = false;
    bool m_ended = false;
    std::optional<Error> m_callerError;
};

} // namespace laburnum::pvt
