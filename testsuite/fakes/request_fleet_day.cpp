#include "fakes/request_fleet_day.h"

#include <algorithm>
#include <array>
#include <cmath>

#include "fakes/controller_load.h"
#include "fakes/request_fleet.h"

namespace laburnum::fakes {

using namespace std::chrono_literals;

namespace {

    struct SiteService {
        const char* name;
        unsigned instances;
    };
    constexpr std::array<SiteService, 4> siteServices { { { "peek", 90 }, { "grab", 60 },
        { "slot-a", 60 }, { "slot-b", 20 } } };
    constexpr const char* largestService = "peek";
    constexpr const char* scaledService = "slot-a";
    constexpr double peekShare = 0.45;
    constexpr double grabShare = 0.3;
    constexpr unsigned dataCentres = 9;
    constexpr unsigned regions = 3;
    constexpr std::uint16_t firstPort = 2000;
    constexpr unsigned controlHosts = 5;

    // The day, from the begin of the load. Times of the record are 17.2 s later.
    constexpr auto shedFrom = 500ms;
    constexpr auto shedUntil = 4300ms;
    constexpr double shedShare = 0.55;
    constexpr auto scaleInAt = 4000ms;
    constexpr double scaledInShare = 8.0 / 60.0;
    constexpr auto firstChangeAt = 6560ms;
    constexpr auto secondChangeAt = 6760ms;
    constexpr auto seedsChangeAt = 7000ms;
    constexpr double changedSeedsShare = 0.2;
    constexpr auto configCallTimeout = 1000ms;
    constexpr auto stopsFrom = 7700ms;
    constexpr auto stopInterval = 400ms;
    constexpr double stoppedShare = 14.0 / 120.0;
    constexpr std::size_t leastStops = 6;
    constexpr auto loadAfterLastStop = 6000ms;
    constexpr auto runAfterLoad = 8000ms;

    // Drawn for each seed.
    constexpr std::uint64_t troubleFromMs = 3000;
    constexpr std::uint64_t troubleRangeMs = 6000;
    constexpr std::uint64_t leastTroubleMs = 1500;
    constexpr std::uint64_t troubleLengthRangeMs = 5500;
    constexpr std::array<Duration, 4> recordFreezes { 3900ms, 6700ms, 9500ms, 12000ms };
    constexpr auto recordFreezeTime = 2000ms;
    constexpr double grayShare = 0.2;
    constexpr auto crowdFrom = 3000ms;
    constexpr auto crowdInterval = 1000ms;
    constexpr double crowdedShare = 0.1;
    constexpr unsigned crowdJobs = 24;
    constexpr double aloneShare = 0.1;
    constexpr std::uint64_t aloneFromMs = 6000;
    constexpr std::uint64_t aloneRangeMs = 6000;
    constexpr std::uint64_t leastAloneMs = 2000;
    constexpr std::uint64_t aloneLengthRangeMs = 3000;
    constexpr double aloneAtStopShare = 0.4;

    ControllerFleetOptions fleetOptions(std::uint64_t seed)
    {
        ControllerFleetOptions options;
        options.entries = 0; // entry hosts start once the instances are known
        options.controls = controlHosts;
        options.seed = seed;
        options.processor = benchCosts();
        return options;
    }

    ServiceSpec service(const char* name)
    {
        ServiceSpec result;
        result.name = ServiceId(name);
        return result;
    }

