// Case "fleet_load": what one freeze of the leader costs a fleet under load, in virtual time with
// the costs of work that the users' bench showed, and how it grows with the entry hosts.

#include <chrono>

#include "bench.h"
#include "fakes/controller_load.h"

namespace laburnum::bench {

namespace {

    using namespace std::chrono_literals;

    /// As long as the users' bench freezes a host.
    constexpr auto freezeTime = 7s;
    constexpr auto watchTime = 12s;

    double millis(Duration d) { return std::chrono::duration<double, std::milli>(d).count(); }

    class FleetLoadCase final : public Case {
    public:
        void run(const Reporter& reporter, std::uint64_t seed) override
        {
            for (const unsigned entries : { 30U, 130U, 300U, 1000U })
                freezeAt(entries, reporter, seed);
        }

    private:
        static void freezeAt(unsigned entries, const Reporter& reporter, std::uint64_t seed)
        {
            const std::string hosts = std::to_string(entries) + " hosts/";
            const auto report = [&](const char* name, double value, const char* unit) {
                reporter.report({ hosts + name, value, unit, "" });
            };
            fakes::ControllerLoad load(entries, seed);
            const bool started = load.start();
            report("calm-kept", started ? 1.0 : 0.0, "");
            report("calm-leader-busy", load.calm().leaderBusy, "of its time");
            report("calm-longest-wait", millis(load.calm().longestWait), "ms");
            report("calm-elections", static_cast<double>(load.calm().elections), "");
            report("calm-bytes", load.calm().bytesPerHostSecond, "B/s a host");
            if (!started)
                return;
            const auto outcome = load.freezeLeader(freezeTime, watchTime);
            report("until-leader", outcome.untilLeader ? millis(*outcome.untilLeader) : -1.0, "ms");
            report("without-leader", millis(outcome.withoutLeader), "ms of 12 s");
            report("longest-gap-after", millis(outcome.longestGap), "ms");
            report("elections", static_cast<double>(outcome.elections), "");
            report("alone", outcome.aloneShare, "of answers after 3 s");
            report("busiest-host", outcome.busyShare, "of its time");
            report("longest-turn", millis(outcome.longestTurn), "ms");
            report("longest-wait", millis(outcome.longestWait), "ms");
            report("bytes", outcome.bytesPerHostSecond, "B/s a host");
        }
    };

    const Registration<CaseRegistry> registration(
        "fleet_load", [] { return std::make_unique<FleetLoadCase>(); });

} // namespace

} // namespace laburnum::bench
