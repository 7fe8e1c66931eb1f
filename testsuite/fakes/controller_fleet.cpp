#include "fakes/controller_fleet.h"

#include <algorithm>
#include <utility>

namespace laburnum::fakes {

using std::chrono::milliseconds;

namespace {

    constexpr auto step = milliseconds(1);
    /// A connection is closed when sent data stays unacknowledged this long.
    constexpr auto unacknowledgedTimeout = milliseconds(1200);
    /// Interval between attempts of a control host to reopen its log store.
    constexpr auto reopenInterval = milliseconds(500);
    /// More failing writes than a test makes.
    constexpr unsigned manyWrites = 1'000'000'000;

} // namespace

ControllerFleet::ControllerFleet(ControllerFleetOptions options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
{
    for (unsigned i = 1; i <= m_options.controls; ++i)
        schedule(milliseconds(uniformBelow(m_random, 300)),
            [this, i] { startControl(control(i), true); });
    for (unsigned i = 1; i <= m_options.entries; ++i)
        schedule(milliseconds(uniformBelow(m_random, 300)), [this, i] { startEntry(entry(i)); });
}

ControllerFleet::~ControllerFleet() = default;

std::vector<HostId> ControllerFleet::seedHosts() const
{
    if (!m_seeds.empty())
        return m_seeds;
    std::vector<HostId> seeds;
    for (unsigned i = 1; i <= m_options.seeds; ++i)
        seeds.push_back(control(i));
    return seeds;
}

void ControllerFleet::schedule(Duration delay, std::function<void()> action)
{
    m_events[{ m_now + delay, ++m_order }] = std::move(action);
}

void ControllerFleet::deliver(const HostId& to, std::function<void()> action)
{
    const auto control = m_controls.find(to);
    if (control != m_controls.end() && control->second.frozen)
        return control->second.deferred.push_back(std::move(action));
    const auto entry = m_entries.find(to);
    if (entry != m_entries.end() && entry->second.frozen)
        return entry->second.deferred.push_back(std::move(action));
    action();
}

void ControllerFleet::run(Duration time)
{
    const TimePoint end = m_now + time;
    while (m_now < end) {
        const TimePoint next = m_now + step;
        if (!m_options.processor)
            m_now = next;
        while (!m_events.empty() && m_events.begin()->first.first <= next) {
            m_now = std::max(m_now, m_events.begin()->first.first);
            const auto action = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            action();
        }
        m_now = next;
        tickAll();
    }
}

void ControllerFleet::tickAll()
{
    const bool isTickDue
        = toMillis(m_now.time_since_epoch()) % toMillis(Controller::tickInterval) == 0;
    for (auto& [id, control] : m_controls) {
        if (!control.controller || control.frozen)
            continue;
        if (!m_options.processor) {
            if (isTickDue)
                withController(id, [&](Controller& controller, ControllerActions& out) {
                    controller.tick(m_now, out);
                });
        } else if (!control.tickWaits && m_now >= control.tickDue) {
            control.tickWaits = true;
            enqueue(id,
                { m_now, LinkId(0), "",
                    [this, &control](Controller& controller, ControllerActions& out) {
                        control.tickWaits = false;
                        control.tickDue = m_now + Controller::tickInterval;
                        controller.tick(m_now, out);
                    } });
        }
    }
    if (!isTickDue)
        return;
    for (auto& [id, entry] : m_entries) {
        if (entry.client && !entry.frozen)
            withClient(id, [&](ControllerClient& client, ControllerClientActions& out) {
                client.tick(m_now, out);
            });
    }
}

/// The event loop handles inputs in order of arrival over all connections.
ControllerFleet::Input ControllerFleet::takeNext(std::deque<Input>& inbox)
{
    Input input = std::move(inbox.front());
    inbox.pop_front();
    return input;
}

void ControllerFleet::enqueue(const HostId& host, Input input)
{
    m_controls.at(host).inbox.push_back(std::move(input));
    startTurn(host);
}

Duration ControllerFleet::costOf(const Input& input, const ControllerActions& actions) const
{
    const ProcessorCosts& costs = *m_options.processor;
    Duration cost = input.isSlice ? costs.slice : costs.turn;
    if (Controller::workCategory(input.frame) == "log")
        cost += costs.logMessage;
    std::size_t bytes = 0;
    for (const auto& [to, frame] : actions.frames)
        bytes += frame.size();
    for (const auto& [to, frame] : actions.peerFrames)
        bytes += frame.size();
    const std::size_t frames = actions.frames.size() + actions.peerFrames.size();
    return cost + costs.frameSent * frames + costs.kibibyteSent * bytes / 1024;
}

/// Handles the next input; its resulting actions are performed after its cost has elapsed.
void ControllerFleet::startTurn(const HostId& host)
{
    ControlHost& control = m_controls.at(host);
    if (control.inTurn || control.frozen || control.inbox.empty() || !control.controller)
        return;
    const ProcessorCosts& costs = *m_options.processor;
    const Input input = takeNext(control.inbox);
    const std::uint64_t evaluations = control.controller->scheduler().evaluations();
    const unsigned syncs = control.storage.syncs();
    if (input.other)
        input.other(*control.controller, control.pendingActions);
    else
        control.controller->receive(input.link, input.frame, m_now, control.pendingActions);
    Duration cost = costOf(input, control.pendingActions);
    cost += costs.evaluation * (control.controller->scheduler().evaluations() - evaluations);
    cost += costs.sync * (control.storage.syncs() - syncs);
    EventLoopStats& stats = control.stats;
    stats.busy += cost;
    stats.longestTurn = std::max(stats.longestTurn, cost);
    stats.longestWait = std::max(stats.longestWait, m_now - input.arrived);
    ++stats.turns;
    control.inTurn = true;
    schedule(cost, [this, host, identity = control.identities] { endTurn(host, identity); });
}

void ControllerFleet::endTurn(const HostId& host, unsigned identity)
{
    ControlHost& control = m_controls.at(host);
    if (control.identities != identity || !control.controller)
        return;
    if (control.frozen)
        return schedule(step, [this, host, identity] { endTurn(host, identity); });
    control.inTurn = false;
    ControllerActions actions = std::exchange(control.pendingActions, {});
    perform(host, actions);
    postWork(host);
    startTurn(host);
}

/// Queues a slice of the backlog behind the inputs already received, like a task posted to the
/// event loop.
void ControllerFleet::postWork(const HostId& host)
{
    ControlHost& control = m_controls.at(host);
    if (control.workWaits || !control.controller->hasBacklog())
        return;
    control.workWaits = true;
    control.inbox.push_back({ m_now, LinkId(0), "",
        [this, &control](Controller& controller, ControllerActions& out) {
            control.workWaits = false;
            controller.work(m_now, out);
        },
        true });
}

void ControllerFleet::resetLoopStats()
{
    for (auto& [id, control] : m_controls)
        control.stats = {};
}

std::uint64_t ControllerFleet::decisions(const std::string& kind, const std::string& reason) const
{
    const auto found = m_decisions.find({ kind, reason });
    return found == m_decisions.end() ? 0 : found->second;
}

void ControllerFleet::frameToController(const HostId& host, LinkId link, const std::string& frame)
{
    if (m_options.processor)
        return enqueue(host, { m_now, link, frame, nullptr });
    deliver(host, [this, host, link, frame] {
        withController(host, [&](Controller& controller, ControllerActions& out) {
            controller.receive(link, frame, m_now, out);
        });
    });
}

void ControllerFleet::closeAtController(const HostId& host, LinkId link)
{
    Controller* running = controller(host);
    if (running == nullptr)
        return;
    if (!m_options.processor)
        return running->closeLink(link, m_now);
    enqueue(host, { m_now, link, "", [this, link](Controller& controller, ControllerActions&) {
                       controller.closeLink(link, m_now);
                   } });
}

bool ControllerFleet::runUntil(Duration limit, const std::function<bool()>& until)
{
    const TimePoint end = m_now + limit;
    while (!until() && m_now < end)
        run(step);
    return until();
}

void ControllerFleet::startControl(const HostId& host, bool mayBootstrap)
{
    ControlHost& control = m_controls[host];
    ++control.identities;
    control.controller.reset();
    control.reopens = false;
    auto store = LogStore::open(control.storage,
        MemberId(host.value() + '-' + std::to_string(control.identities)),
        mayBootstrap ? seedHosts() : std::vector<HostId>());
    if (!store)
        return reopenLater(host);
    ControllerOptions options;
    options.host = host;
    options.seeds = seedHosts();
    options.mayBootstrap = mayBootstrap;
    options.spilloverFrom = m_options.spilloverFrom;
    options.seed = m_random();
    options.repeats = { 0.2, 64.0, std::chrono::seconds(10) };
    options.accountsOf = m_options.accountsOf;
    control.controller
        = std::move(*Controller::create(std::move(options), std::move(*store), m_now));
    control.inbox.clear();
    control.inTurn = false;
    control.pendingActions = {};
    control.tickDue = m_now;
    control.tickWaits = false;
    control.workWaits = false;
}

void ControllerFleet::startEntry(
    const HostId& host, const DataCentreId& dataCentre, const RegionId& region)
{
    const HostLocation place { host, dataCentre, region };
    m_entries[host].client = std::make_unique<ControllerClient>(
        place, seedHosts(), m_random(), Endpoint { host.value(), 1 });
    m_entries[host].client->setKeyValidity(m_options.keyValidity);
}

void ControllerFleet::fillDisk(const HostId& host, bool isFull)
{
    m_controls.at(host).storage.failWrites(isFull ? manyWrites : 0);
}

void ControllerFleet::reopenLater(const HostId& host)
{
    ControlHost& control = m_controls.at(host);
    control.controller.reset();
    control.reopens = true;
    schedule(reopenInterval, [this, host, identity = control.identities] {
        const ControlHost& failed = m_controls.at(host);
        // Not if the host was killed or started meanwhile.
        if (failed.reopens && failed.identities == identity)
            reopen(host);
    });
}

void ControllerFleet::reopen(const HostId& host)
{
    startControl(host);
    if (isUp(host))
        closeLinksOf(host);
}

void ControllerFleet::kill(const HostId& host)
{
    if (const auto control = m_controls.find(host); control != m_controls.end()) {
        endProcess(control->second);
        control->second.storage.crash(m_random);
    } else {
        m_entries.at(host).client.reset();
    }
    closeLinksOf(host);
}

void ControllerFleet::endProcess(ControlHost& control)
{
    control.controller.reset();
    control.reopens = false;
    control.deferred.clear();
    control.inbox.clear();
}

void ControllerFleet::losePower(const HostId& host)
{
    const auto control = m_controls.find(host);
    if (control == m_controls.end())
        return kill(host);
    endProcess(control->second);
    FakeStorage& storage = control->second.storage;
    const auto kind = uniformBelow(m_random, 3);
    if (kind == 0)
        storage.crash();
    else if (kind == 1)
        storage.crash(m_random);
    else
        storage.crashInSectors(m_random);
    closeLinksOf(host);
}

void ControllerFleet::stopAtWrite(const HostId& host, unsigned operation, StopPoint point)
{
    m_controls.at(host).storage.stopAt(operation, point);
}

void ControllerFleet::closeLinksOf(const HostId& host)
{
    std::vector<LinkId> ended;
    for (const auto& [id, link] : m_links) {
        if (link.entry == host || link.control == host)
            ended.push_back(id);
    }
    for (const LinkId id : ended)
        schedule(m_options.delay, [this, id] { closeLink(id); });
}

void ControllerFleet::wipe(const HostId& host)
{
    kill(host);
    m_controls.at(host).storage.eraseAll();
}

void ControllerFleet::cut(const HostId& a, const HostId& b, bool isCut)
{
    for (const auto& pair : { std::pair(a, b), std::pair(b, a) }) {
        if (isCut)
            m_cuts.insert(pair);
        else
            m_cuts.erase(pair);
    }
}

void ControllerFleet::refuseConnections(const HostId& host, bool isRefusing)
{
    if (isRefusing)
        m_refusing.insert(host);
    else
        m_refusing.erase(host);
}

void ControllerFleet::freeze(const HostId& host, bool isFrozen)
{
    std::vector<std::function<void()>> deferred;
    if (const auto control = m_controls.find(host); control != m_controls.end()) {
        control->second.frozen = isFrozen;
        deferred = std::exchange(control->second.deferred, {});
        startTurn(host);
    } else {
        m_entries.at(host).frozen = isFrozen;
        deferred = std::exchange(m_entries.at(host).deferred, {});
    }
    for (const auto& action : deferred)
        action();
}

bool ControllerFleet::isCut(const HostId& a, const HostId& b) const
{
    return m_cuts.contains({ a, b });
}

bool ControllerFleet::isUp(const HostId& host) const
{
    const auto control = m_controls.find(host);
    if (control != m_controls.end())
        return control->second.controller != nullptr;
    const auto entry = m_entries.find(host);
    return entry != m_entries.end() && entry->second.client != nullptr;
}

template <class Function>
void ControllerFleet::withController(const HostId& host, Function&& function)
{
    Controller* running = controller(host);
    if (running == nullptr)
        return;
    ControllerActions actions;
    function(*running, actions);
    while (running->hasBacklog())
        running->work(m_now, actions);
    perform(host, actions);
    if (running->log().failure())
        reopenLater(host);
}

template <class Function> void ControllerFleet::withClient(const HostId& host, Function&& function)
{
    EntryHost& entry = m_entries.at(host);
    if (!entry.client)
        return;
    ControllerClientActions actions;
    function(*entry.client, actions);
    perform(host, actions);
}

void ControllerFleet::perform(const HostId& host, ControllerActions& actions)
{
    for (auto& [to, frame] : actions.peerFrames) {
        m_bytes[host] += frame.size();
        const Duration delay = m_options.delay + m_extraDelays[host] + m_extraDelays[to];
        schedule(delay, [this, host, to = to, frame = std::move(frame)] {
            if (isCut(host, to) || !isUp(to))
                return;
            frameToController(to, LinkId(0), frame);
        });
    }
    for (auto& [link, frame] : actions.frames)
        sendToEntry(link, std::move(frame));
    for (const auto& decision : actions.decisions)
        ++m_decisions[{ decision.kind, decision.reason }];
    for (auto& [call, result] : actions.results) {
        CallRecord& record = m_calls.at(call.value());
        record.result = result;
        record.ended = m_now;
    }
}

void ControllerFleet::perform(const HostId& host, ControllerClientActions& actions)
{
    if (actions.configChanged && m_options.keyValidity > Duration::zero())
        client(host).requireKeyConfirmation(true, m_now, actions);
    for (const auto& decision : actions.decisions)
        ++m_decisions[{ decision.kind, decision.reason }];
    if (actions.configChanged && m_options.accountsOf)
        client(host).setAccounts(m_options.accountsOf(client(host).config().content));
    const auto& links = m_entries.at(host).links;
    for (const LinkId link : actions.closes) {
        if (const auto found = links.find(link); found != links.end())
            closeLinkFromEntry(found->second);
    }
    for (const auto& [link, to] : actions.opens)
        openLink(host, link, to);
    for (auto& [link, frame] : actions.frames) {
        if (const auto found = links.find(link); found != links.end())
            sendToControl(found->second, std::move(frame));
    }
    for (auto& [to, bytes] : actions.datagrams)
        schedule(m_options.delay, [this, host, to = HostId(to.address), bytes = std::move(bytes)] {
            if (isCut(host, to) || !isUp(to))
                return;
            deliver(to, [this, host, to, bytes] {
                withClient(to, [&](ControllerClient& receiver, ControllerClientActions& out) {
                    receiver.receiveDatagram({ host.value(), 1 }, bytes, m_now, out);
                });
            });
        });
    for (auto& answer : actions.answers) {
        if (m_onAnswer)
            m_onAnswer(host, answer);
        else
            m_entries.at(host).answers[answer.dispatch] = answer;
    }
}

void ControllerFleet::openLink(const HostId& entry, LinkId entryLinkId, const HostId& control)
{
    schedule(2 * m_options.delay, [this, entry, entryLinkId, control] {
        if (isCut(entry, control) || !isUp(entry))
            return;
        const bool isAccepted = isUp(control) || m_silent.contains(control);
        if (!isAccepted || m_refusing.contains(control)) {
            withClient(entry, [&](ControllerClient& client, ControllerClientActions& out) {
                client.linkClosed(entryLinkId, m_now, out);
            });
            return;
        }
        m_lastLink = next(m_lastLink);
        m_links[m_lastLink] = { entry, entryLinkId, control };
        m_entries.at(entry).links[entryLinkId] = m_lastLink;
        withClient(entry, [&](ControllerClient& client, ControllerClientActions& out) {
            client.linkOpened(entryLinkId, m_now, out);
        });
    });
}

void ControllerFleet::sendToControl(LinkId linkId, std::string frame)
{
    m_linkBytes += frame.size();
    m_linkMeter.count(frame, FrameDirection::Out);
    schedule(m_options.delay, [this, linkId, frame = std::move(frame)] {
        const auto found = m_links.find(linkId);
        if (found == m_links.end() || found->second.closedByEntry)
            return;
        if (isCut(found->second.entry, found->second.control))
            return schedule(unacknowledgedTimeout, [this, linkId] { closeLink(linkId); });
        frameToController(found->second.control, linkId, frame);
    });
}

void ControllerFleet::sendToEntry(LinkId linkId, std::string frame)
{
    m_linkBytes += frame.size();
    m_linkMeter.count(frame, FrameDirection::In);
    schedule(m_options.delay, [this, linkId, frame = std::move(frame)] {
        const auto found = m_links.find(linkId);
        if (found == m_links.end() || found->second.closedByEntry)
            return;
        if (isCut(found->second.entry, found->second.control))
            return schedule(unacknowledgedTimeout, [this, linkId] { closeLink(linkId); });
        const Link link = found->second;
        deliver(link.entry, [this, link, frame] {
            withClient(link.entry, [&](ControllerClient& client, ControllerClientActions& out) {
                client.receive(link.entryLinkId, frame, m_now, out);
            });
        });
    });
}

/// The entry host closed the connection; the control host is notified after the delay.
void ControllerFleet::closeLinkFromEntry(LinkId linkId)
{
    Link& link = m_links.at(linkId);
    link.closedByEntry = true;
    m_entries.at(link.entry).links.erase(link.entryLinkId);
    schedule(m_options.delay, [this, linkId] {
        const auto found = m_links.find(linkId);
        if (found == m_links.end())
            return;
        const HostId control = found->second.control;
        m_links.erase(found);
        closeAtController(control, linkId);
    });
}

/// Closes the connection and notifies both sides.
void ControllerFleet::closeLink(LinkId linkId)
{
    const auto found = m_links.find(linkId);
    if (found == m_links.end())
        return;
    const Link link = found->second;
    m_links.erase(found);
    auto& ofEntry = m_entries.at(link.entry).links;
    if (const auto own = ofEntry.find(link.entryLinkId);
        own != ofEntry.end() && own->second == linkId)
        ofEntry.erase(own);
    closeAtController(link.control, linkId);
    if (link.closedByEntry || !isUp(link.entry))
        return;
    // Waits behind the frames that a frozen host has not read.
    deliver(link.entry, [this, link] {
        withClient(link.entry, [&](ControllerClient& client, ControllerClientActions& out) {
            client.linkClosed(link.entryLinkId, m_now, out);
        });
    });
}

std::size_t ControllerFleet::call(const HostId& host, ControlCall call)
{
    const std::size_t index = m_calls.size();
    m_calls.push_back({ call, host, m_now, std::nullopt, m_now });
    if (m_options.processor) {
        enqueue(host,
            { m_now, LinkId(0), "",
                [this, index, call](Controller& controller, ControllerActions& out) {
                    controller.call(CallId(index), call, m_now, out);
                } });
        return index;
    }
    withController(host, [&](Controller& controller, ControllerActions& out) {
        controller.call(CallId(index), std::move(call), m_now, out);
    });
    return index;
}

bool ControllerFleet::callAnywhere(const ControlCall& wanted, Duration limit)
{
    const TimePoint end = m_now + limit;
    while (m_now < end) {
        for (const auto& [id, control] : m_controls) {
            if (!control.controller || control.frozen)
                continue;
            const std::size_t index = call(id, wanted);
            runUntil(std::chrono::seconds(1), [&] { return record(index).result.has_value(); });
            if (record(index).result && record(index).result->done)
                return true;
        }
        run(milliseconds(50));
    }
    return false;
}

Controller* ControllerFleet::controller(const HostId& host)
{
    const auto found = m_controls.find(host);
    return found == m_controls.end() ? nullptr : found->second.controller.get();
}

std::optional<HostId> ControllerFleet::leader()
{
    for (auto& [id, control] : m_controls) {
        if (control.controller && !control.frozen && control.controller->isLeader()
            && control.controller->log().holdsLease(m_now))
            return id;
    }
    return std::nullopt;
}

DispatchId ControllerFleet::dispatch(const HostId& entry, PlacementRequest placementRequest)
{
    DispatchId id;
    withClient(entry, [&](ControllerClient& client, ControllerClientActions& out) {
        id = client.dispatch(std::move(placementRequest), m_now, out);
    });
    return id;
}

void ControllerFleet::cancel(const HostId& entry, DispatchId dispatch)
{
    withClient(entry, [&](ControllerClient& client, ControllerClientActions& out) {
        client.cancel(dispatch, out);
    });
}

void ControllerFleet::reportOverdue(const HostId& entry, DispatchId dispatch, Duration elapsed)
{
    withClient(entry, [&](ControllerClient& client, ControllerClientActions& out) {
        client.reportOverdue(dispatch, elapsed, m_now, out);
    });
}

void ControllerFleet::reportRateLimit(
    const HostId& entry, DispatchId dispatch, std::optional<double> perSecond, Duration sinceSent)
{
    withClient(entry, [&](ControllerClient& client, ControllerClientActions& out) {
        client.reportRateLimit(dispatch, perSecond, sinceSent, m_now, out);
    });
}

void ControllerFleet::end(const HostId& entry, DispatchId dispatch, const PlacementReport& report)
{
    withClient(entry, [&](ControllerClient& client, ControllerClientActions& out) {
        client.end(dispatch, report, m_now, out);
    });
}

InstanceRecord instanceRecord(const std::string& id, const std::string& service, std::uint16_t port,
    std::uint64_t incarnation, std::uint64_t version)
{
    InstanceRecord record;
    record.id = InstanceId(id);
    record.service = ServiceId(service);
    record.endpoint = { "10.0.0.1", port };
    record.dataCentre = DataCentreId("d");
    record.region = RegionId("r");
    record.incarnation = incarnation;
    record.version = version;
    record.slots = 6;
    return record;
}

} // namespace laburnum::fakes
