#include <laburnumroute/controller_client.h>

#include <algorithm>

#include "controller_messages_pvt.h"

namespace laburnum {

using std::chrono::milliseconds;
using namespace pvt;

namespace {

    /// A leader answers within a round trip of 40 ms; one that takes longer than this is doubted.
    constexpr auto answerLimit = milliseconds(250);
    /// Grace behind the end of a wait that the leader named.
    constexpr auto waitGrace = milliseconds(300);
    /// Pulses come every half second; without one for this long the leader is left.
    constexpr auto pulseLimit = milliseconds(1250);
    /// A connection that is not open after this long is given up.
    constexpr auto connectLimit = milliseconds(700);
    /// A control host that names no leader for so long is asked anew.
    constexpr auto idleLinkLimit = milliseconds(3000);
    constexpr auto searchInterval = milliseconds(150);
    constexpr std::size_t searchLinks = 3;
    constexpr std::size_t configLimit = std::size_t { 16 } << 20U;
    /// Neighbours that are kept; far above the hosts of a region today.
    constexpr std::size_t neighbourLimit = 512;
    constexpr auto defaultRetryAfter = milliseconds(500);

} // namespace

ControllerClient::ControllerClient(HostLocation place, std::vector<HostId> seeds,
    std::uint64_t seed, std::optional<Endpoint> neighbour)
    : m_place(place)
    , m_seeds(std::move(seeds))
    , m_neighbour(std::move(neighbour))
    , m_lone(std::move(place), seed)
    , m_random(seed)
    , m_nextContact(m_random() % 1000)
    , m_lastAsk(static_cast<std::uint32_t>(m_random()))
{
}

Duration ControllerClient::tickInterval() const noexcept
{
    return m_asks.empty() && m_leader ? idleTick : busyTick;
}

std::vector<HostId> ControllerClient::contacts() const
{
    std::vector<HostId> hosts = m_seeds;
    for (const HostId& host : m_learned) {
        if (std::find(hosts.begin(), hosts.end(), host) == hosts.end())
            hosts.push_back(host);
    }
    return hosts;
}

bool ControllerClient::isContacted(const HostId& host) const
{
    return std::any_of(
        m_links.begin(), m_links.end(), [&](const auto& item) { return item.second.host == host; });
}

void ControllerClient::open(const HostId& host, TimePoint now, ControllerClientActions& actions)
{
    m_lastLink = next(m_lastLink);
    m_links[m_lastLink] = { host, now, false, {} };
    actions.opens.emplace_back(m_lastLink, host);
}

void ControllerClient::close(LinkId link, ControllerClientActions& actions)
{
    if (m_links.erase(link) != 0)
        actions.closes.push_back(link);
}

/// Keeps a few connections to control hosts open until one of them says that it leads.
void ControllerClient::search(TimePoint now, ControllerClientActions& actions)
{
    if ((m_leader && !m_leaderDoubted) || now < m_searchDue)
        return;
    m_searchDue = now + searchInterval;
    std::vector<LinkId> stale;
    for (const auto& [id, link] : m_links) {
        if (id != m_leader && now - link.since > (link.open ? idleLinkLimit : connectLimit))
            stale.push_back(id);
    }
    for (const LinkId id : stale)
        close(id, actions);
    const auto hosts = contacts();
    for (std::size_t i = 0; i < hosts.size() && m_links.size() < searchLinks; ++i) {
        const HostId& host = hosts[m_nextContact++ % hosts.size()];
        if (!isContacted(host)) {
            open(host, now, actions);
            return;
        }
    }
}

std::string ControllerClient::hello(TimePoint now) const
{
    HelloFrame frame { m_place.host.value(), m_place.dataCentre.value(), m_place.region.value(),
        m_config.number, m_instancesIndex.value(), m_holdsInstances, {},
        m_neighbour ? formatEndpoint(*m_neighbour) : "" };
    for (const auto& [dispatch, place] : m_places)
        frame.open.push_back({ dispatch.value(), place.instance.value(), place.service.value(),
            wireMs(now - place.since), wireMs(place.until - now) });
    return pack(frame);
}

void ControllerClient::linkOpened(LinkId link, TimePoint now, ControllerClientActions& actions)
{
    const auto found = m_links.find(link);
    if (found == m_links.end())
        return;
    found->second.open = true;
    found->second.since = now;
    for (const auto& [dispatch, place] : m_places)
        found->second.told.insert(dispatch);
    actions.frames.emplace_back(link, hello(now));
}

void ControllerClient::linkClosed(LinkId link, TimePoint now, ControllerClientActions& actions)
{
    if (m_links.erase(link) == 0)
        return;
    if (m_leader == link)
        loseLeader("closed", now, actions);
}

void ControllerClient::loseLeader(
    const char* reason, TimePoint now, ControllerClientActions& actions)
{
    Decision decision { "leader", "lost" };
    decision.facts["cause"] = reason;
    decision.facts["heard_ms_ago"] = Json::Int64(toMillis(now - m_pulseHeard));
    decision.facts["asks"] = Json::UInt64(m_asks.size());
    actions.decisions.push_back(std::move(decision));
    if (m_leader)
        close(*m_leader, actions);
    m_leader.reset();
    m_searchDue = now;
    std::vector<DispatchId> open;
    open.reserve(m_asks.size());
    for (const auto& [id, dispatch] : m_asks)
        open.push_back(id);
    for (const DispatchId id : open)
        placeAlone(id, now, actions);
    search(now, actions);
}

void ControllerClient::onWelcome(LinkId link, const std::vector<std::string>& hosts, TimePoint now,
    ControllerClientActions& actions)
{
    if (m_leader == link)
        return;
    if (m_leader)
        close(*m_leader, actions);
    m_leader = link;
    m_leaderDoubted = false;
    m_pulseHeard = now;
    m_learned.clear();
    for (const auto& host : hosts)
        m_learned.emplace_back(host);
    Decision decision { "leader", "joined" };
    decision.facts["leader"] = m_links.at(link).host.value();
    actions.decisions.push_back(std::move(decision));
    std::vector<LinkId> others;
    for (const auto& [id, other] : m_links) {
        if (id != link)
            others.push_back(id);
    }
    for (const LinkId id : others)
        close(id, actions);
    tellChanges(link, now, actions);
    // What waited at the leader before is asked of this one.
    for (auto& [id, dispatch] : m_asks) {
        dispatch.answerBy = now + answerLimit;
        sendAsk(id, dispatch, now, actions);
    }
}

/// Brings a new leader from what the hello said, maybe long ago, to what is so now.
void ControllerClient::tellChanges(
    LinkId link, TimePoint now, ControllerClientActions& actions) const
{
    const auto& told = m_links.at(link).told;
    for (const DispatchId dispatch : told) {
        if (!m_places.contains(dispatch))
            actions.frames.emplace_back(link, pack(LeaveFrame { dispatch.value() }));
    }
    for (const auto& [dispatch, place] : m_places) {
        if (!told.contains(dispatch))
            actions.frames.emplace_back(link,
                pack(AdoptFrame { { dispatch.value(), place.instance.value(), place.service.value(),
                    wireMs(now - place.since), wireMs(place.until - now) } }));
    }
}

void ControllerClient::onRedirect(LinkId link, const std::string& leader,
    const std::vector<std::string>& hosts, TimePoint now, ControllerClientActions& actions)
{
    for (const auto& host : hosts) {
        const HostId id(host);
        if (std::find(m_learned.begin(), m_learned.end(), id) == m_learned.end())
            m_learned.push_back(id);
    }
    if (m_leader == link) {
        m_links[link].since = now;
        m_leader.reset();
        loseLeader("redirected", now, actions);
    }
    if (!leader.empty() && (!m_leader || m_leaderDoubted) && !isContacted(HostId(leader)))
        open(HostId(leader), now, actions);
}

void ControllerClient::onConfig(std::string_view bytes, ControllerClientActions& actions)
{
    const auto frame = unpack<ConfigFrame>(bytes);
    if (!frame || frame->number <= m_config.number)
        return;
    const bool hasBase = frame->base != 0 && frame->base == m_config.number;
    auto content = inflateText(frame->deflated, hasBase ? m_config.content : "", configLimit);
    if (!content) {
        actions.decisions.push_back({ "config", "unreadable" });
        return;
    }
    m_config = { frame->number, std::move(*content) };
    actions.configChanged = true;
}

void ControllerClient::onInstances(std::string_view bytes)
{
    const auto frame = unpack<InstancesFrame>(bytes);
    if (!frame)
        return;
    std::set<InstanceId> held;
    for (const auto& row : frame->held) {
        held.insert(InstanceId(row.id));
        m_lone.upsert(fromRow(row));
    }
    std::vector<InstanceId> gone;
    for (const auto& id : frame->gone)
        gone.emplace_back(id);
    if (frame->whole) {
        for (const auto& [id, record] : m_lone.instances()) {
            if (!held.contains(id))
                gone.push_back(id);
        }
    }
    for (const InstanceId& id : gone)
        m_lone.remove(id);
    m_instancesIndex = LogIndex(frame->index);
    m_holdsInstances = true;
}

void ControllerClient::receive(
    LinkId link, std::string_view bytes, TimePoint now, ControllerClientActions& actions)
{
    if (!m_links.contains(link))
        return;
    if (const auto granting = unpack<GrantedFrame>(bytes)) {
        granted(DispatchId(granting->dispatch), InstanceId(granting->instance), now, actions);
    } else if (const auto refused = unpack<RefusedFrame>(bytes)) {
        if (m_asks.contains(DispatchId(refused->dispatch)))
            answer({ DispatchId(refused->dispatch), std::nullopt,
                       static_cast<PlacementRefusal>(refused->refusal),
                       milliseconds(refused->delayMs) },
                actions);
    } else if (const auto waiting = unpack<WaitingFrame>(bytes)) {
        const auto found = m_asks.find(DispatchId(waiting->dispatch));
        if (found != m_asks.end())
            found->second.answerBy = now + milliseconds(waiting->limitMs) + waitGrace;
    } else if (const auto pulse = unpack<PulseFrame>(bytes)) {
        m_pulseHeard = now;
        std::vector<InstanceId> ids;
        for (const auto& id : pulse->doubtful)
            ids.emplace_back(id);
        if (pulse->tells)
            m_lone.setDoubtfulInstances(ids, now);
    } else if (const auto welcome = unpack<WelcomeFrame>(bytes)) {
        onWelcome(link, welcome->controlHosts, now, actions);
    } else if (const auto neighbours = unpack<NeighboursFrame>(bytes)) {
        onNeighbours(neighbours->addresses);
    } else if (const auto redirect = unpack<RedirectFrame>(bytes)) {
        onRedirect(link, redirect->leader, redirect->controlHosts, now, actions);
    } else {
        onConfig(bytes, actions);
        onInstances(bytes);
    }
    if (m_leader == link)
        m_leaderDoubted = false;
}

void ControllerClient::onNeighbours(const std::vector<std::string>& addresses)
{
    for (const auto& text : addresses) {
        const auto address = parseEndpoint(text);
        if (address && *address != m_neighbour && m_neighbours.size() < neighbourLimit)
            m_neighbours.insert(*address);
    }
}

void ControllerClient::tellNeighbours(
    const InstanceId& id, PlacementOutcome how, ControllerClientActions& actions) const
{
    const std::string datagram = pack(EvidenceFrame { id.value(), static_cast<std::uint8_t>(how) });
    for (const Endpoint& neighbour : m_neighbours)
        actions.datagrams.emplace_back(neighbour, datagram);
}

void ControllerClient::receiveDatagram(const Endpoint& from, std::string_view bytes, TimePoint now)
{
    const auto evidence = unpack<EvidenceFrame>(bytes);
    if (evidence && m_neighbours.contains(from)
        && evidence->end <= static_cast<std::uint8_t>(PlacementOutcome::Unused))
        m_lone.onPeerOutcome(
            InstanceId(evidence->instance), static_cast<PlacementOutcome>(evidence->end), now);
}

void ControllerClient::tick(TimePoint now, ControllerClientActions& actions)
{
    if (m_leader && now - m_pulseHeard > pulseLimit)
        loseLeader("silent", now, actions);
    search(now, actions);
    std::vector<DispatchId> late;
    for (const auto& [id, dispatch] : m_asks) {
        if (now >= dispatch.answerBy)
            late.push_back(id);
    }
    for (const DispatchId id : late) {
        m_leaderDoubted = true;
        placeAlone(id, now, actions);
    }
}

DispatchId ControllerClient::dispatch(
    PlacementRequest demand, TimePoint now, ControllerClientActions& actions)
{
    m_lastAsk = DispatchId(m_lastAsk.value() + 1);
    const DispatchId id = m_lastAsk;
    if (!demand.resubmitted)
        m_lone.onRequest(demand.service, now);
    for (const InstanceId& broken : m_lone.unreachableInstances(now))
        demand.avoid.push_back(broken);
    m_asks[id] = { std::move(demand), now, now + answerLimit };
    if (m_leader && !m_leaderDoubted)
        sendAsk(id, m_asks[id], now, actions);
    else
        placeAlone(id, now, actions);
    return id;
}

void ControllerClient::sendAsk(
    DispatchId id, const Ask& dispatch, TimePoint now, ControllerClientActions& actions) const
{
    const PlacementRequest& demand = dispatch.demand;
    AskFrame frame { id.value(), demand.service.value(), static_cast<std::uint8_t>(demand.kind),
        demand.priority, demand.bodyKiB, wireMs(demand.remaining - (now - dispatch.since)),
        wireMs(demand.objective), demand.retry, demand.resubmitted, {}, demand.isHedge };
    for (const InstanceId& avoided : demand.avoid)
        frame.avoid.push_back(avoided.value());
    actions.frames.emplace_back(*m_leader, pack(frame));
}

void ControllerClient::answer(PlacementResult answer, ControllerClientActions& actions)
{
    m_asks.erase(answer.dispatch);
    actions.answers.push_back(std::move(answer));
}

void ControllerClient::granted(DispatchId dispatch, const InstanceId& instance, TimePoint now,
    ControllerClientActions& actions)
{
    const auto found = m_asks.find(dispatch);
    const InstanceRecord* record = m_lone.find(instance);
    if (found == m_asks.end())
        return; // placed alone meanwhile; the leader was told
    if (record == nullptr)
        return placeAlone(dispatch, now, actions);
    const Ask& open = found->second;
    m_places[dispatch] = { instance, open.demand.service, now, open.since + open.demand.remaining };
    m_lone.begin(instance);
    answer({ dispatch, *record }, actions);
}

void ControllerClient::placeAlone(
    DispatchId dispatch, TimePoint now, ControllerClientActions& actions)
{
    const auto found = m_asks.find(dispatch);
    if (found == m_asks.end())
        return;
    const Ask open = found->second;
    const PlacementRequest& demand = open.demand;
    const bool allowed = !demand.retry || m_lone.takeRetry(demand.service, now);
    const auto instance = allowed ? m_lone.choose(demand, now) : std::nullopt;
    if (!instance) {
        if (m_leader)
            actions.frames.emplace_back(*m_leader, pack(LeaveFrame { dispatch.value() }));
        return answer({ dispatch, std::nullopt,
                          allowed ? PlacementRefusal::NoInstance : PlacementRefusal::NoBudget,
                          defaultRetryAfter, true },
            actions);
    }
    const TimePoint until = open.since + demand.remaining;
    m_places[dispatch] = { *instance, demand.service, now, until };
    m_lone.begin(*instance);
    if (m_leader)
        actions.frames.emplace_back(*m_leader,
            pack(AdoptFrame { { dispatch.value(), instance->value(), demand.service.value(), 0,
                wireMs(until - now) } }));
    answer({ dispatch, *m_lone.find(*instance), PlacementRefusal::None, {}, true }, actions);
}

void ControllerClient::reportOverdue(
    DispatchId dispatch, Duration silence, TimePoint now, ControllerClientActions& actions)
{
    const auto found = m_places.find(dispatch);
    if (found == m_places.end())
        return;
    m_lone.reportOverdue(found->second.instance, silence, now);
    if (!m_leader || m_leaderDoubted)
        tellNeighbours(found->second.instance, PlacementOutcome::TimedOut, actions);
}

void ControllerClient::cancel(DispatchId dispatch, ControllerClientActions& actions)
{
    if (m_asks.erase(dispatch) != 0 && m_leader)
        actions.frames.emplace_back(*m_leader, pack(LeaveFrame { dispatch.value() }));
}

void ControllerClient::end(DispatchId dispatch, const PlacementReport& report, TimePoint now,
    ControllerClientActions& actions)
{
    const auto found = m_places.find(dispatch);
    if (found == m_places.end())
        return;
    const InstanceId instance = found->second.instance;
    m_lone.end(instance, report, now);
    m_places.erase(found);
    const bool failed
        = report.end != PlacementOutcome::Success && report.end != PlacementOutcome::Unused;
    if (failed && (!m_leader || m_leaderDoubted))
        tellNeighbours(instance, report.end, actions);
    if (m_leader)
        actions.frames.emplace_back(*m_leader,
            pack(EndFrame { dispatch.value(), static_cast<std::uint8_t>(report.end),
                wireMs(report.latency), report.reportedLoad }));
}

} // namespace laburnum
