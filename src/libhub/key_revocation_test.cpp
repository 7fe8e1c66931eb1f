// Replays of removed account keys on entry hosts that lose contact in different ways.

#include <catch2/catch.hpp>

#include <algorithm>

#include <laburnumroute/account_directory.h>

#include "fakes/controller_fleet.h"

using namespace laburnum;
using namespace laburnum::fakes;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t firstSeed = 1;
constexpr std::uint64_t seedCount = 50;
constexpr Duration validity = seconds(5);
constexpr Duration step = milliseconds(10);
constexpr unsigned controls = 5;
constexpr unsigned entries = 3;

/// Account by key.
using KeyOwners = std::map<std::string, std::string>;

std::string contentOf(const KeyOwners& owners)
{
    std::string text;
    for (const auto& [key, account] : owners)
        text.append(key).append("=").append(account).append("\n");
    return text;
}

AccountDirectory directoryOf(std::string_view content)
{
    std::map<std::string, ClientAccountSpec> accounts;
    while (!content.empty()) {
        const auto end = content.find('\n');
        const auto line = content.substr(0, end);
        const auto middle = line.find('=');
        auto& account = accounts[std::string(line.substr(middle + 1))];
        account.name = ClientAccountId(std::string(line.substr(middle + 1)));
        account.keys.emplace_back(line.substr(0, middle));
        content.remove_prefix(end + 1);
    }
    std::vector<ClientAccountSpec> specs;
    specs.reserve(accounts.size());
    for (const auto& [name, account] : accounts)
        specs.push_back(account);
    return AccountDirectory(specs);
}

/// A fleet whose configurations are submitted until they are acknowledged, and checked against what
/// its entry hosts admit.
class RevocationReplay {
public:
    explicit RevocationReplay(std::uint64_t seed)
        : m_random(seed)
        , fleet({ .controls = controls,
              .entries = entries,
              .seed = seed,
              .delay = milliseconds(1 + uniformBelow(m_random, 20)),
              .keyValidity = validity })
    {
    }

    /// Submits a configuration with these keys. The one before must be acknowledged.
    void submit(const KeyOwners& owners)
    {
        m_history.push_back({ owners, std::nullopt });
        m_call.reset();
    }

    bool isAcknowledged() const { return m_history.empty() || m_history.back().acknowledged; }

    void run(Duration time)
    {
        const TimePoint end = fleet.now() + time;
        while (fleet.now() < end) {
            fleet.run(step);
            advanceCall();
            check();
        }
    }

    bool runUntil(Duration limit, const std::function<bool()>& until)
    {
        const TimePoint end = fleet.now() + limit;
        while (!until() && fleet.now() < end)
            run(step);
        return until();
    }

    /// The account of a request with `key` at `entry`; empty if it is refused.
    std::string admittedAs(const HostId& entry, const std::string& key)
    {
        const ControllerClient& client = fleet.client(entry);
        if (!client.config().number || !client.keys().isTrusted(fleet.now()))
            return {};
        const std::string& content = client.config().content;
        const auto [directory, isNew] = m_directories.try_emplace(content);
        if (isNew)
            directory->second = directoryOf(content);
        const auto match = directory->second.find(key);
        return match ? match->account.value() : "";
    }

    bool everyHostTrusts()
    {
        for (unsigned i = 1; i <= entries; ++i) {
            const ControllerClient& client = fleet.client(ControllerFleet::entry(i));
            if (!client.config().number || !client.keys().isTrusted(fleet.now()))
                return false;
        }
        return true;
    }

    void cutFromControls(const HostId& entry, bool isCut = true)
    {
        for (unsigned i = 1; i <= controls; ++i)
            fleet.cut(entry, ControllerFleet::control(i), isCut);
    }

