/// Simulated instances of a ControllerFleet: slots, a queue, service times with a long tail; they
/// shed, turn gray, are crowded by work of others, drain and leave. Deterministic for a seed.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "fakes/attempt_checker.h"
#include "fakes/controller_fleet.h"

namespace laburnum::fakes {

/// How an instance ended an attempt.
enum class InstanceEnding { Answered, Shed, Leaving, BrokeOff, Refused };

struct InstanceAnswer {
    InstanceEnding ending = InstanceEnding::Answered;
    unsigned status = 200;
    /// Requests that run and wait.
    std::int32_t load = 0;
    /// Requests per second that the instance takes from all hosts; empty if it names no limit.
    std::optional<double> rateLimit;
};

/// How an instance behaves.
struct InstanceHealth {
    /// Factor on service times.
    double slowness = 1.0;
    double shedShare = 0.0;
    /// Shares of the runs that end in a 500, or break off without an answer.
    double failureShare = 0.01;
    double breakShare = 0.01;
};

class SimulatedInstances {
public:
    using OnEnded = std::function<void(AttemptNumber attempt, const InstanceAnswer& answer)>;

    /// Attempts that end are given to `onEnded` when the instance ends them.
    SimulatedInstances(
        ControllerFleet& fleet, AttemptChecker& checker, std::uint64_t seed, OnEnded onEnded);

    /// To be called before start().
    void add(InstanceRecord record);
    /// Begins to announce the instances.
    void start();
    std::size_t size() const { return m_instances.size(); }
    const InstanceRecord& record(std::size_t index) const { return m_instances[index].record; }
    /// The instances of a service that have not begun to drain.
    std::vector<std::size_t> ofService(const ServiceId& service) const;

    /// An attempt's request arrived, or its connection was closed by its host.
    void arrive(const InstanceId& instance, AttemptNumber attempt);
    void disconnect(const InstanceId& instance, AttemptNumber attempt);

    void setHealth(std::size_t index, const InstanceHealth& health);
    /// Named in all answers from now on; empty: in none.
    void setRateLimit(std::size_t index, std::optional<double> perSecond);
    /// Puts `jobs` of others into the queue.
    void crowd(std::size_t index, unsigned jobs);
    /// Announces the drain until it is acknowledged, works off the queue and leaves.
    void drain(std::size_t index);
    /// Longest time until a drain was acknowledged.
    Duration longestDrainCall() const { return m_longestDrainCall; }

private:
    struct Job {
        std::uint64_t id = 0;
        /// Unset for work of others.
        std::optional<AttemptNumber> attempt;
    };
    struct Instance {
        InstanceRecord record;
        InstanceHealth health;
        std::optional<double> rateLimit;
        std::deque<Job> queue;
        std::vector<Job> running;
        unsigned announcements = 0;
        std::optional<std::size_t> drainCall;
        TimePoint drainBegan;
        bool isDrainKnown = false;
        bool isGone = false;
    };

    void announce(std::size_t index);
    void end(Instance& instance, const Job& job, InstanceEnding ending, unsigned status);
    void startJobs(std::size_t index);
    void finish(std::size_t index, std::uint64_t job);
    Duration serviceTime(const Instance& instance);
    void leaveIfDone(Instance& instance);

    ControllerFleet& m_fleet;
    AttemptChecker& m_checker;
    Random m_random;
    OnEnded m_onEnded;
    std::vector<Instance> m_instances;
    std::map<InstanceId, std::size_t> m_byId;
    std::uint64_t m_lastJob = 0;
    Duration m_longestDrainCall {};
};

} // namespace laburnum::fakes
