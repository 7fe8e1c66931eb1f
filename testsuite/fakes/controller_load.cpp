#include "fakes/controller_load.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace laburnum::fakes {

using namespace std::chrono_literals;

namespace {

    // The users' large site: 126 entry hosts and three services. Fleets of other sizes get the same
    // load per host.
    constexpr double siteEntries = 126.0;
    /// Dispatches that 1,128 requests/s and their retries cause at the leader.
    constexpr double siteDispatchesPerSecond = 1300.0;
    struct ServiceLoad {
        const char* name;
        unsigned instances;
        RequestKind kind;
        std::uint32_t bodyKiB;
    };
    constexpr std::array<ServiceLoad, 3> siteServices { { { "safe", 93, RequestKind::Safe, 0 },
        { "unsafe", 176, RequestKind::Unsafe, 4 }, { "upload", 35, RequestKind::Upload, 64 } } };
    constexpr std::uint16_t firstPort = 2000;
    constexpr auto announceInterval = 1500ms;
    constexpr auto requestLimit = 4000ms;
    constexpr auto objective = 2000ms;
    /// An entry host abandons an attempt at 85 % of the objective.
    constexpr auto attemptLimit = 1700ms;
    constexpr double medianWorkSeconds = 0.45;
    /// Relative slowdown of an instance with all slots in use, as the scheduler expects.
    constexpr double saturationSlowdown = 0.6;
    // Keeps the leader busy for 0.26 to 0.39 of its time in steady state, as on the users' bench.
    constexpr double workSigma = 0.7;
    constexpr std::array<double, 3> regionLoads { 1.4, 0.8, 0.8 };
    constexpr double failureShare = 0.03;

    constexpr auto steadyStateTime = 3s;
    constexpr auto sampleInterval = 10ms;
    /// Answers count from this time after a freeze on.
    constexpr auto answersCountAfter = 3s;

    /// Hosts and instances are assigned in turn to nine data centres in three regions.
    constexpr unsigned dataCentres = 9;
    constexpr unsigned regions = regionLoads.size();
    constexpr std::uint32_t priorities = 3;

    DataCentreId dataCentreOf(std::size_t index)
    {
        return DataCentreId("d" + std::to_string(index % dataCentres));
    }

    RegionId regionOf(std::size_t index) { return RegionId("r" + std::to_string(index % regions)); }

    double seconds(Duration d) { return std::chrono::duration<double>(d).count(); }

    Duration fromSeconds(double s)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(s));
    }

    ControllerFleetOptions fleetOptions(std::uint64_t seed)
    {
        ControllerFleetOptions options;
        options.entries = 0; // entry hosts start once the instances are known
        options.seed = seed;
        options.processor = benchCosts();
        return options;
    }

} // namespace

ProcessorCosts benchCosts()
{
    ProcessorCosts costs;
    // On a leader, a dispatch takes 0.08 ms with one frame sent, and a join 0.1 ms with five.
    costs.turn = 60us;
    costs.frameSent = 15us;
    // Lower than a turn, because a posted task reads no socket.
    costs.slice = 10us;
    // 500 MB/s: sending the full state of 300 instances (45 KB) takes as long as the join itself.
    costs.kibibyteSent = 2us;
    // A message of the replicated log takes 0.5 ms, and about 5 ms when entries are synced.
    costs.logMessage = 400us;
    costs.sync = 5ms;
    // Evaluating an instance takes 44 to 64 ns on a busy machine. It would take 134 to 154 ns if
    // the end of each placement evaluated instances for all waiting dispatches.
    costs.evaluation = 60ns;
    return costs;
}

ControllerLoad::ControllerLoad(unsigned entries, std::uint64_t seed)
    : m_entries(entries)
    , m_random(seed)
    , m_fleet(fleetOptions(seed))
{
    for (const ServiceLoad& service : siteServices) {
        const auto count = std::max(1L, std::lround(service.instances * entries / siteEntries));
        for (long i = 0; i < count; ++i) {
            const auto port = static_cast<std::uint16_t>(firstPort + m_instances.size());
            auto record = instanceRecord(service.name + std::to_string(i), service.name, port);
            record.dataCentre = dataCentreOf(m_instances.size());
            record.region = regionOf(m_instances.size());
            m_byId[record.id] = m_instances.size();
            m_instances.push_back({ record, std::vector<TimePoint>(record.slots), 0, 0 });
        }
    }
    m_fleet.setAnswerObserver(
        [this](const HostId& entry, const PlacementResult& answer) { answered(entry, answer); });
}

