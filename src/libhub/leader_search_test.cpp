// Entry hosts that lose their leader find what is in force, whatever the host that was named the
// leader does: nothing depends on one process, or on one connection.

#include <algorithm>

#include <catch2/catch.hpp>

#include <laburnumroute/random.h>

#include "fakes/controller_fleet.h"

using namespace laburnum;
using namespace laburnum::fakes;
using namespace std::chrono_literals;

namespace {

constexpr unsigned controls = 5;
constexpr unsigned entries = 12;
constexpr std::uint64_t seeds = 50;
/// Time within which a configuration is in force after its acknowledgement.
constexpr auto applyTime = 2500ms;
/// Time within which an entry host joins a leader that is elected and reachable.
constexpr auto joinTime = 2500ms;

HostId c(unsigned i) { return ControllerFleet::control(i); }
HostId e(unsigned i) { return ControllerFleet::entry(i); }

PutConfigCall config(std::uint64_t number)
{
    return { { number, "content " + std::to_string(number) } };
}

/// A fleet whose hosts all hold configuration 1 and one instance.
struct SearchFleet {
    explicit SearchFleet(std::uint64_t seed)
        : fleet({ .controls = controls, .entries = entries, .seed = seed })
    {
        REQUIRE(fleet.runUntil(5s, [&] { return fleet.leader().has_value(); }));
        REQUIRE(fleet.callAnywhere(config(1)));
        REQUIRE(announce(InstancePhase::Serving, 1));
        fleet.run(2s);
        REQUIRE(hostsWithout(1) == 0);
    }

    bool announce(InstancePhase phase, std::uint64_t version)
    {
        InstanceRecord record = instanceRecord("i", "s", 100, 1, version);
        record.phase = phase;
        return fleet.callAnywhere(AnnounceCall { record, Duration::zero() });
    }

    /// Number of entry hosts that do not hold this configuration.
    unsigned hostsWithout(std::uint64_t number)
    {
        unsigned count = 0;
        for (unsigned i = 1; i <= entries; ++i)
            count += fleet.client(e(i)).config().number == number ? 0 : 1;
        return count;
    }

    unsigned hostsThatServe(const char* instance)
    {
        unsigned count = 0;
        for (unsigned i = 1; i <= entries; ++i) {
            const InstanceRecord* record
                = fleet.client(e(i)).localScheduler().find(InstanceId(instance));
            count += record != nullptr && record->phase == InstancePhase::Serving ? 1 : 0;
        }
        return count;
    }

    unsigned hostsWithoutLeader()
    {
        unsigned count = 0;
        for (unsigned i = 1; i <= entries; ++i)
            count += fleet.client(e(i)).hasLeader() ? 0 : 1;
        return count;
    }

    /// Replaces all control hosts but the leader, one after the other, by new ones. Returns the new
    /// ones.
    std::vector<HostId> replaceFollowers()
    {
        const HostId leader = *fleet.leader();
        std::vector<HostId> present { leader };
        for (unsigned i = 1; i <= controls; ++i) {
            if (c(i) == leader)
                continue;
            fleet.wipe(c(i));
            fleet.setSeeds(present);
            fleet.startControl(c(controls + i));
            present.push_back(c(controls + i));
            const auto isMember = [&] {
                const auto& members = fleet.controller(leader)->log().membership().members();
                return std::any_of(members.begin(), members.end(), [&](const Member& member) {
                    return member.host == c(controls + i) && member.voter;
                });
            };
            REQUIRE(fleet.runUntil(10s, isMember));
            fleet.run(2s);
        }
        REQUIRE(fleet.leader() == leader);
        return { present.begin() + 1, present.end() };
    }

    HostId followerOf(const HostId& leader)
    {
        for (unsigned i = 1; i <= controls; ++i) {
            if (c(i) != leader && fleet.controller(c(i)) != nullptr)
                return c(i);
        }
        return leader;
    }

    ControllerFleet fleet;
};

} // namespace

// Guards against entry hosts that ask only a leader that is gone (review/6).
TEST_CASE("entry hosts find the next leader when two control hosts are lost for good")
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        SearchFleet search(seed);
        ControllerFleet& fleet = search.fleet;
        const HostId leader = *fleet.leader();
        fleet.wipe(leader);
        fleet.run(200ms);
        fleet.wipe(search.followerOf(leader));
        fleet.run(2s);
        fleet.startControl(c(controls + 1));
        fleet.startControl(c(controls + 2));
        REQUIRE(fleet.callAnywhere(config(2)));
        fleet.run(applyTime);
        CHECK(search.hostsWithout(2) == 0);
        for (unsigned i = 1; i <= entries; ++i)
            CHECK(fleet.client(e(i)).hasLeader());
    }
}

