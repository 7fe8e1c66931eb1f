#include "matrix/state_scenario.h"

#include <algorithm>

namespace laburnum::matrix {

using namespace fakes;
using namespace std::chrono_literals;

namespace {

    constexpr auto faultTime = 3s; // how long faults of the network last
    constexpr auto delayTime = 1500ms; // longer than any election timeout
    constexpr auto reorderTime = 300ms;
    constexpr auto restartTime = 500ms; // a supervisor starts a dead process after this long
    constexpr auto resendTime = 1s; // an operator resends after this long
    constexpr auto reachTime = 30s; // a step that is not reached by then is a fault of the cell
    constexpr unsigned skipLimit = 5; // occurrences of the step that a seed may let pass
    constexpr unsigned diskFullWrites = 1000000;

    bool losesDisk(Fault fault)
    {
        return fault == Fault::LostDisk || fault == Fault::FlippedBit || fault == Fault::OldState;
    }

    /// Three voters survive the loss of one disk; where the row and the fault take one each, and
    /// for pairs of faults, there are five.
    StateClusterOptions clusterOptions(const StateStep& step, const CellRequest& request)
    {
        const bool losesTwo
            = step.preparation == Preparation::EmptyDisk && losesDisk(request.fault);
        StateClusterOptions options;
        options.hosts = losesTwo || request.second || request.seed % 2 == 0 ? 5 : 3;
        options.seed = request.seed;
        options.mutations.syncLies = request.mutation == "sync-lies";
        options.mutations.keepsIdentity = request.mutation == "keeps-identity";
        options.mutations.ignoresExpected = request.mutation == "ignores-expected";
        options.mutations.forgesVotes = request.mutation == "forges-votes";
        return options;
    }

} // namespace

StateScenario::StateScenario(const StateStep& step, const CellRequest& request)
    : m_step(step)
    , m_request(request)
    , m_cluster(clusterOptions(step, request))
    , m_random(request.seed)
{
    m_cluster.setObserver([this](StateEvent event, const HostId& host) { onEvent(event, host); });
}

std::vector<std::string> StateScenario::run()
{
    awaitFounding();
    const unsigned before = 3 + static_cast<unsigned>(uniformBelow(m_random, 6));
    while (m_changes < before && m_cluster.network().now() < TimePoint(reachTime))
        advance(1ms);
    for (const HostId& host : m_cluster.hosts())
        m_backups[host] = m_cluster.storage(host);
    advance(200ms);
    prepare();
    const TimePoint end = m_cluster.network().now() + reachTime;
    while (!m_hasStruck && m_cluster.network().now() < end)
        advance(1ms);
    if (!m_hasStruck)
        m_cluster.recordViolation("the step was not reached");
    advance(faultTime + 2s);
    while (!m_actions.empty())
        advance(1ms);
    m_cluster.setObserver({});
    m_cluster.settle();
    checkRaces();
    return m_cluster.violations();
}

void StateScenario::awaitFounding()
{
    m_cluster.run(reachTime, [&] {
        const auto hosts = m_cluster.hosts();
        return std::all_of(hosts.begin(), hosts.end(),
            [&](const HostId& host) { return m_cluster.log(host).commitIndex() > LogIndex(0); });
    });
}

void StateScenario::prepare()
{
    m_skips = static_cast<unsigned>(uniformBelow(m_random, skipLimit));
    m_isArmed = m_step.preparation == Preparation::None;
    if (m_isArmed)
        return;
    m_skips = 0;
    const HostId host = randomHost();
    killLater(host, [this, host] {
        if (m_step.preparation == Preparation::EmptyDisk)
            m_cluster.storage(host).eraseAll();
        m_isArmed = true;
    });
}

void StateScenario::onEvent(StateEvent event, const HostId& host)
{
    if (!m_isArmed || m_hasStruck || event != m_step.event || m_skips-- > 0)
        return;
    m_hasStruck = true;
    strike(m_request.fault, host);
    if (!m_request.second)
        return;
    const auto delay = std::chrono::milliseconds(uniformBelow(m_random, 4) * 400);
    const HostId other = randomHost();
    later(delay, [this, other] { strike(*m_request.second, other); });
}

void StateScenario::strike(Fault fault, const HostId& host)
{
    if (fault <= Fault::Reorder && fault != Fault::Crash)
        strikeNetwork(fault, host);
    else if (fault == Fault::LostAnswer || fault >= Fault::OperatorRace)
        strikeOperators(fault);
    else
        strikeDisk(fault, host);
}

void StateScenario::strikeNetwork(Fault fault, const HostId& host)
{
    FakeNetwork& network = m_cluster.network();
    if (fault == Fault::Freeze)
        network.freeze(host);
    for (const HostId& other : m_cluster.hosts()) {
        if (fault == Fault::CutOut || fault == Fault::CutBoth)
            network.cut(host, other);
        if (fault == Fault::CutIn || fault == Fault::CutBoth)
            network.cut(other, host);
    }
    if (fault == Fault::Delay)
        network.setDelay([host](const HostId& from, const HostId& to) {
            return from == host || to == host ? Duration(delayTime) : Duration(1ms);
        });
    if (fault == Fault::Duplicate)
        network.setFaults({ 0.0, 1.0, reorderTime / 10 });
    if (fault == Fault::Reorder)
        network.setFaults({ 0.0, 0.0, reorderTime });
    later(faultTime, [this, host] {
        FakeNetwork& healed = m_cluster.network();
        healed.freeze(host, false);
        healed.setDelay({});
        healed.setFaults({});
        for (const HostId& other : m_cluster.hosts()) {
            healed.cut(host, other, false);
            healed.cut(other, host, false);
        }
    });
}

void StateScenario::strikeDisk(Fault fault, const HostId& host)
{
    FakeStorage& storage = m_cluster.storage(host);
    constexpr std::array points { StopPoint::Before, StopPoint::Half, StopPoint::After };
    if (fault == Fault::DiskFull) {
        storage.failWrites(diskFullWrites);
        later(faultTime, [&storage] { storage.failWrites(0); });
    } else if (fault == Fault::FailedSync) {
        storage.failSyncs(1);
    } else if (fault == Fault::Crash) {
        storage.stopAt(1, points.at(uniformBelow(m_random, points.size())));
        killLater(host);
    } else if (fault == Fault::TornWrite) {
        storage.stopAt(1, StopPoint::Half);
        later(400ms, [this, host] { killLater(host); });
    } else if (fault == Fault::FlippedBit) {
        killLater(host, [this, host] { flipRandomBit(host); });
    } else if (fault == Fault::LostDisk) {
        killLater(host, [this, host] { m_cluster.storage(host).eraseAll(); });
    } else if (fault == Fault::OldState) {
        killLater(host, [this, host] {
            m_cluster.storage(host) = m_backups[host];
            m_cluster.storage(host).crash();
        });
    }
}

void StateScenario::strikeOperators(Fault fault)
{
    if (fault == Fault::LostAnswer) {
        m_cluster.loseAnswers(true);
        later(resendTime, [this] { m_cluster.loseAnswers(false); });
    } else if (fault == Fault::OperatorRace) {
        later(0ms, [this] {
            const Revision expected = newestRevision();
            const std::string race = "race-" + std::to_string(++m_races);
            m_cluster.submit(randomHost(), { ChangeId(race + "a"), expected, "a" });
            m_cluster.submit(randomHost(), { ChangeId(race + "b"), expected, "b" });
        });
    } else {
        later(0ms, [this] {
            if (m_current)
                for (const HostId& host : m_cluster.hosts())
                    m_cluster.submit(host, *m_current);
        });
    }
}

void StateScenario::later(Duration delay, std::function<void()> action)
{
    m_actions.push_back({ m_cluster.network().now() + delay, std::move(action) });
}

/// Ends the process at the end of this step, does `before` to its disk, and starts it again.
void StateScenario::killLater(const HostId& host, const std::function<void()>& before)
{
    later(0ms, [this, host, before] {
        const CrashKind kind
            = uniformBelow(m_random, 2) == 0 ? CrashKind::Prefix : CrashKind::Sectors;
        m_cluster.kill(host, kind);
        m_dead.insert(host);
        if (before)
            before();
        later(restartTime, [this, host] {
            m_dead.erase(host);
            if (!m_cluster.isUp(host))
                m_cluster.start(host);
        });
    });
}

void StateScenario::flipRandomBit(const HostId& host)
{
    FakeStorage& storage = m_cluster.storage(host);
    const auto names = storage.list();
    if (!names || names->empty())
        return;
    const std::string& name = names->at(uniformBelow(m_random, names->size()));
    const std::size_t size = storage.read(name)->size();
    if (size == 0)
        return;
    storage.flipBit(
        name, uniformBelow(m_random, size), static_cast<unsigned>(uniformBelow(m_random, 8)));
}

void StateScenario::advance(Duration time)
{
    const TimePoint end = m_cluster.network().now() + time;
    while (m_cluster.network().now() < end) {
        m_cluster.run(1ms);
        stepActions();
        supervise();
        operate();
    }
}

void StateScenario::stepActions()
{
    std::vector<Action> due;
    const TimePoint now = m_cluster.network().now();
    const auto isDue = [now](const Action& action) { return action.due <= now; };
    std::copy_if(m_actions.begin(), m_actions.end(), std::back_inserter(due), isDue);
    std::erase_if(m_actions, isDue);
    for (const Action& action : due)
        action.run();
}

/// Starts processes that halted. A folder that is refused must be named with file and offset, or
/// as an old copy; the operator then empties it.
void StateScenario::supervise()
{
    for (const HostId& host : m_cluster.hosts())
        if (m_cluster.refusal(host) && m_dead.insert(host).second)
            later(restartTime, [this, host] { restartRefused(host); });
}

void StateScenario::restartRefused(const HostId& host)
{
    m_dead.erase(host);
    if (!m_cluster.refusal(host))
        return;
    const Error error = *m_cluster.refusal(host);
    m_cluster.kill(host);
    if (error.code == ErrorCode::Corrupt) {
        const bool isFlip
            = m_request.fault == Fault::FlippedBit || m_request.second == Fault::FlippedBit;
        const bool isOld
            = m_request.fault == Fault::OldState || m_request.second == Fault::OldState;
        const bool namesOffset = error.message.find("offset") != std::string::npos;
        const bool namesCopy = error.message.find("old copy") != std::string::npos;
        if (!(isFlip && namesOffset) && !(isOld && namesCopy))
            m_cluster.recordViolation(host.value() + " refuses to work: " + error.message);
        m_cluster.storage(host).eraseAll();
    }
    m_cluster.start(host);
}

Revision StateScenario::newestRevision()
{
    Revision newest = m_cluster.newestAccepted();
    for (const HostId& host : m_cluster.hosts())
        if (m_cluster.isUp(host))
            newest = std::max(newest, m_cluster.service(host).ledger().current().revision);
    return newest;
}

HostId StateScenario::randomHost()
{
    const auto hosts = m_cluster.hosts();
    return hosts[uniformBelow(m_random, hosts.size())];
}

/// One operator after the other submits a change, and resends it until the outcome is known.
void StateScenario::operate()
{
    const TimePoint now = m_cluster.network().now();
    if (m_current) {
        const SubmittedChange& submitted = m_cluster.submitted().at(m_current->id);
        if (submitted.accepted || submitted.refused) {
            m_current.reset();
            m_resendDue = now + std::chrono::milliseconds(10 + uniformBelow(m_random, 40));
        }
    }
    if (now < m_resendDue)
        return;
    if (!m_current) {
        const std::string id = "change-" + std::to_string(++m_changes);
        m_current = ConfigChange { ChangeId(id), newestRevision(), "content of " + id };
    }
    m_resendDue = now + resendTime;
    m_cluster.submit(randomHost(), *m_current);
}

/// Of changes that expected the same revision at most one was accepted.
void StateScenario::checkRaces()
{
    std::map<Revision, ChangeId> winners;
    for (const auto& [id, submitted] : m_cluster.submitted()) {
        if (!submitted.accepted)
            continue;
        const auto [winner, isNew] = winners.try_emplace(submitted.change.expected, id);
        if (!isNew)
            m_cluster.recordViolation("both " + winner->second.value() + " and " + id.value()
                + " won on the same expected revision");
    }
}

} // namespace laburnum::matrix