bool ControllerLoad::awaitInstances()
{
    const auto allVote = [&] {
        const auto leader = m_fleet.leader();
        return leader && m_fleet.controller(*leader)->log().membership().voterCount() == 5;
    };
    if (!m_fleet.runUntil(10s, allVote))
        return false;
    for (std::size_t i = 0; i < m_instances.size(); ++i)
        m_fleet.schedule(announceInterval * i / m_instances.size(), [this, i] { announce(i); });
    return m_fleet.runUntil(30s, [&] {
        const auto leader = m_fleet.leader();
        return leader
            && m_fleet.controller(*leader)->state().instances().size() == m_instances.size();
    });
}

bool ControllerLoad::awaitEntries()
{
    for (unsigned i = 1; i <= m_entries; ++i)
        m_fleet.schedule(1ms * uniformBelow(m_random, 1000), [this, i] {
            m_fleet.startEntry(ControllerFleet::entry(i), dataCentreOf(i), regionOf(i));
        });
    return m_fleet.runUntil(30s, [&] {
        const auto leader = m_fleet.leader();
        return leader && m_fleet.controller(*leader)->subscriberCount() == m_entries;
    });
}

bool ControllerLoad::start()
{
    if (!awaitInstances() || !awaitEntries())
        return false;
    for (unsigned i = 1; i <= m_entries; ++i)
        m_fleet.schedule(1ms * uniformBelow(m_random, 200), [this, i] { arrive(i); });
    const HostId leader = *m_fleet.leader();
    m_fleet.resetLoopStats();
    const std::uint64_t bytes = m_fleet.linkBytes();
    const std::uint64_t elected = m_fleet.decisions("log", "elected");
    m_fleet.run(steadyStateTime);
    const EventLoopStats& loopStats = m_fleet.loopStats(leader);
    m_steadyState.leaderBusy = seconds(loopStats.busy) / seconds(steadyStateTime);
    m_steadyState.longestWait = loopStats.longestWait;
    m_steadyState.elections = m_fleet.decisions("log", "elected") - elected;
    m_steadyState.bytesPerHostSecond
        = static_cast<double>(m_fleet.linkBytes() - bytes) / m_entries / seconds(steadyStateTime);
    return m_fleet.leader() == leader;
}

void ControllerLoad::announce(std::size_t index)
{
    Instance& instance = m_instances[index];
    ++instance.record.version;
    const auto host = (index + instance.announcements++) % 5 + 1;
    m_fleet.call(ControllerFleet::control(static_cast<unsigned>(host)),
        AnnounceCall { instance.record, 0ms });
    m_fleet.schedule(announceInterval, [this, index] { announce(index); });
}

void ControllerLoad::arrive(unsigned entry)
{
    const double rate = siteDispatchesPerSecond / siteEntries * regionLoads[entry % regions];
    std::exponential_distribution<double> interval(rate);
    m_fleet.schedule(fromSeconds(interval(m_random)), [this, entry] { arrive(entry); });
    const auto& record = m_instances[uniformBelow(m_random, m_instances.size())].record;
    const auto service = std::find_if(siteServices.begin(), siteServices.end(),
        [&](const ServiceLoad& each) { return record.service.value() == each.name; });
    Request request;
    request.until = m_fleet.now() + requestLimit;
    request.placementRequest.service = record.service;
    request.placementRequest.kind = service->kind;
    request.placementRequest.bodyKiB = service->bodyKiB;
    request.placementRequest.objective = objective;
    request.placementRequest.priority
        = static_cast<std::uint32_t>(uniformBelow(m_random, priorities));
    request.placementRequest.dataCentre = dataCentreOf(entry);
    request.placementRequest.region = regionOf(entry);
    dispatch(ControllerFleet::entry(entry), std::move(request));
}

void ControllerLoad::dispatch(const HostId& entry, Request request)
{
    request.placementRequest.remaining = request.until - m_fleet.now();
    if (request.placementRequest.remaining <= 0ms)
        return;
    m_dispatching = request;
    const DispatchId id = m_fleet.dispatch(entry, request.placementRequest);
    if (std::exchange(m_dispatching, std::nullopt))
        m_open[{ entry, id }] = std::move(request);
}

void ControllerLoad::answered(const HostId& entry, const PlacementResult& answer)
{
    ++m_answers.all;
    m_answers.alone += answer.alone ? 1 : 0;
    Request request;
    if (const auto open = m_open.extract({ entry, answer.dispatch })) {
        request = open.mapped();
    } else {
        request = *m_dispatching;
        m_dispatching.reset();
    }
    // The observer runs while the fleet performs the host's actions, so the reaction is deferred.
    m_fleet.schedule(0ms, [this, entry, answer, request = std::move(request)]() mutable {
        if (answer.instance)
            return attempt(entry, std::move(request), answer);
        request.placementRequest.resubmitted = true;
        m_fleet.schedule(answer.delay,
            [this, entry, request = std::move(request)] { dispatch(entry, request); });
    });
}

