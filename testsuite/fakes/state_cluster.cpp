#include "fakes/state_cluster.h"

#include <algorithm>

namespace laburnum::fakes {

namespace {

    constexpr auto settleTime = std::chrono::seconds(20);
    constexpr auto stepTime = std::chrono::milliseconds(1);

} // namespace

/// Forwards commands to the service and implements the mutation `ignoresExpected`.
class StateCluster::MutatedStateMachine final : public StateMachine {
public:
    MutatedStateMachine(StateCluster& cluster, HostId host, ConfigService& service)
        : m_cluster(cluster)
        , m_host(std::move(host))
        , m_service(service)
    {
    }
    void apply(LogIndex index, std::string_view command) override
    {
        m_cluster.observe(StateEvent::Apply, m_host);
        m_service.apply(index, command);
        if (!m_cluster.m_options.mutations.ignoresExpected)
            return;
        auto change = decodeConfigChange(command);
        const auto& history = m_service.ledger().history();
        if (!change || (!history.empty() && history.back().change == change->id))
            return;
        change->expected = m_service.ledger().current().revision;
        m_service.apply(index, encodeConfigChange(*change));
    }
    std::string snapshot() const override { return m_service.snapshot(); }
    Expected<void> restore(std::string_view bytes) override { return m_service.restore(bytes); }

private:
    StateCluster& m_cluster;
    HostId m_host;
    ConfigService& m_service;
};

StateCluster::StateCluster(StateClusterOptions options)
    : m_options(options)
    , m_random(options.seed)
    , m_network(m_random())
{
    for (unsigned i = 1; i <= options.hosts; ++i)
        m_hosts[HostId("c" + std::to_string(i))];
    m_network.setTap([this](PeerMessage& message) { return watchMessage(message); });
    for (auto& [id, host] : m_hosts) {
        host.storage.ignoreSyncs(options.mutations.ignoresSyncs);
        host.storage.setObserver([this, id = id](std::string_view operation,
                                     std::string_view name) { watchStorage(id, operation, name); });
        start(id);
    }
}

std::vector<HostId> StateCluster::hosts() const
{
    std::vector<HostId> ids;
    ids.reserve(m_hosts.size());
    for (const auto& [id, host] : m_hosts)
        ids.push_back(id);
    return ids;
}

std::vector<HostId> StateCluster::listedHosts() const
{
    std::vector<HostId> ids = hosts();
    if (m_options.admission == Admission::Open)
        ids.resize(std::min<std::size_t>(ids.size(), m_options.listed));
    return ids;
}

void StateCluster::start(const HostId& id)
{
    Host& host = m_hosts.at(id);
    host.refusal.reset();
    const bool isFirstStart = host.identities == 0;
    if (host.identities == 0 || !m_options.mutations.keepsIdentity)
        ++host.identities;
    const MemberId newMember(id.value() + "-" + std::to_string(host.identities));
    const bool isFounding = m_options.admission == Admission::Open && isFirstStart;
    auto store = LogStore::open(
        host.storage, newMember, isFounding ? listedHosts() : std::vector<HostId>());
    if (!store) {
        host.refusal = store.error();
        return;
    }
    ReplicatedLogOptions options;
    options.host = id;
    options.controlHosts = listedHosts();
    options.admission = m_options.admission;
    options.mayBootstrap = m_options.admission == Admission::Listed || isFirstStart;
    options.seed = m_random();
    options.snapshotEntries = m_options.snapshotEntries;
    options.trailingEntries = m_options.trailingEntries;
    host.service = std::make_unique<ConfigService>(id);
    host.state = std::make_unique<MutatedStateMachine>(*this, id, *host.service);
    auto log = ReplicatedLog::create(options, std::move(*store), *host.state, m_network.now());
    if (!log) {
        host.refusal = log.error();
        return;
    }
    host.log = std::move(*log);
    host.service->attach(*host.log);
    host.seenCommit = host.log->commitIndex();
    host.seenRevision = host.service->ledger().current().revision;
    host.seenBase = host.log->store().baseIndex();
    m_network.attach(id, *host.log);
    m_network.attach(id, *host.service);
    observe(StateEvent::Restart, id);
}

void StateCluster::kill(const HostId& id, CrashKind kind)
{
    Host& host = m_hosts.at(id);
    m_network.detach(id);
    host.log.reset();
    host.state.reset();
    host.service.reset();
    if (kind == CrashKind::Process)
        host.storage.resume();
    else if (kind == CrashKind::Prefix)
        host.storage.crash(m_random);
    else
        host.storage.crashInSectors(m_random);
}

const std::optional<Error>& StateCluster::refusal(const HostId& id) const
{
    const Host& host = m_hosts.at(id);
    return host.log ? host.log->failure() : host.refusal;
}

void StateCluster::submit(const HostId& id, const ConfigChange& change)
{
    Host& host = m_hosts.at(id);
    m_submitted[change.id].change = change;
    if (!host.log)
        return;
    Outbox out(id);
    host.service->submit(change, m_network.now(), out,
        [this, key = change.id](const Expected<Revision>& result) { onAnswer(key, result); });
    observe(StateEvent::Propose, id);
    m_network.flush(out);
}

void StateCluster::onAnswer(const ChangeId& id, const Expected<Revision>& result)
{
    if (result)
        checkDurable(m_submitted[id].change);
    if (m_dropsAnswers)
        return;
    SubmittedChange& submitted = m_submitted[id];
    ++submitted.answers;
    if (!result) {
        const bool isRefused = result.error().code == ErrorCode::Conflict;
        submitted.refused = submitted.refused || isRefused;
        submitted.unknown = submitted.unknown || !isRefused;
    } else if (submitted.accepted && *submitted.accepted != *result) {
        recordViolation("change " + id.value() + " was acknowledged with two revisions");
    } else {
        submitted.accepted = *result;
    }
    if (submitted.accepted && submitted.refused)
        recordViolation("change " + id.value() + " was both accepted and refused");
}

/// An acknowledged change must be durable on a majority: counts the disks from which the change
/// could be recovered after a power failure.
void StateCluster::checkDurable(const ConfigChange& change)
{
    if (!m_options.checksDurability)
        return;
    std::size_t holders = 0;
    for (auto& [id, host] : m_hosts) {
        FakeStorage disk = host.storage;
        disk.setObserver({});
        disk.crash();
        auto store = LogStore::open(disk, MemberId("probe"));
        if (!store)
            continue;
        ConfigLedger ledger;
        const auto restored = ledger.restore(store->snapshot().state);
        bool holds = restored
            && std::any_of(ledger.history().begin(), ledger.history().end(),
                [&](const ConfigRecord& record) { return record.change == change.id; });
        for (LogIndex index = next(store->baseIndex()); index <= store->lastIndex();
             index = next(index)) {
            const auto held = decodeConfigChange(store->at(index).command);
            holds = holds || (held && held->id == change.id);
        }
        holders += holds ? 1 : 0;
    }
    if (holders < m_hosts.size() / 2 + 1)
        recordViolation("change " + change.id.value() + " was acknowledged and is durable on "
            + std::to_string(holders) + " hosts only");
}

void StateCluster::observe(StateEvent event, const HostId& host)
{
    if (m_observer)
        m_observer(event, host);
}

bool StateCluster::watchMessage(PeerMessage& message)
{
    if (message.method == "log.voted" && m_options.mutations.forgesVotes) {
        message.params["granted"] = true;
        if (!message.params["pre"].asBool())
            message.params["term"] = message.params["requested"];
    }
    if (message.method == "log.join")
        observe(StateEvent::Join, message.from);
    else if (message.method == "log.appended" && message.params["matched"].asBool())
        observe(StateEvent::Acknowledge, message.from);
    else if (message.method == "log.append")
        observe(message.params["entries"].empty() ? StateEvent::Heartbeat : StateEvent::Replicate,
            message.from);
    return true;
}

void StateCluster::watchStorage(
    const HostId& host, std::string_view operation, std::string_view name)
{
    if (operation == "append")
        observe(StateEvent::Append, host);
    else if (operation == "sync")
        observe(StateEvent::Sync, host);
    else if (operation == "replace" && name == "snapshot")
        observe(StateEvent::Snapshot, host);
}

void StateCluster::run(Duration time, const std::function<bool()>& until)
{
    const TimePoint end = m_network.now() + time;
    while (m_network.now() < end && !(until && until())) {
        m_network.run(stepTime);
        check();
    }
}

std::optional<HostId> StateCluster::leader() const
{
    std::optional<HostId> found;
    Term newest;
    for (const auto& [id, host] : m_hosts)
        if (host.log && host.log->role() == LogRole::Leader && host.log->term() >= newest) {
            newest = host.log->term();
            found = id;
        }
    return found;
}

Revision StateCluster::newestAccepted() const
{
    Revision newest;
    for (const auto& [id, submitted] : m_submitted)
        newest = std::max(newest, submitted.accepted.value_or(Revision(0)));
    return newest;
}

void StateCluster::recordViolation(const std::string& violation)
{
    if (std::find(m_violations.begin(), m_violations.end(), violation) == m_violations.end())
        m_violations.push_back(violation);
}

void StateCluster::check()
{
    for (auto& [id, host] : m_hosts) {
        if (!host.log)
            continue;
        if (host.log->role() == LogRole::Leader) {
            const auto [leader, isNew]
                = m_leaders.try_emplace(host.log->term(), host.log->member());
            if (!isNew && leader->second != host.log->member())
                recordViolation("two leaders in term " + std::to_string(host.log->term().value()));
        }
        const Revision revision = host.service->ledger().current().revision;
        if (revision < host.seenRevision)
            recordViolation("the revision decreased at " + id.value());
        if (revision > host.seenRevision)
            checkHistory(id, host);
        host.seenRevision = revision;
        checkCommitted(id, host);
        const LogIndex base = host.log->store().baseIndex();
        if (base > host.seenBase)
            observe(StateEvent::Truncate, id);
        host.seenBase = base;
    }
}

void StateCluster::checkCommitted(const HostId& id, Host& host)
{
    const LogStore& store = host.log->store();
    const LogIndex commit = host.log->commitIndex();
    if (commit < host.seenCommit)
        recordViolation("the commit index decreased at " + id.value());
    bool isChange = false;
    for (LogIndex index = next(std::max(host.seenCommit, store.baseIndex())); index <= commit;
         index = next(index)) {
        const LogEntry& entry = store.at(index);
        isChange = isChange || entry.kind == EntryKind::Membership;
        const auto [first, isNew]
            = m_committed.try_emplace(index, CommittedEntry { entry.term, entry.command });
        if (!isNew && (first->second.term != entry.term || first->second.command != entry.command))
            recordViolation(
                "hosts committed different entries at " + std::to_string(index.value()));
    }
    if (commit > host.seenCommit) {
        host.seenCommit = commit;
        observe(StateEvent::Commit, id);
        if (isChange)
            observe(StateEvent::MembershipCommit, id);
    }
}

/// Checks that every acknowledged change took effect exactly once, at its acknowledged revision,
/// and that no refused change took effect.
void StateCluster::checkHistory(const HostId& id, Host& host)
{
    std::set<ChangeId> seen;
    const auto& history = host.service->ledger().history();
    for (const ConfigRecord& record : history) {
        if (!seen.insert(record.change).second)
            recordViolation("change " + record.change.value() + " took effect twice");
        const auto submitted = m_submitted.find(record.change);
        if (submitted == m_submitted.end())
            continue;
        if (submitted->second.refused)
            recordViolation("change " + record.change.value() + " was refused and took effect");
        if (submitted->second.accepted && *submitted->second.accepted != record.revision)
            recordViolation("change " + record.change.value() + " moved to another revision");
    }
    for (const auto& [change, submitted] : m_submitted)
        if (submitted.accepted && *submitted.accepted <= host.service->ledger().current().revision
            && !seen.contains(change))
            recordViolation("acknowledged change " + change.value() + " is lost at " + id.value());
}

bool StateCluster::hasSettled() const
{
    std::set<Revision> revisions;
    for (const auto& [id, host] : m_hosts) {
        if (!host.log || host.log->failure())
            return false;
        revisions.insert(host.service->ledger().current().revision);
        if (!host.log->membership().isVoter(host.log->member())
            || host.log->membership().voterCount() != m_hosts.size())
            return false;
    }
    return revisions.size() == 1 && leader().has_value();
}

/// Submits changes until one is accepted. A change that conflicts with one of another operator is
/// refused, and the next one is submitted.
bool StateCluster::acceptsChange()
{
    constexpr unsigned attempts = 5;
    for (unsigned attempt = 0; attempt < attempts && leader(); ++attempt) {
        const ChangeId id("settled-" + std::to_string(attempt));
        const Revision expected = service(*leader()).ledger().current().revision;
        submit(*leader(), { id, expected, "settled" });
        run(settleTime, [&] { return m_submitted[id].answers > 0 && hasSettled(); });
        if (m_submitted[id].accepted)
            return true;
    }
    return false;
}

void StateCluster::settle()
{
    m_dropsAnswers = false;
    m_network.setFaults({});
    m_network.setDelay({});
    for (const HostId& host : hosts()) {
        m_network.isolate(host, false);
        m_network.freeze(host, false);
        for (const HostId& other : hosts())
            m_network.cut(host, other, false);
        FakeStorage& disk = storage(host);
        if (isUp(host) && (refusal(host) || disk.stopped()))
            kill(host);
        disk.resume();
        disk.failSyncs(0);
        disk.failWrites(0);
        if (!isUp(host))
            start(host);
    }
    run(settleTime, [&] { return hasSettled(); });
    if (!hasSettled()) {
        for (const HostId& host : hosts())
            if (refusal(host))
                recordViolation(host.value() + " failed: " + refusal(host)->message);
        recordViolation("the hosts did not settle within 20 s");
        return;
    }
    if (!acceptsChange())
        recordViolation("no change is accepted after all faults were removed");
    for (auto& [id, host] : m_hosts)
        checkHistory(id, host);
}

} // namespace laburnum::fakes
