/// State machines that take part in the fleet by messages: the one shape that the serving process
/// and the tests drive.
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <laburnumroute/clock.h>
#include <laburnumroute/decision.h>
#include <laburnumroute/transport.h>

namespace laburnum {

/// Collects what a state machine wants done: messages to send and decisions to log.
class Outbox {
public:
    explicit Outbox(HostId self)
        : m_self(std::move(self))
    {
    }

    /// Queues a message. One addressed to this host itself comes back through receive() like any
    /// other.
    void send(HostId to, std::string method, Json::Value params)
    {
        m_messages.push_back({ m_self, std::move(to), std::move(method), std::move(params) });
    }
    void log(Decision decision) { m_decisions.push_back(std::move(decision)); }

    std::vector<PeerMessage> takeMessages() { return std::exchange(m_messages, {}); }
    std::vector<Decision> takeDecisions() { return std::exchange(m_decisions, {}); }

private:
    HostId m_self;
    std::vector<PeerMessage> m_messages;
    std::vector<Decision> m_decisions;
};

/// A state machine without I/O. Calls are serialized by the shell, `now` never goes back.
class Participant {
public:
    virtual ~Participant() = default;
    /// The methods of the messages that it receives, such as `log.append`.
    virtual std::vector<std::string> methods() const = 0;
    /// Handles one message. A malformed message is ignored.
    virtual void receive(const PeerMessage& message, TimePoint now, Outbox& out) = 0;
    /// Called at least every tickInterval(); does what has come due.
    virtual void tick(TimePoint now, Outbox& out) = 0;
    /// The coarsest interval between ticks with which it keeps its promises.
    virtual Duration tickInterval() const { return std::chrono::milliseconds(50); }
};

} // namespace laburnum
