/// One caller's connection, whose requests are served one after the other.
#pragma once

#include <memory>

#include "entry_context_pvt.h"
#include "http_stream_pvt.h"
#include "request_cut_pvt.h"
#include "watchdog_pvt.h"

namespace laburnum::pvt {

/// Runs on the strand of its socket; drain() may be called from any thread.
class Session : public std::enable_shared_from_this<Session> {
public:
    Session(std::shared_ptr<EntryContext> entry, asio::ip::tcp::socket socket);

    /// Serves requests until the connection is closed.
    asio::awaitable<void> run();
    /// Closes the connection if it is idle between two requests.
    void drain();
    /// Closes the connection immediately, for `cause` in a stop that is in `state`. A response that
    /// has been written completely is still delivered. When the grace period is about to end, one
    /// that has been read completely is left to the kernel instead, which delivers it after the end
    /// of the process. Returns whether a response may be cut. On its strand only.
    bool abort(TerminationCause cause, const TerminationState& state);
    /// The same from any thread, soon.
    void postAbort(TerminationCause cause, const TerminationState& state);

private:
    asio::awaitable<bool> serveNext();
    asio::awaitable<bool> serve(HttpHead head);
    asio::awaitable<void> reject(const Error& error);
    /// Closes the connection if it is still idle once the limit in force has passed since `since`.
    void watchIdle(SteadyTime since);
    /// Closes the connection, and records why.
    void endWithoutResponse(ConnectionEnd end);
    void closeIfIdle();
    /// Makes room in the send buffer for the rest of a response that has been read completely.
    bool leaveResponseToKernel();
    CallerLimits callerLimits() const;

    std::shared_ptr<EntryContext> m_entry;
    HttpStream m_caller;
    Watchdog m_watchdog;
    RequestCut m_cut;
    bool m_idle = true;
    /// End of the previous request, or the connection's start.
    SteadyTime m_idleSince;
    bool m_slowHead = false;
    /// The last response has been written; the connection lingers until the caller closes it.
    bool m_finalResponseSent = false;
};

} // namespace laburnum::pvt
