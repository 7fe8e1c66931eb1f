// Case "gray_answers": answered share and p99 while one of 12 instances is sick, with and without
// ejection. 48 hosts, 300 requests/s, half of them lookups, which a retry within the budget may
// repeat, half orders, which a failure ends. Counted are the 60 s from the fault's start, so that
// the time until detection weighs in.

#include <algorithm>
#include <cmath>
#include <queue>

#include "fakes/ejection_fleet.h"

#include "bench.h"

namespace laburnum::bench {

namespace {

    using fakes::EjectionFleet;

    constexpr unsigned hostCount = 48;
    constexpr unsigned instanceCount = 12;
    constexpr unsigned slotCount = 6;
    constexpr std::uint32_t floorSlots = 48;
    constexpr double requestsPerSecond = 300.0;
    constexpr unsigned maxAttempts = 2;
    constexpr double medianLatencySeconds = 0.03;
    constexpr double latencySigma = 0.8;
    constexpr double errorSeconds = 0.005;
    constexpr auto warmUp = std::chrono::seconds(30);
    constexpr auto measured = std::chrono::seconds(60);
    /// Time for the last measured requests to end.
    constexpr auto drain = std::chrono::seconds(5);
    constexpr double flapSeconds = 7.0;

    struct Fault {
        std::string name;
        double errorRate = 0.0;
        double slowdown = 1.0;
        bool flaps = false;
    };

    struct Policy {
        std::string name;
        std::string balancer;
        bool ejects = false;
        DetectionWeighting weighting = DetectionWeighting::QuickDetection;
    };

    Duration seconds(double value)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
    }

    class Simulation {
    public:
        Simulation(const Fault& fault, const Policy& policy, std::uint64_t seed)
            : m_fault(fault)
            , m_fleet({ .hosts = hostCount,
                  .instances = instanceCount,
                  .slots = slotCount,
                  .floorSlots = floorSlots,
                  .weighting = policy.weighting,
                  .seed = seed,
                  .balancer = policy.balancer })
        {
            if (policy.ejects)
                return;
            for (const auto& host : m_fleet.hosts)
                m_fleet.network.detach(host->location.host);
        }

        void run()
        {
            m_faultStart = m_fleet.network.now() + warmUp;
            m_fleet.network.run(warmUp + measured + drain, [this] { step(); });
        }

        /// Answered share of orders or of lookups.
        double answeredPercent(bool orders) const
        {
            const Count& count = m_counts.at(orders ? 1 : 0);
            return 100.0 * static_cast<double>(count.answered)
                / static_cast<double>(count.requests);
        }

        /// Bytes per second and host of evidence and permits.
        double controlBytes() const
        {
            const double time = std::chrono::duration<double>(warmUp + measured + drain).count();
            return static_cast<double>(m_fleet.network.bytesSent()) / time / hostCount;
        }

        double p99Millis()
        {
            const auto rank = static_cast<std::ptrdiff_t>(m_latencies.size() * 99 / 100);
            std::nth_element(m_latencies.begin(), m_latencies.begin() + rank, m_latencies.end());
            return m_latencies[static_cast<std::size_t>(rank)] * 1000.0;
        }

    private:
        struct Request {
            TimePoint arrival;
            std::size_t host = 0;
            bool isOrder = false;
            std::set<InstanceId> tried;
        };
        struct Count {
            std::uint64_t requests = 0;
            std::uint64_t answered = 0;
        };
        struct Running {
            TimePoint end;
            TimePoint start;
            Assignment assignment;
            AttemptResult result = AttemptResult::Succeeded;
            Request request;
            friend bool operator<(const Running& a, const Running& b) { return a.end > b.end; }
        };

        void step()
        {
            const TimePoint now = m_fleet.network.now();
            while (!m_running.empty() && m_running.top().end <= now) {
                const Running ended = m_running.top();
                m_running.pop();
                end(ended, now);
            }
            const unsigned arrivals
                = std::poisson_distribution<unsigned>(requestsPerSecond / 1000.0)(m_fleet.random);
            for (unsigned i = 0; i < arrivals; ++i) {
                const bool isOrder = uniformBelow(m_fleet.random, 2) == 0;
                if (isMeasured(now))
                    ++m_counts.at(isOrder ? 1 : 0).requests;
                start({ now, uniformBelow(m_fleet.random, hostCount), isOrder, {} }, now);
            }
        }

        bool isMeasured(TimePoint arrival) const
        {
            return arrival >= m_faultStart && arrival < m_faultStart + measured;
        }

