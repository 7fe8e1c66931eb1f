// Case "routing": time of one Dispatcher decision, depending on the number of instances.

#include <chrono>

#include <laburnumroute/dispatcher.h>

#include "bench.h"

namespace laburnum::bench {

namespace {

    constexpr int rounds = 20000;

    void addInstances(Dispatcher& dispatcher, const std::string& service, unsigned count)
    {
        for (unsigned i = 0; i < count; ++i) {
            InstanceRecord record;
            record.id = InstanceId(service + std::to_string(i));
            record.service = ServiceId(service);
            record.slots = 6;
            record.connections = 400;
            dispatcher.upsertInstance(record, TimePoint {});
        }
    }

    /// Average time of begin() and finish() in microseconds, with `others` instances of another
    /// service announced as well.
    double decisionMicros(unsigned instances, unsigned others, std::uint64_t seed)
    {
        NullDecisionLog log;
        const SteadyClock clock;
        Dispatcher dispatcher({ HostId("e1") }, seed, log);
        Configuration configuration;
        configuration.services.push_back({ ServiceId("s") });
        configuration.routes.push_back({ "", "/", {}, ServiceId("s") });
        dispatcher.setConfiguration(configuration);
        addInstances(dispatcher, "s", instances);
        addInstances(dispatcher, "other", others);
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
                    decisionMicros(instances, 0, seed), "us", "" });
            reporter.report({ "decision-time/12-instances+1000-of-other-services",
                decisionMicros(12, 1000, seed), "us", "decision-time/12-instances" });
        }
    };

    const Registration<CaseRegistry> registration(
        "routing", [] { return std::make_unique<RoutingCase>(); });

} // namespace

} // namespace laburnum::bench
