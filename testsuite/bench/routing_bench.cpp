// Case "routing": time of one Dispatcher decision against the number of instances.

#include <chrono>

#include <laburnumroute/dispatcher.h>

#include "bench.h"

namespace laburnum::bench {

namespace {

    constexpr int rounds = 20000;

    /// Average time of begin() and finish(), in microseconds.
    double decisionMicros(unsigned instances, std::uint64_t seed)
    {
        NullDecisionLog log;
        const SteadyClock clock;
        Dispatcher dispatcher({ HostId("e1") }, seed, log);
        Configuration configuration;
        configuration.services.push_back({ ServiceId("s") });
        configuration.routes.push_back({ "", "/", {}, ServiceId("s") });
        dispatcher.setConfiguration(configuration);
        for (unsigned i = 0; i < instances; ++i) {
            InstanceRecord record;
            record.id = InstanceId("i" + std::to_string(i));
            record.service = ServiceId("s");
            record.slots = 6;
            dispatcher.upsertInstance(record, clock.now());
        }
        const TimePoint start = clock.now();
        for (int i = 0; i < rounds; ++i) {
            const auto assigned = dispatcher.begin({ "GET", "h", "/" }, {}, clock.now());
            if (assigned)
                dispatcher.finish(assigned->attempt, { AttemptResult::Succeeded }, clock.now());
        }
        return std::chrono::duration<double, std::micro>(clock.now() - start).count() / rounds;
    }

    class RoutingCase final : public Case {
    public:
        void run(const Reporter& reporter, std::uint64_t seed) override
        {
            for (const unsigned instances : { 12U, 100U, 1000U })
                reporter.report({ "decision-time/" + std::to_string(instances) + "-instances",
                    decisionMicros(instances, seed), "us", "" });
        }
    };

    const Registration<CaseRegistry> registration(
        "routing", [] { return std::make_unique<RoutingCase>(); });

} // namespace

} // namespace laburnum::bench
