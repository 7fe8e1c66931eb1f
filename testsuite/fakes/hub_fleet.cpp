#include "fakes/hub_fleet.h"

namespace laburnum::fakes {

using std::chrono::milliseconds;

namespace {

    constexpr auto step = milliseconds(1);
    /// A connection whose bytes are not acknowledged ends after this.
    constexpr auto silenceLimit = milliseconds(1200);

} // namespace

HubFleet::HubFleet(HubFleetOptions options)
    : m_options(options)
    , m_random(options.seed)
{
    for (unsigned i = 1; i <= options.controls; ++i)
        later(milliseconds(uniformBelow(m_random, 300)),
            [this, i] { startControl(control(i), true); });
    for (unsigned i = 1; i <= options.entries; ++i)
        later(milliseconds(uniformBelow(m_random, 300)), [this, i] { startEntry(entry(i)); });
}

HubFleet::~HubFleet() = default;

std::vector<HostId> HubFleet::seedHosts() const
{
    std::vector<HostId> seeds;
    for (unsigned i = 1; i <= m_options.seeds; ++i)
        seeds.push_back(control(i));
    return seeds;
}

void HubFleet::later(Duration delay, std::function<void()> action)
{
    m_events[{ m_now + delay, ++m_order }] = std::move(action);
}

void HubFleet::deliver(const HostId& to, std::function<void()> action)
{
    const auto control = m_controls.find(to);
    if (control != m_controls.end() && control->second.frozen)
        return control->second.held.push_back(std::move(action));
    const auto entry = m_entries.find(to);
    if (entry != m_entries.end() && entry->second.frozen)
        return entry->second.held.push_back(std::move(action));
    action();
}

void HubFleet::run(Duration time)
{
    const TimePoint end = m_now + time;
    while (m_now < end) {
        m_now += step;
        while (!m_events.empty() && m_events.begin()->first.first <= m_now) {
            const auto action = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            action();
        }
        const auto millis = toMillis(m_now.time_since_epoch());
        if (millis % toMillis(Hub::tickInterval) != 0)
            continue;
        for (auto& [id, control] : m_controls) {
            if (control.hub && !control.frozen)
                withHub(id, [&](Hub& hub, HubActions& out) { hub.tick(m_now, out); });
        }
        for (auto& [id, entry] : m_entries) {
            if (entry.client && !entry.frozen)
                withClient(
                    id, [&](HubClient& client, HubClientActions& out) { client.tick(m_now, out); });
        }
    }
}

bool HubFleet::runUntil(Duration limit, const std::function<bool()>& until)
{
    const TimePoint end = m_now + limit;
    while (!until() && m_now < end)
        run(step);
    return until();
}

void HubFleet::startControl(const HostId& host, bool mayFound)
{
    Control& control = m_controls[host];
    ++control.identities;
    auto store = LogStore::open(
        control.storage, MemberId(host.value() + '-' + std::to_string(control.identities)));
    HubOptions options;
    options.host = host;
    options.seeds = seedHosts();
    options.mayFound = mayFound;
    options.seed = m_random();
    options.repeats = { 0.2, 64.0, std::chrono::seconds(10) };
    control.hub = std::move(*Hub::create(std::move(options), std::move(*store), m_now));
}

void HubFleet::startEntry(const HostId& host)
{
    const HostPlace place { host, DataCentreId("d"), RegionId("r") };
    m_entries[host].client
        = std::make_unique<HubClient>(place, seedHosts(), m_random(), Endpoint { host.value(), 1 });
}

void HubFleet::kill(const HostId& host)
{
    if (const auto control = m_controls.find(host); control != m_controls.end()) {
        control->second.hub.reset();
        control->second.held.clear();
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

void HubFleet::wipe(const HostId& host)
{
    kill(host);
    m_controls.at(host).storage.lose();
}

void HubFleet::cut(const HostId& a, const HostId& b, bool isCut)
{
    for (const auto& pair : { std::pair(a, b), std::pair(b, a) }) {
        if (isCut)
            m_cuts.insert(pair);
        else
            m_cuts.erase(pair);
    }
}

void HubFleet::freeze(const HostId& host, bool isFrozen)
{
    std::vector<std::function<void()>> held;
    if (const auto control = m_controls.find(host); control != m_controls.end()) {
        control->second.frozen = isFrozen;
        held = std::exchange(control->second.held, {});
    } else {
        m_entries.at(host).frozen = isFrozen;
        held = std::exchange(m_entries.at(host).held, {});
    }
    for (const auto& action : held)
        action();
}

bool HubFleet::isCut(const HostId& a, const HostId& b) const { return m_cuts.contains({ a, b }); }

bool HubFleet::isUp(const HostId& host) const
{
    const auto control = m_controls.find(host);
    if (control != m_controls.end())
        return control->second.hub != nullptr;
    const auto entry = m_entries.find(host);
    return entry != m_entries.end() && entry->second.client != nullptr;
}

template <class Function> void HubFleet::withHub(const HostId& host, Function&& function)
{
    Hub* running = hub(host);
    if (running == nullptr)
        return;
    HubActions actions;
    function(*running, actions);
    while (running->hasBacklog())
        running->work(m_now, actions);
    carry(host, actions);
}

template <class Function> void HubFleet::withClient(const HostId& host, Function&& function)
{
    Entry& entry = m_entries.at(host);
    if (!entry.client)
        return;
    HubClientActions actions;
    function(*entry.client, actions);
    carry(host, actions);
}

void HubFleet::carry(const HostId& host, HubActions& actions)
{
    for (auto& [to, frame] : actions.peerFrames) {
        m_bytes[host] += frame.size();
        later(m_options.delay, [this, host, to = to, frame = std::move(frame)] {
            if (isCut(host, to) || !isUp(to))
                return;
            deliver(to, [this, to, frame] {
                withHub(to,
                    [&](Hub& hub, HubActions& out) { hub.receive(LinkId(0), frame, m_now, out); });
            });
        });
    }
    for (auto& [link, frame] : actions.frames)
        sendToEntry(link, std::move(frame));
    for (auto& [call, result] : actions.results) {
        CallRecord& record = m_calls.at(call.value());
        record.result = result;
        record.ended = m_now;
    }
}

void HubFleet::carry(const HostId& host, HubClientActions& actions)
{
    for (const LinkId link : actions.closes) {
        for (const auto& [id, open] : m_links) {
            if (open.entry == host && open.atEntry == link) {
                breakLink(id);
                break;
            }
        }
    }
    for (const auto& [link, to] : actions.opens)
        openLink(host, link, to);
    for (auto& [link, frame] : actions.frames) {
        for (const auto& [id, open] : m_links) {
            if (open.entry == host && open.atEntry == link && !open.broken) {
                sendToControl(id, std::move(frame));
                break;
            }
        }
    }
    for (auto& [to, bytes] : actions.datagrams)
        later(m_options.delay, [this, host, to = HostId(to.address), bytes = std::move(bytes)] {
            if (!isCut(host, to) && isUp(to))
                client(to).receiveDatagram({ host.value(), 1 }, bytes, m_now);
        });
    for (auto& answer : actions.answers)
        m_entries.at(host).answers[answer.ask] = answer;
}

void HubFleet::openLink(const HostId& entry, LinkId atEntry, const HostId& control)
{
    later(2 * m_options.delay, [this, entry, atEntry, control] {
        if (isCut(entry, control) || !isUp(entry))
            return;
        if (!isUp(control)) {
            withClient(entry, [&](HubClient& client, HubClientActions& out) {
                client.linkClosed(atEntry, m_now, out);
            });
            return;
        }
        m_lastLink = next(m_lastLink);
        m_links[m_lastLink] = { entry, atEntry, control };
        withClient(entry, [&](HubClient& client, HubClientActions& out) {
            client.linkOpened(atEntry, m_now, out);
        });
    });
}

void HubFleet::sendToControl(LinkId global, std::string frame)
{
    later(m_options.delay, [this, global, frame = std::move(frame)] {
        const auto found = m_links.find(global);
        if (found == m_links.end() || found->second.broken)
            return;
        if (isCut(found->second.entry, found->second.control))
            return later(silenceLimit, [this, global] { closeLink(global); });
        const HostId to = found->second.control;
        deliver(to, [this, global, to, frame] {
            withHub(to, [&](Hub& hub, HubActions& out) { hub.receive(global, frame, m_now, out); });
        });
    });
}

void HubFleet::sendToEntry(LinkId global, std::string frame)
{
    later(m_options.delay, [this, global, frame = std::move(frame)] {
        const auto found = m_links.find(global);
        if (found == m_links.end() || found->second.broken)
            return;
        if (isCut(found->second.entry, found->second.control))
            return later(silenceLimit, [this, global] { closeLink(global); });
        const Link link = found->second;
        deliver(link.entry, [this, link, frame] {
            withClient(link.entry, [&](HubClient& client, HubClientActions& out) {
                client.receive(link.atEntry, frame, m_now, out);
            });
        });
    });
}

/// The entry host closed its side; the control host hears of it.
void HubFleet::breakLink(LinkId global)
{
    m_links.at(global).broken = true;
    later(m_options.delay, [this, global] {
        const auto found = m_links.find(global);
        if (found == m_links.end())
            return;
        const HostId control = found->second.control;
        m_links.erase(found);
        if (Hub* running = hub(control))
            running->closeLink(global, m_now);
    });
}

/// Both sides hear that the connection ended.
void HubFleet::closeLink(LinkId global)
{
    const auto found = m_links.find(global);
    if (found == m_links.end())
        return;
    const Link link = found->second;
    m_links.erase(found);
    if (Hub* running = hub(link.control))
        running->closeLink(global, m_now);
    if (!link.broken && isUp(link.entry))
        withClient(link.entry, [&](HubClient& client, HubClientActions& out) {
            client.linkClosed(link.atEntry, m_now, out);
        });
}

std::size_t HubFleet::call(const HostId& host, FleetCall call)
{
    const std::size_t index = m_calls.size();
    m_calls.push_back({ call, host, m_now, std::nullopt, m_now });
    withHub(host,
        [&](Hub& hub, HubActions& out) { hub.call(CallId(index), std::move(call), m_now, out); });
    return index;
}

bool HubFleet::callAnywhere(const FleetCall& wanted, Duration limit)
{
    const TimePoint end = m_now + limit;
    while (m_now < end) {
        for (const auto& [id, control] : m_controls) {
            if (!control.hub || control.frozen)
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

Hub* HubFleet::hub(const HostId& host)
{
    const auto found = m_controls.find(host);
    return found == m_controls.end() ? nullptr : found->second.hub.get();
}

std::optional<HostId> HubFleet::leader()
{
    for (auto& [id, control] : m_controls) {
        if (control.hub && !control.frozen && control.hub->leads()
            && control.hub->log().holdsLease(m_now))
            return id;
    }
    return std::nullopt;
}

AskId HubFleet::ask(const HostId& entry, PlaceDemand demand)
{
    AskId id;
    withClient(entry, [&](HubClient& client, HubClientActions& out) {
        id = client.ask(std::move(demand), m_now, out);
    });
    return id;
}

void HubFleet::end(const HostId& entry, AskId ask, const PlacedReport& report)
{
    withClient(entry,
        [&](HubClient& client, HubClientActions& out) { client.end(ask, report, m_now, out); });
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
