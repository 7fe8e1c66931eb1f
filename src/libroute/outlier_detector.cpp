#include <laburnumroute/outlier_detector.h>

#include <algorithm>
#include <cmath>

namespace laburnum {

namespace {

    constexpr DetectionThresholds fewFalseEjections { 24.0, std::chrono::seconds(20), 3.0, 6.0 };
    constexpr DetectionThresholds quickDetection { 10.0, std::chrono::seconds(5), 2.0, 4.0 };

    /// Half-lives of the two fading windows.
    constexpr double slowHalfLifeSeconds = 120.0;
    constexpr double fastHalfLifeSeconds = 5.0;

    /// Rises that the change tests look for.
    constexpr CusumTest::Rises errorRises { 0.05, 0.2, 0.6 };
    constexpr CusumTest::Rises slownessRises { 0.1, 0.3, 0.7 };
    constexpr double errorTrialRise = 0.2;
    constexpr double slownessTrialRise = 0.15;

    /// An answer is slow when it takes longer than the peers' quantile by the factor
    /// 2^(slowBuckets / 4).
    constexpr double slowQuantile = 0.95;
    constexpr std::size_t slowBuckets = 4;

    /// Reference rates are the peers' times this margin, within the bounds below.
    constexpr double rateMargin = 1.5;
    constexpr double minErrorRate = 0.005;
    constexpr double minSlowRate = 0.02;
    /// Above this reference rate the service as a whole is in trouble.
    constexpr double maxReferenceRate = 0.3;
    /// Observations of the peers without which nothing is judged.
    constexpr double minPeerObservations = 20.0;
    /// Weight of the longer window when the rate of a shorter one is estimated.
    constexpr double priorWeight = 5.0;
    /// More suspects than this share of the instances are no instance's own trouble.
    constexpr double maxSuspectShare = 1.0 / 3.0;
    /// A host that saw more than this share of the troubles in less than this share of the
    /// observations is itself the trouble.
    constexpr double oneHostShare = 0.75;
    /// Observations with which a data centre can clear an instance.
    constexpr double minClearObservations = 10.0;
    /// Share of the threshold below which a data centre's score clears the instance.
    constexpr double clearShare = 0.5;

    double halfLifeFactor(Duration time, double halfLifeSeconds)
    {
        return std::exp2(-std::chrono::duration<double>(time).count() / halfLifeSeconds);
    }

    /// The highest of the rates in the three windows, each steadied by the longer one.
    double highestRate(double slowHits, double slowTrials, double fastHits, double fastTrials,
        double batchHits, double batchTrials)
    {
        const double slow = slowHits / std::max(1.0, slowTrials);
        const double fast = (fastHits + priorWeight * slow) / (fastTrials + priorWeight);
        const double batch = (batchHits + priorWeight * fast) / (batchTrials + priorWeight);
        return std::max({ slow, fast, batch });
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
    return { between(fewFalseEjections.score, quickDetection.score),
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(grace)),
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

void OutlierDetector::FadingCounts::merge(const FadingCounts& other, double sign)
{
    errors += sign * other.errors;
    judged += sign * other.judged;
    latency.merge(other.latency, sign);
}

void OutlierDetector::FadingCounts::scale(double factor)
{
    errors *= factor;
    judged *= factor;
    latency.scale(factor);
}

void OutlierDetector::Windows::merge(const Windows& other, double sign)
{
    slow.merge(other.slow, sign);
    fast.merge(other.fast, sign);
    batch.merge(other.batch, sign);
}

void OutlierDetector::noteInstance(const InstanceId& instance, TimePoint since)
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
        HostTally& tally = scope.tallies[host];
        tally.troubles += counts.errors() + counts.latency.countFrom(state.slowBucket);
        tally.observations += counts.judged();
    }
}

void OutlierDetector::evaluate(const std::set<EjectionScope>& held, TimePoint now)
{
    fade(now);
    const Windows all = mergedWindows(held);
    m_suspicions.clear();
    std::size_t troubled = 0;
    for (auto& [id, state] : m_instances) {
        Windows peers = all;
        if (!held.contains({ id, DataCentreId() }))
            peers.merge(state.windows, -1.0);
        const Reference reference = referenceFor(peers);
        state.slowBucket = reference.slowBucket;
        judge(id, state, reference, held, now);
        if (state.tests.score() >= m_thresholds.score / 2)
            ++troubled;
        if (const auto suspicion = suspicionOf(id, state, reference))
            m_suspicions.push_back(*suspicion);
    }
    const double limit = maxSuspectShare * static_cast<double>(m_instances.size());
    if (troubled > 1 && static_cast<double>(troubled) > limit)
        m_suspicions.clear();
}

TrialVerdict OutlierDetector::trialVerdict(const EjectionScope& scope) const
{
    const auto found = m_trials.find(scope);
    if (found == m_trials.end())
        return TrialVerdict::Pending;
    const Trial& trial = found->second;
    if (trial.errors.rejects() || trial.slowness.rejects())
        return TrialVerdict::Sick;
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
        scope.tallies.clear();
    }
}

void OutlierDetector::forget(const InstanceId& instance)
{
    m_instances.erase(instance);
    std::erase_if(m_trials, [&](const auto& item) { return item.first.first == instance; });
}

