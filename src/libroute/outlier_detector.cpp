#include <laburnumroute/outlier_detector.h>

#include <algorithm>
#include <cmath>

namespace laburnum {

namespace {

    constexpr DetectionThresholds fewFalseEjections { 24.0, std::chrono::seconds(20), 3.0, 6.0 };
    constexpr DetectionThresholds quickDetection { 10.0, std::chrono::seconds(5), 2.0, 4.0 };

    /// Half-lives of the two decaying windows.
    constexpr double longHalfLifeSeconds = 120.0;
    constexpr double shortHalfLifeSeconds = 5.0;

    /// Rises that the CUSUM tests look for.
    constexpr CusumTest::Rises errorRises { 0.05, 0.2, 0.6 };
    constexpr CusumTest::Rises slownessRises { 0.1, 0.3, 0.7 };
    constexpr double errorTrialRise = 0.2;
    constexpr double slownessTrialRise = 0.15;

    /// An answer is slow if its latency exceeds the peers' quantile by a factor of
    /// 2^(slowBuckets / 4).
    constexpr double slowQuantile = 0.95;
    constexpr std::size_t slowBuckets = 4;

    /// Reference rates are the peers' rates times this margin, within the bounds below.
    constexpr double rateMargin = 1.5;
    constexpr double minErrorRate = 0.005;
    constexpr double minSlowRate = 0.02;
    /// Above this reference rate the service as a whole is affected, and the scores that use
    /// this rate are not updated.
    constexpr double maxReferenceRate = 0.3;
    /// Minimum number of peer observations for an evaluation.
    constexpr double minPeerObservations = 20.0;
    /// Weight of the longer window's rate as the prior of a shorter one.
    constexpr double priorWeight = 5.0;
    /// With more suspects than this share of the instances, the cause is not a single instance.
    constexpr double maxSuspectShare = 1.0 / 3.0;
    /// A host that saw more than this share of the anomalies in less than this share of the
    /// observations is itself the cause.
    constexpr double singleHostShare = 0.75;
    /// Observations that a data centre needs for its score to count as healthy.
    constexpr double minHealthyObservations = 10.0;
    /// Share of the threshold below which a data centre's score counts as healthy.
    constexpr double healthyScoreShare = 0.5;

    double halfLifeFactor(Duration time, double halfLifeSeconds)
    {
        return std::exp2(-std::chrono::duration<double>(time).count() / halfLifeSeconds);
    }