    /// Starts the fleet with two keys of account `a` and one of account `b`.
    void start()
    {
        fleet.run(milliseconds(500)); // until all processes have been started
        submit({ { "k1", "a" }, { "k2", "a" }, { "k3", "b" } });
        REQUIRE(runUntil(seconds(20), [this] { return isAcknowledged() && everyHostTrusts(); }));
    }

    std::size_t checks() const { return m_checks; }

private:
    struct Submitted {
        KeyOwners owners;
        std::optional<TimePoint> acknowledged;
    };

    void advanceCall()
    {
        if (isAcknowledged())
            return;
        if (m_call && fleet.record(*m_call).result && fleet.record(*m_call).result->done) {
            m_history.back().acknowledged = fleet.record(*m_call).ended;
            return;
        }
        const bool isOver = !m_call || fleet.record(*m_call).result
            || fleet.now() - fleet.record(*m_call).at > seconds(1);
        if (!isOver)
            return;
        const HostId host = ControllerFleet::control(1 + m_nextControl++ % controls);
        if (fleet.controller(host) != nullptr)
            m_call = fleet.call(
                host, PutConfigCall { { m_history.size(), contentOf(m_history.back().owners) } });
    }

    /// A host may admit a key as it stood in any configuration from the newest on that was
    /// acknowledged at least the validity ago.
    void check()
    {
        std::size_t oldest = 0;
        for (std::size_t i = 0; i < m_history.size(); ++i) {
            if (m_history[i].acknowledged && fleet.now() - *m_history[i].acknowledged > validity)
                oldest = i;
        }
        for (unsigned i = 1; i <= entries; ++i) {
            for (const char* key : { "k1", "k2", "k3" }) {
                const std::string account = admittedAs(ControllerFleet::entry(i), key);
                ++m_checks;
                if (account.empty())
                    continue;
                const bool isAllowed
                    = std::any_of(m_history.begin() + static_cast<std::ptrdiff_t>(oldest),
                        m_history.end(), [&](const Submitted& submitted) {
                            const auto owner = submitted.owners.find(key);
                            return owner != submitted.owners.end() && owner->second == account;
                        });
                if (!isAllowed)
                    FAIL("host " << i << " admits " << key << " as " << account);
            }
        }
    }

    Random m_random;

public:
    ControllerFleet fleet;

private:
    std::map<std::string, AccountDirectory> m_directories;
    std::vector<Submitted> m_history;
    std::optional<std::size_t> m_call;
    unsigned m_nextControl = 0;
    std::size_t m_checks = 0;
};

const HostId firstEntry = ControllerFleet::entry(1);

template <class Function> void onEachSeed(Function&& function)
{
    for (std::uint64_t seed = firstSeed; seed < firstSeed + seedCount; ++seed) {
        CAPTURE(seed);
        RevocationReplay replay(seed);
        replay.start();
        function(replay, seed);
    }
}

} // namespace

TEST_CASE("key revocation: connected hosts refuse removed keys soon and accept others all the time")
{
    onEachSeed([](RevocationReplay& replay, std::uint64_t) {
        replay.submit({ { "k2", "a" }, { "k3", "b" } });
        REQUIRE(replay.runUntil(seconds(2), [&] { return replay.isAcknowledged(); }));
        replay.run(milliseconds(200));
        for (unsigned i = 1; i <= entries; ++i)
            REQUIRE(replay.admittedAs(ControllerFleet::entry(i), "k1").empty());
        // The last key of `a` moves to `b`; an account without keys admits nobody.
        replay.submit({ { "k2", "b" }, { "k3", "b" } });
        for (int i = 0; i < 1000; ++i) {
            replay.run(step);
            REQUIRE(replay.everyHostTrusts());
        }
        REQUIRE(replay.admittedAs(firstEntry, "k2") == "b");
        REQUIRE(replay.fleet.decisions("accounts", "unconfirmed") == 0);
    });
}

