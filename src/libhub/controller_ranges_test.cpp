// The numbers of an accepted configuration at both ends of their ranges, in the leader that uses
// them and in the leaders after it: a configuration that ends one leader would end every other.

#include <limits>

#include <catch2/catch.hpp>

#include "fakes/controller_fleet.h"

using namespace laburnum;
using namespace laburnum::fakes;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t maxUint32 = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint32_t maxRate = 1'000'000'000;
constexpr Duration year = std::chrono::hours(24 * 365);

const HostId entryHost = ControllerFleet::entry(1);

struct RouteNumbers {
    std::uint32_t priority = 0;
    Duration timeout = 4s;
    Duration objective = 2s;
    ClientAccountId account {};
};

std::vector<ClientAccountSpec> extremeAccounts(const std::string&)
{
    return { { ClientAccountId("slow"), {}, 0, 1, 0 },
        { ClientAccountId("deep"), {}, maxUint32, 1, maxRate },
        { ClientAccountId("fast"), {}, maxUint32 - 1, maxRate, 0 },
        { ClientAccountId("largest"), {}, maxUint32, maxRate, maxRate } };
}

/// One service with two slots.
struct RangeFleet {
    RangeFleet()
        : fleet({ .entries = 1, .accountsOf = extremeAccounts })
    {
        REQUIRE(fleet.runUntil(5s, [&] { return fleet.leader().has_value(); }));
        REQUIRE(fleet.callAnywhere(PutConfigCall { { 1, "extreme" } }));
        InstanceRecord record = instanceRecord("i", "s", 100);
        record.slots = 2;
        REQUIRE(fleet.callAnywhere(AnnounceCall { record, Duration::zero() }));
        fleet.run(2s);
    }

    DispatchId dispatch(const RouteNumbers& numbers)
    {
        PlacementRequest request;
        request.service = ServiceId("s");
        request.priority = numbers.priority;
        request.remaining = numbers.timeout;
        request.objective = numbers.objective;
        request.account = numbers.account;
        request.dataCentre = DataCentreId("d");
        request.region = RegionId("r");
        return fleet.dispatch(entryHost, request);
    }

    const PlacementResult* answerTo(DispatchId id)
    {
        const auto found = fleet.answers(entryHost).find(id);
        return found == fleet.answers(entryHost).end() ? nullptr : &found->second;
    }

    /// Ends what is placed until all of `ids` are answered; false if that takes too long.
    bool serveAll(const std::vector<DispatchId>& ids)
    {
        return fleet.runUntil(20s, [&] {
            bool isDone = true;
            for (const DispatchId id : ids) {
                const PlacementResult* answer = answerTo(id);
                isDone = isDone && answer != nullptr;
                if (answer != nullptr && answer->instance)
                    fleet.end(entryHost, id, { PlacementOutcome::Success, 50ms });
            }
            return isDone;
        });
    }

    ControllerFleet fleet;
};

} // namespace

// Guards against times of routes that are truncated on their way to the leader: the request would
// be refused although it has most of a year left.
TEST_CASE("a request with a time limit beyond the range of the wire waits for a slot")
{
    constexpr auto wireRange = std::chrono::milliseconds(std::int64_t { maxUint32 } + 1);
    for (const Duration timeout : { Duration(wireRange), year }) {
        RangeFleet ranges;
        const auto first = ranges.dispatch({});
        const auto second = ranges.dispatch({});
        ranges.fleet.run(500ms);
        const auto waiting = ranges.dispatch({ 0, timeout, timeout });
        ranges.fleet.run(200ms);
        CHECK(ranges.answerTo(waiting) == nullptr);
        CHECK(ranges.serveAll({ first, second, waiting }));
        REQUIRE(ranges.answerTo(waiting) != nullptr);
        CHECK(ranges.answerTo(waiting)->instance);
    }
}

// Guards against accepted numbers that end the leader, or keep it busy, and with it every leader
// after it (review/7).
TEST_CASE("leaders serve a configuration with the smallest and the largest numbers, one by one")
{
    RangeFleet ranges;
    const std::vector<std::uint32_t> priorities { 0, 1, maxUint32 - 1, maxUint32 };
    const std::vector<Duration> times { 1ms, 4s, year };
    for (int round = 0; round < 3; ++round) {
        CAPTURE(round);
        const auto leader = ranges.fleet.leader();
        REQUIRE(leader);
        std::vector<DispatchId> ids;
        for (const std::uint32_t priority : priorities) {
            for (const Duration time : times) {
                ids.push_back(ranges.dispatch({ priority, time, time }));
                for (const auto& account : extremeAccounts({}))
                    ids.push_back(ranges.dispatch({ priority, time, time, account.name }));
            }
        }
        ranges.fleet.run(100ms);
        const std::uint64_t before = ranges.fleet.controller(*leader)->scheduler().evaluations();
        CHECK(ranges.serveAll(ids));
        const std::uint64_t evaluations
            = ranges.fleet.controller(*leader)->scheduler().evaluations() - before;
        CHECK(evaluations < 1'000 * ids.size());
        ranges.fleet.kill(*leader);
        REQUIRE(ranges.fleet.runUntil(
            5s, [&] { return ranges.fleet.leader() && ranges.fleet.leader() != leader; }));
        ranges.fleet.startControl(*leader);
        ranges.fleet.run(3s);
        REQUIRE(ranges.fleet.controller(*ranges.fleet.leader())->state().config().number == 1);
    }
}
