#include <laburnumroute/controller_client.h>

#include <algorithm>

#include "controller_messages_pvt.h"
#include "rate_limit_coordinator_pvt.h"
#include "text_delta_pvt.h"

namespace laburnum {

using std::chrono::milliseconds;
using namespace pvt;

namespace {

    /// A leader replies within a round trip of 40 ms. One that takes longer than this is suspected,
    /// if this host's own link has had time for the bodies of its uploads: a reply waits behind
    /// them.
    constexpr auto replyTimeout = milliseconds(250);
    /// The slowest link of an entry host has 2 Mbit/s.
    constexpr auto transferTimePerKiB = milliseconds(4);
    constexpr auto maxTransferTime = milliseconds(500);
    /// Age up to which an attempt's body may still be on its way.
    constexpr auto transferWindow = milliseconds(1000);
    /// A leader that was heard after a request was sent is not suspected before this time.
    constexpr auto heardReplyTimeout = milliseconds(500);
    /// Added to the queue time that the leader announced.
    constexpr auto queueGrace = milliseconds(300);
    /// The leader sends a heartbeat every 500 ms; without one for this long it is abandoned.
    constexpr auto heartbeatTimeout = milliseconds(1250);
    /// A connection that is not established within this time no longer prevents another one to the
    /// same host.
    constexpr auto connectTimeout = milliseconds(700);
    /// It is closed after this time. Behind the bodies of uploads on a slow link it takes longer to
    /// open than `connectTimeout`, and so would each one that replaced it.
    constexpr auto abandonTimeout = milliseconds(2100);
    /// A connection to a control host that is not the leader is closed after this time, so that the
    /// search can contact the host once more.
    constexpr auto idleLinkTimeout = milliseconds(3000);
    constexpr auto searchInterval = milliseconds(150);
    constexpr std::size_t maxSearchLinks = 3;
    constexpr std::size_t maxConfigBytes = std::size_t { 16 } << 20U;
    /// Far above the number of hosts in a region.
    constexpr std::size_t maxNeighbours = 512;
    constexpr auto defaultRetryAfter = milliseconds(500);
    /// Frames that a leader sends within this time after a heartbeat still show that it leads: its
    /// lease lasts 240 ms. A deposed leader goes on sending frames, but no heartbeats.
    constexpr auto authorityTime = milliseconds(250);
    /// A leader has processed what was sent to it this long before its latest heartbeat.
    constexpr auto countingTime = milliseconds(500);