// The host cannot learn that the key was removed: only the age of its confirmation can stop it.
TEST_CASE("key revocation: a host that is cut off stops accepting keys in time, and resumes")
{
    onEachSeed([](RevocationReplay& replay, std::uint64_t seed) {
        replay.run(milliseconds(seed * 37 % 1000));
        replay.cutFromControls(firstEntry);
        replay.submit({ { "k1", "b" }, { "k3", "b" } });
        replay.run(seconds(12));
        REQUIRE(replay.isAcknowledged());
        REQUIRE(replay.admittedAs(firstEntry, "k1").empty());
        REQUIRE(replay.admittedAs(ControllerFleet::entry(2), "k1") == "b");
        REQUIRE(replay.fleet.decisions("accounts", "unconfirmed") == 1);
        replay.cutFromControls(firstEntry, false);
        REQUIRE(replay.runUntil(seconds(5), [&] { return replay.everyHostTrusts(); }));
        REQUIRE(replay.admittedAs(firstEntry, "k1") == "b");
        REQUIRE(replay.admittedAs(firstEntry, "k2").empty());
        REQUIRE(replay.fleet.decisions("accounts", "confirmed") == entries + 1);
    });
}

// Frames that waited in the connection of a suspended host arrive late and must not count as new.
TEST_CASE("key revocation: late confirmations after a suspension do not extend the trust")
{
    onEachSeed([](RevocationReplay& replay, std::uint64_t seed) {
        // Until requests are sent by ticks, a multiple of the interval apart.
        replay.run(seconds(2) + milliseconds(seed * 37 % 1000));
        // Suspended between a request and its reply, which stays unread.
        const KeyConfirmation& keys = replay.fleet.client(firstEntry).keys();
        const TimePoint request = *keys.confirmedAt() + KeyConfirmation::requestInterval;
        REQUIRE(replay.fleet.runUntil(seconds(1), [&] { return replay.fleet.now() >= request; }));
        REQUIRE(*keys.confirmedAt() < request);
        replay.fleet.freeze(firstEntry);
        replay.run(milliseconds(100));
        replay.cutFromControls(firstEntry);
        replay.submit({ { "k3", "b" } });
        replay.run(seconds(3) + milliseconds(seed * 91 % 4000));
        replay.fleet.freeze(firstEntry, false);
        REQUIRE(*keys.confirmedAt() == request);
        replay.run(seconds(6));
        REQUIRE(replay.admittedAs(firstEntry, "k1").empty());
        REQUIRE(replay.admittedAs(firstEntry, "k3").empty());
    });
}

TEST_CASE("key revocation: a change of the leader interrupts no service and revives no key")
{
    onEachSeed([](RevocationReplay& replay, std::uint64_t seed) {
        const auto leader = replay.fleet.leader();
        REQUIRE(leader);
        replay.submit({ { "k1", "b" }, { "k3", "b" } });
        replay.run(milliseconds(seed * 3 % 150));
        replay.fleet.kill(*leader);
        for (int i = 0; i < 400; ++i) {
            replay.run(step);
            REQUIRE(replay.everyHostTrusts());
        }
        replay.fleet.startControl(*leader);
        for (int i = 0; i < 600; ++i) {
            replay.run(step);
            REQUIRE(replay.everyHostTrusts());
        }
        REQUIRE(replay.isAcknowledged());
        REQUIRE(replay.admittedAs(firstEntry, "k1") == "b");
        REQUIRE(replay.admittedAs(firstEntry, "k2").empty());
    });
}

