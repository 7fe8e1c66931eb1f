// Losses at the end of a day: two disks and the power of all other machines, right after a change
// was acknowledged.

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

#include <laburnumroute/random.h>

#include "fakes/controller_fleet.h"

using namespace laburnum;
using namespace laburnum::fakes;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

constexpr unsigned controls = 5;
constexpr unsigned entries = 4;
constexpr std::size_t lostDisks = 2;
constexpr std::uint64_t seedCount = 50;
/// Bounds of the users: until the fleet serves after the losses, until a configuration is handled
/// everywhere after its acknowledgement, and until a host that is back counts again.
constexpr auto recoveryBound = 15s;
constexpr auto applyBound = 2500ms;
constexpr auto catchUpTime = 4s;
/// The losses come at most this long after the acknowledgement.
constexpr std::uint64_t maxLossDelayMs = 100;
/// One-way delays. Two control hosts are further away, so that a change is acknowledged before they
/// have it; between these two it takes 21 ms at most.
constexpr std::uint64_t maxDelayMs = 5;
constexpr unsigned farHosts = 2;
constexpr std::uint64_t minFarMs = 2;
constexpr std::uint64_t maxFarMs = 8;
/// Spares the machines' return the frames that were on their way at the loss.
constexpr std::uint64_t minReturnMs = 50;
constexpr std::uint64_t maxReturnMs = 1000;

/// Which disks are lost. The near hosts are the ones that have a change when it is acknowledged.
enum class Choice { LongestLasting, LeaderAndNear, AcknowledgerAndOther, Any };

HostId c(std::uint64_t i) { return ControllerFleet::control(static_cast<unsigned>(i)); }
HostId e(unsigned i) { return ControllerFleet::entry(i); }

/// One day: disks are lost and replaced one at a time, then a configuration without the account
/// key "k1", a drain and a deregistration are acknowledged, in an order that is drawn.
class LastDay {
public:
    LastDay(std::uint64_t seed, Choice choice)
        : m_random(seed)
        , m_choice(choice)
        , m_fleet({ .controls = controls,
              .entries = entries,
              .seed = seed,
              .delay = milliseconds(1 + draw(maxDelayMs)),
              .keyValidity = 5s,
              .accountsOf = [](const std::string&) { return std::vector<ClientAccountSpec> {}; } })
    {
    }

    void play()
    {
        live();
        acknowledgeLastChanges();
        lose();
        recover();
        checkReadBack();
        checkInstances();
        checkMembers();
    }

private:
    std::uint64_t draw(std::uint64_t below) { return uniformBelow(m_random, below); }

    std::size_t voters()
    {
        const auto leader = m_fleet.leader();
        return leader ? m_fleet.controller(*leader)->log().membership().voterCount() : 0;
    }

    bool isVoter(const HostId& host)
    {
        const auto leader = m_fleet.leader();
        const Controller* controller = m_fleet.controller(host);
        return leader && controller != nullptr
            && m_fleet.controller(*leader)->log().membership().isVoter(controller->log().member());
    }

    bool allVote()
    {
        if (voters() != controls)
            return false;
        for (unsigned i = 1; i <= controls; ++i) {
            if (!isVoter(c(i)))
                return false;
        }
        return true;
    }

    /// Sends `change` to control hosts at random until one acknowledges it, and returns that one.
    HostId acknowledge(const ControlCall& change)
    {
        for (int tries = 0; tries < 100; ++tries) {
            HostId host = c(1 + draw(controls));
            if (m_fleet.controller(host) == nullptr)
                continue;
            const std::size_t index = m_fleet.call(host, change);
            m_fleet.runUntil(1s, [&] { return m_fleet.record(index).result.has_value(); });
            if (m_fleet.record(index).result && m_fleet.record(index).result->done)
                return host;
            m_fleet.run(50ms);
        }
        FAIL("no acknowledgement");
        return c(1);
    }

    static AnnounceCall announce(const std::string& id, std::uint16_t port, std::uint64_t version)
    {
        return { instanceRecord(id, "s", port, 1, version), Duration::zero() };
    }

