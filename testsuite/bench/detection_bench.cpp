// Cases "detection" (time until an instance is suspected) and "false_ejections" (false suspicions
// per service-day without any fault), for both weightings and thresholds between them. 48 hosts in
// 6 data centres, 12 instances, evidence twice a second.

#include <algorithm>
#include <cmath>

#include <laburnumroute/outlier_detector.h>
#include <laburnumroute/random.h>

#include "bench.h"

namespace laburnum::bench {

namespace {

    constexpr unsigned hostCount = 48;
    constexpr unsigned dataCentreCount = 6;
    constexpr unsigned instanceCount = 12;
    constexpr double stepSeconds = 0.5;
    constexpr double ordinaryRate = 300.0;
    constexpr double thinRate = 3.0;
    constexpr double medianLatencySeconds = 0.03;
    constexpr double latencySigma = 0.8;
    constexpr double healthyErrorRate = 0.001;
    /// Now and then an instance pauses, as for garbage collection.
    constexpr double pausesPerSecond = 1.0 / 300.0;
    constexpr double shortPauseSeconds = 0.3;
    constexpr double longPauseSeconds = 2.0;

    constexpr double warmUpSeconds = 120.0;
    constexpr double faultSeconds = 120.0;
    constexpr double thinFaultSeconds = 600.0;
    constexpr unsigned faultRuns = 10;
    constexpr double quietHours = 24.0;
    constexpr double secondsPerDay = 86400.0;

    /// What befalls instance 0 (or all) once the warm-up is over.
    struct Fault {
        std::string name;
        double errorRate = 0.0;
        double slowdown = 1.0;
        /// Half of a flapping period; 0 for a steady fault.
        double flapSeconds = 0.0;
        /// Data centres whose paths to instance 0 are cut, in place of a fault of its own.
        unsigned cutDataCentres = 0;
        bool allInstances = false;
        /// Instance 0 joins at the fault's start and is well but slow for 5 s.
        bool coldStart = false;
        double rate = ordinaryRate;
        /// Longest pause; each lasts from a tenth of it to the whole.
        double maxPauseSeconds = shortPauseSeconds;
        /// Whether an instance should be found at all.
        bool shouldFind = true;
    };

    struct Outcome {
        /// Seconds from the fault to the first right suspicion; negative when there was none.
        double found = -1.0;
        unsigned falseSuspicions = 0;
        double seconds = 0.0;
    };

    TimePoint at(double seconds)
    {
        return TimePoint(std::chrono::hours(1))
            + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    }

    /// Made-up outcomes of one service, judged step by step.
    class Simulation {
    public:
        Simulation(const Fault& fault, double quickness, std::uint64_t seed)
            : m_fault(fault)
            , m_random(seed)
            , m_judge(thresholdsBetween(quickness))
            , m_phase(uniformReal(m_random) * stepSeconds)
        {
            for (auto& pause : m_pauseEnds)
                pause = 0.0;
        }

        Outcome run(double warmUp, double faultTime)
        {
            m_faultStart = warmUp + m_phase;
            Outcome outcome;
            outcome.seconds = warmUp + faultTime;
            for (double time = 0.0; time < outcome.seconds; time += stepSeconds) {
                step(time, outcome);
                if (outcome.found >= 0.0)
                    break;
            }
            return outcome;
        }

    private:
        /// One attempt's end as its host will report it.
        struct Ended {
            double time = 0.0;
            unsigned host = 0;
            unsigned instance = 0;
            bool failed = false;
            bool connected = true;
            double latency = 0.0;
        };

        void step(double time, Outcome& outcome)
        {
            startPauses(time);
            const unsigned requests
                = std::poisson_distribution<unsigned>(m_fault.rate * stepSeconds)(m_random);
            for (unsigned i = 0; i < requests; ++i)
                m_pending.push_back(attempt(time + uniformReal(m_random) * stepSeconds));
            report(time + stepSeconds);
            m_judge.evaluate({}, at(time + stepSeconds));
            for (const auto& suspicion : m_judge.suspicions())
                note(suspicion, time + stepSeconds, outcome);
        }