// The same host in the other forms that the network has.
TEST_CASE("entry hosts find the next leader whatever became of the one that was named")
{
    enum class Form { Silent, Reset, Returned };
    for (const Form form : { Form::Silent, Form::Reset, Form::Returned }) {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            CAPTURE(static_cast<int>(form), seed);
            SearchFleet search(seed);
            ControllerFleet& fleet = search.fleet;
            const HostId leader = *fleet.leader();
            if (form == Form::Silent) {
                for (unsigned i = 1; i <= controls; ++i)
                    fleet.cut(leader, c(i));
                for (unsigned i = 1; i <= entries; ++i)
                    fleet.cut(leader, e(i));
            } else {
                fleet.wipe(leader);
            }
            // While the others elect a leader, some entry hosts lose the connection to the host
            // that would have named it.
            fleet.run(300ms);
            for (unsigned i = 1; i <= entries; i += 2)
                fleet.resetConnections(e(i));
            fleet.run(300ms);
            for (unsigned i = 2; i <= entries; i += 2)
                fleet.resetConnections(e(i));
            // With an emptied disk it is another member, and follows.
            if (form == Form::Returned)
                fleet.startControl(leader);
            fleet.run(2s);
            REQUIRE(fleet.callAnywhere(config(2)));
            fleet.run(applyTime);
            CHECK(search.hostsWithout(2) == 0);
        }
    }
}

// Guards against entry hosts that have no way to what is in force while the leader takes no new
// connections (review/9).
TEST_CASE("entry hosts hold what is in force while the leader takes no new connections")
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        SearchFleet search(seed);
        ControllerFleet& fleet = search.fleet;
        const HostId leader = *fleet.leader();
        fleet.refuseConnections(leader);
        for (unsigned i = 1; i <= entries; i += 3)
            fleet.resetConnections(e(i));
        fleet.run(1s);
        REQUIRE(fleet.callAnywhere(config(2)));
        REQUIRE(search.announce(InstancePhase::Draining, 2));
        fleet.run(applyTime);
        CHECK(search.hostsWithout(2) == 0);
        CHECK(search.hostsThatServe("i") == 0);
        REQUIRE(fleet.callAnywhere(config(3)));
        fleet.run(applyTime);
        CHECK(search.hostsWithout(3) == 0);
        REQUIRE(fleet.leader() == leader);
        fleet.refuseConnections(leader, false);
        fleet.run(2s);
        for (unsigned i = 1; i <= entries; ++i)
            CHECK(fleet.client(e(i)).hasLeader());
    }
}

// A control host that is cut off from the others keeps an old state, and must not spread it.
TEST_CASE("an entry host takes nothing older from a control host that lags behind")
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        SearchFleet search(seed);
        ControllerFleet& fleet = search.fleet;
        const HostId leader = *fleet.leader();
        const HostId lagging = search.followerOf(leader);
        for (unsigned i = 1; i <= controls; ++i)
            fleet.cut(lagging, c(i));
        REQUIRE(fleet.callAnywhere(config(2)));
        REQUIRE(search.announce(InstancePhase::Draining, 2));
        fleet.run(1s);
        REQUIRE(search.hostsWithout(2) == 0);
        fleet.refuseConnections(leader);
        for (unsigned i = 1; i <= entries; ++i)
            fleet.resetConnections(e(i));
        REQUIRE_FALSE(fleet.runUntil(
            4s, [&] { return search.hostsWithout(2) > 0 || search.hostsThatServe("i") > 0; }));
    }
}

// Guards against entry hosts that only know the control hosts of the time at which they joined.
TEST_CASE("entry hosts find the next leader after all control hosts but the last were replaced")
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        SearchFleet search(seed);
        ControllerFleet& fleet = search.fleet;
        const HostId leader = *fleet.leader();
        search.replaceFollowers();
        REQUIRE(search.hostsWithoutLeader() == 0);
        fleet.wipe(leader);
        fleet.run(3s);
        REQUIRE(fleet.leader().has_value());
        CHECK(search.hostsWithoutLeader() == 0);
        REQUIRE(fleet.callAnywhere(config(2)));
        fleet.run(applyTime);
        CHECK(search.hostsWithout(2) == 0);
    }
}

// The same for hosts that were suspended or cut off meanwhile: only other entry hosts can tell
// them.
TEST_CASE("an entry host that was out of contact while all control hosts were replaced joins again")
{
    enum class Form { Frozen, Cut };
    for (const Form form : { Form::Frozen, Form::Cut }) {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            CAPTURE(static_cast<int>(form), seed);
            SearchFleet search(seed);
            ControllerFleet& fleet = search.fleet;
            const HostId leader = *fleet.leader();
            const std::vector<HostId> out { e(1), e(2) };
            for (const HostId& host : out) {
                if (form == Form::Frozen) {
                    fleet.freeze(host);
                    continue;
                }
                for (unsigned i = 1; i <= controls; ++i)
                    fleet.cut(host, c(i));
            }
            search.replaceFollowers();
            fleet.wipe(leader);
            fleet.run(3s);
            REQUIRE(fleet.leader().has_value());
            for (const HostId& host : out) {
                if (form == Form::Frozen)
                    fleet.freeze(host, false);
            }
            fleet.run(5s);
            CHECK(search.hostsWithoutLeader() == 0);
        }
    }
}

