/// Runs participants: delivers messages and ticks to them, sends and logs what they return.
#pragma once

#include <functional>
#include <future>
#include <memory>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>

#include <laburnumroute/participant.h>
#include <laburnumroute/peer_transport.h>

namespace laburnum {

/// Runs its participants serialized on one strand. Runners are independent of each other, so a disk
/// sync in one does not delay the messages of another.
class ParticipantRunner {
public:
    /// Keeps references to all arguments.
    ParticipantRunner(asio::io_context& context, HostId self, PeerTransport& transport,
        const Clock& clock, DecisionLog& log);

    /// Adds `participant`, which must outlive the io_context. Call before PeerTransport::listen().
    void add(Participant& participant);
    /// Sets a callback that runs on the strand after every message, tick and post().
    void setAfterEach(std::function<void()> callback) { m_afterEach = std::move(callback); }
    /// Starts the tick timers.
    void start();
    /// Stops the tick timers. Safe from any thread.
    void stop();

    /// Runs `function(now, outbox)` on the strand without waiting for it. Safe from any thread.
    void post(std::function<void(TimePoint, Outbox&)> function);

    /// Runs `function(now, outbox)` on the strand and returns its result. Blocks; must not be
    /// called from the runner's io_context.
    template <class Function> auto call(Function function)
    {
        using Result = decltype(function(TimePoint(), std::declval<Outbox&>()));
        std::promise<Result> promise;
        auto future = promise.get_future();
        post([&](TimePoint now, Outbox& out) { promise.set_value(function(now, out)); });
        return future.get();
    }

private:
    struct Ticker {
        Participant* participant;
        std::unique_ptr<asio::steady_timer> timer;
    };

    void handle(const PeerMessage& message);
    void schedule(Ticker& ticker);
    void flush(Outbox& out);
    Participant* receiverOf(const std::string& method);

    asio::strand<asio::io_context::executor_type> m_strand;
    HostId m_self;
    PeerTransport& m_transport;
    const Clock& m_clock;
    DecisionLog& m_log;
    std::vector<Participant*> m_participants;
    std::vector<std::unique_ptr<Ticker>> m_tickers;
    std::function<void()> m_afterEach;
    bool m_stopped = false;
};

} // namespace laburnum