        void note(const Suspicion& suspicion, double time, Outcome& outcome)
        {
            const bool right = m_fault.shouldFind && time >= m_faultStart
                && suspicion.instance == InstanceId("0")
                && suspicion.scope.value().empty() == (m_fault.cutDataCentres == 0);
            if (right)
                outcome.found = time - m_faultStart;
            else
                ++outcome.falseSuspicions;
            m_judge.resetScores(suspicion.instance);
        }

        void startPauses(double time)
        {
            for (double& end : m_pauseEnds) {
                if (uniformReal(m_random) < pausesPerSecond * stepSeconds)
                    end = time + m_fault.maxPauseSeconds * (0.1 + 0.9 * uniformReal(m_random));
            }
        }

        Ended attempt(double time)
        {
            Ended ended;
            ended.host = static_cast<unsigned>(uniformBelow(m_random, hostCount));
            const bool cold = m_fault.coldStart && time < m_faultStart;
            ended.instance = cold
                ? 1 + static_cast<unsigned>(uniformBelow(m_random, instanceCount - 1))
                : static_cast<unsigned>(uniformBelow(m_random, instanceCount));
            ended.latency = medianLatencySeconds
                * std::lognormal_distribution<double>(0.0, latencySigma)(m_random);
            if (m_pauseEnds.at(ended.instance) > time)
                ended.latency += m_pauseEnds.at(ended.instance) - time;
            ended.failed = uniformReal(m_random) < healthyErrorRate;
            if (isFaulty(ended, time))
                applyFault(ended, time);
            ended.time = time + ended.latency;
            return ended;
        }

        bool isFaulty(const Ended& ended, double time) const
        {
            if (time < m_faultStart || (ended.instance != 0 && !m_fault.allInstances))
                return false;
            if (m_fault.cutDataCentres > 0
                && ended.host % dataCentreCount >= m_fault.cutDataCentres)
                return false;
            if (m_fault.flapSeconds == 0.0)
                return true;
            return std::fmod(time - m_faultStart, 2 * m_fault.flapSeconds) < m_fault.flapSeconds;
        }

        void applyFault(Ended& ended, double time)
        {
            constexpr double coldSeconds = 5.0;
            if (m_fault.coldStart && time - m_faultStart > coldSeconds)
                return;
            ended.latency *= m_fault.slowdown;
            ended.failed = ended.failed || uniformReal(m_random) < m_fault.errorRate;
            ended.connected = !(ended.failed && m_fault.cutDataCentres > 0);
        }

        void report(double time)
        {
            std::map<unsigned, EvidenceDelta> deltas;
            std::erase_if(m_pending, [&](const Ended& ended) {
                if (ended.time > time)
                    return false;
                OutcomeCounts& counts
                    = deltas[ended.host].instances[InstanceId(std::to_string(ended.instance))];
                if (ended.failed) {
                    ++(ended.connected ? counts.failed : counts.notConnected);
                } else {
                    ++counts.succeeded;
                    counts.latency.add(std::chrono::duration_cast<Duration>(
                        std::chrono::duration<double>(ended.latency)));
                }
                return true;
            });
            for (auto& [host, delta] : deltas) {
                delta.observer = DataCentreId(std::to_string(host % dataCentreCount));
                m_judge.add(HostId(std::to_string(host)), delta, at(time));
            }
        }

        Fault m_fault;
        Random m_random;
        OutlierDetector m_judge;
        double m_phase;
        double m_faultStart = 0.0;
        std::array<double, instanceCount> m_pauseEnds {};
        std::vector<Ended> m_pending;
    };

