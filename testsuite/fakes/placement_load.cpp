#include "fakes/placement_load.h"

#include <algorithm>
#include <cmath>

namespace laburnum::fakes {

namespace {

    using namespace std::chrono_literals;

    constexpr TimePoint start { std::chrono::seconds(100) };
    constexpr auto step = 1ms;
    constexpr auto tickInterval = 50ms;
    constexpr auto announcementInterval = 1500ms;
    constexpr unsigned dataCentresPerRegion = 3;
    constexpr std::uint32_t slotsPerInstance = 6;
    constexpr Duration objective = 2s;
    constexpr Duration timeLimit = 5s;
    /// Instances that turn gray at times, how long and how often, and the share of requests that
    /// fail then.
    constexpr Duration grayPeriod = 9s;
    constexpr Duration graySpell = 3s;
    constexpr double grayFailures = 0.75;
    constexpr double baseFailures = 0.012;
    constexpr Duration failureLatency = 40ms;
    constexpr Duration shedLatency = 20ms;
    constexpr Duration connectTimeout = 400ms;
    constexpr double latencySigma = 0.5;

    double seconds(Duration d) { return std::chrono::duration<double>(d).count(); }
    Duration fromSeconds(double s)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(s));
    }
} // namespace

PlacementLoadOptions siteOfHosts(unsigned hosts)
{
    PlacementLoadOptions options;
    const double share = static_cast<double>(hosts) / options.hosts;
    options.instances = static_cast<unsigned>(options.instances * share);
    options.requestsPerSecond *= share;
    options.hosts = hosts;
    return options;
}

PlacementLoadOptions badDayOfHosts(unsigned hosts)
{
    PlacementLoadOptions options = siteOfHosts(hosts);
    options.leaderLost = 500ms;
    options.leaderBack = 3100ms;
    options.pathsLost = 3200ms;
    options.pathsBack = 16s;
    options.pathLossShare = 0.1;
    options.shedFrom = 13s;
    options.shedUntil = 21500ms;
    options.shedShare = 0.55;
    return options;
}

PlacementLoadOptions siteWithAccounts(double scale)
{
    PlacementLoadOptions options;
    options.hosts = static_cast<unsigned>(127 * scale);
    options.instances = static_cast<unsigned>(246 * scale);
    options.requestsPerSecond = 1240.0 * scale;
    options.retries = { 0.2 * RetryBudgetShares::fleetShare,
        210.0 * scale * RetryBudgetShares::fleetSlackShare, std::chrono::seconds(10) };
    options.accounts = 85;
    options.surgeFrom = 4s;
    options.surgeUntil = 10500ms;
    options.measureFrom = options.surgeFrom;
    options.measureUntil = options.surgeUntil;
    return options;
}

Duration PlacementSecond::medianFirstGrant()
{
    if (firstGrant.empty())
        return {};
    const auto middle = firstGrant.begin() + static_cast<std::ptrdiff_t>(firstGrant.size() / 2);
    std::nth_element(firstGrant.begin(), middle, firstGrant.end());
    return *middle;
}

