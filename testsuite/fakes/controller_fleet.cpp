#include "fakes/controller_fleet.h"

#include <algorithm>
#include <utility>

namespace laburnum::fakes {

using std::chrono::milliseconds;

namespace {

    constexpr auto step = milliseconds(1);
    /// A connection whose bytes are not acknowledged ends after this.
    constexpr auto silenceLimit = milliseconds(1200);

} // namespace

ControllerFleet::ControllerFleet(ControllerFleetOptions options)
    : m_options(options)
    , m_random(options.seed)
{
    for (unsigned i = 1; i <= options.controls; ++i)
        later(milliseconds(uniformBelow(m_random, 300)),
            [this, i] { startControl(control(i), true); });
    for (unsigned i = 1; i <= options.entries; ++i)
        later(milliseconds(uniformBelow(m_random, 300)), [this, i] { startEntry(entry(i)); });
}

ControllerFleet::~ControllerFleet() = default;

std::vector<HostId> ControllerFleet::seedHosts() const
{
    std::vector<HostId> seeds;
    for (unsigned i = 1; i <= m_options.seeds; ++i)
        seeds.push_back(control(i));
    return seeds;
}

void ControllerFleet::later(Duration delay, std::function<void()> action)
{
    m_events[{ m_now + delay, ++m_order }] = std::move(action);
}

void ControllerFleet::deliver(const HostId& to, std::function<void()> action)
{
    const auto control = m_controls.find(to);
    if (control != m_controls.end() && control->second.frozen)
        return control->second.held.push_back(std::move(action));
    const auto entry = m_entries.find(to);
    if (entry != m_entries.end() && entry->second.frozen)
        return entry->second.held.push_back(std::move(action));
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
    const bool onGrid
        = toMillis(m_now.time_since_epoch()) % toMillis(Controller::tickInterval) == 0;
    for (auto& [id, control] : m_controls) {
        if (!control.controller || control.frozen)
            continue;
        if (!m_options.processor) {
            if (onGrid)
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
    if (!onGrid)
        return;
    for (auto& [id, entry] : m_entries) {
        if (entry.client && !entry.frozen)
            withClient(id, [&](ControllerClient& client, ControllerClientActions& out) {
                client.tick(m_now, out);
            });
    }
}

/// The order in which the loop serves what waits: that of arrival, over all connections.
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

/// Handles the next input; what it sends leaves when its cost has passed.
void ControllerFleet::startTurn(const HostId& host)
{
    Control& control = m_controls.at(host);
    if (control.inTurn || control.frozen || control.inbox.empty() || !control.controller)
        return;
    const ProcessorCosts& costs = *m_options.processor;
    const Input input = takeNext(control.inbox);
    const std::uint64_t evaluations = control.controller->scheduler().evaluations();
    const unsigned syncs = control.storage.syncs();
    if (input.other)
        input.other(*control.controller, control.leaving);
    else
        control.controller->receive(input.link, input.frame, m_now, control.leaving);
    Duration cost = costOf(input, control.leaving);
    cost += costs.weighing * (control.controller->scheduler().evaluations() - evaluations);
    cost += costs.sync * (control.storage.syncs() - syncs);
    LoopFigures& figures = control.figures;
    figures.busy += cost;
    figures.longestTurn = std::max(figures.longestTurn, cost);
    figures.longestWait = std::max(figures.longestWait, m_now - input.arrived);
    ++figures.turns;
    control.inTurn = true;
    later(cost, [this, host, identity = control.identities] { endTurn(host, identity); });
}

void ControllerFleet::endTurn(const HostId& host, unsigned identity)
{
    Control& control = m_controls.at(host);
    if (control.identities != identity || !control.controller)
        return;
    if (control.frozen)
        return later(step, [this, host, identity] { endTurn(host, identity); });
    control.inTurn = false;
    ControllerActions actions = std::exchange(control.leaving, {});
    carry(host, actions);
    postWork(host);
    startTurn(host);
}

/// A slice of the backlog waits behind what has arrived, as one posted to the loop does.
void ControllerFleet::postWork(const HostId& host)
{
    Control& control = m_controls.at(host);
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

void ControllerFleet::resetLoops()
{
    for (auto& [id, control] : m_controls)
        control.figures = {};
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
    Control& control = m_controls[host];
    ++control.identities;
    auto store = LogStore::open(
        control.storage, MemberId(host.value() + '-' + std::to_string(control.identities)));
    ControllerOptions options;
    options.host = host;
    options.seeds = seedHosts();
    options.mayBootstrap = mayBootstrap;
    options.seed = m_random();
    options.repeats = { 0.2, 64.0, std::chrono::seconds(10) };
    control.controller
        = std::move(*Controller::create(std::move(options), std::move(*store), m_now));
    control.inbox.clear();
    control.inTurn = false;
    control.leaving = {};
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
}

void ControllerFleet::kill(const HostId& host)
{
    if (const auto control = m_controls.find(host); control != m_controls.end()) {
        control->second.controller.reset();
        control->second.held.clear();
        control->second.inbox.clear();
        control->second.storage.crash(m_random);
    } else {
        m_entries.at(host).client.reset();
    }
    std::vector<LinkId> ended;
    for (const auto& [id, link] : m_links) {
        if (link.entry == host || link.control == host)
            ended.push_back(id);
    }
    for (const LinkId id : ended)
        later(m_options.delay, [this, id] { closeLink(id); });
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

void ControllerFleet::freeze(const HostId& host, bool isFrozen)
{
    std::vector<std::function<void()>> held;
    if (const auto control = m_controls.find(host); control != m_controls.end()) {
        control->second.frozen = isFrozen;
        held = std::exchange(control->second.held, {});
        startTurn(host);
    } else {
        m_entries.at(host).frozen = isFrozen;
        held = std::exchange(m_entries.at(host).held, {});
    }
    for (const auto& action : held)
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
    carry(host, actions);
}

template <class Function> void ControllerFleet::withClient(const HostId& host, Function&& function)
{
    Entry& entry = m_entries.at(host);
    if (!entry.client)
        return;
    ControllerClientActions actions;
    function(*entry.client, actions);
    carry(host, actions);
}

void ControllerFleet::carry(const HostId& host, ControllerActions& actions)
{
    for (auto& [to, frame] : actions.peerFrames) {
        m_bytes[host] += frame.size();
        later(m_options.delay, [this, host, to = to, frame = std::move(frame)] {
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

void ControllerFleet::carry(const HostId& host, ControllerClientActions& actions)
{
    const auto& links = m_entries.at(host).links;
    for (const LinkId link : actions.closes) {
        if (const auto found = links.find(link); found != links.end())
            breakLink(found->second);
    }
    for (const auto& [link, to] : actions.opens)
        openLink(host, link, to);
    for (auto& [link, frame] : actions.frames) {
        if (const auto found = links.find(link); found != links.end())
            sendToControl(found->second, std::move(frame));
    }
    for (auto& [to, bytes] : actions.datagrams)
        later(m_options.delay, [this, host, to = HostId(to.address), bytes = std::move(bytes)] {
            if (!isCut(host, to) && isUp(to))
                client(to).receiveDatagram({ host.value(), 1 }, bytes, m_now);
        });
    for (auto& answer : actions.answers) {
        if (m_onAnswer)
            m_onAnswer(host, answer);
        else
            m_entries.at(host).answers[answer.dispatch] = answer;
    }
}

void ControllerFleet::openLink(const HostId& entry, LinkId atEntry, const HostId& control)
{
    later(2 * m_options.delay, [this, entry, atEntry, control] {
        if (isCut(entry, control) || !isUp(entry))
            return;
        if (!isUp(control)) {
            withClient(entry, [&](ControllerClient& client, ControllerClientActions& out) {
                client.linkClosed(atEntry, m_now, out);
            });
            return;
        }
        m_lastLink = next(m_lastLink);
        m_links[m_lastLink] = { entry, atEntry, control };
        m_entries.at(entry).links[atEntry] = m_lastLink;
        withClient(entry, [&](ControllerClient& client, ControllerClientActions& out) {
            client.linkOpened(atEntry, m_now, out);
        });
    });
}

void ControllerFleet::sendToControl(LinkId global, std::string frame)
{
    m_linkBytes += frame.size();
    later(m_options.delay, [this, global, frame = std::move(frame)] {
        const auto found = m_links.find(global);
        if (found == m_links.end() || found->second.broken)
            return;
        if (isCut(found->second.entry, found->second.control))
            return later(silenceLimit, [this, global] { closeLink(global); });
        frameToController(found->second.control, global, frame);
    });
}

void ControllerFleet::sendToEntry(LinkId global, std::string frame)
{
    m_linkBytes += frame.size();
    later(m_options.delay, [this, global, frame = std::move(frame)] {
        const auto found = m_links.find(global);
        if (found == m_links.end() || found->second.broken)
            return;
        if (isCut(found->second.entry, found->second.control))
            return later(silenceLimit, [this, global] { closeLink(global); });
        const Link link = found->second;
        deliver(link.entry, [this, link, frame] {
            withClient(link.entry, [&](ControllerClient& client, ControllerClientActions& out) {
                client.receive(link.atEntry, frame, m_now, out);
            });
        });
    });
}

/// The entry host closed its side; the control host hears of it.
void ControllerFleet::breakLink(LinkId global)
{
    Link& link = m_links.at(global);
    link.broken = true;
    m_entries.at(link.entry).links.erase(link.atEntry);
    later(m_options.delay, [this, global] {
        const auto found = m_links.find(global);
        if (found == m_links.end())
            return;
        const HostId control = found->second.control;
        m_links.erase(found);
        closeAtController(control, global);
    });
}

/// Both sides hear that the connection ended.
void ControllerFleet::closeLink(LinkId global)
{
    const auto found = m_links.find(global);
    if (found == m_links.end())
        return;
    const Link link = found->second;
    m_links.erase(found);
    auto& ofEntry = m_entries.at(link.entry).links;
    if (const auto own = ofEntry.find(link.atEntry); own != ofEntry.end() && own->second == global)
        ofEntry.erase(own);
    closeAtController(link.control, global);
    if (!link.broken && isUp(link.entry))
        withClient(link.entry, [&](ControllerClient& client, ControllerClientActions& out) {
            client.linkClosed(link.atEntry, m_now, out);
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

DispatchId ControllerFleet::dispatch(const HostId& entry, PlacementRequest demand)
{
    DispatchId id;
    withClient(entry, [&](ControllerClient& client, ControllerClientActions& out) {
        id = client.dispatch(std::move(demand), m_now, out);
    });
    return id;
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
