#include <laburnumroute/local_scheduler.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <numeric>

#include "placement_cost_pvt.h"

namespace laburnum {

namespace {

    /// A path that failed is left alone for so long, about as long as a cut takes to heal.
    constexpr auto brokenFor = std::chrono::milliseconds(3000);
    constexpr double brokenChance = 0.5;
    /// Repeats that the fleet allows for each request.
    constexpr double fleetRepeatRatio = 0.2;
    constexpr double loneRepeatRatio = fleetRepeatRatio * RetryBudgetShares::localOnlyShare;
    /// What a request counts for while a view may have been asked for it.
    constexpr double askedPart
        = RetryBudgetShares::fallbackShare / RetryBudgetShares::localOnlyShare;
    /// A host alone does not know typical latencies; it compares with this.
    constexpr auto assumedLatency = std::chrono::milliseconds(500);
    /// A silence that another host passes on was worth telling.
    constexpr auto assumedSilence = 3 * assumedLatency;
    /// What the view held for doubtful fades with this constant.
    constexpr double doubtfulChance = 0.3;
    constexpr double doubtfulFadeSeconds = 4.0;
    /// One more request of this host at an instance costs so much of the others' time.
    constexpr double busyMs = 60.0;
    /// Costs that differ by this are told apart at random, three to one.
    constexpr double spreadMs = 150.0;
    /// Part of a host's requests that goes to the instances whatever they cost, so that all hosts
    /// together keep each at work without knowing of one another: with 3.4 requests a second for
    /// each instance, an instance that no host would choose gets 2.7 in the two seconds of a floor.
    constexpr double spreadShare = 0.4;
    /// How that part is divided: in the host's data centre, its region, another region. Large
    /// bodies should not travel far, and a data centre may have no callers of its own.
    constexpr std::array<double, 3> spreadByDistance { 1.0, 0.5, 0.2 };
    /// An instance that failed gets none of that part for so long: two seconds after a failure it
    /// may be sound, and has two more until it must have got work.
    constexpr auto restAfterFailure = std::chrono::milliseconds(3000);

} // namespace

LocalScheduler::LocalScheduler(HostPlace place, std::uint64_t seed)
    : m_place(std::move(place))
    , m_random(seed)
{
}

void LocalScheduler::upsert(const InstanceRecord& record)
{
    const InstanceRecord* known = find(record.id);
    if (known != nullptr && known->incarnation != record.incarnation)
        m_judges.erase(record.id);
    m_records[record.id] = record;
}

void LocalScheduler::remove(const InstanceId& id)
{
    m_records.erase(id);
    m_judges.erase(id);
    m_failedAt.erase(id);
    m_brokenUntil.erase(id);
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

void LocalScheduler::judge(const InstanceId& id, const PlacementReport& report, TimePoint now)
{
    if (!m_records.contains(id))
        return;
    pvt::tellJudge(m_judges[id], report, assumedLatency, now);
    if (report.end != PlacementOutcome::Success && report.end != PlacementOutcome::Unused)
        m_failedAt[id] = now;
}

void LocalScheduler::end(const InstanceId& id, const PlacementReport& report, TimePoint now)
{
    const auto found = m_busy.find(id);
    if (found != m_busy.end() && --found->second == 0)
        m_busy.erase(found);
    judge(id, report, now);
    const bool broken = report.end == PlacementOutcome::Unreachable
        || report.end == PlacementOutcome::Refused || report.end == PlacementOutcome::TimedOut;
    if (broken)
        m_brokenUntil[id] = now + brokenFor;
    else if (report.end == PlacementOutcome::Success)
        m_brokenUntil.erase(id);
}

void LocalScheduler::reportOverdue(const InstanceId& id, Duration silence, TimePoint now)
{
    judge(id, { PlacementOutcome::TimedOut, silence }, now);
}

void LocalScheduler::onPeerOutcome(const InstanceId& id, PlacementOutcome how, TimePoint now)
{
    // The path of another host says little about this one's.
    if (how != PlacementOutcome::Unreachable)
        judge(
            id, { how, how == PlacementOutcome::TimedOut ? assumedSilence : assumedLatency }, now);
}

std::vector<InstanceId> LocalScheduler::unreachableInstances(TimePoint now) const
{
    std::vector<InstanceId> ids;
    for (const auto& [id, until] : m_brokenUntil) {
        if (now < until)
            ids.push_back(id);
    }
    return ids;
}

std::uint32_t LocalScheduler::busy(const InstanceId& id) const
{
    const auto found = m_busy.find(id);
    return found == m_busy.end() ? 0 : found->second;
}

double LocalScheduler::cost(
    const InstanceRecord& record, const PlacementRequest& demand, TimePoint now) const
{
    const auto known = m_judges.find(record.id);
    const HealthEstimator fresh;
    const HealthEstimator& judge = known == m_judges.end() ? fresh : known->second;
    double chance = judge.failureChance(now);
    if (m_doubtful.contains(record.id)) {
        const double age = std::chrono::duration<double>(now - m_doubtfulAt).count();
        chance = std::max(chance, doubtfulChance * std::exp(-age / doubtfulFadeSeconds));
    }
    if (isBroken(record.id, now))
        chance = std::max(chance, brokenChance);
    return pvt::failureCost(demand.kind, chance)
        + pvt::distanceCost(record, m_place.dataCentre, m_place.region, demand.bodyKiB)
        + busyMs * busy(record.id);
}

bool LocalScheduler::isBroken(const InstanceId& id, TimePoint now) const
{
    const auto broken = m_brokenUntil.find(id);
    return broken != m_brokenUntil.end() && now < broken->second;
}

/// The weight with which an instance gets work whatever it costs.
double LocalScheduler::spreadWeight(const InstanceRecord& record, TimePoint now) const
{
    const auto failed = m_failedAt.find(record.id);
    if (isBroken(record.id, now)
        || (failed != m_failedAt.end() && now - failed->second < restAfterFailure))
        return 0.0;
    if (record.dataCentre == m_place.dataCentre)
        return spreadByDistance[0];
    return record.region == m_place.region ? spreadByDistance[1] : spreadByDistance[2];
}

std::optional<InstanceId> LocalScheduler::choose(const PlacementRequest& demand, TimePoint now)
{
    if (!demand.resubmitted && m_newRequest == std::pair(demand.service, now))
        m_repeats[demand.service].onRequest(now, 1.0 - askedPart);
    m_newRequest.reset();
    struct Candidate {
        const InstanceRecord* record = nullptr;
        double cost = 0.0;
        double spread = 0.0;
    };
    std::vector<Candidate> candidates;
    double least = std::numeric_limits<double>::infinity();
    double spreadSum = 0.0;
    for (const auto& [id, record] : m_records) {
        const bool fits = record.service == demand.service && record.phase == InstancePhase::Serving
            && std::find(demand.avoid.begin(), demand.avoid.end(), id) == demand.avoid.end();
        if (!fits)
            continue;
        // The last try of a request is no try of an instance.
        const double spread = demand.resubmitted ? 0.0 : spreadWeight(record, now);
        candidates.push_back({ &record, cost(record, demand, now), spread });
        least = std::min(least, candidates.back().cost);
        spreadSum += candidates.back().spread;
    }
    if (candidates.empty())
        return std::nullopt;
    double sum = 0.0;
    for (const Candidate& each : candidates)
        sum += std::exp((least - each.cost) / spreadMs);
    std::vector<double> weights;
    for (const Candidate& each : candidates) {
        const double byCost = std::exp((least - each.cost) / spreadMs) / sum;
        const double floor = spreadSum > 0 ? spreadShare * each.spread / spreadSum : 0.0;
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
    auto& window = m_repeats[service];
    window.setTerms({ loneRepeatRatio, 0.0 });
    return window.take(now);
}

void LocalScheduler::onRequest(const ServiceId& service, TimePoint now)
{
    m_repeats[service].onRequest(now, askedPart);
    m_newRequest.emplace(service, now);
}

} // namespace laburnum