    PutConfigCall configuration(const std::string& keys)
    {
        ++m_number;
        // Large, so that snapshots are written.
        return { { m_number, keys + ' ' + std::to_string(m_number) + std::string(50'000, 'x') } };
    }

    void wipeAndReturn(const HostId& host)
    {
        m_members.insert(m_fleet.controller(host)->log().member());
        m_fleet.wipe(host);
        m_wiped[host] = m_fleet.now();
        m_fleet.run(milliseconds(draw(2000)));
        m_fleet.startControl(host);
    }

    void live()
    {
        REQUIRE(m_fleet.runUntil(10s, [&] { return allVote(); }));
        acknowledge(announce("serving", 80, 1));
        acknowledge(announce("drained", 81, 1));
        acknowledge(announce("ended", 82, 1));
        const std::uint64_t rounds = 1 + draw(3);
        for (std::uint64_t i = 0; i < rounds; ++i) {
            acknowledge(configuration("k1 k2"));
            wipeAndReturn(c(1 + draw(controls)));
            acknowledge(configuration("k1 k2"));
            REQUIRE(m_fleet.runUntil(10s, [&] { return allVote(); }));
        }
        m_fleet.run(catchUpTime + milliseconds(draw(1000)));
        REQUIRE(allVote());
    }

    void acknowledgeLastChanges()
    {
        for (unsigned i = 0; i < farHosts; ++i) {
            const HostId host = c(1 + draw(controls));
            const std::uint64_t extraMs = minFarMs + draw(maxFarMs - minFarMs + 1);
            m_fleet.delayFrames(host, milliseconds(extraMs));
            m_far.insert(host);
        }
        m_fleet.run(1s);
        AnnounceCall drain = announce("drained", 81, 2);
        drain.record.phase = InstancePhase::Draining;
        std::vector<ControlCall> changes { configuration("k2"), drain,
            DeregisterCall { { InstanceId("ended"), 1, true, 1 } } };
        for (std::size_t left = changes.size(); left > 0; --left) {
            const auto drawn = static_cast<std::ptrdiff_t>(draw(left));
            m_acknowledger = acknowledge(changes.at(static_cast<std::size_t>(drawn)));
            changes.erase(changes.begin() + drawn);
        }
        m_acknowledged = m_number;
        // A change that is only sent may be in force or not.
        if (draw(2) == 0)
            m_fleet.call(c(1 + draw(controls)), configuration("k2"));
    }

    std::set<HostId> drawLostDisks()
    {
        std::set<HostId> lost;
        if (m_choice == Choice::LongestLasting) {
            std::vector<HostId> hosts;
            for (unsigned i = 1; i <= controls; ++i)
                hosts.push_back(c(i));
            // Start times of the disks; those from the beginning of the day have none.
            std::stable_sort(hosts.begin(), hosts.end(),
                [&](const HostId& a, const HostId& b) { return m_wiped[a] < m_wiped[b]; });
            return { hosts.begin(), hosts.begin() + lostDisks };
        }
        if (m_choice == Choice::LeaderAndNear)
            lost.insert(m_fleet.leader().value_or(m_acknowledger));
        if (m_choice == Choice::AcknowledgerAndOther)
            lost.insert(m_acknowledger);
        while (lost.size() < lostDisks) {
            const HostId host = c(1 + draw(controls));
            if (m_choice != Choice::LeaderAndNear || !m_far.contains(host))
                lost.insert(host);
        }
        return lost;
    }

    void lose()
    {
        // Power may go in the middle of a write.
        const bool isAtOnce = draw(2) == 0;
        const std::uint64_t delayMs = isAtOnce ? 0 : draw(maxLossDelayMs + 1);
        for (unsigned i = 1; i <= controls; ++i) {
            const bool isInWrite = draw(2) == 0;
            const std::uint64_t armedMs = draw(delayMs + 1);
            const auto operation = static_cast<unsigned>(1 + draw(2));
            const auto point = static_cast<StopPoint>(draw(3));
            const auto arm
                = [this, i, operation, point] { m_fleet.stopAtWrite(c(i), operation, point); };
            if (isInWrite && armedMs == 0)
                arm();
            else if (isInWrite)
                m_fleet.schedule(milliseconds(armedMs), arm);
        }
        std::map<HostId, MemberId> members;
        for (unsigned i = 1; i <= controls; ++i)
            members[c(i)] = m_fleet.controller(c(i))->log().member();
        m_fleet.run(milliseconds(delayMs));
        const auto lost = drawLostDisks();
        for (const HostId& host : lost)
            m_members.insert(members.at(host));
        for (unsigned i = 1; i <= controls; ++i)
            lost.contains(c(i)) ? m_fleet.wipe(c(i)) : m_fleet.losePower(c(i));
        for (unsigned i = 1; i <= entries; ++i)
            m_fleet.losePower(e(i));
        std::uint64_t lastMs = 0;
        const auto drawReturn = [&] {
            const std::uint64_t returnMs = minReturnMs + draw(maxReturnMs - minReturnMs + 1);
            lastMs = std::max(lastMs, returnMs);
            return milliseconds(returnMs);
        };
        for (unsigned i = 1; i <= controls; ++i)
            m_fleet.schedule(drawReturn(), [this, i] { m_fleet.startControl(c(i)); });
        for (unsigned i = 1; i <= entries; ++i)
            m_fleet.schedule(drawReturn(), [this, i] { m_fleet.startEntry(e(i)); });
        runChecked(milliseconds(lastMs + 1), [] { return false; });
    }

    /// Runs until `until` holds or `limit` has passed, and checks all the time that nothing older
    /// than what was acknowledged is answered or obeyed.
    bool runChecked(Duration limit, const std::function<bool()>& until)
    {
        constexpr auto step = 5ms;
        const TimePoint end = m_fleet.now() + limit;
        while (!until() && m_fleet.now() < end) {
            const HostId host = c(1 + draw(controls));
            if (m_fleet.controller(host) != nullptr)
                m_reads.push_back(m_fleet.call(host, GetConfigCall {}));
            m_fleet.run(std::min<Duration>(step, end - m_fleet.now()));
            checkReads();
            checkEntries();
        }
        return until();
    }

    void checkReads()
    {
        for (const std::size_t index : m_reads) {
            const auto& result = m_fleet.record(index).result;
            if (result && result->done && result->config.number < m_acknowledged)
                FAIL("read " << result->config.number.value_or(0) << " after " << m_acknowledged);
        }
        std::erase_if(
            m_reads, [&](std::size_t index) { return m_fleet.record(index).result.has_value(); });
    }

    void checkEntries()
    {
        for (unsigned i = 1; i <= entries; ++i) {
            if (!m_fleet.isUp(e(i)))
                continue;
            const ControllerClient& client = m_fleet.client(e(i));
            const ConfigNumber number = client.config().number;
            if (number && number < m_acknowledged)
                FAIL("entry host " << i << " obeys " << *number << " after " << m_acknowledged);
            const auto& instances = client.localScheduler().instances();
            if (instances.contains(InstanceId("ended")))
                FAIL("entry host " << i << " knows the deregistered instance");
            const auto drained = instances.find(InstanceId("drained"));
            if (drained != instances.end() && drained->second.phase == InstancePhase::Serving)
                FAIL("entry host " << i << " knows the drained instance as serving");
        }
    }

    /// Whether entry host `i` has all that was acknowledged, and its keys are confirmed.
    bool isServing(unsigned i)
    {
        const ControllerClient& client = m_fleet.client(e(i));
        return client.hasLeader() && client.config().number >= m_acknowledged
            && client.keys().isTrusted(m_fleet.now())
            && client.localScheduler().instances().contains(InstanceId("serving"));
    }

    bool isGranted(unsigned i)
    {
        PlacementRequest request;
        request.service = ServiceId("s");
        request.remaining = 4s;
        request.dataCentre = DataCentreId("d");
        request.region = RegionId("r");
        const DispatchId dispatch = m_fleet.dispatch(e(i), request);
        m_fleet.runUntil(1s, [&] { return m_fleet.answers(e(i)).contains(dispatch); });
        const auto& answers = m_fleet.answers(e(i));
        if (!answers.contains(dispatch) || !answers.at(dispatch).instance)
            return false;
        CHECK(answers.at(dispatch).instance->id == InstanceId("serving"));
        const bool isByLeader = !answers.at(dispatch).alone;
        m_fleet.end(e(i), dispatch, { PlacementOutcome::Success, 10ms });
        return isByLeader;
    }

    void recover()
    {
        const TimePoint back = m_fleet.now();
        REQUIRE(runChecked(recoveryBound, [&] {
            for (unsigned i = 1; i <= entries; ++i) {
                if (!isServing(i))
                    return false;
            }
            return m_fleet.leader().has_value();
        }));
        for (unsigned i = 1; i <= entries; ++i)
            REQUIRE(isGranted(i));
        REQUIRE(m_fleet.now() - back <= recoveryBound);
        REQUIRE(runChecked(recoveryBound, [&] { return allVote(); }));
        runChecked(applyBound, [] { return false; });
    }

    void checkReadBack()
    {
        for (unsigned i = 1; i <= controls; ++i) {
            const std::size_t index = m_fleet.call(c(i), GetConfigCall {});
            REQUIRE(m_fleet.runUntil(1s, [&] { return m_fleet.record(index).result.has_value(); }));
            const CallResult& result = *m_fleet.record(index).result;
            REQUIRE(result.done);
            CHECK((result.config.number == m_acknowledged || result.config.number == m_number));
            CHECK(result.config.content.starts_with(
                "k2 " + std::to_string(result.config.number.value())));
            for (unsigned j = 1; j <= entries; ++j)
                CHECK(m_fleet.client(e(j)).config().number == result.config.number);
        }
    }

    void checkInstances()
    {
        for (unsigned i = 1; i <= controls; ++i) {
            const auto& instances = m_fleet.controller(c(i))->state().instances();
            CHECK_FALSE(instances.contains(InstanceId("ended")));
            REQUIRE(instances.contains(InstanceId("drained")));
            CHECK(instances.at(InstanceId("drained")).phase == InstancePhase::Draining);
            REQUIRE(instances.contains(InstanceId("serving")));
            CHECK(instances.at(InstanceId("serving")).phase == InstancePhase::Serving);
        }
        // What the ended start announced before is no return, and other content under the number
        // held changes nothing.
        acknowledge(announce("ended", 82, 1));
        acknowledge(PutConfigCall { { m_acknowledged, "other" } });
        runChecked(500ms, [] { return false; });
        for (unsigned i = 1; i <= controls; ++i) {
            CHECK_FALSE(
                m_fleet.controller(c(i))->state().instances().contains(InstanceId("ended")));
            CHECK(m_fleet.controller(c(i))->state().config().content.starts_with("k2 "));
        }
    }

    void checkMembers()
    {
        REQUIRE(m_fleet.runUntil(1s, [&] { return m_fleet.leader().has_value(); }));
        const Membership& membership = m_fleet.controller(*m_fleet.leader())->log().membership();
        CHECK(membership.voterCount() == controls);
        for (const MemberId& member : m_members) {
            CAPTURE(member.value());
            CHECK_FALSE(membership.isVoter(member));
            for (unsigned i = 1; i <= controls; ++i)
                CHECK(m_fleet.controller(c(i))->log().member() != member);
        }
    }

    Random m_random;
    Choice m_choice;
    ControllerFleet m_fleet;
    std::uint64_t m_number = 0;
    /// Number of the configuration that was acknowledged last.
    std::uint64_t m_acknowledged = 0;
    HostId m_acknowledger;
    std::set<HostId> m_far;
    std::map<HostId, TimePoint> m_wiped;
    /// Identities of wiped disks.
    std::set<MemberId> m_members;
    std::vector<std::size_t> m_reads;
};

} // namespace

// Guards against changes that were acknowledged and are gone, or shown in an older state, after the
// final fault (LOST, CONFIG, RECOVER).
TEST_CASE("what was acknowledged survives two lost disks while all other machines lose power")
{
    const auto choice = GENERATE(
        Choice::LongestLasting, Choice::LeaderAndNear, Choice::AcknowledgerAndOther, Choice::Any);
    CAPTURE(static_cast<int>(choice));
    for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
        CAPTURE(seed);
        LastDay day(seed, choice);
        day.play();
    }
}
