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
constexpr std::uint64_t maxNumber = std::numeric_limits<std::uint64_t>::max();
constexpr unsigned controls = 5;
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

/// Whether all control hosts read back, and the entry host holds, configuration `number` with
/// `content`.
bool isInForce(ControllerFleet& fleet, std::uint64_t number, const std::string& content)
{
    for (unsigned i = 1; i <= controls; ++i) {
        const std::size_t index = fleet.call(ControllerFleet::control(i), GetConfigCall {});
        fleet.runUntil(1s, [&] { return fleet.record(index).result.has_value(); });
        const auto& result = fleet.record(index).result;
        if (!result || !result->done || result->config.number != number
            || result->config.content != content)
            return false;
    }
    return fleet.client(entryHost).config().number == number
        && fleet.client(entryHost).config().content == content;
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

// Guards against a first configuration with the number 0 that is acknowledged and not in force, and
// against the same at the other end.
TEST_CASE("a configuration with the smallest or the largest number is in force as any other")
{
    const std::uint64_t number = GENERATE(std::uint64_t { 0 }, maxNumber);
    CAPTURE(number);
    ControllerFleet fleet({ .controls = controls, .entries = 1, .keyValidity = 5s });
    REQUIRE(fleet.runUntil(5s, [&] {
        return fleet.leader()
            && fleet.controller(*fleet.leader())->log().membership().voterCount() == controls;
    }));
    const std::size_t before = fleet.call(*fleet.leader(), GetConfigCall {});
    REQUIRE(fleet.runUntil(1s, [&] { return fleet.record(before).result.has_value(); }));
    REQUIRE(fleet.record(before).result->done);
    CHECK_FALSE(fleet.record(before).result->config.number);

    const auto isHeld = [&] { return isInForce(fleet, number, "first"); };
    REQUIRE(fleet.callAnywhere(PutConfigCall { { number, "first" } }));
    REQUIRE(fleet.runUntil(2500ms, isHeld));
    // Sent again, with the same and with other content.
    REQUIRE(fleet.callAnywhere(PutConfigCall { { number, "first" } }));
    REQUIRE(fleet.callAnywhere(PutConfigCall { { number, "other" } }));
    fleet.run(1s);
    REQUIRE(isHeld());
    CHECK(fleet.client(entryHost).keys().isTrusted(fleet.now()));

    // At the next leader, which meets an entry host that holds it, and one that holds none.
    const HostId old = *fleet.leader();
    fleet.kill(old);
    REQUIRE(fleet.runUntil(5s, [&] { return fleet.leader() && *fleet.leader() != old; }));
    fleet.startControl(old);
    REQUIRE(fleet.runUntil(5s, isHeld));
    fleet.kill(entryHost);
    fleet.run(100ms);
    fleet.startEntry(entryHost);
    REQUIRE(fleet.runUntil(5s, isHeld));
    // A host with an empty disk gets a snapshot; then all restart.
    fleet.wipe(old);
    fleet.startControl(old);
    fleet.run(5s);
    for (unsigned i = 1; i <= controls; ++i)
        fleet.kill(ControllerFleet::control(i));
    fleet.run(1s);
    for (unsigned i = 1; i <= controls; ++i)
        fleet.startControl(ControllerFleet::control(i));
    REQUIRE(fleet.runUntil(10s, isHeld));

    if (number == 0) {
        REQUIRE(fleet.callAnywhere(PutConfigCall { { 1, "first and more" } }));
        REQUIRE(fleet.runUntil(2500ms, [&] { return isInForce(fleet, 1, "first and more"); }));
        REQUIRE(fleet.callAnywhere(PutConfigCall { { 0, "first" } }));
        fleet.run(1s);
        REQUIRE(isInForce(fleet, 1, "first and more"));
    } else {
        REQUIRE(fleet.callAnywhere(PutConfigCall { { number - 1, "earlier" } }));
        fleet.run(1s);
        REQUIRE(isHeld());
    }
}

// Guards against a change from or to an end of the range that an entry host refuses.
TEST_CASE("an entry host follows from the smallest to the largest number")
{
    ControllerFleet fleet({ .controls = controls, .entries = 1 });
    REQUIRE(fleet.runUntil(5s, [&] { return fleet.leader().has_value(); }));
    for (const std::uint64_t number :
        { std::uint64_t { 0 }, std::uint64_t { 1 }, maxNumber - 1, maxNumber }) {
        CAPTURE(number);
        const std::string content = "content " + std::to_string(number);
        REQUIRE(fleet.callAnywhere(PutConfigCall { { number, content } }));
        REQUIRE(fleet.runUntil(2500ms, [&] { return isInForce(fleet, number, content); }));
    }
}
