#include "fakes/simulated_instances.h"

#include <algorithm>
#include <cmath>

namespace laburnum::fakes {

using namespace std::chrono_literals;

namespace {

    constexpr auto announceInterval = 1500ms;
    constexpr auto drainingAnnounceInterval = 300ms;
    constexpr unsigned controlHosts = 5;
    constexpr std::size_t queueLimit = 24;
    constexpr double medianWorkSeconds = 0.45;
    constexpr double workSigma = 0.7;
    /// Relative slowdown of an instance with all slots in use, as the scheduler expects.
    constexpr double saturationSlowdown = 0.6;
    /// A few runs take far longer than the others.
    constexpr double longShare = 0.02;
    constexpr double longFactor = 5.0;
    constexpr unsigned statusOk = 200;
    constexpr unsigned statusInternalError = 500;
    constexpr unsigned statusUnavailable = 503;

    auto findAttempt(auto& jobs, AttemptNumber attempt)
    {
        return std::find_if(
            jobs.begin(), jobs.end(), [&](const auto& job) { return job.attempt == attempt; });
    }

} // namespace

SimulatedInstances::SimulatedInstances(
    ControllerFleet& fleet, AttemptChecker& checker, std::uint64_t seed, OnEnded onEnded)
    : m_fleet(fleet)
    , m_checker(checker)
    , m_random(seed)
    , m_onEnded(std::move(onEnded))
{
}

void SimulatedInstances::add(InstanceRecord record)
{
    m_byId[record.id] = m_instances.size();
    m_instances.emplace_back().record = std::move(record);
}

void SimulatedInstances::start()
{
    for (std::size_t i = 0; i < m_instances.size(); ++i)
        m_fleet.schedule(announceInterval * i / m_instances.size(), [this, i] { announce(i); });
}

std::vector<std::size_t> SimulatedInstances::ofService(const ServiceId& service) const
{
    std::vector<std::size_t> result;
    for (std::size_t i = 0; i < m_instances.size(); ++i) {
        const InstanceRecord& record = m_instances[i].record;
        if (record.service == service && record.phase == InstancePhase::Serving)
            result.push_back(i);
    }
    return result;
}

void SimulatedInstances::announce(std::size_t index)
{
    Instance& instance = m_instances[index];
    if (instance.isGone)
        return;
    ++instance.record.version;
    const auto host = (index + instance.announcements++) % controlHosts + 1;
    const std::size_t call = m_fleet.call(ControllerFleet::control(static_cast<unsigned>(host)),
        AnnounceCall { instance.record, 0ms });
    const bool isDraining = instance.record.phase == InstancePhase::Draining;
    if (isDraining)
        instance.drainCall = call;
    m_fleet.schedule(isDraining ? drainingAnnounceInterval : announceInterval, [this, index] {
        Instance& announced = m_instances[index];
        if (announced.drainCall)
            leaveIfDone(announced);
        announce(index);
    });
}

void SimulatedInstances::arrive(const InstanceId& id, AttemptNumber attempt)
{
    Instance& instance = m_instances[m_byId.at(id)];
    const Job job { ++m_lastJob, attempt };
    if (instance.isGone)
        return end(instance, job, InstanceEnding::Refused, 0);
    if (instance.record.phase == InstancePhase::Draining)
        return end(instance, job, InstanceEnding::Leaving, statusUnavailable);
    if (uniformReal(m_random) < instance.health.shedShare || instance.queue.size() >= queueLimit)
        return end(instance, job, InstanceEnding::Shed, statusUnavailable);
    m_checker.onQueued(attempt, m_fleet.now());
    instance.queue.push_back(job);
    startJobs(m_byId.at(id));
}

void SimulatedInstances::disconnect(const InstanceId& id, AttemptNumber attempt)
{
    const std::size_t index = m_byId.at(id);
    Instance& instance = m_instances[index];
    if (const auto job = findAttempt(instance.queue, attempt); job != instance.queue.end())
        instance.queue.erase(job);
    if (const auto job = findAttempt(instance.running, attempt); job != instance.running.end())
        instance.running.erase(job);
    startJobs(index);
}

void SimulatedInstances::setHealth(std::size_t index, const InstanceHealth& health)
{
    m_instances[index].health = health;
}

void SimulatedInstances::setRateLimit(std::size_t index, std::optional<double> perSecond)
{
    m_instances[index].rateLimit = perSecond;
}

void SimulatedInstances::crowd(std::size_t index, unsigned jobs)
{
    Instance& instance = m_instances[index];
    for (unsigned i = 0; i < jobs && instance.queue.size() < queueLimit; ++i)
        instance.queue.push_back({ ++m_lastJob, std::nullopt });
    startJobs(index);
}

void SimulatedInstances::drain(std::size_t index)
{
    m_instances[index].record.phase = InstancePhase::Draining;
    m_instances[index].drainBegan = m_fleet.now();
    announce(index);
}

void SimulatedInstances::end(
    Instance& instance, const Job& job, InstanceEnding ending, unsigned status)
{
    if (!job.attempt)
        return;
    m_checker.onInstanceEnded(*job.attempt);
    const auto load = static_cast<std::int32_t>(instance.running.size() + instance.queue.size());
    m_onEnded(*job.attempt, { ending, status, load, instance.rateLimit });
}

Duration SimulatedInstances::serviceTime(const Instance& instance)
{
    std::lognormal_distribution<double> distribution(std::log(medianWorkSeconds), workSigma);
    const double used = std::min(1.0,
        static_cast<double>(instance.running.size()) / static_cast<double>(instance.record.slots));
    double seconds
        = distribution(m_random) * (1.0 + saturationSlowdown * used) * instance.health.slowness;
    if (uniformReal(m_random) < longShare)
        seconds *= longFactor;
    return fromSeconds(seconds);
}

void SimulatedInstances::startJobs(std::size_t index)
{
    Instance& instance = m_instances[index];
    while (instance.running.size() < instance.record.slots && !instance.queue.empty()) {
        const Job job = instance.queue.front();
        instance.queue.pop_front();
        instance.running.push_back(job);
        if (job.attempt)
            m_checker.onRunning(*job.attempt, m_fleet.now());
        m_fleet.schedule(serviceTime(instance), [this, index, id = job.id] { finish(index, id); });
    }
}

void SimulatedInstances::finish(std::size_t index, std::uint64_t id)
{
    Instance& instance = m_instances[index];
    const auto found = std::find_if(instance.running.begin(), instance.running.end(),
        [&](const Job& job) { return job.id == id; });
    if (found == instance.running.end())
        return; // its host closed the connection
    const Job job = *found;
    instance.running.erase(found);
    const double draw = uniformReal(m_random);
    if (draw < instance.health.breakShare)
        end(instance, job, InstanceEnding::BrokeOff, 0);
    else if (draw < instance.health.breakShare + instance.health.failureShare)
        end(instance, job, InstanceEnding::Answered, statusInternalError);
    else
        end(instance, job, InstanceEnding::Answered, statusOk);
    startJobs(index);
}

void SimulatedInstances::leaveIfDone(Instance& instance)
{
    const CallRecord& call = m_fleet.record(*instance.drainCall);
    if (!instance.isDrainKnown && call.result && call.result->done) {
        instance.isDrainKnown = true;
        m_longestDrainCall = std::max(m_longestDrainCall, call.ended - instance.drainBegan);
    }
    if (!instance.isDrainKnown || !instance.queue.empty() || !instance.running.empty())
        return;
    instance.isGone = true;
    const auto host = instance.announcements % controlHosts + 1;
    m_fleet.call(ControllerFleet::control(static_cast<unsigned>(host)),
        DeregisterCall {
            { instance.record.id, instance.record.incarnation, true, instance.record.version } });
}

} // namespace laburnum::fakes
