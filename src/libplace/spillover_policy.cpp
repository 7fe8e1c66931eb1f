#include <laburnumroute/spillover_policy.h>

#include <algorithm>
#include <cmath>

#include "placement_cost_pvt.h"

namespace laburnum {

namespace {

    /// Share of its slots up to which a data centre serves its own demand. Instances slow down as
    /// their last slots fill.
    constexpr double fillTarget = 0.95;
    /// An exporter becomes an importer again below this share, after at least minExportTime: at the
    /// border the role would change with each request.
    constexpr double exportEnd = 0.85;
    constexpr auto minExportTime = std::chrono::milliseconds(1000);
    /// Smoothing of the demand, shorter than the 250 ms that a request waits for a home slot.
    constexpr double demandSeconds = 0.2;
    constexpr double trendSeconds = 1.0;
    /// The demand is projected over this time, about the run of one request.
    constexpr double trendHorizon = 0.4;
    /// Costs of a slot for which no surplus is allotted. They are above the cost of the random
    /// differences between instances, and below that of a gray spell (0.45 x 14,000 ms).
    constexpr double closedMs = 300.0;
    constexpr double closedRegionMs = 1500.0;
    /// Above any failure cost, so that only a request at the end of its wait takes the slot.
    constexpr double blockedMs = 16000.0;
    /// Cost of a round trip: requests use a connection for several, over links that others share.
    /// Gives the 400 ms of a region 20 ms away (placement_cost_pvt.h).
    constexpr double costPerRoundTrip = 10.0;
    /// Delays assumed before the first measurement.
    constexpr auto defaultDelay = std::chrono::milliseconds(1);
    constexpr auto defaultRegionDelay = std::chrono::milliseconds(20);
    /// A longer delay than the known one raises it by one part in this: most are of hosts whose
    /// links are busy.
    constexpr int riseDivisor = 10;
    /// The policy stays on until all delays fall below this share of the threshold.
    constexpr double thresholdHysteresis = 0.8;