        void start(Request request, TimePoint now)
        {
            auto& dispatcher = m_fleet.hosts[request.host]->dispatcher;
            const auto assigned = dispatcher.begin(
                { request.isOrder ? "POST" : "GET", "", "/" }, request.tried, now);
            if (!assigned)
                return;
            unsigned& used = m_used[assigned->instance];
            request.tried.insert(assigned->instance);
            Running running { now, now, *assigned, AttemptResult::Shed, std::move(request) };
            if (used < slotCount) {
                ++used;
                serve(running, now);
            }
            m_running.push(std::move(running));
        }

        void serve(Running& running, TimePoint now)
        {
            const bool faulty
                = running.assignment.instance == EjectionFleet::instance(0) && isFaultOn(now);
            double latency = medianLatencySeconds
                * std::lognormal_distribution<double>(0.0, latencySigma)(m_fleet.random);
            running.result = AttemptResult::Succeeded;
            if (faulty) {
                latency *= m_fault.slowdown;
                if (uniformReal(m_fleet.random) < m_fault.errorRate) {
                    running.result = AttemptResult::Failed;
                    latency = errorSeconds;
                }
            }
            running.end = now + seconds(latency);
        }

        bool isFaultOn(TimePoint now) const
        {
            const double since = std::chrono::duration<double>(now - m_faultStart).count();
            return since >= 0.0
                && (!m_fault.flaps || std::fmod(since, 2 * flapSeconds) < flapSeconds);
        }

        void end(const Running& ended, TimePoint now)
        {
            auto& dispatcher = m_fleet.hosts[ended.request.host]->dispatcher;
            if (ended.result != AttemptResult::Shed)
                --m_used[ended.assignment.instance];
            const unsigned status = ended.result == AttemptResult::Succeeded ? 200 : 500;
            dispatcher.finish(
                ended.assignment.attempt, { ended.result, status, now - ended.start, 0 }, now);
            if (ended.result == AttemptResult::Succeeded) {
                if (isMeasured(ended.request.arrival)) {
                    ++m_counts.at(ended.request.isOrder ? 1 : 0).answered;
                    m_latencies.push_back(
                        std::chrono::duration<double>(now - ended.request.arrival).count());
                }
                return;
            }
            const bool mayRetry = !ended.request.isOrder || ended.result == AttemptResult::Shed;
            if (mayRetry && ended.request.tried.size() < maxAttempts
                && dispatcher.takeRetry(ended.assignment.service, now))
                start(ended.request, now);
        }

        Fault m_fault;
        EjectionFleet m_fleet;
        TimePoint m_faultStart {};
        std::map<InstanceId, unsigned> m_used;
        std::priority_queue<Running> m_running;
        std::vector<double> m_latencies;
        std::array<Count, 2> m_counts {};
    };

    class GrayAnswersCase final : public Case {
    public:
        void run(const Reporter& reporter, std::uint64_t seed) override
        {
            const std::vector<Fault> faults { { "none" }, { "errors-100%", 1.0 },
                { "errors-20%", 0.2 }, { "slow-10x", 0.0, 10.0 },
                { "flapping-7s", 1.0, 1.0, true } };
            const std::vector<Policy> policies {
                { "round-robin-without-ejection", "round-robin" },
                { "round-robin/quick-detection", "round-robin", true },
                { "round-robin/few-false-ejections", "round-robin", true,
                    DetectionWeighting::FewFalseEjections },
                { "least-in-flight/quick-detection", "least-in-flight", true },
                { "least-in-flight/few-false-ejections", "least-in-flight", true,
                    DetectionWeighting::FewFalseEjections },
            };
            for (const auto& fault : faults) {
                for (const auto& policy : policies) {
                    Simulation simulation(fault, policy, seed);
                    simulation.run();
                    const std::string baseline
                        = policy.ejects ? fault.name + "/" + policies.front().name : "";
                    const std::string name = fault.name + "/" + policy.name;
                    for (const bool orders : { false, true }) {
                        const std::string kind = orders ? "answered-orders/" : "answered-lookups/";
                        reporter.report({ kind + name, simulation.answeredPercent(orders), "%",
                            baseline.empty() ? "" : kind + baseline });
                    }
                    if (policy.ejects)
                        reporter.report(
                            { "control-bytes/" + name, simulation.controlBytes(), "B/s/host", "" });
                    reporter.report({ "p99/" + name, simulation.p99Millis(), "ms",
                        baseline.empty() ? "" : "p99/" + baseline });
                }
            }
        }
    };

    const Registration<CaseRegistry> registration(
        "gray_answers", [] { return std::make_unique<GrayAnswersCase>(); });

} // namespace

} // namespace laburnum::bench
