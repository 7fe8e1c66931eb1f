// Case "over_admission": share of requests whose first attempt meets a full instance, per balancer.
// 48 hosts, 12 instances x 6 slots, Poisson arrivals, lognormal service of 50 ms on average.

#include <cmath>
#include <queue>

#include <laburnumroute/dispatcher.h>

#include "bench.h"

namespace laburnum::bench {

namespace {

    constexpr unsigned hostCount = 48;
    constexpr unsigned instanceCount = 12;
    constexpr unsigned slotCount = 6;
    constexpr unsigned maxAttempts = 3;
    constexpr unsigned seedCount = 3;
    constexpr unsigned requestCount = 20000;
    constexpr double meanServiceSeconds = 0.05;
    constexpr auto warmUp = std::chrono::seconds(30);

    struct Setting {
        std::string balancer;
        double load = 0.0;
        /// Time between two reports of an instance's load.
        Duration reportInterval {};
    };

    struct Shares {
        double metFull = 0.0;
        double notRun = 0.0;
    };

    Duration seconds(double value)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
    }

    /// Instances with exact slot counts behind dispatchers that balance alone.
    class Simulation {
    public:
        Simulation(const Setting& setting, std::uint64_t seed)
            : m_setting(setting)
            , m_random(seed)
        {
            Configuration configuration;
            ServiceSpec spec { ServiceId("s") };
            spec.balancer = setting.balancer;
            configuration.services.push_back(spec);
            configuration.routes.push_back({ "", "/", {}, spec.name });
            for (unsigned i = 0; i < hostCount; ++i) {
                m_hosts.push_back(std::make_unique<Dispatcher>(
                    HostLocation { HostId("h" + std::to_string(i)) }, seed * hostCount + i, m_log));
                m_hosts.back()->setConfiguration(configuration);
                m_hosts.back()->setHostCount(hostCount);
            }
            reportLoads();
            m_now += warmUp;
        }

        Shares run()
        {
            const double rate = m_setting.load * instanceCount * slotCount / meanServiceSeconds;
            for (unsigned i = 0; i < requestCount; ++i) {
                m_now += seconds(std::exponential_distribution<double>(rate)(m_random));
                endDue();
                if (m_now >= m_nextReport)
                    reportLoads();
                request();
            }
            return { m_metFull / requestCount, m_notRun / requestCount };
        }

    private:
        struct Running {
            TimePoint end;
            std::size_t host = 0;
            AttemptId attempt;
            unsigned instance = 0;
            friend bool operator<(const Running& a, const Running& b) { return a.end > b.end; }
        };

        void reportLoads()
        {
            m_nextReport = m_now + m_setting.reportInterval;
            for (unsigned i = 0; i < instanceCount; ++i) {
                InstanceRecord record;
                record.id = InstanceId(std::to_string(i));
                record.service = ServiceId("s");
                record.slots = slotCount;
                record.connections = 400;
                record.load = static_cast<double>(m_used.at(i)) / slotCount;
                for (auto& host : m_hosts)
                    host->upsertInstance(record, m_now);
            }
        }

        void endDue()
        {
            while (!m_running.empty() && m_running.top().end <= m_now) {
                const Running ended = m_running.top();
                m_running.pop();
                --m_used.at(ended.instance);
                m_hosts[ended.host]->finish(
                    ended.attempt, { AttemptResult::Succeeded, 200 }, ended.end);
            }
        }

        void request()
        {
            const std::size_t host = uniformBelow(m_random, hostCount);
            std::set<InstanceId> tried;
            while (tried.size() < maxAttempts) {
                const auto assigned = m_hosts[host]->begin({ "GET", "", "/" }, tried, m_now);
                if (!assigned)
                    break;
                const auto instance = static_cast<unsigned>(std::stoul(assigned->instance.value()));
                if (m_used.at(instance) < slotCount) {
                    ++m_used.at(instance);
                    const double service = std::lognormal_distribution<double>(-0.5, 1.0)(m_random);
                    m_running.push({ m_now + seconds(service * meanServiceSeconds), host,
                        assigned->attempt, instance });
                    return;
                }
                if (tried.empty())
                    m_metFull += 1.0;
                tried.insert(assigned->instance);
                m_hosts[host]->finish(assigned->attempt, { AttemptResult::Shed, 503 }, m_now);
            }
            m_notRun += 1.0;
        }

        Setting m_setting;
        Random m_random;
        NullDecisionLog m_log;
        TimePoint m_now { std::chrono::seconds(1) };
        TimePoint m_nextReport {};
        std::vector<std::unique_ptr<Dispatcher>> m_hosts;
        std::array<unsigned, instanceCount> m_used {};
        std::priority_queue<Running> m_running;
        double m_metFull = 0.0;
        double m_notRun = 0.0;
    };

    class OverAdmissionCase final : public Case {
    public:
        void run(const Reporter& reporter, std::uint64_t seed) override
        {
            for (const double load : { 0.5, 0.7, 0.8 }) {
                for (const auto& balancer : BalancerRegistry::instance().names()) {
                    for (const int reportMs : { 100, 1000 })
                        measure(reporter, seed,
                            { balancer, load, std::chrono::milliseconds(reportMs) });
                }
            }
        }

    private:
        static void measure(const Reporter& reporter, std::uint64_t seed, const Setting& setting)
        {
            Shares sum;
            for (unsigned i = 0; i < seedCount; ++i) {
                const Shares shares = Simulation(setting, seed + i).run();
                sum.metFull += shares.metFull / seedCount;
                sum.notRun += shares.notRun / seedCount;
            }
            const std::string load = std::to_string(std::lround(setting.load * 100));
            const std::string suffix = "/load-" + load + "%/reports-"
                + std::to_string(toMillis(setting.reportInterval)) + "ms/";
            const std::string baseline
                = setting.balancer == "round-robin" ? "" : suffix.substr(1) + "round-robin";
            reporter.report({ "met-full" + suffix + setting.balancer, sum.metFull * 100, "%",
                baseline.empty() ? "" : "met-full/" + baseline });
            reporter.report({ "not-run" + suffix + setting.balancer, sum.notRun * 100, "%",
                baseline.empty() ? "" : "not-run/" + baseline });
        }
    };

    const Registration<CaseRegistry> registration(
        "over_admission", [] { return std::make_unique<OverAdmissionCase>(); });

} // namespace

} // namespace laburnum::bench