PlacementLoad::PlacementLoad(const PlacementLoadOptions& options, std::uint64_t seed)
    : m_options(options)
    , m_random(seed)
    , m_scheduler(options.retries)
    , m_accounts(options.accounts)
{
    for (unsigned account = 0; account < m_options.accounts; ++account)
        m_accounts[account].priority = account % m_options.priorities;
    m_services = { { ServiceId("orders"), RequestKind::Unsafe, 0.70, 0.45, 2, {} },
        { ServiceId("lookups"), RequestKind::Safe, 0.22, 0.59, 2, {} },
        { ServiceId("uploads"), RequestKind::Upload, 0.08, 0.54, 60, {} } };
    constexpr std::array<double, 3> shares { 0.65, 0.26, 0.09 };
    for (std::size_t s = 0; s < m_services.size(); ++s) {
        const auto count = static_cast<unsigned>(shares[s] * m_options.instances);
        for (unsigned i = 0; i < count; ++i) {
            const auto index = static_cast<unsigned>(m_instances.size());
            Instance instance;
            instance.service = s;
            instance.number = i;
            instance.record.id = InstanceId("i" + std::to_string(index));
            instance.record.service = m_services[s].id;
            instance.record.dataCentre = dataCentre(i);
            instance.record.region = region(i);
            instance.record.slots = slotsPerInstance;
            instance.isGrayAtTimes = uniformReal(m_random) < m_options.grayInstances;
            instance.phase = fromSeconds(uniformReal(m_random) * seconds(grayPeriod));
            m_services[s].instances.push_back(index);
            m_byId[instance.record.id] = index;
            m_instances.push_back(std::move(instance));
        }
    }
    m_scheduler.setSpilloverThreshold(m_options.spilloverFrom);
    measureDelays();
    restartLeader(start - 20s);
}

DataCentreId PlacementLoad::dataCentre(unsigned i) const
{
    return DataCentreId("d" + std::to_string(i % m_options.dataCentres));
}

RegionId PlacementLoad::region(unsigned i) const
{
    return RegionId("r" + std::to_string(i % m_options.dataCentres / dataCentresPerRegion));
}

void PlacementLoad::measureDelays()
{
    for (unsigned one = 0; one < m_options.dataCentres; ++one) {
        for (unsigned other = 0; other < one; ++other) {
            const bool isSameRegion = region(one) == region(other);
            m_scheduler.onDelay(dataCentre(one), dataCentre(other), isSameRegion,
                isSameRegion ? m_options.regionDelay : Duration(20ms));
        }
    }
}

unsigned PlacementLoad::drawHost(TimePoint now)
{
    for (;;) {
        const auto host = static_cast<unsigned>(uniformBelow(m_random, m_options.hosts));
        if (m_options.demandSwing <= 0.0)
            return host;
        constexpr double turn = 6.283185307;
        const double phase = static_cast<double>(host % m_options.dataCentres)
            / static_cast<double>(m_options.dataCentres);
        const double weight = 1.0
            + m_options.demandSwing
                * std::sin(turn * (seconds(now - start) / seconds(m_options.swingPeriod) + phase));
        if (uniformReal(m_random) * (1.0 + m_options.demandSwing) < weight)
            return host;
    }
}

bool PlacementLoad::isLost(unsigned instance, TimePoint now) const
{
    const unsigned number = m_instances[instance].number;
    constexpr unsigned of = 10;
    constexpr unsigned lost = 7;
    return number % m_options.dataCentres == 0 && number / m_options.dataCentres % of < lost
        && within(now, m_options.instancesLost, m_options.instancesBack);
}

double PlacementLoad::evaluationsPerRequest() const
{
    return static_cast<double>(m_scheduler.evaluations()) / static_cast<double>(m_arrived);
}

PlacementSecond& PlacementLoad::second(TimePoint at)
{
    const auto index = static_cast<std::size_t>(
        std::chrono::duration_cast<std::chrono::seconds>(at - start).count());
    if (m_seconds.size() <= index)
        m_seconds.resize(index + 1);
    return m_seconds[index];
}

bool PlacementLoad::within(TimePoint now, Duration from, Duration until) const
{
    return now >= start + from && now < start + until;
}

void PlacementLoad::restartLeader(TimePoint now)
{
    m_scheduler.restart(now);
    for (const Instance& instance : m_instances)
        m_scheduler.upsert(instance.record, now);
}

