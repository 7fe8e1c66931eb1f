// Case "placement_load": waiting time, and slots that are idle while requests wait, on one
// scheduler at several sizes of a site, in calm and on a bad day. Runs in virtual time.

#include <algorithm>
#include <chrono>

#include "bench.h"
#include "fakes/placement_load.h"

namespace laburnum::bench {

namespace {

    using namespace std::chrono_literals;

    constexpr auto watchTime = 30s;
    class PlacementLoadCase final : public Case {
    public:
        void run(const Reporter& reporter, std::uint64_t seed) override
        {
            for (const unsigned hosts : { 45U, 126U, 443U, 1000U }) {
                const std::string site = std::to_string(hosts) + " hosts, ";
                measure(fakes::siteOfHosts(hosts), site + "calm/", reporter, seed);
                measure(fakes::badDayOfHosts(hosts), site + "bad day/", reporter, seed);
            }
        }

    private:
        static void measure(const fakes::PlacementLoadOptions& options, const std::string& prefix,
            const Reporter& reporter, std::uint64_t seed)
        {
            const auto report = [&](const char* name, double value, const char* unit) {
                reporter.report({ prefix + name, value, unit, "" });
            };
            fakes::PlacementLoad load(options, seed);
            const auto begin = std::chrono::steady_clock::now();
            const auto seconds = load.run(watchTime);
            const std::chrono::duration<double> passed = std::chrono::steady_clock::now() - begin;
            std::vector<Duration> waits;
            double arrived = 0.0;
            double inTime = 0.0;
            double mostWaiting = 0.0;
            double idle = 0.0;
            for (const auto& each : seconds) {
                waits.insert(waits.end(), each.firstGrant.begin(), each.firstGrant.end());
                arrived += each.arrived;
                inTime += each.inTime;
                if (each.waiting > mostWaiting) {
                    mostWaiting = each.waiting;
                    idle = each.idleWhileWaiting;
                }
            }
            std::sort(waits.begin(), waits.end());
            const auto quantile = [&](double share) {
                const auto at = static_cast<std::size_t>(share * static_cast<double>(waits.size()));
                return std::chrono::duration<double, std::milli>(waits[at]).count();
            };
            report("wait-p50", quantile(0.5), "ms");
            report("wait-p99", quantile(0.99), "ms");
            report("in-time", inTime / arrived, "of requests");
            report("most-waiting", mostWaiting, "requests, mean of a second");
            report("idle-slots-then", idle, "of slots");
            report("evaluations", load.evaluationsPerRequest(), "a request");
            report("time", passed.count() / arrived * 1e6, "us a request, with the load itself");
        }
    };

    const Registration<CaseRegistry> registration(
        "placement_load", [] { return std::make_unique<PlacementLoadCase>(); });

} // namespace

} // namespace laburnum::bench