void OutlierDetector::fade(TimePoint now)
{
    const Duration passed = m_lastFade == TimePoint {} ? Duration::zero() : now - m_lastFade;
    m_lastFade = now;
    const double slowFactor = halfLifeFactor(passed, slowHalfLifeSeconds);
    const double fastFactor = halfLifeFactor(passed, fastHalfLifeSeconds);
    for (auto& [id, state] : m_instances) {
        state.windows.slow.scale(slowFactor);
        state.windows.fast.scale(fastFactor);
        state.windows.batch = {};
        for (auto& [dataCentre, scope] : state.scopes) {
            scope.judged *= slowFactor;
            scope.answeredErrors *= fastFactor;
            scope.pathErrors *= fastFactor;
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
        state.windows.slow.merge(state.windows.batch);
        state.windows.fast.merge(state.windows.batch);
        all.merge(state.windows);
    }
    return all;
}

OutlierDetector::Reference OutlierDetector::referenceFor(const Windows& peers)
{
    Reference reference;
    const double errorRate = highestRate(peers.slow.errors, peers.slow.judged, peers.fast.errors,
        peers.fast.judged, peers.batch.errors, peers.batch.judged);
    reference.errorRate = std::max(minErrorRate, rateMargin * errorRate);
    reference.errorsKnown
        = peers.slow.judged >= minPeerObservations && reference.errorRate <= maxReferenceRate;
    const std::size_t bucket = peers.slow.latency.quantileBucket(slowQuantile) + slowBuckets;
    const double slowRate
        = highestRate(peers.slow.latency.countFrom(bucket), peers.slow.latency.total(),
            peers.fast.latency.countFrom(bucket), peers.fast.latency.total(),
            peers.batch.latency.countFrom(bucket), peers.batch.latency.total());
    reference.slowBucket = bucket;
    reference.slowRate = std::max(minSlowRate, rateMargin * slowRate);
    reference.slownessKnown = peers.slow.latency.total() >= minPeerObservations
        && reference.slowRate <= maxReferenceRate;
    return reference;
}

void OutlierDetector::judge(const InstanceId& id, InstanceState& state, const Reference& reference,
    const std::set<EjectionScope>& held, TimePoint now)
{
    const bool inGrace = now - state.firstSeen < m_thresholds.grace;
    const bool heldFully = held.contains({ id, DataCentreId() });
    FadingCounts total;
    for (auto& [dataCentre, scope] : state.scopes) {
        const OutcomeCounts pending = std::exchange(scope.pending, {});
        const FadingCounts counts { static_cast<double>(pending.errors()),
            static_cast<double>(pending.judged()), pending.latency };
        scope.judged += counts.judged;
        scope.answeredErrors += pending.failed;
        scope.pathErrors += pending.pathErrors();
        const EjectionScope heldScope { id, heldFully ? DataCentreId() : dataCentre };
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
            scope.tallies.clear();
    }
}

void OutlierDetector::addTo(
    Tests& tests, const FadingCounts& counts, const Reference& reference) const
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
    const auto path = pathOf(state);
    const Tests& tests = path ? state.scopes.at(*path).tests : state.tests;
    if (tests.score() < m_thresholds.score || isOneHostsTrouble(state, path))
        return std::nullopt;
    Suspicion suspicion;
    suspicion.instance = id;
    suspicion.scope = path.value_or(DataCentreId());
    suspicion.symptom
        = tests.errors.score() >= tests.slowness.score() ? Symptom::Errors : Symptom::Slowness;
    suspicion.score = tests.score();
    const FadingCounts& own = state.windows.fast;
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

bool OutlierDetector::isOneHostsTrouble(
    const InstanceState& state, const std::optional<DataCentreId>& dataCentre)
{
    double troubles = 0.0;
    double observations = 0.0;
    HostTally worst;
    for (const auto& [name, scope] : state.scopes) {
        if (dataCentre && name != *dataCentre)
            continue;
        for (const auto& [host, tally] : scope.tallies) {
            troubles += tally.troubles;
            observations += tally.observations;
            if (tally.troubles > worst.troubles)
                worst = tally;
        }
    }
    return worst.troubles > oneHostShare * troubles
        && worst.observations < oneHostShare * observations;
}

std::optional<DataCentreId> OutlierDetector::pathOf(const InstanceState& state) const
{
    const auto worst = std::max_element(
        state.scopes.begin(), state.scopes.end(), [&](const auto& a, const auto& b) {
            return a.second.tests.score() < b.second.tests.score();
        });
    if (worst == state.scopes.end() || worst->second.tests.score() < m_thresholds.score
        || worst->second.answeredErrors > worst->second.pathErrors)
        return std::nullopt;
    unsigned troubled = 0;
    unsigned clear = 0;
    for (const auto& [dataCentre, scope] : state.scopes) {
        if (scope.tests.score() >= clearShare * m_thresholds.score)
            ++troubled;
        else if (scope.judged >= minClearObservations)
            ++clear;
    }
    return clear >= troubled ? std::optional(worst->first) : std::nullopt;
}

} // namespace laburnum