    std::pair<DataCentreId, DataCentreId> ordered(const DataCentreId& a, const DataCentreId& b)
    {
        return a < b ? std::pair(a, b) : std::pair(b, a);
    }

} // namespace

void SpilloverPolicy::onDelay(
    const DataCentreId& one, const DataCentreId& other, bool isSameRegion, Duration oneWay)
{
    const auto [found, isFirst]
        = m_delays.try_emplace(ordered(one, other), Delay { oneWay, isSameRegion });
    Duration& known = found->second.oneWay;
    if (oneWay < known)
        known = oneWay;
    else if (!isFirst)
        known += (oneWay - known) / riseDivisor;
    Duration longest {};
    for (const auto& [pair, delay] : m_delays) {
        if (delay.isSameRegion)
            longest = std::max(longest, delay.oneWay);
    }
    const auto limit
        = std::chrono::duration_cast<Duration>(m_threshold * (m_isOn ? thresholdHysteresis : 1.0));
    m_isOn = m_threshold > Duration::zero() && longest >= limit;
}

void SpilloverPolicy::restart() { m_services.clear(); }

void SpilloverPolicy::update(
    const ServiceId& service, const std::vector<CentreLoad>& loads, TimePoint now)
{
    Centres& centres = m_services[service];
    for (auto& [id, centre] : centres)
        centre.slots = 0.0;
    for (const CentreLoad& load : loads) {
        Centre& centre = centres[load.centre];
        centre.region = load.region;
        centre.slots = load.slots;
        centre.waiting = load.waiting;
        updateDemand(centre, load.waiting, now);
        updateRole(centre, now);
    }
    allot(centres);
}

void SpilloverPolicy::updateDemand(Centre& centre, double waiting, TimePoint now)
{
    const double seconds = std::chrono::duration<double>(now - centre.updated).count();
    const double current = centre.inUse + waiting;
    const double before = centre.demand;
    centre.demand += (current - before) * (1.0 - std::exp(-seconds / demandSeconds));
    if (seconds > 0.0 && seconds < trendSeconds)
        centre.trend += ((centre.demand - before) / seconds - centre.trend)
            * (1.0 - std::exp(-seconds / trendSeconds));
    centre.updated = now;
}

double SpilloverPolicy::surplusOf(const Centre& centre)
{
    const double expected = centre.demand + trendHorizon * std::max(centre.trend, 0.0);
    return centre.isExporter ? std::max(expected - fillTarget * centre.slots, 1.0) : 0.0;
}

double SpilloverPolicy::spareOf(const Centre& centre)
{
    const double expected = centre.demand + trendHorizon * std::max(centre.trend, 0.0);
    return centre.isExporter ? 0.0 : std::max(fillTarget * centre.slots - expected, 0.0);
}

void SpilloverPolicy::updateRole(Centre& centre, TimePoint now)
{
    const double expected = centre.demand + trendHorizon * std::max(centre.trend, 0.0);
    if (!centre.isExporter && expected > fillTarget * centre.slots) {
        centre.isExporter = true;
        centre.exporterSince = now;
    } else if (centre.isExporter && expected < exportEnd * centre.slots
        && now - centre.exporterSince >= minExportTime) {
        centre.isExporter = false;
    }
}

/// Divides the surplus of each exporter over the spare slots of its region, and the rest over those
/// of other regions. Requests that an importer sent while it was an exporter end first.
void SpilloverPolicy::allot(Centres& centres)
{
    std::map<DataCentreId, double> surplus;
    std::map<DataCentreId, double> spare;
    for (auto& [id, centre] : centres) {
        surplus[id] = surplusOf(centre);
        spare[id] = spareOf(centre);
        for (auto& [to, flow] : centre.flows)
            flow.allotted = 0.0;
    }
    const auto sumOf = [&](const std::map<DataCentreId, double>& values, const RegionId* region) {
        double sum = 0.0;
        for (const auto& [id, value] : values)
            sum += region == nullptr || centres.at(id).region == *region ? value : 0.0;
        return sum;
    };
    for (const bool isSameRegion : { true, false }) {
        auto nextSurplus = surplus;
        auto nextSpare = spare;
        for (auto& [from, exporter] : centres) {
            if (surplus[from] <= 0.0)
                continue;
            const RegionId* scope = isSameRegion ? &exporter.region : nullptr;
            const double demanded = sumOf(surplus, scope);
            const double offered = sumOf(spare, scope);
            for (auto& [to, importer] : centres) {
                if (spare[to] <= 0.0 || (importer.region == exporter.region) != isSameRegion)
                    continue;
                if (sendsTo(importer, from))
                    continue;
                const double part = surplus[from] * spare[to] / std::max(demanded, offered);
                exporter.flows[to].allotted += part;
                nextSurplus[from] -= part;
                nextSpare[to] -= part;
            }
        }
        surplus = std::move(nextSurplus);
        spare = std::move(nextSpare);
    }
}

bool SpilloverPolicy::sendsTo(const Centre& centre, const DataCentreId& destination)
{
    const auto flow = centre.flows.find(destination);
    return flow != centre.flows.end() && flow->second.inUse > 0;
}

SpilloverPath SpilloverPolicy::path(
    const ServiceId& service, const DataCentreId& home, const DataCentreId& destination) const
{
    if (home == destination)
        return SpilloverPath::Home;
    const auto centres = m_services.find(service);
    if (centres == m_services.end())
        return SpilloverPath::Closed;
    const auto other = centres->second.find(destination);
    if (other != centres->second.end()
        && ((other->second.isExporter && other->second.waiting > 0.0)
            || sendsTo(other->second, home)))
        return SpilloverPath::Blocked;
    const auto own = centres->second.find(home);
    if (own == centres->second.end())
        return SpilloverPath::Closed;
    const auto flow = own->second.flows.find(destination);
    return flow != own->second.flows.end() && flow->second.inUse < flow->second.allotted
        ? SpilloverPath::Open
        : SpilloverPath::Closed;
}

Duration SpilloverPolicy::delay(
    const DataCentreId& one, const DataCentreId& other, bool isSameRegion) const
{
    const auto found = m_delays.find(ordered(one, other));
    if (found != m_delays.end())
        return found->second.oneWay;
    return isSameRegion ? defaultDelay : defaultRegionDelay;
}

double SpilloverPolicy::cost(SpilloverPath path, const DataCentreId& home,
    const DataCentreId& destination, bool isSameRegion, std::uint32_t bodyKiB) const
{
    if (path == SpilloverPath::Home)
        return 0.0;
    const double oneWayMs
        = std::chrono::duration<double, std::milli>(delay(home, destination, isSameRegion)).count();
    double cost = costPerRoundTrip * 2.0 * oneWayMs + pvt::otherDataCentreMsPerKib * bodyKiB;
    if (!isSameRegion)
        cost += pvt::otherRegionMsPerKib * bodyKiB;
    if (path == SpilloverPath::Closed)
        cost += isSameRegion ? closedMs : closedRegionMs;
    if (path == SpilloverPath::Blocked)
        cost += blockedMs;
    return cost;
}

bool SpilloverPolicy::onGrant(const ServiceId& service, const DataCentreId& home,
    const DataCentreId& destination, bool isSameRegion, bool isProbe)
{
    Count& count = m_counts[{ service, home }];
    ++count.granted;
    count.leftDataCentre += home == destination ? 0 : 1;
    count.leftRegion += isSameRegion ? 0 : 1;
    const bool hasLeft = home != destination && !isProbe;
    Centre& centre = m_services[service][home];
    ++centre.inUse;
    if (hasLeft)
        ++centre.flows[destination].inUse;
    return hasLeft;
}

void SpilloverPolicy::onRelease(const ServiceId& service, const DataCentreId& home,
    const DataCentreId& destination, bool hasLeft)
{
    Centre& centre = m_services[service][home];
    if (centre.inUse > 0)
        --centre.inUse;
    if (hasLeft && centre.flows[destination].inUse > 0)
        --centre.flows[destination].inUse;
}

} // namespace laburnum
