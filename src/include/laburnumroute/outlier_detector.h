/// Judges each instance of a service against its peers, from the outcomes that all hosts saw.
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

/// How much evidence an ejection needs.
struct DetectionThresholds {
    /// Log-likelihood ratio in nats at which an instance is suspected.
    double score = 0.0;
    /// Time after an instance was first seen during which it is not judged.
    Duration grace {};
    /// Judgements, half a second apart, over which errors and slowness must spread to reach the
    /// score: a short pause of an instance is not sickness.
    double errorSteps = 1.0;
    double slownessSteps = 1.0;
};

/// The thresholds of `weighting`.
DetectionThresholds thresholdsFor(DetectionWeighting weighting);
/// Thresholds between few false ejections (0) and quick detection (1).
DetectionThresholds thresholdsBetween(double quickness);

/// What speaks against an instance.
enum class Symptom { Errors, Slowness };

/// Stable word for `symptom`.
const char* symptomName(Symptom symptom) noexcept;

/// An instance that is worse than its peers.
struct Suspicion {
    InstanceId instance;
    /// The one data centre whose hosts see the trouble; empty when it is the instance itself.
    DataCentreId scope;
    Symptom symptom = Symptom::Errors;
    /// Log-likelihood ratio in nats.
    double score = 0.0;
    /// The instance's own recent rate of errors or of slow answers, and its peers'.
    double rate = 0.0;
    double peerRate = 0.0;
};

/// The state of an instance that gets trial requests.
enum class TrialVerdict { Pending, Healthy, Sick };

/// An instance and the data centre that keeps traffic from it (empty for all).
using EjectionScope = std::pair<InstanceId, DataCentreId>;

/// One service's evidence, merged over hosts. No I/O; not thread-safe.
class OutlierDetector {
public:
    explicit OutlierDetector(DetectionThresholds thresholds)
        : m_thresholds(thresholds)
    {
    }

    void setThresholds(DetectionThresholds thresholds) { m_thresholds = thresholds; }
    /// Notes an instance that is known since `since`, from which its grace runs; otherwise it runs
    /// from the first evidence.
    void noteInstance(const InstanceId& instance, TimePoint since);
    /// Adds what `host` saw.
    void add(const HostId& host, const EvidenceDelta& delta, TimePoint now);
    /// Judges the evidence added since the previous call. Evidence from scopes in `held` counts
    /// for their trials only. To be called every half second or so.
    void evaluate(const std::set<EjectionScope>& held, TimePoint now);
    /// Instances that the latest evaluate() found worse than their peers. Empty when so many are
    /// that the service as a whole is in trouble.
    const std::vector<Suspicion>& suspicions() const { return m_suspicions; }

    /// Starts a new trial of `scope`.
    void startTrial(const EjectionScope& scope) { m_trials.insert_or_assign(scope, Trial {}); }
    TrialVerdict trialVerdict(const EjectionScope& scope) const;
    /// Forgets the scores of an instance that returns, and an instance that left.
    void resetScores(const InstanceId& instance);
    void forget(const InstanceId& instance);

private:
    /// Counts that fade.
    struct FadingCounts {
        double errors = 0.0;
        double judged = 0.0;
        LatencyHistogram latency;

        void merge(const FadingCounts& other, double sign = 1.0);
        void scale(double factor);
    };
    /// The same counts faded over minutes, over seconds, and not at all.
    struct Windows {
        FadingCounts slow;
        FadingCounts fast;
        FadingCounts batch;

        void merge(const Windows& other, double sign = 1.0);
    };
    struct Tests {
        Tests();
        double score() const { return std::max(errors.score(), slowness.score()); }
        CusumTest errors;
        CusumTest slowness;
    };
    struct HostTally {
        double troubles = 0.0;
        double observations = 0.0;
    };
    /// What the hosts of one data centre saw of one instance.
    struct ScopeState {
        OutcomeCounts pending;
        Tests tests;
        /// Faded like Windows::slow.
        double judged = 0.0;
        double answeredErrors = 0.0;
        double pathErrors = 0.0;
        /// What each host saw since the scores were last 0.
        std::map<HostId, HostTally> tallies;
    };
    struct InstanceState {
        TimePoint firstSeen {};
        Windows windows;
        Tests tests;
        std::map<DataCentreId, ScopeState> scopes;
        std::size_t slowBucket = LatencyHistogram::bucketCount;
    };
    struct Trial {
        Trial();
        LikelihoodRatioTest errors;
        LikelihoodRatioTest slowness;
    };
    /// Reference rates for one instance, from its peers.
    struct Reference {
        double errorRate = 0.0;
        double slowRate = 0.0;
        std::size_t slowBucket = LatencyHistogram::bucketCount;
        bool errorsKnown = false;
        bool slownessKnown = false;
    };

    void fade(TimePoint now);
    Windows mergedWindows(const std::set<EjectionScope>& held);
    static Reference referenceFor(const Windows& peers);
    void judge(const InstanceId& id, InstanceState& state, const Reference& reference,
        const std::set<EjectionScope>& held, TimePoint now);
    void addTo(Tests& tests, const FadingCounts& counts, const Reference& reference) const;
    std::optional<Suspicion> suspicionOf(
        const InstanceId& id, const InstanceState& state, const Reference& reference) const;
    static bool isOneHostsTrouble(
        const InstanceState& state, const std::optional<DataCentreId>& dataCentre);
    std::optional<DataCentreId> pathOf(const InstanceState& state) const;

    DetectionThresholds m_thresholds;
    TimePoint m_lastFade {};
    std::map<InstanceId, InstanceState> m_instances;
    std::map<EjectionScope, Trial> m_trials;
    std::vector<Suspicion> m_suspicions;
};

} // namespace laburnum