    RouteSpec route(const std::string& name, RequestKind kind, Duration objective, Duration timeout,
        std::uint32_t priority)
    {
        RouteSpec result;
        result.name = name;
        result.prefix = '/' + name;
        result.kind = kind;
        result.objective = objective;
        result.timeout = timeout;
        result.priority = priority;
        return result;
    }

} // namespace

DataCentreId dataCentreOf(std::size_t number)
{
    return DataCentreId("d" + std::to_string(number % dataCentres));
}

RegionId regionOf(std::size_t number) { return RegionId("r" + std::to_string(number % regions)); }

Configuration siteConfiguration(std::uint64_t number)
{
    struct Change {
        Duration peekTimeout;
        Duration grabTimeout;
        Duration slotTimeout;
        Duration slotObjective;
        std::uint32_t weight;
    };
    constexpr std::array<Change, 3> changes { { { 6000ms, 5000ms, 4000ms, 1500ms, 3 },
        { 3500ms, 3000ms, 2500ms, 1500ms, 2 }, { 5000ms, 6000ms, 4500ms, 2000ms, 4 } } };
    const Change& change = changes.at(static_cast<std::size_t>(number - 1));
    Configuration result;
    for (const SiteService& each : siteServices)
        result.services.push_back(service(each.name));
    result.routes.push_back(route("peek", RequestKind::Safe, 2500ms, change.peekTimeout, 1));
    result.routes.back().service = ServiceId("peek");
    result.routes.push_back(route("grab", RequestKind::Unsafe, 2000ms, change.grabTimeout, 0));
    result.routes.back().service = ServiceId("grab");
    result.routes.push_back(
        route("slot", RequestKind::Safe, change.slotObjective, change.slotTimeout, 2));
    result.routes.back().split
        = { { ServiceId("slot-a"), change.weight }, { ServiceId("slot-b"), 1 } };
    return result;
}

std::string drawTarget(double draw)
{
    if (draw < peekShare)
        return "/peek";
    return draw < peekShare + grabShare ? "/grab" : "/slot";
}

RequestFleet::RequestFleet(const RequestFleetOptions& options)
    : m_options(options)
    , m_random(options.seed)
    , m_fleet(fleetOptions(options.seed))
    , m_instances(m_fleet, m_checker, options.seed + 1,
          [this](AttemptNumber attempt, const InstanceAnswer& answer) {
              onInstanceAnswer(attempt, answer);
          })
{
    for (unsigned i = 1; i <= m_options.entries; ++i)
        m_hosts[ControllerFleet::entry(i)].number = i;
    addInstances();
    // The observer runs while the fleet performs the host's actions, so the reaction is deferred.
    m_fleet.setAnswerObserver([this](const HostId& host, const PlacementResult& result) {
        m_fleet.schedule(0ms, [this, host, result] { onPlacement(host, result); });
    });
}

void RequestFleet::addInstances()
{
    const double scale = m_options.entries / siteEntries;
    for (const SiteService& each : siteServices) {
        const auto count = std::max(2L, std::lround(each.instances * scale));
        for (long i = 0; i < count; ++i) {
            const std::size_t index = m_instances.size();
            auto record = instanceRecord(each.name + std::string("-") + std::to_string(i),
                each.name, static_cast<std::uint16_t>(firstPort + index));
            record.dataCentre = dataCentreOf(index);
            record.region = regionOf(index);
            m_instanceIndex[record.id] = index;
            m_instances.add(std::move(record));
        }
    }
}

bool RequestFleet::startFleet()
{
    const auto allVote = [&] {
        const auto leader = m_fleet.leader();
        return leader
            && m_fleet.controller(*leader)->log().membership().voterCount() == controlHosts;
    };
    if (!m_fleet.runUntil(10s, allVote))
        return false;
    m_instances.start();
    const NumberedConfig config { 1, printConfiguration(siteConfiguration(1)) };
    if (!m_fleet.callAnywhere(PutConfigCall { config }))
        return false;
    const auto allKnown = [&] {
        const auto leader = m_fleet.leader();
        return leader
            && m_fleet.controller(*leader)->state().instances().size() == m_instances.size();
    };
    if (!m_fleet.runUntil(30s, allKnown))
        return false;
    for (unsigned i = 1; i <= m_options.entries; ++i)
        m_fleet.schedule(1ms * uniformBelow(m_random, 1000),
            [this, i] { startProcess(ControllerFleet::entry(i)); });
    return m_fleet.runUntil(30s, [&] {
        const auto leader = m_fleet.leader();
        return leader && m_fleet.controller(*leader)->subscriberCount() == m_options.entries;
    });
}

bool RequestFleet::run()
{
    if (!startFleet())
        return false;
    const auto stops = std::max(
        leastStops, static_cast<std::size_t>(std::lround(stoppedShare * m_options.entries)));
    m_began = m_fleet.now();
    m_loadEnds = m_began + stopsFrom + stopInterval * stops + loadAfterLastStop;
    scheduleDay();
    for (std::size_t i = 0; i < stops; ++i)
        m_fleet.schedule(stopsFrom + stopInterval * i, [this] { stopBusiest(); });
    if (m_options.fault == PromiseFault::ShortensDeadlines
        || m_options.fault == PromiseFault::EndsWithLeader)
        watchHosts();
    arrive();
    m_fleet.run(m_loadEnds + runAfterLoad - m_began);
    return true;
}

void RequestFleet::scheduleDay()
{
    m_fleet.schedule(shedFrom, [this] { shed(shedShare); });
    m_fleet.schedule(shedUntil, [this] { shed(0.0); });
    m_fleet.schedule(scaleInAt, [this] { scaleIn(); });
    m_fleet.schedule(firstChangeAt, [this] { changeConfiguration(2, 0); });
    m_fleet.schedule(secondChangeAt, [this] { changeConfiguration(3, 1); });
    m_fleet.schedule(seedsChangeAt, [this] { changeSeeds(); });
    scheduleLeaderTrouble();
    scheduleAloneHosts();
    scheduleGrayInstances();
    scheduleRateLimits();
}

void RequestFleet::shed(double share)
{
    InstanceHealth health;
    health.shedShare = share;
    for (const std::size_t index : m_instances.ofService(ServiceId(largestService)))
        m_instances.setHealth(index, health);
}

void RequestFleet::scaleIn()
{
    const auto instances = m_instances.ofService(ServiceId(scaledService));
    const auto count
        = std::max(1L, std::lround(scaledInShare * static_cast<double>(instances.size())));
    for (std::size_t i = 0; i < static_cast<std::size_t>(count); ++i)
        m_instances.drain(instances[i]);
}

/// The operator changes the configuration, beginning at this control host.
void RequestFleet::changeConfiguration(std::uint64_t number, unsigned first)
{
    putConfig({ number, printConfiguration(siteConfiguration(number)) }, first, m_fleet.now());
}

/// The operator tries the control hosts in turn until one acknowledges.
void RequestFleet::putConfig(const NumberedConfig& config, unsigned attempt, TimePoint since)
{
    const std::size_t call = m_fleet.call(
        ControllerFleet::control(attempt % controlHosts + 1), PutConfigCall { config });
    m_fleet.schedule(configCallTimeout, [this, config, attempt, call, since] {
        const CallRecord& record = m_fleet.record(call);
        if (!record.result || !record.result->done)
            return putConfig(config, attempt + 1, since);
        m_stats.longestConfigCall = std::max(m_stats.longestConfigCall, record.ended - since);
    });
}

/// The reload of their settings gives some hosts other seeds.
void RequestFleet::changeSeeds()
{
    for (const auto& [host, state] : m_hosts) {
        if (uniformReal(m_random) < changedSeedsShare && m_fleet.isUp(host))
            m_fleet.client(host).setSeeds({ ControllerFleet::control(controlHosts),
                ControllerFleet::control(1), ControllerFleet::control(2) });
    }
}

void RequestFleet::scheduleLeaderTrouble()
{
    m_leaderTrouble = static_cast<LeaderTrouble>(uniformBelow(m_random, 4));
    const Duration from = 1ms * (troubleFromMs + uniformBelow(m_random, troubleRangeMs));
    const Duration length = 1ms * (leastTroubleMs + uniformBelow(m_random, troubleLengthRangeMs));
    if (!m_options.isRecord)
        return m_fleet.schedule(from, [this, length] { startLeaderTrouble(length); });
    m_leaderTrouble = LeaderTrouble::Freeze;
    for (const Duration freeze : recordFreezes)
        m_fleet.schedule(freeze, [this] { startLeaderTrouble(recordFreezeTime); });
}

void RequestFleet::startLeaderTrouble(Duration length)
{
    const auto leader = m_fleet.leader();
    if (!leader || m_leaderTrouble == LeaderTrouble::None)
        return;
    setLeaderTrouble(*leader, true);
    m_fleet.schedule(length, [this, host = *leader] { setLeaderTrouble(host, false); });
}

void RequestFleet::setLeaderTrouble(const HostId& leader, bool begins)
{
    switch (m_leaderTrouble) {
    case LeaderTrouble::None:
        break;
    case LeaderTrouble::Freeze:
        m_fleet.freeze(leader, begins);
        break;
    case LeaderTrouble::Kill:
        if (begins)
            m_fleet.kill(leader);
        else
            m_fleet.startControl(leader);
        break;
    case LeaderTrouble::Cut:
        for (unsigned i = 1; i <= controlHosts; ++i)
            m_fleet.cut(leader, ControllerFleet::control(i), begins);
        for (unsigned i = 1; i <= m_options.entries; i += 2)
            m_fleet.cut(leader, ControllerFleet::entry(i), begins);
        break;
    }
}

void RequestFleet::cutFromControls(const HostId& host, bool isCut)
{
    for (unsigned i = 1; i <= controlHosts; ++i)
        m_fleet.cut(host, ControllerFleet::control(i), isCut);
}

void RequestFleet::scheduleAloneHosts()
{
    for (const auto& [host, state] : m_hosts) {
        const double draw = uniformReal(m_random);
        const Duration from = 1ms * (aloneFromMs + uniformBelow(m_random, aloneRangeMs));
        if (draw < aloneShare)
            m_fleet.schedule(from, [this, host = host] { startAloneSpell(host); });
    }
}

void RequestFleet::startAloneSpell(const HostId& host)
{
    const Duration length = 1ms * (leastAloneMs + uniformBelow(m_random, aloneLengthRangeMs));
    cutFromControls(host, true);
    m_fleet.schedule(length, [this, host] { cutFromControls(host, false); });
}

/// Some hosts lose the control hosts when they are stopped.
void RequestFleet::drawAloneSpell(const HostId& host)
{
    if (uniformReal(m_random) < aloneAtStopShare)
        startAloneSpell(host);
}

void RequestFleet::scheduleGrayInstances()
{
    for (std::size_t i = 0; i < m_instances.size(); ++i) {
        const double draw = uniformReal(m_random);
        const Duration from = 1ms * (5000 + uniformBelow(m_random, 5000));
        InstanceHealth health;
        health.slowness = 3.0 + 3.0 * uniformReal(m_random);
        health.failureShare = 0.2 * uniformReal(m_random);
        health.breakShare = 0.1 * uniformReal(m_random);
        if (draw < grayShare)
            m_fleet.schedule(from, [this, i, health] { m_instances.setHealth(i, health); });
    }
    m_fleet.schedule(crowdFrom, [this] { crowd(); });
}

/// Work of others fills the queues of some instances.
void RequestFleet::crowd()
{
    if (m_fleet.now() >= m_loadEnds)
        return;
    for (std::size_t i = 0; i < m_instances.size(); ++i) {
        if (uniformReal(m_random) < crowdedShare)
            m_instances.crowd(i, crowdJobs);
    }
    m_fleet.schedule(crowdInterval, [this] { crowd(); });
}

} // namespace laburnum::fakes