    const std::vector<Fault>& faults()
    {
        static const std::vector<Fault> all {
            { .name = "errors-5%", .errorRate = 0.05 },
            { .name = "errors-20%", .errorRate = 0.2 },
            { .name = "errors-100%-probes-pass", .errorRate = 1.0 },
            { .name = "slow-3x", .slowdown = 3.0 },
            { .name = "slow-10x", .slowdown = 10.0 },
            { .name = "flapping-5s", .errorRate = 1.0, .flapSeconds = 5.0 },
            { .name = "one-path-cut", .errorRate = 1.0, .cutDataCentres = 1 },
            { .name = "two-paths-cut", .errorRate = 1.0, .cutDataCentres = 2 },
            { .name = "thin-traffic-errors-100%", .errorRate = 1.0, .rate = thinRate },
            { .name = "whole-service-slow-5x",
                .slowdown = 5.0,
                .allInstances = true,
                .shouldFind = false },
            { .name = "whole-service-errors-70%",
                .errorRate = 0.7,
                .allInstances = true,
                .shouldFind = false },
            { .name = "cold-start-5x-slow-5s",
                .slowdown = 5.0,
                .coldStart = true,
                .shouldFind = false },
        };
        return all;
    }

    /// Name of the point on the sweep between the two weightings.
    std::string prefixOf(double quickness)
    {
        if (quickness == 0.0)
            return "few-false-ejections/";
        if (quickness == 1.0)
            return "quick-detection/";
        return "between-" + std::to_string(std::lround(quickness * 100)) + "%/";
    }

    class DetectionCase final : public Case {
    public:
        void run(const Reporter& reporter, std::uint64_t seed) override
        {
            for (const double quickness : { 0.0, 0.25, 0.5, 0.75, 1.0 }) {
                for (const auto& fault : faults())
                    measureFault(reporter, fault, quickness, seed);
            }
        }

    private:
        static void measureFault(
            const Reporter& reporter, const Fault& fault, double quickness, std::uint64_t seed)
        {
            std::vector<double> times;
            unsigned missed = 0;
            double falseSuspicions = 0.0;
            for (unsigned i = 0; i < faultRuns; ++i) {
                Simulation simulation(fault, quickness, seed * faultRuns + i);
                const bool thin = fault.rate < ordinaryRate;
                const Outcome outcome
                    = simulation.run(warmUpSeconds, thin ? thinFaultSeconds : faultSeconds);
                falseSuspicions += outcome.falseSuspicions;
                if (outcome.found >= 0.0)
                    times.push_back(outcome.found);
                else
                    ++missed;
            }
            const std::string name = prefixOf(quickness) + fault.name;
            reporter.report({ name + "/false", falseSuspicions / faultRuns, "ejections/run", "" });
            if (!fault.shouldFind)
                return;
            reporter.report({ name + "/missed", static_cast<double>(missed), "runs-of-10", "" });
            if (times.empty())
                return;
            std::sort(times.begin(), times.end());
            reporter.report({ name + "/median", times[times.size() / 2], "s", "" });
            reporter.report({ name + "/worst", times.back(), "s", "" });
        }
    };

    class FalseEjectionsCase final : public Case {
    public:
        void run(const Reporter& reporter, std::uint64_t seed) override
        {
            for (const double quickness : { 1.0, 0.75, 0.5, 0.25, 0.0 }) {
                measureQuiet(reporter, { .name = "quiet", .shouldFind = false }, quickness, seed);
                measureQuiet(reporter,
                    { .name = "quiet-with-long-pauses",
                        .maxPauseSeconds = longPauseSeconds,
                        .shouldFind = false },
                    quickness, seed);
            }
        }

    private:
        static void measureQuiet(
            const Reporter& reporter, const Fault& fault, double quickness, std::uint64_t seed)
        {
            const double seconds = quietHours * 3600.0;
            Simulation simulation(fault, quickness, seed);
            const Outcome outcome = simulation.run(seconds, 0.0);
            reporter.report({ prefixOf(quickness) + fault.name + "/false",
                outcome.falseSuspicions * secondsPerDay / outcome.seconds, "ejections/service-day",
                "" });
        }
    };

    const Registration<CaseRegistry> detectionRegistration(
        "detection", [] { return std::make_unique<DetectionCase>(); });
    const Registration<CaseRegistry> falseEjectionsRegistration(
        "false_ejections", [] { return std::make_unique<FalseEjectionsCase>(); });

} // namespace

} // namespace laburnum::bench
