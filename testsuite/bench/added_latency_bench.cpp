// Case "added_latency": latency of lookups sent directly to an upstream and through an entry
// server, at a fixed open-loop rate and at saturation (closed loop), and the entry server's
// processor time.

#include <algorithm>
#include <atomic>
#include <iostream>

#include <laburnumroute/random.h>

#include "bench.h"
#include "loopback_pair.h"

namespace laburnum::bench {

namespace {

    using Steady = std::chrono::steady_clock;

    constexpr double openRate = 230.0; // requests per second
    constexpr unsigned openConnections = 16;
    constexpr auto openTime = std::chrono::seconds(12);
    constexpr unsigned closedConnections = 8;
    constexpr auto closedTime = std::chrono::seconds(4);
    constexpr unsigned workers = 2;

    /// Latencies in milliseconds.
    using Latencies = std::vector<double>;

    double millisSince(Steady::time_point start)
    {
        return std::chrono::duration<double, std::milli>(Steady::now() - start).count();
    }

    double quantile(const Latencies& sorted, double share)
    {
        if (sorted.empty())
            return 0.0;
        const auto index = static_cast<std::size_t>(share * static_cast<double>(sorted.size()));
        return sorted[std::min(index, sorted.size() - 1)];
    }

    struct Load {
        Latencies latencies;
        unsigned failed = 0;
        double seconds = 0.0;
    };

    /// Runs `work(index, latencies, failed)` in `count` threads and merges the results.
    template <class Work> Load runThreads(unsigned count, Work work)
    {
        std::vector<Latencies> latencies(count);
        std::vector<unsigned> failed(count);
        std::vector<std::thread> threads;
        const auto start = Steady::now();
        for (unsigned i = 0; i < count; ++i)
            threads.emplace_back([&, i] { work(i, latencies[i], failed[i]); });
        for (auto& thread : threads)
            thread.join();
        Load load;
        load.seconds = millisSince(start) / 1000.0;
        for (unsigned i = 0; i < count; ++i) {
            load.latencies.insert(load.latencies.end(), latencies[i].begin(), latencies[i].end());
            load.failed += failed[i];
        }
        std::sort(load.latencies.begin(), load.latencies.end());
        return load;
    }

    /// Poisson arrivals at `openRate` over all connections; latency is measured from the arrival.
    Load openLoop(const Endpoint& endpoint, std::uint64_t seed)
    {
        return runThreads(
            openConnections, [&](unsigned index, Latencies& latencies, unsigned& failed) {
                LoopbackCaller caller(endpoint);
                Random random(seed * openConnections + index);
                std::exponential_distribution<double> gap(openRate / openConnections);
                auto arrival = Steady::now();
                const auto end = arrival + openTime;
                while (true) {
                    arrival += std::chrono::duration_cast<Steady::duration>(
                        std::chrono::duration<double>(gap(random)));
                    if (arrival >= end)
                        return;
                    std::this_thread::sleep_until(arrival);
                    failed += caller.lookUp() ? 0 : 1;
                    latencies.push_back(millisSince(arrival));
                }
            });
    }

    /// Each connection sends its next request as soon as it receives an answer.
    Load closedLoop(const Endpoint& endpoint)
    {
        return runThreads(closedConnections, [&](unsigned, Latencies& latencies, unsigned& failed) {
            LoopbackCaller caller(endpoint);
            const auto end = Steady::now() + closedTime;
            while (Steady::now() < end) {
                const auto start = Steady::now();
                failed += caller.lookUp() ? 0 : 1;
                latencies.push_back(millisSince(start));
            }
        });
    }

    void reportPair(
        const Reporter& reporter, const std::string& name, const Load& direct, const Load& through)
    {
        for (const auto& [label, share] :
            { std::pair("p50", 0.5), std::pair("p99", 0.99), std::pair("p99.9", 0.999) }) {
            const double before = quantile(direct.latencies, share);
            const double after = quantile(through.latencies, share);
            reporter.report({ name + "/direct-" + label, before, "ms", "" });
            reporter.report({ name + "/through-" + label, after, "ms", "direct" });
            reporter.report({ name + "/added-" + label, after - before, "ms", "direct" });
        }
        reporter.report(
            { name + "/failed", double(direct.failed + through.failed), "requests", "" });
    }

    double perSecond(const Load& load)
    {
        return static_cast<double>(load.latencies.size()) / load.seconds;
    }

    class AddedLatencyCase final : public Case {
    public:
        void run(const Reporter& reporter, std::uint64_t seed) override
        {
            const MinimalUpstream upstream;
            LoopbackEntry entry(upstream.endpoint(), seed, workers);
            const Load openDirect = openLoop(upstream.endpoint(), seed);
            Duration cpuTime = entry.processorTime();
            const Load openThrough = openLoop(entry.endpoint(), seed);
            reportPair(reporter, "230-per-s", openDirect, openThrough);
            reportCpu(reporter, "230-per-s", entry.processorTime() - cpuTime, openThrough);
            const Load closedDirect = closedLoop(upstream.endpoint());
            cpuTime = entry.processorTime();
            const Load closedThrough = closedLoop(entry.endpoint());
            reportPair(reporter, "knee", closedDirect, closedThrough);
            reportCpu(reporter, "knee", entry.processorTime() - cpuTime, closedThrough);
            reporter.report({ "knee/direct-rate", perSecond(closedDirect), "1/s", "" });
            reporter.report({ "knee/through-rate", perSecond(closedThrough), "1/s", "direct" });
        }

    private:
        static void reportCpu(
            const Reporter& reporter, const std::string& name, Duration cpuTime, const Load& load)
        {
            const double micros = std::chrono::duration<double, std::micro>(cpuTime).count();
            reporter.report({ name + "/cpu-per-request",
                micros / static_cast<double>(std::max<std::size_t>(1, load.latencies.size())), "us",
                "" });
        }
    };

    const Registration<CaseRegistry> registration(
        "added_latency", [] { return std::make_unique<AddedLatencyCase>(); });

} // namespace

} // namespace laburnum::bench