std::vector<PlacementSecond> PlacementLoad::run(Duration time)
{
    std::poisson_distribution<int> calm(m_options.requestsPerSecond * seconds(step));
    std::poisson_distribution<int> surge(demand(start + m_options.surgeFrom) * seconds(step));
    TimePoint nextAnnouncements = start;
    for (TimePoint now = start; now < start + time; now += step) {
        const bool hasLeader = !within(now, m_options.leaderLost, m_options.leaderBack);
        if (hasLeader && !m_hasLeader) {
            restartLeader(now);
            auto running = m_ends;
            for (; !running.empty(); running.pop())
                m_scheduler.adopt(
                    { running.top().key, m_instances[running.top().instance].record.id,
                        m_instances[running.top().instance].record.service, 0s, 2s },
                    now);
        }
        if (!hasLeader && m_hasLeader) {
            // Requests that wait lose their place and are placed by their hosts.
            for (const auto& [key, request] : m_requests) {
                if (!request.isGranted)
                    attempt(key,
                        m_services[request.service].instances[uniformBelow(
                            m_random, m_services[request.service].instances.size())],
                        now);
            }
        }
        m_hasLeader = hasLeader;
        for (int i = isSurge(now) ? surge(m_random) : calm(m_random); i > 0; --i)
            arrive(now);
        endDue(now);
        if (!m_hasLeader)
            continue;
        if (now >= nextAnnouncements) {
            nextAnnouncements = now + announcementInterval;
            for (unsigned i = 0; i < m_instances.size(); ++i) {
                if (!isLost(i, now))
                    m_scheduler.onAnnouncement(m_instances[i].record.id, 0s, now);
            }
        }
        if ((now - start) % tickInterval == 0ms) {
            std::vector<PlacementReply> replies;
            m_scheduler.tick(now, replies);
            handleReplies(replies, now);
            measure(now);
        }
    }
    m_seconds.resize(static_cast<std::size_t>(seconds(time)));
    return m_seconds;
}

bool PlacementLoad::isSurge(TimePoint now) const
{
    return within(now, m_options.surgeFrom, m_options.surgeUntil);
}

double PlacementLoad::accountWeight(unsigned account, TimePoint now) const
{
    const bool surges = account < m_options.surgingAccounts && isSurge(now);
    return (surges ? m_options.accountSurge : 1.0) / (account + 1);
}

double PlacementLoad::demand(TimePoint now) const
{
    double usual = 0.0;
    double current = 0.0;
    for (unsigned account = 0; account < m_options.accounts; ++account) {
        usual += accountWeight(account, start - 1s);
        current += accountWeight(account, now);
    }
    const double byAccounts = m_options.accounts > 0 ? current / usual : 1.0;
    const double extra = isSurge(now) ? (m_options.serviceSurge - 1.0) * m_services[0].share : 0.0;
    return m_options.requestsPerSecond * byAccounts * (1.0 + extra);
}

unsigned PlacementLoad::drawAccount(TimePoint now)
{
    if (m_options.accounts == 0)
        return 0;
    double total = 0.0;
    for (unsigned account = 0; account < m_options.accounts; ++account)
        total += accountWeight(account, now);
    double lot = uniformReal(m_random) * total;
    unsigned account = 0;
    while (account + 1 < m_options.accounts && lot >= accountWeight(account, now))
        lot -= accountWeight(account++, now);
    return account;
}

std::size_t PlacementLoad::drawService(TimePoint now)
{
    const double surge = isSurge(now) ? m_options.serviceSurge : 1.0;
    std::size_t service = 0;
    double lot = uniformReal(m_random) * (1.0 + (surge - 1.0) * m_services[0].share);
    const auto weight = [&](std::size_t i) { return m_services[i].share * (i == 0 ? surge : 1.0); };
    while (service + 1 < m_services.size() && lot >= weight(service))
        lot -= weight(service++);
    return service;
}

AccountOutcome* PlacementLoad::outcomeOf(const Request& request)
{
    const bool counts = m_options.accounts > 0
        && within(request.arrived, m_options.measureFrom, m_options.measureUntil);
    return counts ? &m_accounts[request.account] : nullptr;
}