    /// Returns the highest rate of the three windows, each smoothed by the next longer one.
    double highestRate(double longHits, double longTrials, double shortHits, double shortTrials,
        double batchHits, double batchTrials)
    {
        const double longTerm = longHits / std::max(1.0, longTrials);
        const double shortTerm = (shortHits + priorWeight * longTerm) / (shortTrials + priorWeight);
        const double batch = (batchHits + priorWeight * shortTerm) / (batchTrials + priorWeight);
        return std::max({ longTerm, shortTerm, batch });
    }

} // namespace

DetectionThresholds thresholdsFor(DetectionWeighting weighting)
{
    return weighting == DetectionWeighting::QuickDetection ? quickDetection : fewFalseEjections;
}

DetectionThresholds thresholdsBetween(double quickness)
{
    const auto between = [&](double from, double to) { return from + (to - from) * quickness; };
    const double grace = between(std::chrono::duration<double>(fewFalseEjections.grace).count(),
        std::chrono::duration<double>(quickDetection.grace).count());
    return { between(fewFalseEjections.score, quickDetection.score), fromSeconds(grace),
        between(fewFalseEjections.errorSteps, quickDetection.errorSteps),
        between(fewFalseEjections.slownessSteps, quickDetection.slownessSteps) };
}

const char* symptomName(Symptom symptom) noexcept
{
    return symptom == Symptom::Errors ? "errors" : "slowness";
}

OutlierDetector::Tests::Tests()
    : errors(errorRises)
    , slowness(slownessRises)
{
}

OutlierDetector::Trial::Trial()
    : errors(errorTrialRise)
    , slowness(slownessTrialRise)
{
}

void OutlierDetector::DecayingCounts::merge(const DecayingCounts& other, double sign)
{
    errors += sign * other.errors;
    judged += sign * other.judged;
    latency.merge(other.latency, sign);
}

void OutlierDetector::DecayingCounts::scale(double factor)
{
    errors *= factor;
    judged *= factor;
    latency.scale(factor);
}

void OutlierDetector::Windows::merge(const Windows& other, double sign)
{
    longTerm.merge(other.longTerm, sign);
    shortTerm.merge(other.shortTerm, sign);
    batch.merge(other.batch, sign);
}

void OutlierDetector::registerInstance(const InstanceId& instance, TimePoint since)
{
    const auto [entry, added] = m_instances.try_emplace(instance);
    if (added)
        entry->second.firstSeen = since;
}

void OutlierDetector::add(const HostId& host, const EvidenceDelta& delta, TimePoint now)
{
    for (const auto& [id, counts] : delta.instances) {
        const auto [entry, added] = m_instances.try_emplace(id);
        InstanceState& state = entry->second;
        if (added)
            state.firstSeen = now;
        ScopeState& scope = state.scopes[delta.observer];
        OutcomeCounts& pending = scope.pending;
        pending.succeeded += counts.succeeded;
        pending.failed += counts.failed;
        pending.broken += counts.broken;
        pending.timedOut += counts.timedOut;
        pending.notConnected += counts.notConnected;
        pending.latency.merge(counts.latency);
        HostCounts& hostCounts = scope.byHost[host];
        hostCounts.anomalies += counts.errors() + counts.latency.countFrom(state.slowBucket);
        hostCounts.observations += counts.judged();
    }
}

void OutlierDetector::evaluate(const std::set<EjectionScope>& held, TimePoint now)
{
    decay(now);
    const Windows all = mergedWindows(held);
    m_suspicions.clear();
    std::size_t suspectCount = 0;
    for (auto& [id, state] : m_instances) {
        Windows peers = all;
        if (!held.contains({ id, DataCentreId() }))
            peers.merge(state.windows, -1.0);
        const Reference reference = referenceFor(peers);
        state.slowBucket = reference.slowBucket;
        evaluateInstance(id, state, reference, held, now);
        if (state.tests.score() >= m_thresholds.score / 2)
            ++suspectCount;
        if (const auto suspicion = suspicionOf(id, state, reference))
            m_suspicions.push_back(*suspicion);
    }
    const double limit = maxSuspectShare * static_cast<double>(m_instances.size());
    if (suspectCount > 1 && static_cast<double>(suspectCount) > limit)
        m_suspicions.clear();
}

TrialVerdict OutlierDetector::trialVerdict(const EjectionScope& scope) const
{
    const auto found = m_trials.find(scope);
    if (found == m_trials.end())
        return TrialVerdict::Pending;
    const Trial& trial = found->second;
    if (trial.errors.rejects() || trial.slowness.rejects())
        return TrialVerdict::Unhealthy;
    return trial.errors.accepts() && trial.slowness.accepts() ? TrialVerdict::Healthy
                                                              : TrialVerdict::Pending;
}

void OutlierDetector::resetScores(const InstanceId& instance)
{
    const auto found = m_instances.find(instance);
    if (found == m_instances.end())
        return;
    found->second.tests = Tests();
    found->second.windows = {};
    for (auto& [dataCentre, scope] : found->second.scopes) {
        scope.tests = Tests();
        scope.byHost.clear();
    }
}

void OutlierDetector::forget(const InstanceId& instance)
{
    m_instances.erase(instance);
    std::erase_if(m_trials, [&](const auto& item) { return item.first.first == instance; });
}

void OutlierDetector::decay(TimePoint now)
{
    const Duration passed = m_lastDecay == TimePoint {} ? Duration::zero() : now - m_lastDecay;
    m_lastDecay = now;
    const double longFactor = halfLifeFactor(passed, longHalfLifeSeconds);
    const double shortFactor = halfLifeFactor(passed, shortHalfLifeSeconds);
    for (auto& [id, state] : m_instances) {
        state.windows.longTerm.scale(longFactor);
        state.windows.shortTerm.scale(shortFactor);
        state.windows.batch = {};
        for (auto& [dataCentre, scope] : state.scopes) {
            scope.judged *= longFactor;
            scope.answeredErrors *= shortFactor;
            scope.pathErrors *= shortFactor;
        }
    }
}

OutlierDetector::Windows OutlierDetector::mergedWindows(const std::set<EjectionScope>& held)
{
    Windows all;
    for (auto& [id, state] : m_instances) {
        if (held.contains({ id, DataCentreId() }))
            continue;
        for (auto& [dataCentre, scope] : state.scopes) {
            if (held.contains({ id, dataCentre }))
                continue;
            const OutcomeCounts& pending = scope.pending;
            state.windows.batch.merge({ static_cast<double>(pending.errors()),
                static_cast<double>(pending.judged()), pending.latency });
        }
        state.windows.longTerm.merge(state.windows.batch);
        state.windows.shortTerm.merge(state.windows.batch);
        all.merge(state.windows);
    }
    return all;
}

OutlierDetector::Reference OutlierDetector::referenceFor(const Windows& peers)
{
    Reference reference;
    const double errorRate = highestRate(peers.longTerm.errors, peers.longTerm.judged,
        peers.shortTerm.errors, peers.shortTerm.judged, peers.batch.errors, peers.batch.judged);
    reference.errorRate = std::max(minErrorRate, rateMargin * errorRate);
    reference.errorsKnown
        = peers.longTerm.judged >= minPeerObservations && reference.errorRate <= maxReferenceRate;
    const std::size_t bucket = peers.longTerm.latency.quantileBucket(slowQuantile) + slowBuckets;
    const double slowRate
        = highestRate(peers.longTerm.latency.countFrom(bucket), peers.longTerm.latency.total(),
            peers.shortTerm.latency.countFrom(bucket), peers.shortTerm.latency.total(),
            peers.batch.latency.countFrom(bucket), peers.batch.latency.total());
    reference.slowBucket = bucket;
    reference.slowRate = std::max(minSlowRate, rateMargin * slowRate);
    reference.slownessKnown = peers.longTerm.latency.total() >= minPeerObservations
        && reference.slowRate <= maxReferenceRate;
    return reference;
}

void OutlierDetector::evaluateInstance(const InstanceId& id, InstanceState& state,
    const Reference& reference, const std::set<EjectionScope>& held, TimePoint now)
{
    const bool inGrace = now - state.firstSeen < m_thresholds.grace;
    const bool heldEverywhere = held.contains({ id, DataCentreId() });
    DecayingCounts total;
    for (auto& [dataCentre, scope] : state.scopes) {
        const OutcomeCounts pending = std::exchange(scope.pending, {});
        const DecayingCounts counts { static_cast<double>(pending.errors()),
            static_cast<double>(pending.judged()), pending.latency };
        scope.judged += counts.judged;
        scope.answeredErrors += pending.failed;
        scope.pathErrors += pending.pathErrors();
        const EjectionScope heldScope { id, heldEverywhere ? DataCentreId() : dataCentre };
        if (held.contains(heldScope)) {
            const auto trial = m_trials.find(heldScope);
            if (trial == m_trials.end())
                continue;
            if (reference.errorsKnown)
                trial->second.errors.add(counts.errors, counts.judged, reference.errorRate);
            if (reference.slownessKnown)
                trial->second.slowness.add(counts.latency.countFrom(reference.slowBucket),
                    counts.latency.total(), reference.slowRate);
            continue;
        }
        total.merge(counts);
        if (!inGrace)
            addTo(scope.tests, counts, reference);
    }
    if (!inGrace)
        addTo(state.tests, total, reference);
    for (auto& [dataCentre, scope] : state.scopes) {
        if (state.tests.score() == 0.0 && scope.tests.score() == 0.0)
            scope.byHost.clear();
    }
}

void OutlierDetector::addTo(
    Tests& tests, const DecayingCounts& counts, const Reference& reference) const
{
    if (reference.errorsKnown)
        tests.errors.add(counts.errors, counts.judged, reference.errorRate,
            m_thresholds.score / m_thresholds.errorSteps);
    if (reference.slownessKnown)
        tests.slowness.add(counts.latency.countFrom(reference.slowBucket), counts.latency.total(),
            reference.slowRate, m_thresholds.score / m_thresholds.slownessSteps);
}

std::optional<Suspicion> OutlierDetector::suspicionOf(
    const InstanceId& id, const InstanceState& state, const Reference& reference) const
{
    const auto path = faultyPathOf(state);
    const Tests& tests = path ? state.scopes.at(*path).tests : state.tests;
    if (tests.score() < m_thresholds.score || isSingleHostAnomaly(state, path))
        return std::nullopt;
    Suspicion suspicion;
    suspicion.instance = id;
    suspicion.scope = path.value_or(DataCentreId());
    suspicion.symptom
        = tests.errors.score() >= tests.slowness.score() ? Symptom::Errors : Symptom::Slowness;
    suspicion.score = tests.score();
    const DecayingCounts& own = state.windows.shortTerm;
    if (suspicion.symptom == Symptom::Errors) {
        suspicion.rate = own.errors / std::max(1.0, own.judged);
        suspicion.peerRate = reference.errorRate;
    } else {
        suspicion.rate
            = own.latency.countFrom(reference.slowBucket) / std::max(1.0, own.latency.total());
        suspicion.peerRate = reference.slowRate;
    }
    return suspicion;
}

bool OutlierDetector::isSingleHostAnomaly(
    const InstanceState& state, const std::optional<DataCentreId>& dataCentre)
{
    double anomalies = 0.0;
    double observations = 0.0;
    HostCounts worst;
    for (const auto& [name, scope] : state.scopes) {
        if (dataCentre && name != *dataCentre)
            continue;
        for (const auto& [host, hostCounts] : scope.byHost) {
            anomalies += hostCounts.anomalies;
            observations += hostCounts.observations;
            if (hostCounts.anomalies > worst.anomalies)
                worst = hostCounts;
        }
    }
    return worst.anomalies > singleHostShare * anomalies
        && worst.observations < singleHostShare * observations;
}

std::optional<DataCentreId> OutlierDetector::faultyPathOf(const InstanceState& state) const
{
    const auto worst = std::max_element(
        state.scopes.begin(), state.scopes.end(), [&](const auto& a, const auto& b) {
            return a.second.tests.score() < b.second.tests.score();
        });
    if (worst == state.scopes.end() || worst->second.tests.score() < m_thresholds.score
        || worst->second.answeredErrors > worst->second.pathErrors)
        return std::nullopt;
    unsigned suspectCount = 0;
    unsigned healthyCount = 0;
    for (const auto& [dataCentre, scope] : state.scopes) {
        if (scope.tests.score() >= healthyScoreShare * m_thresholds.score)
            ++suspectCount;
        else if (scope.judged >= minHealthyObservations)
            ++healthyCount;
    }
    return healthyCount >= suspectCount ? std::optional(worst->first) : std::nullopt;
}

} // namespace laburnum
