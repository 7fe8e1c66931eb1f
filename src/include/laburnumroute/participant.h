/// Interface of protocol state machines that communicate with other hosts by messages. Driven by
/// laburnumd in production and by a simulated network in tests.
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <laburnumroute/clock.h>
#include <laburnumroute/decision.h>
#include <laburnumroute/transport.h>

namespace laburnum {

/// Collects the output of a state machine: messages to send and decisions to log.
class Outbox {
public:
    explicit Outbox(HostId self)
        : m_self(std::move(self))
    {
    }

    /// Queues a message. A message addressed to this host itself is delivered through receive()
    /// like any other.
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

/// A protocol state machine without I/O. The caller serializes all calls; `now` never decreases.
class Participant {
public:
    virtual ~Participant() = default;
    /// Methods of the messages it receives, such as `log.append`.
    virtual std::vector<std::string> methods() const = 0;
    /// Handles one message. A malformed message is ignored.
    virtual void receive(const PeerMessage& message, TimePoint now, Outbox& out) = 0;
    /// Performs work that is due. Called at least every tickInterval().
    virtual void tick(TimePoint now, Outbox& out) = 0;
    /// Maximum interval between ticks for correct timing.
    virtual Duration tickInterval() const { return std::chrono::milliseconds(50); }
};

} // namespace laburnum
