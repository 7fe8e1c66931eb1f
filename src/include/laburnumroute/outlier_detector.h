/// Outlier detection: compares each instance of a service with its peers, from the outcomes that
/// all hosts observed.
#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include <laburnumroute/configuration.h>
#include <laburnumroute/evidence.h>
#include <laburnumroute/sequential_tests.h>

namespace laburnum {

/// Evidence required for an ejection. The defaults are placeholders; see thresholdsFor().
struct DetectionThresholds {
    /// Log-likelihood ratio in nats at which an instance is suspected.
    double score = 0.0;
    /// Time after an instance was first seen during which it is not scored. Its outcomes already
    /// count for the reference rates of its peers.
    Duration grace {};
    /// Minimum number of evaluate() calls, half a second apart, over which errors or slowness must
    /// accumulate to reach the score, so that an instance is not ejected for one short pause.
    double errorSteps = 1.0;
    double slownessSteps = 1.0;
};

/// Returns the thresholds for `weighting`.
DetectionThresholds thresholdsFor(DetectionWeighting weighting);
/// Interpolates the thresholds linearly: `quickness` 0 gives those of
/// DetectionWeighting::FewFalseEjections, 1 those of QuickDetection.
DetectionThresholds thresholdsBetween(double quickness);

/// The kind of evidence against an instance.
enum class Symptom { Errors, Slowness };

/// Stable name of `symptom` in logs.
const char* symptomName(Symptom symptom) noexcept;

/// An instance found worse than its peers.
struct Suspicion {
    InstanceId instance;
    /// The data centre whose path to the instance is affected; empty when the instance itself is.
    DataCentreId scope;
    Symptom symptom = Symptom::Errors;
    /// Log-likelihood ratio in nats.
    double score = 0.0;
    /// Share of the instance's recent outcomes that were errors or slow, 0 to 1, and the reference
    /// rate derived from its peers. Slow means about twice the peers' 95th percentile or more.
    double rate = 0.0;
    double peerRate = 0.0;
};

/// Result of the trial requests, which an ejected instance gets to find out if it has recovered.
enum class TrialVerdict { Pending, Healthy, Unhealthy };

/// An instance and the data centre whose hosts avoid it (empty for all hosts).
using EjectionScope = std::pair<InstanceId, DataCentreId>;

/// Outlier detector of one service, over the evidence of all hosts. An EjectionOwner holds one for
/// each service that it owns. No I/O; not thread-safe.
class OutlierDetector {
public:
    explicit OutlierDetector(DetectionThresholds thresholds)
        : m_thresholds(thresholds)
    {
    }

    void setThresholds(DetectionThresholds thresholds) { m_thresholds = thresholds; }
    /// Registers an instance with its grace period starting at `since`. Without registration it
    /// starts at the first evidence.
    void registerInstance(const InstanceId& instance, TimePoint since);
    /// Adds the outcomes that `host` counted since its previous delta.
    void add(const HostId& host, const EvidenceDelta& delta, TimePoint now);
    /// Evaluates the evidence added since the previous call. Evidence from the ejected scopes in
    /// `held` is neither scored nor included in the reference rates, but counts for their trials.
    /// To be called about every half second.
    void evaluate(const std::set<EjectionScope>& held, TimePoint now);
    /// Instances that the latest evaluate() found worse than their peers. Empty when several
    /// instances, and more than a third of them, have reached half of DetectionThresholds::score:
    /// the service as a whole must be affected.
    const std::vector<Suspicion>& suspicions() const { return m_suspicions; }

    /// Starts a new trial of `scope`.
    void startTrial(const EjectionScope& scope) { m_trials.insert_or_assign(scope, Trial {}); }
    TrialVerdict trialVerdict(const EjectionScope& scope) const;
    /// Resets the scores and decaying counts of an instance that is ejected or returns to service.
    void resetScores(const InstanceId& instance);
    /// Removes the state of an instance.
    void forget(const InstanceId& instance);

private:
    /// Exponentially decaying counts; `judged` as in OutcomeCounts. With a `sign` of -1, merge()
    /// subtracts.
    struct DecayingCounts {
        double errors = 0.0;
        double judged = 0.0;
        LatencyHistogram latency;

        void merge(const DecayingCounts& other, double sign = 1.0);
        void scale(double factor);
    };
    /// Counts decaying over minutes and over seconds, and those of the latest evaluate() alone.
    struct Windows {
        DecayingCounts longTerm;
        DecayingCounts shortTerm;
        DecayingCounts batch;

        void merge(const Windows& other, double sign = 1.0);
    };
    struct Tests {
        Tests();
        double score() const { return std::max(errors.score(), slowness.score()); }
        CusumTest errors;
        CusumTest slowness;
    };
    /// What one host observed; anomalies are errors and slow answers.
    struct HostCounts {
        double anomalies = 0.0;
        double observations = 0.0;
    };
    /// Evidence of one data centre's hosts about one instance.
    struct ScopeState {
        OutcomeCounts pending;
        Tests tests;
        /// Decays like Windows::longTerm.
        double judged = 0.0;
        /// OutcomeCounts::failed and pathErrors(), decaying like Windows::shortTerm.
        double answeredErrors = 0.0;
        double pathErrors = 0.0;
        /// Counts of each host since the scores were last 0.
        std::map<HostId, HostCounts> byHost;
    };
    struct InstanceState {
        TimePoint firstSeen {};
        Windows windows;
        Tests tests;
        std::map<DataCentreId, ScopeState> scopes;
        /// Latency bucket from which an answer counts as slow.
        std::size_t slowBucket = LatencyHistogram::bucketCount;
    };
    struct Trial {
        Trial();
        LikelihoodRatioTest errors;
        LikelihoodRatioTest slowness;
    };
    /// Reference rates for one instance, derived from its peers.
    struct Reference {
        double errorRate = 0.0;
        double slowRate = 0.0;
        std::size_t slowBucket = LatencyHistogram::bucketCount;
        bool errorsKnown = false;
        bool slownessKnown = false;
    };

    void decay(TimePoint now);
    Windows mergedWindows(const std::set<EjectionScope>& held);
    static Reference referenceFor(const Windows& peers);
    void evaluateInstance(const InstanceId& id, InstanceState& state, const Reference& reference,
        const std::set<EjectionScope>& held, TimePoint now);
    void addTo(Tests& tests, const DecayingCounts& counts, const Reference& reference) const;
    std::optional<Suspicion> suspicionOf(
        const InstanceId& id, const InstanceState& state, const Reference& reference) const;
    /// True if one host saw most of the anomalies in a smaller share of the observations, so that
    /// the host itself is the likely cause.
    static bool isSingleHostAnomaly(
        const InstanceState& state, const std::optional<DataCentreId>& dataCentre);
    std::optional<DataCentreId> faultyPathOf(const InstanceState& state) const;

    DetectionThresholds m_thresholds;
    TimePoint m_lastDecay {};
    std::map<InstanceId, InstanceState> m_instances;
    std::map<EjectionScope, Trial> m_trials;
    std::vector<Suspicion> m_suspicions;
};

} // namespace laburnum
