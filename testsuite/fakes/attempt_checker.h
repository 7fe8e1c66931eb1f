/// Judges a simulated fleet by the promise on attempts: nobody ends an attempt at which an instance
/// is at work, but for the causes that the promise names. Knows what happened on the connections
/// and what callers and operators did; uses none of the product's decisions.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <laburnumroute/clock.h>
#include <laburnumroute/ids.h>

namespace laburnum::fakes {

using RequestNumber = StrongId<struct RequestNumberTag, std::uint64_t>;
using AttemptNumber = StrongId<struct AttemptNumberTag, std::uint64_t>;

/// State of an attempt at its instance.
enum class AttemptStage { Unsent, UnderWay, Queued, Running, Ended };

/// An attempt that its host ended without one of the named causes.
struct AttemptViolation {
    RequestNumber request;
    AttemptNumber attempt;
    HostId host;
    /// When the attempt started.
    TimePoint started;
    AttemptStage stage = AttemptStage::Running;
    /// From the attempt's start to its end by the host.
    Duration age {};
    /// From then to the end of the request; unset if it did not end.
    std::optional<Duration> untilAnswer;
    /// Of the answer that the host gave the caller in its place; 0 if it closed the connection.
    unsigned status = 0;
    /// The caller got an instance's answer in the end.
    bool isServed = false;
    /// The host had got a stop signal.
    bool isStopping = false;
};

/// Attempts that a host ended while their instance was at work, by the cause that allows it.
struct AllowedEnds {
    std::uint64_t callerLeft = 0;
    std::uint64_t deadline = 0;
    std::uint64_t otherAnswer = 0;
    std::uint64_t lateInStop = 0;
};

class AttemptChecker {
public:
    /// The host's process got a stop signal, and is killed after `grace`.
    void onStop(const HostId& host, TimePoint now, Duration grace);
    /// A new process runs on the host.
    void onStart(const HostId& host);

    /// `limit`: the least of the time that the caller gives and the timeouts of the route in the
    /// configuration that the host held when it had read the request.
    void onRead(RequestNumber request, const HostId& host, bool isRepeatable, TimePoint sent,
        TimePoint now, Duration limit);
    void onCallerLeft(RequestNumber request, TimePoint now);
    /// The host began to send the caller the answer of `attempt`.
    void onRelayed(RequestNumber request, AttemptNumber attempt, TimePoint now);
    /// The caller got the rest of that answer, or one of the host's own. A status of 0 stands for a
    /// closed connection. An attempt that the host has not closed and that goes on is given up now.
    void onEnded(RequestNumber request, unsigned status, TimePoint now);

    void onAttempt(AttemptNumber attempt, RequestNumber request, TimePoint now);
    /// The first byte left the host.
    void onSent(AttemptNumber attempt);
    /// The instance took the request into its queue, or began to work on it.
    void onQueued(AttemptNumber attempt, TimePoint now);
    void onRunning(AttemptNumber attempt, TimePoint now);
    /// It sends a long answer.
    void onStreaming(AttemptNumber attempt);
    /// The instance answered, declined or broke off.
    void onInstanceEnded(AttemptNumber attempt);
    /// The head of the instance's answer arrived at the host.
    void onAnswerArrived(AttemptNumber attempt, unsigned status, TimePoint now);
    /// The host closed the attempt's connection.
    void onClosed(AttemptNumber attempt, TimePoint now);

    /// To be called at the end.
    std::vector<AttemptViolation> violations() const;
    AllowedEnds allowedEnds() const;
    std::uint64_t requests() const { return m_requests.size(); }
    std::uint64_t attempts() const { return m_attempts.size(); }
    /// Requests that may run once and ran more often.
    std::uint64_t ranAgain() const;
    /// Requests that a host refused as not run (503 of its own), and that ran.
    std::uint64_t ranThoughRefused() const;
    /// Requests that were read and not ended.
    std::uint64_t unended() const;
    /// Requests that the caller got an instance's answer for.
    std::uint64_t served() const;
    /// Attempts that waited for a slot of their instance for longer than `time`.
    std::uint64_t queuedLongerThan(Duration time) const;

private:
    struct Stop {
        TimePoint signalled;
        Duration grace {};
    };
    struct Request {
        HostId host;
        bool isRepeatable = false;
        unsigned runs = 0;
        std::vector<AttemptNumber> attempts;
        TimePoint sent;
        TimePoint deadline;
        std::optional<TimePoint> callerLeft;
        std::optional<TimePoint> ended;
        unsigned status = 0;
        std::optional<AttemptNumber> answeredBy;
        TimePoint relayed;
    };
    struct Attempt {
        RequestNumber request;
        TimePoint started;
        AttemptStage stage = AttemptStage::Unsent;
        TimePoint queuedAt;
        Duration queued {};
        std::optional<TimePoint> answerArrived;
        unsigned status = 0;
        std::optional<TimePoint> closed;
        AttemptStage stageWhenClosed = AttemptStage::Ended;
        /// The host's stop, if it had begun when the attempt was closed.
        std::optional<Stop> stop;
    };
    enum class Cause { None, CallerLeft, Deadline, OtherAnswer, LateInStop };

    static bool isAtWork(const Attempt& attempt);
    Cause allowedCause(const Attempt& attempt) const;

    std::map<HostId, Stop> m_stops;
    std::map<RequestNumber, Request> m_requests;
    std::map<AttemptNumber, Attempt> m_attempts;
};

} // namespace laburnum::fakes
