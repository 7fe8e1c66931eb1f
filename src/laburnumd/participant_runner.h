/// Drives participants: hands them messages and ticks, carries out what they return.
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

/// Serializes the participants added to it on one strand. Two runners work independently of each
/// other, so that a disk sync in one does not delay the messages of another.
class ParticipantRunner {
public:
    /// Keeps references to all arguments.
    ParticipantRunner(asio::io_context& context, HostId self, PeerTransport& transport,
        const Clock& clock, DecisionLog& log);

    /// Adds `participant`, which must outlive the runner's context; before PeerTransport::listen().
    void add(Participant& participant);
    /// Calls `afterwards` on the strand after every message, tick and post().
    void setAfterEach(std::function<void()> afterwards) { m_afterEach = std::move(afterwards); }
    /// Starts the ticks.
    void start();
    /// Stops the ticks; safe from any thread.
    void stop();

    /// Runs `function(now, outbox)` on the strand, without waiting for it; safe from any thread.
    void post(std::function<void(TimePoint, Outbox&)> function);

    /// Runs `function(now, outbox)` on the strand and returns its result. Never call it from the
    /// runner's own context.
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