void PlacementLoad::arrive(TimePoint now)
{
    ++m_arrived;
    ++second(now).arrived;
    Request request;
    request.service = drawService(now);
    request.host = drawHost(now);
    request.account = drawAccount(now);
    request.arrived = now;
    if (AccountOutcome* outcome = outcomeOf(request); outcome != nullptr)
        ++outcome->arrived;
    const DispatchKey key { LinkId(request.host), DispatchId(++m_lastDispatch) };
    const auto& candidates = m_services[request.service].instances;
    m_requests[key] = std::move(request);
    if (m_hasLeader)
        dispatch(key, now);
    else
        attempt(key, candidates[uniformBelow(m_random, candidates.size())], now);
}

void PlacementLoad::dispatch(const DispatchKey& key, TimePoint now)
{
    const Request& request = m_requests.at(key);
    const Service& service = m_services[request.service];
    PlacementRequest placement;
    placement.key = key;
    placement.service = service.id;
    placement.kind = service.kind;
    placement.bodyKiB = service.bodyKiB;
    placement.remaining = timeLimit - (now - request.arrived);
    placement.objective = objective;
    placement.retry = request.wasSent;
    placement.resubmitted = !request.avoid.empty();
    placement.dataCentre = dataCentre(request.host);
    placement.region = region(request.host);
    placement.avoid = request.avoid;
    if (m_options.accounts > 0) {
        placement.account = ClientAccountId("a" + std::to_string(request.account));
        placement.priority = m_accounts[request.account].priority;
    }
    std::vector<PlacementReply> replies;
    m_scheduler.dispatch(placement, now, replies);
    handleReplies(replies, now);
}

void PlacementLoad::handleReplies(const std::vector<PlacementReply>& replies, TimePoint now)
{
    for (const PlacementReply& reply : replies) {
        if (reply.kind == PlacementReplyKind::Refused) {
            ++second(now).refused;
            const Request& request = m_requests.at(reply.key);
            if (AccountOutcome* outcome = outcomeOf(request); outcome != nullptr) {
                ++outcome->refused[reply.refusal];
                outcome->refusedAfter.push_back(now - request.arrived);
            }
            m_requests.erase(reply.key);
        } else if (reply.kind == PlacementReplyKind::Granted) {
            attempt(reply.key, m_byId.at(reply.instance), now);
        }
    }
}

void PlacementLoad::attempt(const DispatchKey& key, unsigned instance, TimePoint now)
{
    Request& request = m_requests.at(key);
    if (!std::exchange(request.isGranted, true)) {
        PlacementSecond& current = second(now);
        current.firstGrant.push_back(now - request.arrived);
        const unsigned from = request.host % m_options.dataCentres;
        const unsigned to = m_instances[instance].number % m_options.dataCentres;
        ++current.granted;
        ++current.flows[{ from, to }];
        current.leftDataCentre += from == to ? 0 : 1;
        current.leftRegion += from / dataCentresPerRegion == to / dataCentresPerRegion ? 0 : 1;
    }
    const PlacementReport report = outcome(request, instance, now);
    request.wasSent = request.wasSent || report.end != PlacementOutcome::Unreachable;
    ++m_instances[instance].running;
    m_ends.push({ now + report.latency, key, instance, report });
}