namespace {

enum class Loss { Wiped, Killed, Silent, Frozen, Refusing, Replaced };
constexpr std::uint64_t lossForms = 6;

void lose(ControllerFleet& fleet, const HostId& host, Loss loss)
{
    switch (loss) {
    case Loss::Wiped:
        return fleet.wipe(host);
    case Loss::Killed:
        return fleet.kill(host);
    case Loss::Silent:
        for (unsigned i = 1; i <= controls + 2; ++i)
            fleet.cut(host, c(i));
        for (unsigned i = 1; i <= entries; ++i)
            fleet.cut(host, e(i));
        return;
    case Loss::Frozen:
        return fleet.freeze(host);
    case Loss::Replaced:
        fleet.wipe(host);
        return fleet.acceptSilently(host);
    case Loss::Refusing:
        for (unsigned i = 1; i <= controls + 2; ++i)
            fleet.cut(host, c(i));
        fleet.refuseConnections(host);
        fleet.resetConnections(host);
        return;
    }
}

std::chrono::milliseconds drawTime(Random& random, unsigned limitMs)
{
    return std::chrono::milliseconds(uniformBelow(random, limitMs));
}

/// Frames between control hosts overtake each other when the delays become shorter.
void drawDelays(ControllerFleet& fleet, Random& random)
{
    for (unsigned i = 1; i <= controls + 2; ++i)
        fleet.delayFrames(c(i), drawTime(random, 40));
}

} // namespace

// Guards against entry hosts that stay without a leader when two control hosts are lost (review/6):
// in every form, with elections that come late and connections that end at any step of the search.
TEST_CASE("entry hosts join the next leader whatever is lost, and whenever their connections end")
{
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        CAPTURE(seed);
        SearchFleet search(seed);
        ControllerFleet& fleet = search.fleet;
        Random random(seed);
        drawDelays(fleet, random);
        for (int changes = 0; changes < 10; ++changes)
            fleet.schedule(drawTime(random, 2500), [&] { drawDelays(fleet, random); });
        const HostId leader = *fleet.leader();
        const HostId second = search.followerOf(leader);
        const auto firstLoss = static_cast<Loss>(uniformBelow(random, lossForms));
        const auto secondLoss = static_cast<Loss>(uniformBelow(random, lossForms));
        lose(fleet, leader, firstLoss);
        fleet.schedule(drawTime(random, 1000),
            [&fleet, second, secondLoss] { lose(fleet, second, secondLoss); });
        // The remaining hosts do not hear each other at first, so that the election is late.
        for (unsigned i = 1; i <= controls; ++i) {
            for (unsigned j = 1; j < i; ++j)
                fleet.cut(c(i), c(j));
        }
        fleet.schedule(drawTime(random, 1500), [&] {
            for (unsigned i = 1; i <= controls; ++i) {
                for (unsigned j = 1; j < i; ++j) {
                    const auto isLost
                        = [&](const HostId& host) { return host == leader || host == second; };
                    if (!isLost(c(i)) && !isLost(c(j)))
                        fleet.cut(c(i), c(j), false);
                }
            }
        });
        for (unsigned i = 1; i <= entries; ++i) {
            for (int resets = 0; resets < 4; ++resets)
                fleet.schedule(
                    drawTime(random, 2500), [&fleet, i] { fleet.resetConnections(e(i)); });
        }
        for (unsigned i = 1; i <= 2; ++i)
            fleet.schedule(
                drawTime(random, 2500), [&fleet, i] { fleet.startControl(c(controls + i)); });
        fleet.run(2500ms);
        REQUIRE(fleet.runUntil(10s, [&] { return fleet.leader().has_value(); }));
        CHECK(fleet.runUntil(joinTime, [&] { return search.hostsWithoutLeader() == 0; }));
        REQUIRE(fleet.callAnywhere(config(2)));
        fleet.run(applyTime);
        CHECK(search.hostsWithout(2) == 0);
    }
}

// Guards against control hosts with slow disks that give each candidate up before its votes can
// have arrived, and never elect a leader.
TEST_CASE("control hosts elect a leader however slow their disks are")
{
    for (const Duration sync :
        { Duration(2ms), Duration(40ms), Duration(120ms), Duration(300ms) }) {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            CAPTURE(toMillis(sync), seed);
            ControllerFleetOptions options { .controls = controls, .entries = 2, .seed = seed };
            options.processor = ProcessorCosts { .sync = sync };
            ControllerFleet fleet(options);
            CHECK(fleet.runUntil(15s, [&] { return fleet.leader().has_value(); }));
            if (!fleet.leader())
                continue;
            CHECK(fleet.callAnywhere(config(1), 15s));
        }
    }
}