// A former leader that is separated from the majority must not confirm the configuration it knows.
TEST_CASE("key revocation: a leader without its majority confirms nothing")
{
    onEachSeed([](RevocationReplay& replay, std::uint64_t seed) {
        replay.run(milliseconds(seed * 37 % 1000));
        const auto leader = replay.fleet.leader();
        REQUIRE(leader);
        for (unsigned i = 1; i <= controls; ++i) {
            if (ControllerFleet::control(i) == *leader)
                continue;
            replay.fleet.cut(*leader, ControllerFleet::control(i));
            replay.fleet.cut(firstEntry, ControllerFleet::control(i));
        }
        replay.submit({ { "k3", "b" } });
        const Controller& former = *replay.fleet.controller(*leader);
        const KeyConfirmation& keys = replay.fleet.client(firstEntry).keys();
        TimePoint heldLease = replay.fleet.now();
        for (int i = 0; i < 1200; ++i) {
            replay.run(step);
            if (former.log().holdsLease(replay.fleet.now()))
                heldLease = replay.fleet.now();
            REQUIRE(*keys.confirmedAt() <= heldLease + step);
        }
        REQUIRE(replay.isAcknowledged());
        REQUIRE(replay.admittedAs(firstEntry, "k1").empty());
        REQUIRE(replay.admittedAs(firstEntry, "k3").empty());
        REQUIRE(replay.admittedAs(ControllerFleet::entry(2), "k3") == "b");
    });
}

TEST_CASE("key revocation: removed keys stay removed after all control hosts lost their power")
{
    onEachSeed([](RevocationReplay& replay, std::uint64_t seed) {
        replay.cutFromControls(firstEntry);
        replay.submit({ { "k1", "b" }, { "k3", "b" } });
        if (seed % 2 == 0)
            REQUIRE(replay.runUntil(seconds(5), [&] { return replay.isAcknowledged(); }));
        else
            replay.run(milliseconds(seed * 3 % 150));
        for (unsigned i = 1; i <= controls; ++i)
            replay.fleet.kill(ControllerFleet::control(i));
        replay.run(milliseconds(seed * 173 % 3000));
        for (unsigned i = 1; i <= controls; ++i)
            replay.fleet.startControl(ControllerFleet::control(i));
        replay.run(milliseconds(seed * 29 % 1000));
        replay.cutFromControls(firstEntry, false);
        replay.run(seconds(12));
        REQUIRE(replay.isAcknowledged());
        REQUIRE(replay.everyHostTrusts());
        REQUIRE(replay.admittedAs(firstEntry, "k1") == "b");
        REQUIRE(replay.admittedAs(firstEntry, "k2").empty());
    });
}

// Combinations that the cases above do not contain.
TEST_CASE("key revocation: random cuts, suspensions, kills and configurations")
{
    onEachSeed([](RevocationReplay& replay, std::uint64_t seed) {
        Random random(seed + 1000);
        for (int round = 0; round < 12; ++round) {
            if (replay.isAcknowledged()) {
                KeyOwners owners;
                for (const char* key : { "k1", "k2", "k3" }) {
                    const auto owner = uniformBelow(random, 3);
                    if (owner != 0)
                        owners[key] = owner == 1 ? "a" : "b";
                }
                replay.submit(owners);
            }
            const HostId entry
                = ControllerFleet::entry(1 + static_cast<unsigned>(uniformBelow(random, entries)));
            const HostId control = ControllerFleet::control(
                1 + static_cast<unsigned>(uniformBelow(random, controls)));
            const auto fault = uniformBelow(random, 4);
            const Duration time = milliseconds(uniformBelow(random, 4000));
            if (fault == 0) {
                replay.cutFromControls(entry);
                replay.run(time);
                replay.cutFromControls(entry, false);
            } else if (fault == 1) {
                replay.fleet.freeze(entry);
                replay.run(time);
                replay.fleet.freeze(entry, false);
            } else if (fault == 2) {
                replay.fleet.freeze(control);
                replay.run(time);
                replay.fleet.freeze(control, false);
            } else {
                replay.fleet.kill(control);
                replay.run(time);
                replay.fleet.startControl(control);
            }
            replay.run(milliseconds(uniformBelow(random, 1500)));
        }
        replay.run(seconds(8));
        REQUIRE(replay.isAcknowledged());
        REQUIRE(replay.everyHostTrusts());
        REQUIRE(replay.checks() > 1000);
    });
}