PlacementReport PlacementLoad::outcome(const Request& request, unsigned instance, TimePoint now)
{
    const Instance& chosen = m_instances[instance];
    const auto pair = static_cast<std::uint32_t>(
        (instance * 2654435761U) ^ (request.host * 2246822519U + 374761393U));
    const double pairLot = static_cast<double>((pair * 3266489917U) >> 8U) / (1U << 24U);
    if (within(now, m_options.pathsLost, m_options.pathsBack) && pairLot < m_options.pathLossShare)
        return { PlacementOutcome::Unreachable, connectTimeout };
    const double sheds = m_options.sheddingInstances
        * static_cast<double>(m_services[chosen.service].instances.size());
    const bool isShedding = chosen.service == 0 && instance < sheds
        && within(now, m_options.shedFrom, m_options.shedUntil);
    if (isLost(instance, now))
        return { PlacementOutcome::Refused, 1ms };
    if (isShedding && uniformReal(m_random) < m_options.shedShare)
        return { PlacementOutcome::Shed, shedLatency };
    const bool isGray
        = chosen.isGrayAtTimes && (now - start + chosen.phase) % grayPeriod < graySpell;
    if (uniformReal(m_random) < (isGray ? grayFailures : baseFailures))
        return { PlacementOutcome::Failure, failureLatency };
    const double mean = m_services[chosen.service].meanSeconds;
    std::lognormal_distribution<double> latency(
        std::log(mean) - latencySigma * latencySigma / 2.0, latencySigma);
    // What exceeds the slots waits in the instance's own queue.
    const double queued
        = std::max(0.0, static_cast<double>(chosen.running) - slotsPerInstance + 1.0)
        / slotsPerInstance * mean;
    double total = latency(m_random) + queued;
    if (within(now, m_options.slowFrom, m_options.slowUntil))
        total *= m_options.slowness;
    const unsigned from = request.host % m_options.dataCentres;
    const unsigned to = chosen.number % m_options.dataCentres;
    if (from != to && (from == 0 || to == 0)
        && within(now, m_options.narrowFrom, m_options.narrowUntil))
        total += seconds(m_options.narrowDelay);
    return { PlacementOutcome::Success, fromSeconds(total) };
}

void PlacementLoad::endDue(TimePoint now)
{
    while (!m_ends.empty() && m_ends.top().at <= now) {
        const End end = m_ends.top();
        m_ends.pop();
        --m_instances[end.instance].running;
        if (m_hasLeader) {
            std::vector<PlacementReply> replies;
            m_scheduler.end(end.key, end.report, now, replies);
            handleReplies(replies, now);
        }
        finish(end, now);
    }
}

void PlacementLoad::finish(const End& end, TimePoint now)
{
    Request request = m_requests.at(end.key);
    m_requests.erase(end.key);
    if (end.report.end == PlacementOutcome::Success) {
        ++second(now).answered;
        const bool isInTime = now - request.arrived <= objective;
        second(now).inTime += isInTime ? 1 : 0;
        if (AccountOutcome* outcome = outcomeOf(request); outcome != nullptr)
            outcome->inTime += isInTime ? 1 : 0;
        return;
    }
    const bool isRepeatable = end.report.end != PlacementOutcome::Failure
        || m_services[request.service].kind == RequestKind::Safe;
    constexpr std::size_t maxAttempts = 2;
    if (!isRepeatable || !m_hasLeader || request.avoid.size() >= 2 * maxAttempts
        || now - request.arrived > timeLimit - objective) {
        ++second(now).failed;
        return;
    }
    request.avoid.push_back(m_instances[end.instance].record.id);
    const DispatchKey key { end.key.link, DispatchId(++m_lastDispatch) };
    m_requests[key] = std::move(request);
    dispatch(key, now);
}

void PlacementLoad::measure(TimePoint now)
{
    constexpr double perSecond = static_cast<double>(Duration(tickInterval).count())
        / static_cast<double>(Duration(1s).count());
    PlacementSecond& current = second(now);
    current.waiting += static_cast<double>(m_scheduler.waiting()) * perSecond;
    std::vector<bool> waits(m_services.size(), false);
    for (const auto& [key, request] : m_requests)
        waits[request.service] = waits[request.service] || !request.isGranted;
    unsigned slots = 0;
    unsigned idle = 0;
    for (const Instance& instance : m_instances) {
        if (!waits[instance.service])
            continue;
        slots += slotsPerInstance;
        idle += slotsPerInstance - std::min(instance.running, slotsPerInstance);
    }
    current.idleWhileWaiting += slots == 0 ? 0.0 : perSecond * idle / slots;
}

} // namespace laburnum::fakes