    LocalUsageRows usageRows(
        const LocalUsageCaps& caps, TimePoint since, TimePoint lastLeader, TimePoint now)
    {
        LocalUsageRows result;
        if (caps.empty())
            return result;
        if (lastLeader != TimePoint())
            result.leaderSilentMs = std::max(wireMs(now - lastLeader), 1U);
        for (const LocalUsage& usage : caps.uncounted(since, now))
            result.rows.push_back({ usage.account.value(), usage.requests, wireMs(usage.age) });
        return result;
    }

} // namespace

ControllerClient::ControllerClient(HostLocation location, std::vector<HostId> seeds,
    std::uint64_t seed, std::optional<Endpoint> neighbour)
    : m_location(location)
    , m_neighbour(std::move(neighbour))
    , m_localScheduler(std::move(location), seed)
    , m_random(seed)
    , m_search(std::move(seeds), m_random() % 1000)
    , m_lastRequest(static_cast<std::uint32_t>(m_random()))
{
}

Duration ControllerClient::tickInterval() const noexcept
{
    return m_pendingRequests.empty() && m_leader ? idleTickInterval : busyTickInterval;
}

bool ControllerClient::isPromising(const Link& link, TimePoint now)
{
    return link.open || now - link.since <= connectTimeout;
}

bool ControllerClient::isConnectedTo(const HostId& host, TimePoint now) const
{
    return std::any_of(m_links.begin(), m_links.end(), [&](const auto& item) {
        return item.second.host == host && isPromising(item.second, now);
    });
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

/// Keeps a few connections to control hosts open until one of them is the leader.
void ControllerClient::searchLeader(TimePoint now, ControllerClientActions& actions)
{
    if ((m_leader && !m_leaderSuspected) || now < m_nextSearch)
        return;
    m_nextSearch = now + searchInterval;
    if (!m_leader)
        m_search.onSearching(now);
    queryNeighbours(now, actions);
    if (auto report = m_search.takeReport(now))
        actions.decisions.push_back(std::move(*report));
    std::vector<LinkId> stale;
    bool isUnreachable = false;
    for (const auto& [id, link] : m_links) {
        if (id != m_leader && now - link.since > (link.open ? idleLinkTimeout : abandonTimeout)) {
            stale.push_back(id);
            if (!link.open)
                m_search.count(ConnectResult::TimedOut);
        }
        isUnreachable = isUnreachable || (link.host == m_namedLeader && !isPromising(link, now));
    }
    if (isUnreachable)
        onLeaderUnreachable(actions);
    for (const LinkId id : stale)
        close(id, actions);
    // The host that named the leader does not repeat it, and a first connection may fail. The named
    // host may also be gone, so that only the others know the next leader.
    if (m_namedLeader && !isConnectedTo(*m_namedLeader, now)
        && !std::exchange(m_triedNamedLeader, !m_triedNamedLeader))
        return open(*m_namedLeader, now, actions);
    const auto hosts = m_search.candidates();
    const auto links = static_cast<std::size_t>(std::count_if(m_links.begin(), m_links.end(),
        [&](const auto& item) { return isPromising(item.second, now); }));
    for (std::size_t i = 0; i < hosts.size() && links < maxSearchLinks; ++i) {
        const HostId& host = m_search.nextCandidate(hosts);
        if (!isConnectedTo(host, now)) {
            open(host, now, actions);
            return;
        }
    }
}

/// When a leader was last known to lead; the clock's epoch when none was.
TimePoint ControllerClient::lastAuthority() const
{
    return std::clamp(m_lastHeard, m_lastHeartbeat, m_lastHeartbeat + authorityTime);
}

std::string ControllerClient::hello(TimePoint now) const
{
    HelloFrame frame { m_location.host.value(), m_location.dataCentre.value(),
        m_location.region.value(), m_config.number.value_or(0), m_instancesIndex.value(),
        m_hasInstances, {}, m_neighbour ? formatEndpoint(*m_neighbour) : "",
        usageRows(m_localCaps, now - LocalUsageCaps::window, lastAuthority(), now),
        m_config.number.has_value() };
    for (const auto& [dispatch, placement] : m_placements)
        frame.activePlacements.push_back(
            { dispatch.value(), placement.instance.value(), placement.service.value(),
                wireMs(now - placement.since), wireMs(placement.until - now) });
    return pack(frame);
}

void ControllerClient::linkOpened(LinkId link, TimePoint now, ControllerClientActions& actions)
{
    const auto found = m_links.find(link);
    if (found == m_links.end())
        return;
    found->second.open = true;
    found->second.since = now;
    m_search.count(ConnectResult::Opened);
    for (const auto& [dispatch, placement] : m_placements)
        found->second.announcedPlacements.insert(dispatch);
    found->second.usageReportedAt = now;
    actions.frames.emplace_back(link, hello(now));
}

void ControllerClient::linkClosed(LinkId link, TimePoint now, ControllerClientActions& actions)
{
    const auto closed = m_links.extract(link);
    if (!closed)
        return;
    if (!closed.mapped().open)
        m_search.count(ConnectResult::Failed);
    if (m_leader == link)
        loseLeader("closed", now, actions);
    else if (!closed.mapped().open && closed.mapped().host == m_namedLeader)
        onLeaderUnreachable(actions);
}

void ControllerClient::onLeaderUnreachable(ControllerClientActions& actions)
{
    if (m_leader || std::exchange(m_leaderUnreachable, true))
        return;
    Decision decision { "leader", "unreachable" };
    decision.facts["leader"] = m_namedLeader ? m_namedLeader->value() : "";
    decision.facts["config"] = configNumberFact(m_config.number);
    actions.decisions.push_back(std::move(decision));
    followControlHosts(actions);
}

/// What they have applied is committed, and this host ignores what is older than what it holds, so
/// one that lags behind does no harm.
void ControllerClient::followControlHosts(ControllerClientActions& actions)
{
    for (auto& [id, link] : m_links) {
        if (link.isFollower && !std::exchange(link.isFollowed, true))
            actions.frames.emplace_back(id,
                pack(VersionsFrame { m_config.number.value_or(0), m_instancesIndex.value(),
                    m_hasInstances, m_config.number.has_value() }));
    }
}

void ControllerClient::loseLeader(
    const char* reason, TimePoint now, ControllerClientActions& actions)
{
    Decision decision { "leader", "lost" };
    decision.facts["cause"] = reason;
    decision.facts["heard_ms_ago"] = Json::Int64(toMillis(now - m_lastHeartbeat));
    decision.facts["asks"] = Json::UInt64(m_pendingRequests.size());
    actions.decisions.push_back(std::move(decision));
    if (m_leader)
        close(*m_leader, actions);
    m_leader.reset();
    m_keys.disconnect();
    m_localCaps.onLeaderLost(now);
    m_nextSearch = now;
    std::vector<DispatchId> open;
    open.reserve(m_pendingRequests.size());
    for (const auto& [id, pending] : m_pendingRequests)
        open.push_back(id);
    for (const DispatchId id : open)
        placeLocally(id, now, actions);
    searchLeader(now, actions);
}

void ControllerClient::onWelcome(LinkId link, const std::vector<std::string>& hosts, TimePoint now,
    ControllerClientActions& actions)
{
    m_search.setControlHosts(hosts);
    if (m_leader == link)
        return;
    if (m_leader)
        close(*m_leader, actions);
    m_leader = link;
    m_search.onJoined();
    m_links.at(link).updatesRequested = false;
    m_namedLeader.reset();
    m_leaderUnreachable = false;
    m_leaderSuspected = false;
    const TimePoint lastLeader = lastAuthority();
    m_lastHeartbeat = now;
    m_leaderSince = now;
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
    m_keys.connect();
    updateKeys(now, actions);
    if (!m_localCaps.empty())
        actions.frames.emplace_back(link,
            pack(LocalUsageFrame {
                usageRows(m_localCaps, m_links.at(link).usageReportedAt, lastLeader, now) }));
    m_localCaps.onCounted(m_links.at(link).usageReportedAt);
    m_links.at(link).usageReportedAt = now;
    LocalRateLimits& limits = m_localScheduler.rateLimits();
    actions.frames.emplace_back(
        link, pack(RateLimitsFrame { limits.hosts(), toRows(limits.statements(), now) }));
    sendPlacementChanges(link, now, actions);
    // Resend the requests that the previous leader did not answer.
    for (auto& [id, pending] : m_pendingRequests) {
        pending.sentAt = now;
        pending.replyDue = now + replyTimeout + transferTime(now);
        sendRequest(id, pending, now, actions);
    }
}

/// Sends the new leader the changes to the placements since the HelloFrame, which may be old.
void ControllerClient::sendPlacementChanges(
    LinkId link, TimePoint now, ControllerClientActions& actions) const
{
    const auto& announcedPlacements = m_links.at(link).announcedPlacements;
    for (const DispatchId dispatch : announcedPlacements) {
        if (!m_placements.contains(dispatch))
            actions.frames.emplace_back(link, pack(CancelFrame { dispatch.value() }));
    }
    for (const auto& [dispatch, placement] : m_placements) {
        if (!announcedPlacements.contains(dispatch))
            actions.frames.emplace_back(link,
                pack(LocalPlacementFrame {
                    { dispatch.value(), placement.instance.value(), placement.service.value(),
                        wireMs(now - placement.since), wireMs(placement.until - now) } }));
    }
}

void ControllerClient::onRedirect(LinkId link, const std::string& leader,
    const std::vector<std::string>& hosts, TimePoint now, ControllerClientActions& actions)
{
    m_search.addControlHosts(hosts);
    if (m_leader == link) {
        m_links[link].since = now;
        m_leader.reset();
        loseLeader("redirected", now, actions);
    }
    if (const auto found = m_links.find(link); found != m_links.end())
        found->second.isFollower = true;
    if (m_leaderUnreachable)
        followControlHosts(actions);
    if (leader.empty() || (m_leader && !m_leaderSuspected))
        return;
    m_namedLeader = HostId(leader);
    if (!isConnectedTo(HostId(leader), now))
        open(HostId(leader), now, actions);
}

/// Asks the control host at `link` for the updates from the given versions on, once until a
/// configuration or instances from it apply.
void ControllerClient::requestUpdates(
    LinkId link, const ConfigNumber& configNumber, ControllerClientActions& actions)
{
    Link& sender = m_links.at(link);
    if (std::exchange(sender.updatesRequested, true))
        return;
    Decision decision { "updates", "requested" };
    decision.facts["host"] = sender.host.value();
    decision.facts["config"] = configNumberFact(configNumber);
    decision.facts["instances"] = Json::UInt64(m_instancesIndex.value());
    actions.decisions.push_back(std::move(decision));
    actions.frames.emplace_back(link,
        pack(VersionsFrame { configNumber.value_or(0), m_instancesIndex.value(), m_hasInstances,
            configNumber.has_value() }));
}

void ControllerClient::onConfig(
    LinkId link, std::string_view bytes, ControllerClientActions& actions)
{
    const auto frame = unpack<ConfigFrame>(bytes);
    if (!frame || frame->number <= m_config.number)
        return;
    m_announcedConfig = std::max(m_announcedConfig, ConfigNumber(frame->number));
    // The sender's knowledge of this host dates from the HelloFrame on its link. Another leader may
    // have sent newer configurations since.
    const ConfigNumber base = configNumberOf(frame->base, frame->hasBase);
    if (base && base != m_config.number)
        return requestUpdates(link, m_config.number, actions);
    auto content = decodeDelta(frame->delta, base ? m_config.content : "", maxConfigBytes);
    if (!content) {
        Decision decision { "config", "unreadable" };
        decision.facts["number"] = Json::UInt64(frame->number);
        decision.facts["base"] = configNumberFact(base);
        actions.decisions.push_back(std::move(decision));
        if (base)
            requestUpdates(link, std::nullopt, actions);
        return;
    }
    m_links.at(link).updatesRequested = false;
    m_config = { frame->number, std::move(*content) };
    actions.configChanged = true;
}

void ControllerClient::onInstances(
    LinkId link, std::string_view bytes, ControllerClientActions& actions)
{
    const auto frame = unpack<InstancesFrame>(bytes);
    if (!frame)
        return;
    if (link != m_leader && m_hasInstances && LogIndex(frame->index) <= m_instancesIndex)
        return;
    if (!frame->full && (!m_hasInstances || LogIndex(frame->base) > m_instancesIndex))
        return requestUpdates(link, m_config.number, actions);
    m_links.at(link).updatesRequested = false;
    std::set<InstanceId> received;
    for (const auto& row : frame->instances) {
        received.insert(InstanceId(row.id));
        m_localScheduler.upsert(fromRow(row));
    }
    std::vector<InstanceId> removed;
    for (const auto& id : frame->removed)
        removed.emplace_back(id);
    if (frame->full) {
        for (const auto& [id, record] : m_localScheduler.instances()) {
            if (!received.contains(id))
                removed.push_back(id);
        }
    }
    for (const InstanceId& id : removed)
        m_localScheduler.remove(id);
    m_instancesIndex = LogIndex(frame->index);
    m_hasInstances = true;
}

void ControllerClient::receive(
    LinkId link, std::string_view bytes, TimePoint now, ControllerClientActions& actions)
{
    if (!m_links.contains(link))
        return;
    if (const auto granting = unpack<GrantedFrame>(bytes)) {
        onGranted(DispatchId(granting->dispatch), InstanceId(granting->instance), now, actions);
    } else if (const auto refused = unpack<RefusedFrame>(bytes)) {
        onRefused(DispatchId(refused->dispatch), static_cast<PlacementRefusal>(refused->refusal),
            milliseconds(refused->delayMs), now, actions);
    } else if (const auto waiting = unpack<WaitingFrame>(bytes)) {
        const auto found = m_pendingRequests.find(DispatchId(waiting->dispatch));
        if (found != m_pendingRequests.end())
            found->second.replyDue = now + milliseconds(waiting->limitMs) + queueGrace;
    } else if (const auto heartbeat = unpack<HeartbeatFrame>(bytes)) {
        m_lastHeartbeat = now;
        if (m_leader == link && now - m_leaderSince > countingTime)
            m_localCaps.onCounted(now - countingTime);
        std::vector<InstanceId> ids;
        for (const auto& id : heartbeat->doubtful)
            ids.emplace_back(id);
        if (heartbeat->includesDoubtful)
            m_localScheduler.setDoubtfulInstances(ids, now);
        if (m_leader == link)
            m_localScheduler.rateLimits().setHosts(heartbeat->hosts);
    } else if (const auto limits = unpack<RateLimitListFrame>(bytes)) {
        if (m_leader == link)
            m_localScheduler.rateLimits().onLeaderStatements(
                currentLimits(limits->rows, now), limits->full, now);
    } else if (const auto welcome = unpack<WelcomeFrame>(bytes)) {
        onWelcome(link, welcome->controlHosts, now, actions);
        m_reportsDelays = welcome->wantsDelays;
        m_delayMeter.resend();
    } else if (const auto confirmation = unpack<ConfirmFrame>(bytes)) {
        if (m_leader == link)
            onConfirm(confirmation->number, now, actions);
    } else if (const auto neighbours = unpack<NeighboursFrame>(bytes)) {
        onNeighbours(neighbours->addresses);
    } else if (const auto redirect = unpack<RedirectFrame>(bytes)) {
        onRedirect(link, redirect->leader, redirect->controlHosts, now, actions);
    } else {
        onConfig(link, bytes, actions);
        onInstances(link, bytes, actions);
    }
    if (m_leader == link) {
        m_leaderSuspected = false;
        m_lastHeard = now;
        m_localCaps.onLeaderFound();
        m_localScheduler.rateLimits().onLeaderHeard();
    }
}

void ControllerClient::requireKeyConfirmation(
    bool required, TimePoint now, ControllerClientActions& actions)
{
    m_keys.setRequired(required);
    updateKeys(now, actions);
}

void ControllerClient::onConfirm(
    std::uint64_t number, TimePoint now, ControllerClientActions& actions)
{
    // The configuration that the leader sent before its confirmation could not be applied. The
    // leader is asked for it again, and confirms again once this host holds it.
    if (m_config.number < m_announcedConfig)
        return;
    m_keys.confirm(number);
    actions.keysConfirmed = true;
    updateKeys(now, actions);
}

void ControllerClient::updateKeys(TimePoint now, ControllerClientActions& actions)
{
    if (const auto number = m_keys.takeRequest(now); number && m_leader)
        actions.frames.emplace_back(*m_leader, pack(ConfirmRequestFrame { *number }));
    const auto change = m_keys.update(now);
    if (change == KeyConfirmation::Change::None)
        return;
    const bool confirmed = change == KeyConfirmation::Change::Confirmed;
    Decision decision { "accounts", confirmed ? "confirmed" : "unconfirmed" };
    decision.facts["request_ms_ago"]
        = Json::Int64(toMillis(now - m_keys.confirmedAt().value_or(now)));
    decision.facts["config"] = configNumberFact(m_config.number);
    decision.facts["connected"] = m_leader.has_value();
    actions.decisions.push_back(std::move(decision));
}

void ControllerClient::onNeighbours(const std::vector<std::string>& addresses)
{
    for (const auto& text : addresses) {
        const auto address = parseEndpoint(text);
        if (address && *address != m_neighbour && m_neighbours.size() < maxNeighbours)
            m_neighbours.insert(*address);
    }
}

void ControllerClient::notifyNeighbours(
    const InstanceId& id, PlacementOutcome outcome, ControllerClientActions& actions) const
{
    const std::string datagram
        = pack(PeerOutcomeFrame { id.value(), static_cast<std::uint8_t>(outcome) });
    for (const Endpoint& neighbour : m_neighbours)
        actions.datagrams.emplace_back(neighbour, datagram);
}

void ControllerClient::queryNeighbours(TimePoint now, ControllerClientActions& actions)
{
    if (m_neighbours.empty() || !m_search.takeNeighbourQuery(now))
        return;
    const std::string query = pack(ControlHostsQueryFrame { wireMs(m_search.searchTime(now)) });
    std::vector<Endpoint> chosen;
    std::sample(m_neighbours.begin(), m_neighbours.end(), std::back_inserter(chosen),
        LeaderSearch::neighboursPerQuery, m_random);
    for (const Endpoint& neighbour : chosen)
        actions.datagrams.emplace_back(neighbour, query);
}

void ControllerClient::receiveDatagram(
    const Endpoint& from, std::string_view bytes, TimePoint now, ControllerClientActions& actions)
{
    if (!m_neighbours.contains(from))
        return;
    if (unpack<ControlHostsQueryFrame>(bytes) && m_leader && !m_leaderSuspected) {
        ControlHostsFrame answer;
        for (const HostId& host : m_search.discoveredHosts())
            answer.controlHosts.push_back(host.value());
        actions.datagrams.emplace_back(from, pack(answer));
    }
    if (const auto answer = unpack<ControlHostsFrame>(bytes); answer && !m_leader)
        m_search.addControlHosts(answer->controlHosts);
    if (const auto limit = unpack<PeerRateLimitFrame>(bytes)) {
        for (const InstanceRateLimit& each : currentLimits({ limit->row }, now))
            m_localScheduler.rateLimits().onPeerStatement(each, now);
    }
    const auto outcome = unpack<PeerOutcomeFrame>(bytes);
    if (outcome && outcome->end <= static_cast<std::uint8_t>(PlacementOutcome::Unused))
        m_localScheduler.onPeerOutcome(
            InstanceId(outcome->instance), static_cast<PlacementOutcome>(outcome->end), now);
}

void ControllerClient::tick(TimePoint now, ControllerClientActions& actions)
{
    if (m_leader && now - m_lastHeartbeat > heartbeatTimeout)
        loseLeader("silent", now, actions);
    searchLeader(now, actions);
    updateKeys(now, actions);
    std::vector<DispatchId> late;
    std::vector<DispatchId> expired;
    for (auto& [id, pending] : m_pendingRequests) {
        if (now >= pending.since + pending.request.remaining)
            expired.push_back(id);
        if (now < pending.replyDue)
            continue;
        const TimePoint extended = pending.sentAt + heardReplyTimeout;
        if (m_leader && m_lastHeard > pending.sentAt && now < extended)
            pending.replyDue = extended;
        else
            late.push_back(id);
    }
    for (const DispatchId id : expired)
        refuseLocally(id, PlacementRefusal::Busy, defaultRetryAfter, actions);
    for (const DispatchId id : late) {
        m_leaderSuspected = true;
        m_localCaps.onLeaderLost(now);
        placeLocally(id, now, actions);
    }
    for (Decision& decision : m_localCaps.meter().takeDecisions(now)) {
        decision.facts["alone"] = true;
        actions.decisions.push_back(std::move(decision));
    }
}

/// Time that this host's link may need for the bodies of its requests that may still be on their
/// way.
Duration ControllerClient::transferTime(TimePoint now) const
{
    std::uint64_t kib = 0;
    for (const auto& [id, pending] : m_pendingRequests)
        kib += now - pending.since < transferWindow ? pending.request.bodyKiB : 0;
    for (const auto& [id, placement] : m_placements)
        kib += now - placement.since < transferWindow ? placement.bodyKiB : 0;
    constexpr std::uint64_t maxKiB = maxTransferTime / transferTimePerKiB;
    return std::min(kib, maxKiB) * transferTimePerKiB;
}

DispatchId ControllerClient::dispatch(
    PlacementRequest request, TimePoint now, ControllerClientActions& actions)
{
    m_lastRequest = DispatchId(m_lastRequest.value() + 1);
    const DispatchId id = m_lastRequest;
    if (!request.resubmitted)
        m_localScheduler.onRequest(request.service, now);
    for (const InstanceId& unreachable : m_localScheduler.unreachableInstances(now))
        request.avoid.push_back(unreachable);
    for (const InstanceId& closed : m_localScheduler.closedInstances(request.service, now))
        request.avoid.push_back(closed);
    const Duration ownTransfer
        = std::min<Duration>(maxTransferTime, request.bodyKiB * transferTimePerKiB);
    const TimePoint due = now + replyTimeout + std::max(transferTime(now), ownTransfer);
    m_pendingRequests[id] = { std::move(request), now, now, due };
    if (m_leader && !m_leaderSuspected)
        sendRequest(id, m_pendingRequests[id], now, actions);
    else
        placeLocally(id, now, actions);
    return id;
}

void ControllerClient::sendRequest(DispatchId id, const PendingRequest& pending, TimePoint now,
    ControllerClientActions& actions) const
{
    const PlacementRequest& request = pending.request;
    PlacementRequestFrame frame { id.value(), request.service.value(),
        static_cast<std::uint8_t>(request.kind), request.priority, request.bodyKiB,
        wireMs(request.remaining - (now - pending.since)), wireMs(request.objective), request.retry,
        request.resubmitted, {}, request.isHedge, request.account.value() };
    for (const InstanceId& avoided : request.avoid)
        frame.avoid.push_back(avoided.value());
    actions.frames.emplace_back(*m_leader, pack(frame));
}

void ControllerClient::answer(PlacementResult answer, ControllerClientActions& actions)
{
    m_pendingRequests.erase(answer.dispatch);
    actions.answers.push_back(std::move(answer));
}

void ControllerClient::onGranted(DispatchId dispatch, const InstanceId& instance, TimePoint now,
    ControllerClientActions& actions)
{
    const auto found = m_pendingRequests.find(dispatch);
    const InstanceRecord* record = m_localScheduler.find(instance);
    if (found == m_pendingRequests.end())
        return; // placed locally meanwhile; the leader was notified
    PendingRequest& pending = found->second;
    if (!pending.request.resubmitted)
        m_localCaps.onGranted(pending.request.account, now);
    if (record == nullptr)
        return placeLocally(dispatch, now, actions, true);
    if (m_localScheduler.isClosed(instance, now)) {
        // The instance closed while the request waited for its slot.
        actions.frames.emplace_back(*m_leader,
            pack(AttemptEndFrame {
                dispatch.value(), static_cast<std::uint8_t>(PlacementOutcome::Unused), 0, -1 }));
        pending.request.avoid.push_back(instance);
        pending.request.resubmitted = true;
        pending.sentAt = now;
        pending.replyDue = now + replyTimeout + transferTime(now);
        return sendRequest(dispatch, pending, now, actions);
    }
    m_placements[dispatch] = { instance, record->incarnation, pending.request.service, now,
        pending.since + pending.request.remaining, pending.request.bodyKiB };
    m_localScheduler.begin(instance);
    m_localScheduler.rateLimits().onPlaced(instance, false, now);
    answer({ dispatch, *record }, actions);
}

void ControllerClient::onRefused(DispatchId dispatch, PlacementRefusal refusal, Duration delay,
    TimePoint now, ControllerClientActions& actions)
{
    const auto found = m_pendingRequests.find(dispatch);
    if (found == m_pendingRequests.end())
        return; // placed locally meanwhile
    if (refusal == PlacementRefusal::OverCap)
        m_localCaps.onRefused(found->second.request.account, now);
    answer({ dispatch, std::nullopt, refusal, delay }, actions);
}

void ControllerClient::refuseLocally(
    DispatchId dispatch, PlacementRefusal refusal, Duration delay, ControllerClientActions& actions)
{
    if (m_leader)
        actions.frames.emplace_back(*m_leader, pack(CancelFrame { dispatch.value() }));
    answer({ dispatch, std::nullopt, refusal, delay, true }, actions);
}

void ControllerClient::placeLocally(
    DispatchId dispatch, TimePoint now, ControllerClientActions& actions, bool isGranted)
{
    const auto found = m_pendingRequests.find(dispatch);
    if (found == m_pendingRequests.end())
        return;
    const PendingRequest pending = found->second;
    const PlacementRequest& request = pending.request;
    const bool allowed = !request.retry || m_localScheduler.takeRetry(request.service, now);
    const auto instance = allowed ? m_localScheduler.choose(request, now) : std::nullopt;
    if (!instance && allowed) {
        const auto delay = m_localScheduler.rateLimitDelay(request, now);
        return refuseLocally(dispatch,
            delay ? PlacementRefusal::RateLimited : PlacementRefusal::NoInstance,
            std::max<Duration>(delay.value_or(defaultRetryAfter), defaultRetryAfter), actions);
    }
    if (!instance)
        return refuseLocally(dispatch, PlacementRefusal::NoBudget, defaultRetryAfter, actions);
    const ClientAccountId counted = request.resubmitted ? ClientAccountId() : request.account;
    if (const auto delay = isGranted ? std::nullopt : m_localCaps.take(counted, now))
        return refuseLocally(dispatch, PlacementRefusal::OverCap, *delay, actions);
    const TimePoint until = pending.since + request.remaining;
    m_placements[dispatch] = { *instance, m_localScheduler.find(*instance)->incarnation,
        request.service, now, until, request.bodyKiB };
    m_localScheduler.begin(*instance);
    m_localScheduler.rateLimits().onPlaced(*instance, true, now);
    if (m_leader)
        actions.frames.emplace_back(*m_leader,
            pack(LocalPlacementFrame { { dispatch.value(), instance->value(),
                                           request.service.value(), 0, wireMs(until - now) },
                counted.value() }));
    answer(
        { dispatch, *m_localScheduler.find(*instance), PlacementRefusal::None, {}, true }, actions);
}

void ControllerClient::reportOverdue(
    DispatchId dispatch, Duration elapsed, TimePoint now, ControllerClientActions& actions)
{
    const auto found = m_placements.find(dispatch);
    if (found == m_placements.end())
        return;
    m_localScheduler.reportOverdue(found->second.instance, elapsed, now);
    if (!m_leader || m_leaderSuspected)
        notifyNeighbours(found->second.instance, PlacementOutcome::TimedOut, actions);
}

void ControllerClient::cancel(DispatchId dispatch, ControllerClientActions& actions)
{
    if (m_pendingRequests.erase(dispatch) != 0 && m_leader)
        actions.frames.emplace_back(*m_leader, pack(CancelFrame { dispatch.value() }));
}

void ControllerClient::end(DispatchId dispatch, const PlacementReport& report, TimePoint now,
    ControllerClientActions& actions)
{
    const auto found = m_placements.find(dispatch);
    if (found == m_placements.end())
        return;
    const InstanceId instance = found->second.instance;
    const bool wasClosed = m_localScheduler.isClosed(instance, now);
    m_localScheduler.end(instance, report, now);
    m_placements.erase(found);
    if (!wasClosed && m_localScheduler.isClosed(instance, now)) {
        Decision decision { "instance", report.isLeaving ? "leaving" : "paused" };
        decision.facts["instance"] = instance.value();
        decision.facts["pause_ms"] = Json::Int64(toMillis(report.pause));
        actions.decisions.push_back(std::move(decision));
    }
    const bool failed
        = report.end != PlacementOutcome::Success && report.end != PlacementOutcome::Unused;
    if (failed && (!m_leader || m_leaderSuspected))
        notifyNeighbours(instance, report.end, actions);
    if (m_leader)
        actions.frames.emplace_back(*m_leader,
            pack(AttemptEndFrame { dispatch.value(), static_cast<std::uint8_t>(report.end),
                wireMs(report.latency), report.reportedLoad, report.isUnsent }));
    if (report.connectTime > Duration::zero())
        measureDelay(instance, report, now, actions);
}

void ControllerClient::measureDelay(const InstanceId& id, const PlacementReport& report,
    TimePoint now, ControllerClientActions& actions)
{
    const auto record = m_localScheduler.instances().find(id);
    if (record == m_localScheduler.instances().end()
        || record->second.dataCentre == m_location.dataCentre)
        return;
    m_delayMeter.onConnect(record->second.dataCentre, report.connectTime, now);
    if (!m_leader || !m_reportsDelays)
        return;
    DelaysFrame frame;
    for (const auto& [dataCentre, oneWay] : m_delayMeter.takeChanges(now))
        frame.delays.push_back({ dataCentre.value(),
            static_cast<std::uint32_t>(
                std::chrono::duration_cast<std::chrono::microseconds>(oneWay).count()) });
    if (!frame.delays.empty())
        actions.frames.emplace_back(*m_leader, pack(frame));
}

} // namespace laburnum
