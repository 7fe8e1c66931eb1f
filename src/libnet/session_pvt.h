/// One caller's connection: reads requests one after the other and serves them.
#pragma once

#include <memory>

#include "entry_context_pvt.h"
#include "http_stream_pvt.h"
#include "watchdog_pvt.h"

namespace laburnum::pvt {

/// Runs on the strand of its socket; drain() and cut() may be called from any thread.
class Session : public std::enable_shared_from_this<Session> {
public:
    Session(std::shared_ptr<EntryContext> entry, asio::ip::tcp::socket socket);

    /// Serves requests until the connection ends.
    asio::awaitable<void> run();
    /// Closes the connection if it is between two requests.
    void drain();
    /// Closes the connection at once; what was answered whole is still delivered.
    void cut();

private:
    asio::awaitable<bool> serveNext();
    asio::awaitable<bool> serve(HttpHead head);
    asio::awaitable<void> refuse(const Error& error);
    void closeIfIdle();
    CallerLimits callerLimits() const;

    std::shared_ptr<EntryContext> m_entry;
    HttpStream m_caller;
    Watchdog m_watchdog;
    bool m_idle = true;
    bool m_slowHead = false;
    /// The last answer is written; the connection only waits for its caller to close.
    bool m_answered = false;
};

} // namespace laburnum::pvt
