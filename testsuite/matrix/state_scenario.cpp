#include "matrix/state_scenario.h"

#include <algorithm>

namespace laburnum::matrix {

using namespace fakes;
using namespace std::chrono_literals;

namespace {

    constexpr auto faultTime = 3s; // duration of network faults
    constexpr auto delayTime = 1500ms; // longer than any election timeout
    constexpr auto reorderTime = 300ms;
    constexpr auto restartTime = 500ms; // delay until a supervisor restarts a process
    constexpr auto resendTime = 1s; // interval at which an operator resends
    constexpr auto reachTimeout = 30s; // the cell fails if its step is not reached in time
    constexpr unsigned skipLimit = 5; // a seed skips fewer occurrences of the step than this
    constexpr unsigned diskFullWrites = 1000000;

    bool losesDisk(Fault fault)
    {
        return fault == Fault::LostDisk || fault == Fault::FlippedBit || fault == Fault::OldState;
    }

    /// Three voters survive the loss of one disk. Cells in which both the row and the fault lose a
    /// disk, and pairs of faults, use five.
    StateClusterOptions clusterOptions(const StateStep& step, const CellRequest& request)
    {
        const bool losesTwo
            = step.preparation == Preparation::EmptyDisk && losesDisk(request.fault);
        StateClusterOptions options;
        options.hosts = losesTwo || request.second || request.seed % 2 == 0 ? 5 : 3;
        options.seed = request.seed;
        options.mutations.ignoresSyncs = request.mutation == "sync-lies";
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
    awaitBootstrap();
    const unsigned before = 3 + static_cast<unsigned>(uniformBelow(m_random, 6));
    while (m_changes < before && m_cluster.network().now() < TimePoint(reachTimeout))
        advance(1ms);
    for (const HostId& host : m_cluster.hosts())
        m_backups[host] = m_cluster.storage(host);
    advance(200ms);
    prepare();
    const TimePoint end = m_cluster.network().now() + reachTimeout;
    while (!m_faultInjected && m_cluster.network().now() < end)
        advance(1ms);
    if (!m_faultInjected)
        m_cluster.recordViolation("the step was not reached");
    advance(faultTime + 2s);
    while (!m_actions.empty())
        advance(1ms);
    m_cluster.setObserver({});
    m_cluster.settle();
    checkRaces();
    return m_cluster.violations();
}

void StateScenario::awaitBootstrap()
{
    m_cluster.run(reachTimeout, [&] {
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
    scheduleKill(host, [this, host] {
        if (m_step.preparation == Preparation::EmptyDisk)
            m_cluster.storage(host).eraseAll();
        m_isArmed = true;
    });
}

void StateScenario::onEvent(StateEvent event, const HostId& host)
{
    if (!m_isArmed || m_faultInjected || event != m_step.event || m_skips-- > 0)
        return;
    m_faultInjected = true;
    injectFault(m_request.fault, host);
    if (!m_request.second)
        return;
    const auto delay = std::chrono::milliseconds(uniformBelow(m_random, 4) * 400);
    const HostId other = randomHost();
    schedule(delay, [this, other] { injectFault(*m_request.second, other); });
}

void StateScenario::injectFault(Fault fault, const HostId& host)
{
    if (fault <= Fault::Reorder && fault != Fault::Crash)
        injectNetworkFault(fault, host);
    else if (fault == Fault::LostAnswer || fault >= Fault::OperatorRace)
        injectOperatorFault(fault);
    else
        injectDiskFault(fault, host);
}

void StateScenario::injectNetworkFault(Fault fault, const HostId& host)
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
    schedule(faultTime, [this, host] {
        FakeNetwork& restored = m_cluster.network();
        restored.freeze(host, false);
        restored.setDelay({});
        restored.setFaults({});
        for (const HostId& other : m_cluster.hosts()) {
            restored.cut(host, other, false);
            restored.cut(other, host, false);
        }
    });
}

void StateScenario::injectDiskFault(Fault fault, const HostId& host)
{
    FakeStorage& storage = m_cluster.storage(host);
    constexpr std::array points { StopPoint::Before, StopPoint::Half, StopPoint::After };
    if (fault == Fault::DiskFull) {
        storage.failWrites(diskFullWrites);
        schedule(faultTime, [&storage] { storage.failWrites(0); });
    } else if (fault == Fault::FailedSync) {
        storage.failSyncs(1);
    } else if (fault == Fault::Crash) {
        storage.stopAt(1, points.at(uniformBelow(m_random, points.size())));
        scheduleKill(host);
    } else if (fault == Fault::TornWrite) {
        storage.stopAt(1, StopPoint::Half);
        schedule(400ms, [this, host] { scheduleKill(host); });
    } else if (fault == Fault::FlippedBit) {
        scheduleKill(host, [this, host] { flipRandomBit(host); });
    } else if (fault == Fault::LostDisk) {
        scheduleKill(host, [this, host] { m_cluster.storage(host).eraseAll(); });
    } else if (fault == Fault::OldState) {
        scheduleKill(host, [this, host] {
            m_cluster.storage(host) = m_backups[host];
            m_cluster.storage(host).crash();
        });
    }
}

void StateScenario::injectOperatorFault(Fault fault)
{
    if (fault == Fault::LostAnswer) {
        m_cluster.dropAnswers(true);
        schedule(resendTime, [this] { m_cluster.dropAnswers(false); });
    } else if (fault == Fault::OperatorRace) {
        schedule(0ms, [this] {
            const Revision expected = newestRevision();
            const std::string race = "race-" + std::to_string(++m_races);
            m_cluster.submit(randomHost(), { ChangeId(race + "a"), expected, "a" });
            m_cluster.submit(randomHost(), { ChangeId(race + "b"), expected, "b" });
        });
    } else {
        schedule(0ms, [this] {
            if (m_current)
                for (const HostId& host : m_cluster.hosts())
                    m_cluster.submit(host, *m_current);
        });
    }
}

void StateScenario::schedule(Duration delay, std::function<void()> action)
{
    m_actions.push_back({ m_cluster.network().now() + delay, std::move(action) });
}

/// Kills the process at the end of this step, runs `before`, which may change its disk, and
/// restarts the process.
void StateScenario::scheduleKill(const HostId& host, const std::function<void()>& before)
{
    schedule(0ms, [this, host, before] {
        const CrashKind kind
            = uniformBelow(m_random, 2) == 0 ? CrashKind::Prefix : CrashKind::Sectors;
        m_cluster.kill(host, kind);
        m_awaitingRestart.insert(host);
        if (before)
            before();
        schedule(restartTime, [this, host] {
            m_awaitingRestart.erase(host);
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
        runDueActions();
        restartHaltedHosts();
        runOperator();
    }
}

void StateScenario::runDueActions()
{
    std::vector<Action> due;
    const TimePoint now = m_cluster.network().now();
    const auto isDue = [now](const Action& action) { return action.due <= now; };
    std::copy_if(m_actions.begin(), m_actions.end(), std::back_inserter(due), isDue);
    std::erase_if(m_actions, isDue);
    for (const Action& action : due)
        action.run();
}

/// Restarts processes that halted. Storage may be rejected as corrupt only after a flipped bit,
/// with an error that names the offset, or after old state, with an error that names the old copy.
/// The storage is then emptied, as an operator would do.
void StateScenario::restartHaltedHosts()
{
    for (const HostId& host : m_cluster.hosts())
        if (m_cluster.refusal(host) && m_awaitingRestart.insert(host).second)
            schedule(restartTime, [this, host] { restartRefused(host); });
}

void StateScenario::restartRefused(const HostId& host)
{
    m_awaitingRestart.erase(host);
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
            m_cluster.recordViolation(host.value() + " failed: " + error.message);
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

/// Submits one change after another and resends each until its outcome is known.
void StateScenario::runOperator()
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

/// Checks that at most one of the changes with the same expected revision was accepted.
void StateScenario::checkRaces()
{
    std::map<Revision, ChangeId> winners;
    for (const auto& [id, submitted] : m_cluster.submitted()) {
        if (!submitted.accepted)
            continue;
        const auto [winner, isNew] = winners.try_emplace(submitted.change.expected, id);
        if (!isNew)
            m_cluster.recordViolation("both " + winner->second.value() + " and " + id.value()
                + " were accepted with the same expected revision");
    }
}

} // namespace laburnum::matrix