Duration ControllerLoad::work(const Instance& instance)
{
    std::lognormal_distribution<double> distribution(std::log(medianWorkSeconds), workSigma);
    const double used = std::min(1.0, instance.load / static_cast<double>(instance.record.slots));
    return fromSeconds(distribution(m_random) * (1.0 + saturationSlowdown * used));
}

/// The instance executes an attempt once a slot is free, even if its host has abandoned it by then.
void ControllerLoad::attempt(const HostId& entry, Request request, const PlacementResult& answer)
{
    const TimePoint now = m_fleet.now();
    const std::size_t index = m_byId.at(answer.instance->id);
    Instance& instance = m_instances[index];
    const auto slot = std::min_element(instance.slots.begin(), instance.slots.end());
    *slot = std::max(*slot, now) + work(instance);
    ++instance.load;
    m_fleet.schedule(*slot - now, [this, index] { --m_instances[index].load; });
    const Duration limit = std::min<Duration>(attemptLimit, request.until - now);
    PlacementReport report;
    report.end = uniformReal(m_random) < failureShare ? PlacementOutcome::Failure
                                                      : PlacementOutcome::Success;
    report.latency = *slot - now;
    if (report.latency > limit)
        report = { PlacementOutcome::TimedOut, limit };
    m_fleet.schedule(report.latency,
        [this, entry, answer, report, index, request = std::move(request)]() mutable {
            if (report.end != PlacementOutcome::TimedOut)
                report.reportedLoad = m_instances[index].load;
            ended(entry, std::move(request), answer, report);
        });
}

void ControllerLoad::ended(const HostId& entry, Request request, const PlacementResult& answer,
    const PlacementReport& report)
{
    m_fleet.end(entry, answer.dispatch, report);
    PlacementRequest& placementRequest = request.placementRequest;
    if (report.end == PlacementOutcome::Success || placementRequest.kind != RequestKind::Safe
        || placementRequest.retry)
        return;
    placementRequest.retry = true;
    placementRequest.resubmitted = true;
    placementRequest.avoid.push_back(answer.instance->id);
    dispatch(entry, std::move(request));
}

FreezeOutcome ControllerLoad::freezeLeader(Duration frozen, Duration watched, Duration giveUp)
{
    FreezeOutcome outcome;
    const HostId old = *m_fleet.leader();
    const TimePoint start = m_fleet.now();
    const std::uint64_t elected = m_fleet.decisions("log", "elected");
    const std::uint64_t bytes = m_fleet.linkBytes();
    std::optional<HostId> last;
    Duration gap {};
    Answers before;
    m_fleet.resetLoopStats();
    m_fleet.freeze(old);
    while (outcome.watched < watched && outcome.withoutLeader < giveUp) {
        outcome.watched += sampleInterval;
        m_fleet.run(sampleInterval);
        if (outcome.watched == frozen)
            m_fleet.freeze(old, false);
        if (outcome.watched == answersCountAfter)
            before = m_answers;
        const auto leader = m_fleet.leader();
        if (!leader) {
            outcome.withoutLeader += sampleInterval;
            gap += sampleInterval;
            continue;
        }
        if (!outcome.untilLeader)
            outcome.untilLeader = m_fleet.now() - start;
        else
            outcome.longestGap = std::max(outcome.longestGap, gap);
        gap = {};
        if (leader != last)
            ++outcome.leaders;
        last = leader;
    }
    if (outcome.untilLeader)
        outcome.longestGap = std::max(outcome.longestGap, gap);
    outcome.elections = m_fleet.decisions("log", "elected") - elected;
    const auto answers = static_cast<double>(m_answers.all - before.all);
    outcome.locallyPlacedShare
        = static_cast<double>(m_answers.alone - before.alone) / std::max(answers, 1.0);
    for (unsigned i = 1; i <= 5; ++i) {
        const EventLoopStats& loopStats = m_fleet.loopStats(ControllerFleet::control(i));
        outcome.busyShare
            = std::max(outcome.busyShare, seconds(loopStats.busy) / seconds(outcome.watched));
        outcome.longestTurn = std::max(outcome.longestTurn, loopStats.longestTurn);
        if (ControllerFleet::control(i) != old)
            outcome.longestWait = std::max(outcome.longestWait, loopStats.longestWait);
    }
    outcome.bytesPerHostSecond
        = static_cast<double>(m_fleet.linkBytes() - bytes) / m_entries / seconds(outcome.watched);
    return outcome;
}

} // namespace laburnum::fakes
