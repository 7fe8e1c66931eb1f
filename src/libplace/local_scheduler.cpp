#include <laburnumroute/local_scheduler.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <numeric>

#include "placement_cost_pvt.h"

namespace laburnum {

namespace {

    /// Number of instances beyond which expired entries are dropped.
    constexpr std::size_t maxClosedInstances = 4096;
    /// Time for which a path that failed is avoided; about the duration of a network cut.
    constexpr auto pathAvoidTime = std::chrono::milliseconds(3000);
    constexpr double brokenPathFailureProbability = 0.5;
    /// Weight of a request that may have been sent to the fleet scheduler.
    constexpr double scheduledRequestWeight
        = RetryBudgetShares::fallbackShare / RetryBudgetShares::localOnlyShare;
    /// Stands in for the typical latency of a service, which a single host does not know.
    constexpr auto assumedLatency = std::chrono::milliseconds(500);
    /// Waiting time assumed for a timeout that another host reports; hosts report only long waits.
    constexpr auto assumedTimeout = 3 * assumedLatency;
    /// Failure probability of an instance on the fleet scheduler's doubtful list, and the time
    /// constant with which it decays.
    constexpr double doubtfulFailureProbability = 0.3;
    constexpr double doubtfulDecaySeconds = 4.0;
    /// Cost per request that this host has in flight at the instance, for the delay that one more
    /// request there causes to the others.
    constexpr double ownRequestCostMs = 60.0;
    /// Instances whose costs differ by this are drawn at a ratio of about three to one.
    constexpr double costScaleMs = 150.0;
    /// Share of a host's requests that is distributed regardless of cost, so that all hosts
    /// together keep every instance in use without coordination. At 3.4 requests per second and
    /// instance, an instance that no host prefers gets 2.7 requests in the two-second window of the
    /// floor.
    constexpr double explorationShare = 0.4;
    /// Weight of an instance in that share: same data centre, same region, another region. Large
    /// bodies should not travel far, but a data centre may have no callers of its own.
    constexpr std::array<double, 3> explorationWeightByDistance { 1.0, 0.5, 0.2 };
    /// Time after a failure during which an instance gets none of that share. It may be healthy two
    /// seconds after a failure, and must get work within two more.
    constexpr auto explorationCooldown = std::chrono::milliseconds(3000);

} // namespace

LocalScheduler::LocalScheduler(HostLocation location, std::uint64_t seed)
    : m_location(std::move(location))
    , m_random(seed)
    , m_rateLimits(seed + 1)
{
}

void LocalScheduler::upsert(const InstanceRecord& record)
{
    const InstanceRecord* known = find(record.id);
    if (known != nullptr && known->incarnation != record.incarnation)
        m_estimators.erase(record.id);
    const auto leaving = m_leaving.find(record.id);
    if (leaving != m_leaving.end() && leaving->second != record.incarnation) {
        m_leaving.erase(leaving);
        m_pausedUntil.erase(record.id);
    }
    m_rateLimits.onInstance(record.id, record.incarnation);
    m_records[record.id] = record;
}

void LocalScheduler::remove(const InstanceId& id)
{
    m_records.erase(id);
    m_rateLimits.remove(id);
    m_estimators.erase(id);
    m_lastFailure.erase(id);
    m_pathBrokenUntil.erase(id);
}

const InstanceRecord* LocalScheduler::find(const InstanceId& id) const
{
    const auto found = m_records.find(id);
    return found == m_records.end() ? nullptr : &found->second;
}

void LocalScheduler::setDoubtfulInstances(const std::vector<InstanceId>& ids, TimePoint now)
{
    m_doubtful = { ids.begin(), ids.end() };
    m_doubtfulAt = now;
}

void LocalScheduler::recordOutcome(
    const InstanceId& id, const PlacementReport& report, TimePoint now)
{
    if (!m_records.contains(id))
        return;
    pvt::updateEstimator(m_estimators[id], report, assumedLatency, now);
    if (report.end != PlacementOutcome::Success && report.end != PlacementOutcome::Unused)
        m_lastFailure[id] = now;
}

bool LocalScheduler::isClosed(const InstanceId& id, TimePoint now) const
{
    const auto paused = m_pausedUntil.find(id);
    return m_leaving.contains(id) || (paused != m_pausedUntil.end() && now < paused->second);
}

std::vector<InstanceId> LocalScheduler::closedInstances(
    const ServiceId& service, TimePoint now) const
{
    std::vector<InstanceId> ids;
    const auto add = [&](const InstanceId& id) {
        const InstanceRecord* record = find(id);
        if (record != nullptr && record->service == service)
            ids.push_back(id);
    };
    for (const auto& [id, incarnation] : m_leaving)
        add(id);
    for (const auto& [id, until] : m_pausedUntil) {
        if (now < until && !m_leaving.contains(id))
            add(id);
    }
    return ids;
}

void LocalScheduler::recordClosure(
    const InstanceId& id, const PlacementReport& report, TimePoint now)
{
    const InstanceRecord* record = find(id);
    if (record == nullptr)
        return;
    if (report.isLeaving)
        m_leaving[id] = record->incarnation;
    if (report.pause > Duration::zero()) {
        auto& until = m_pausedUntil[id];
        until = std::max(until, now + report.pause);
    }
    if (m_leaving.size() > maxClosedInstances)
        std::erase_if(m_leaving, [&](const auto& item) { return !m_records.contains(item.first); });
    if (m_pausedUntil.size() > maxClosedInstances)
        std::erase_if(m_pausedUntil, [&](const auto& item) { return now >= item.second; });
}

void LocalScheduler::end(const InstanceId& id, const PlacementReport& report, TimePoint now)
{
    recordClosure(id, report, now);
    const auto found = m_inFlight.find(id);
    if (found != m_inFlight.end() && --found->second == 0)
        m_inFlight.erase(found);
    recordOutcome(id, report, now);
    const bool broken = report.end == PlacementOutcome::Unreachable
        || report.end == PlacementOutcome::Refused || report.end == PlacementOutcome::TimedOut;
    if (broken)
        m_pathBrokenUntil[id] = now + pathAvoidTime;
    else if (report.end == PlacementOutcome::Success)
        m_pathBrokenUntil.erase(id);
}

void LocalScheduler::reportOverdue(const InstanceId& id, Duration elapsed, TimePoint now)
{
    recordOutcome(id, { PlacementOutcome::TimedOut, elapsed }, now);
}

void LocalScheduler::onPeerOutcome(const InstanceId& id, PlacementOutcome outcome, TimePoint now)
{
    // The other host may have failed to connect because of its own network path, which says little
    // about the path of this host.
    if (outcome != PlacementOutcome::Unreachable)
        recordOutcome(id,
            { outcome, outcome == PlacementOutcome::TimedOut ? assumedTimeout : assumedLatency },
            now);
}

std::vector<InstanceId> LocalScheduler::unreachableInstances(TimePoint now) const
{
    std::vector<InstanceId> ids;
    for (const auto& [id, until] : m_pathBrokenUntil) {
        if (now < until)
            ids.push_back(id);
    }
    return ids;
}

std::uint32_t LocalScheduler::inFlight(const InstanceId& id) const
{
    const auto found = m_inFlight.find(id);
    return found == m_inFlight.end() ? 0 : found->second;
}

double LocalScheduler::cost(
    const InstanceRecord& record, const PlacementRequest& request, TimePoint now) const
{
    const auto known = m_estimators.find(record.id);
    const HealthEstimator fresh;
    const HealthEstimator& estimator = known == m_estimators.end() ? fresh : known->second;
    double probability = estimator.failureProbability(now);
    if (m_doubtful.contains(record.id)) {
        const double age = std::chrono::duration<double>(now - m_doubtfulAt).count();
        probability = std::max(
            probability, doubtfulFailureProbability * std::exp(-age / doubtfulDecaySeconds));
    }
    if (isPathBroken(record.id, now))
        probability = std::max(probability, brokenPathFailureProbability);
    return pvt::failureCost(request.kind, probability)
        + pvt::declineCost(estimator.declineProbability(now))
        + pvt::distanceCost(record, m_location.dataCentre, m_location.region, request.bodyKiB)
        + ownRequestCostMs * inFlight(record.id);
}

bool LocalScheduler::isPathBroken(const InstanceId& id, TimePoint now) const
{
    const auto broken = m_pathBrokenUntil.find(id);
    return broken != m_pathBrokenUntil.end() && now < broken->second;
}

/// Weight of an instance in the explorationShare.
double LocalScheduler::explorationWeight(const InstanceRecord& record, TimePoint now) const
{
    const auto failed = m_lastFailure.find(record.id);
    if (isPathBroken(record.id, now)
        || (failed != m_lastFailure.end() && now - failed->second < explorationCooldown))
        return 0.0;
    if (record.dataCentre == m_location.dataCentre)
        return explorationWeightByDistance[0];
    return record.region == m_location.region ? explorationWeightByDistance[1]
                                              : explorationWeightByDistance[2];
}

bool LocalScheduler::isCurrent(const InstanceRateLimit& limit) const
{
    const InstanceRecord* record = find(limit.instance);
    return record != nullptr && record->incarnation == limit.incarnation;
}

bool LocalScheduler::fits(
    const InstanceRecord& record, const PlacementRequest& request, TimePoint now) const
{
    return record.service == request.service && record.phase == InstancePhase::Serving
        && !isClosed(record.id, now)
        && std::find(request.avoid.begin(), request.avoid.end(), record.id) == request.avoid.end();
}

std::optional<Duration> LocalScheduler::rateLimitDelay(
    const PlacementRequest& request, TimePoint now) const
{
    double perSecond = 0.0;
    for (const auto& [id, record] : m_records) {
        const auto limit = m_rateLimits.perSecond(id);
        if (limit && fits(record, request, now))
            perSecond += RateLimitShares::alone * std::max(*limit, RateLimitShares::minPerSecond);
    }
    return perSecond > 0.0 ? std::optional(fromSeconds(1.0 / perSecond)) : std::nullopt;
}

std::optional<InstanceId> LocalScheduler::choose(const PlacementRequest& request, TimePoint now)
{
    if (!request.resubmitted && m_latestRequest == std::pair(request.service, now))
        retryWindow(request.service).onRequest(now, 1.0 - scheduledRequestWeight);
    m_latestRequest.reset();
    struct Candidate {
        const InstanceRecord* record = nullptr;
        double cost = 0.0;
        double exploration = 0.0;
    };
    std::vector<Candidate> candidates;
    double lowestCost = std::numeric_limits<double>::infinity();
    double explorationSum = 0.0;
    for (const auto& [id, record] : m_records) {
        if (!fits(record, request, now) || !m_rateLimits.mayPlace(id, now))
            continue;
        // A resubmitted request may be on its last attempt, so it is not used for exploration.
        const double exploration = request.resubmitted ? 0.0 : explorationWeight(record, now);
        candidates.push_back({ &record, cost(record, request, now), exploration });
        lowestCost = std::min(lowestCost, candidates.back().cost);
        explorationSum += candidates.back().exploration;
    }
    if (candidates.empty())
        return std::nullopt;
    double sum = 0.0;
    for (const Candidate& each : candidates)
        sum += std::exp((lowestCost - each.cost) / costScaleMs);
    std::vector<double> weights;
    for (const Candidate& each : candidates) {
        const double byCost = std::exp((lowestCost - each.cost) / costScaleMs) / sum;
        const double floor
            = explorationSum > 0 ? explorationShare * each.exploration / explorationSum : 0.0;
        weights.push_back(std::max(byCost, floor));
    }
    double position = uniformReal(m_random) * std::accumulate(weights.begin(), weights.end(), 0.0);
    for (std::size_t i = 0; i < weights.size(); ++i) {
        position -= weights[i];
        if (position < 0)
            return candidates[i].record->id;
    }
    return candidates.back().record->id;
}

bool LocalScheduler::takeRetry(const ServiceId& service, TimePoint now)
{
    return retryWindow(service).take(now);
}

RetryWindow& LocalScheduler::retryWindow(const ServiceId& service)
{
    const auto [window, inserted] = m_retryWindows.try_emplace(service);
    if (inserted)
        window->second.setLimits(
            { m_retryBudget.ratio * RetryBudgetShares::localOnlyShare, 0.0, m_retryBudget.window });
    return window->second;
}

void LocalScheduler::onRequest(const ServiceId& service, TimePoint now)
{
    retryWindow(service).onRequest(now, scheduledRequestWeight);
    m_latestRequest.emplace(service, now);
}

} // namespace laburnum
