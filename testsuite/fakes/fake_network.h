/// An in-memory network that drives participants in virtual time and injects faults per direction.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <vector>

#include <laburnumroute/participant.h>
#include <laburnumroute/random.h>

namespace laburnum::fakes {

/// Faults of message delivery. Rates are probabilities from 0 to 1.
struct NetworkFaults {
    double lossRate = 0.0;
    double duplicationRate = 0.0;
    /// Upper bound of an additional, uniformly distributed delay, which reorders messages.
    Duration jitter {};
};

/// Messages of one host in one direction. Bytes are those of libnet's frames: JSON text and
/// JSON-RPC envelope, without TCP and IP headers.
struct Traffic {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
};

/// Delivers messages between hosts. Deterministic for a seed.
class FakeNetwork {
public:
    using Delay = std::function<Duration(const HostId& from, const HostId& to)>;

    explicit FakeNetwork(std::uint64_t seed)
        : m_random(seed)
    {
    }

    /// Attaches a participant, which is not owned and must stay alive until detach(). Several
    /// participants may share a host if their methods differ.
    void attach(const HostId& host, Participant& participant);
    /// Removes every participant of `host`, as when its process is killed.
    void detach(const HostId& host);

    /// One-way delay of every message; 1 ms unless set.
    void setDelay(Delay delay) { m_delay = std::move(delay); }
    void setFaults(NetworkFaults faults) { m_faults = faults; }
    /// Drops messages from `from` to `to`, or restores the direction.
    void cut(const HostId& from, const HostId& to, bool isCut = true);
    /// Cuts or restores both directions between `host` and every other host.
    void isolate(const HostId& host, bool isCut = true);
    /// A frozen host neither ticks nor receives. Messages that arrive meanwhile are delivered when
    /// it is unfrozen.
    void freeze(const HostId& host, bool isFrozen = true);

    /// Runs the clock of `host` at `rate` times the speed of now(). Must be called before attach().
    void setClockRate(const HostId& host, double rate) { m_clockRates[host] = rate; }
    /// Time on the clock of `host`.
    TimePoint localNow(const HostId& host) const;
    /// Calls `tap` with each message when it is sent. The tap may modify the message, or drop it by
    /// returning false.
    using Tap = std::function<bool(PeerMessage& message)>;
    void setTap(Tap tap) { m_tap = std::move(tap); }

    /// Runs for `time`, in steps of one millisecond, calling `check` after each step.
    void run(Duration time, const std::function<void()>& check = {});
    /// Sends the messages in `out`; for calls made on a participant by the test itself.
    void flush(Outbox& out);

    TimePoint now() const noexcept { return m_now; }
    /// Decisions that participants logged, in the order of logging.
    const std::vector<Decision>& decisions() const noexcept { return m_decisions; }
    std::uint64_t messagesSent() const noexcept { return m_messagesSent; }
    /// Number of messages of `method` sent so far.
    std::uint64_t messagesSent(const std::string& method) { return m_sentByMethod[method]; }
    /// Bytes of all messages sent, as JSON text.
    std::uint64_t bytesSent() const noexcept { return m_bytesSent; }
    /// Messages that `host` sent, including lost ones, and that it received.
    const Traffic& sentBy(const HostId& host) { return m_sent[host]; }
    const Traffic& receivedBy(const HostId& host) { return m_received[host]; }

private:
    struct InFlight {
        PeerMessage message;
        std::size_t bytes = 0;
    };

    void enqueue(PeerMessage message);
    void deliverDue();
    void deliver(const InFlight& item);
    void tickAll();

    Random m_random;
    Delay m_delay;
    Tap m_tap;
    NetworkFaults m_faults;
    TimePoint m_now { std::chrono::seconds(1) };
    std::map<HostId, std::vector<Participant*>> m_hosts;
    std::map<Participant*, TimePoint> m_nextTick;
    std::set<std::pair<HostId, HostId>> m_cuts;
    std::set<HostId> m_isolated;
    std::set<HostId> m_frozen;
    std::multimap<TimePoint, InFlight> m_inFlight;
    std::map<HostId, std::map<std::string, Participant*>> m_receivers;
    std::map<HostId, double> m_clockRates;
    std::map<std::string, std::uint64_t> m_sentByMethod;
    std::map<HostId, Traffic> m_sent;
    std::map<HostId, Traffic> m_received;
    std::vector<Decision> m_decisions;
    std::uint64_t m_messagesSent = 0;
    std::uint64_t m_bytesSent = 0;
};

} // namespace laburnum::fakes
