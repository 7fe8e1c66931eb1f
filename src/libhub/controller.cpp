#include <laburnumroute/controller.h>

#include <algorithm>
#include <deque>

#include <laburnumroute/json.h>

#include "cap_coordinator_pvt.h"
#include "controller_messages_pvt.h"
#include "ended_instance_observer_pvt.h"
#include "rate_limit_coordinator_pvt.h"
#include "update_encoder_pvt.h"

namespace laburnum {

using std::chrono::milliseconds;
using namespace pvt;

namespace {

    /// Less than one second, after which callers try another host.
    constexpr auto callTimeout = milliseconds(850);
    /// A call without a result is resent to the leader after this time.
    constexpr auto callResendInterval = milliseconds(300);
    /// Entry hosts abandon a leader that is silent for more than two of these, see
    /// heartbeatTimeout.
    constexpr auto heartbeatInterval = milliseconds(500);
    constexpr auto schedulerTickInterval = milliseconds(50);
    /// Minimum time between two lists of doubtful instances. Entry hosts only use the list while
    /// they have no leader.
    constexpr auto doubtfulInterval = milliseconds(2000);

    /// A slice of the backlog ends after this many frames or evaluated instances. It takes at most
    /// 5 ms, a fiftieth of the leader's lease.
    constexpr std::size_t sliceFrameLimit = 64;
    constexpr std::uint64_t sliceEvaluationLimit = 15'000;
    /// Older placement requests are dropped: entry hosts place a request locally after 250 ms
    /// without a reply, so the reply would arrive too late.
    constexpr auto maxRequestAge = milliseconds(225);
    /// Placement requests beyond this are dropped; ten times what a site of 126 hosts sends in one
    /// second.
    constexpr std::size_t backlogLimit = 16'384;

    /// A round trip between regions takes 40 ms; a lost packet adds 200 ms.
    constexpr LogTiming logTiming { .heartbeatInterval = milliseconds(175),
        .electionTimeoutMin = milliseconds(450),
        .electionTimeoutMax = milliseconds(650),
        .electionRetryMin = milliseconds(90),
        .electionRetryMax = milliseconds(240),
        .leaseDuration = milliseconds(240) };

    /// The share of the retry budget that the leader's scheduler grants.
    RetryBudgetLimits fleetRetryLimits(RetryBudgetLimits terms)
    {
        terms.ratio *= RetryBudgetShares::fleetShare;
        terms.slack *= RetryBudgetShares::fleetSlackShare;
        return terms;
    }

    enum class CallKind : std::uint8_t {
        Announce = 0,
        Deregister = 1,
        PutConfig = 2,
        GetConfig = 3
    };

    ForwardedCallFrame toFrame(const HostId& from, CallId id, const ControlCall& call)
    {
        ForwardedCallFrame frame;
        frame.from = from.value();
        frame.call = id.value();
        if (const auto* announce = std::get_if<AnnounceCall>(&call)) {
            frame.kind = static_cast<std::uint8_t>(CallKind::Announce);
            frame.instance = toRow(announce->record);
            frame.coldMs = wireMs(announce->warmupRemaining);
        } else if (const auto* deregister = std::get_if<DeregisterCall>(&call)) {
            frame.kind = static_cast<std::uint8_t>(CallKind::Deregister);
            frame.instance.id = deregister->deregistration.id.value();
            frame.instance.incarnation = deregister->deregistration.incarnation;
            frame.isStated = deregister->deregistration.isStated;
        } else if (const auto* put = std::get_if<PutConfigCall>(&call)) {
            frame.kind = static_cast<std::uint8_t>(CallKind::PutConfig);
            frame.number = put->config.number.value();
            frame.content = put->config.content;
        } else {
            frame.kind = static_cast<std::uint8_t>(CallKind::GetConfig);
        }
        return frame;
    }

    ControlCall fromFrame(const ForwardedCallFrame& frame)
    {
        switch (static_cast<CallKind>(frame.kind)) {
        case CallKind::Announce:
            return AnnounceCall { fromRow(frame.instance), milliseconds(frame.coldMs) };
        case CallKind::Deregister:
            return DeregisterCall { { InstanceId(frame.instance.id), frame.instance.incarnation,
                frame.isStated } };
        case CallKind::PutConfig:
            return PutConfigCall { { frame.number, frame.content } };
        case CallKind::GetConfig:
            break;
        }
        return GetConfigCall {};
    }

    Json::Value toJsonArray(const std::vector<InstanceId>& ids)
    {
        Json::Value list(Json::arrayValue);
        for (const auto& id : ids)
            list.append(id.value());
        return list;
    }

} // namespace

class Controller::Impl {
public:
    Impl(ControllerOptions initial)
        : options(std::move(initial))
        , scheduler(fleetRetryLimits(options.repeats))
    {
        scheduler.setSpilloverThreshold(options.spilloverFrom);
    }

    Expected<void> open(LogStore store, TimePoint now)
    {
        ReplicatedLogOptions logOptions;
        logOptions.host = options.host;
        logOptions.controlHosts = options.seeds;
        logOptions.admission = Admission::Open;
        logOptions.mayBootstrap = options.mayBootstrap;
        logOptions.seed = options.seed;
        logOptions.timing = logTiming;
        logOptions.targetVoters = 2 * std::size_t { options.toleratedFailures } + 1;
        auto created = ReplicatedLog::create(std::move(logOptions), std::move(store), state, now);
        if (!created)
            return tl::unexpected<Error>(created.error());
        log = std::move(*created);
        return {};
    }

    void receive(LinkId link, std::string_view frame, TimePoint now, ControllerActions& actions)
    {
        // After a pause of this process another leader may have been elected.
        if (now - m_lastTick > logTiming.electionTimeoutMin)
            tick(now, actions);
        if (const auto peer = unpack<LogMessageFrame>(frame)) {
            auto params = parseJson(peer->json);
            if (params)
                deliverToLog({ HostId(peer->from), options.host, peer->method, std::move(*params) },
                    now, actions);
        } else if (const auto call = unpack<ForwardedCallFrame>(frame)) {
            execute({ HostId(call->from), CallId(call->call) }, fromFrame(*call), now, actions);
        } else if (const auto result = unpack<CallResultFrame>(frame)) {
            onResult(*result, actions);
        } else if (const auto request = unpack<ConfirmRequestFrame>(frame)) {
            confirm(link, *request, now, actions);
        } else if (isPlacementFrame(frame)) {
            const bool isDropped = !m_isLeader
                || (m_backlog.size() >= backlogLimit && isFrame<PlacementRequestFrame>(frame));
            if (!isDropped)
                m_backlog.push_back({ link, std::string(frame), now });
        } else if (isFrame<HelloFrame>(frame) || isFrame<VersionsFrame>(frame)) {
            m_backlog.push_back({ link, std::string(frame), now });
        } else if (const auto delays = unpack<DelaysFrame>(frame)) {
            onDelays(link, *delays);
        }
    }

    void work(TimePoint now, ControllerActions& actions)
    {
        const std::uint64_t evaluations = scheduler.evaluations();
        for (std::size_t i = 0; i < sliceFrameLimit && !m_backlog.empty()
             && scheduler.evaluations() - evaluations < sliceEvaluationLimit;
             ++i) {
            const QueuedFrame queued = std::move(m_backlog.front());
            m_backlog.pop_front();
            processFrame(queued, now, actions);
        }
    }

    bool hasBacklog() const { return !m_backlog.empty(); }

    void call(CallId id, ControlCall call, TimePoint now, ControllerActions& actions)
    {
        m_calls[id] = { std::move(call), now + callTimeout, now };
        advanceCall(id, now, actions);
    }

    void tick(TimePoint now, ControllerActions& actions)
    {
        m_lastTick = now;
        runLog(now, actions, [&](Outbox& out) { log->tick(now, out); });
        std::vector<CallId> due;
        for (const auto& [id, pending] : m_calls) {
            if (now >= pending.nextTry || now >= pending.deadline)
                due.push_back(id);
        }
        for (const CallId id : due)
            advanceCall(id, now, actions);
        std::erase_if(
            m_pendingCommits, [&](const PendingCommit& commit) { return now >= commit.deadline; });
        if (!m_isLeader)
            return;
        if (now >= m_nextSchedulerTick) {
            m_nextSchedulerTick = now + schedulerTickInterval;
            m_replies.clear();
            scheduler.tick(now, m_replies);
            sendReplies(actions);
            m_caps.onLease(log->holdsLease(now), now);
            m_rateLimits.onTick(log->holdsLease(now), now);
            for (Decision& decision : scheduler.rateLimits().takeDecisions())
                actions.decisions.push_back(std::move(decision));
            for (Decision& decision : scheduler.caps().meter().takeDecisions(now))
                actions.decisions.push_back(std::move(decision));
        }
        if (now >= m_nextHeartbeat && log->holdsLease(now))
            sendHeartbeat(now, actions);
    }

    void closeLink(LinkId link, TimePoint now)
    {
        loseSession(link, now);
        // Ends of attempts still count after the connection is closed.
        std::erase_if(m_backlog, [&](const QueuedFrame& queued) {
            return queued.link == link && !isFrame<AttemptEndFrame>(queued.frame);
        });
        scheduler.dropLink(link, now);
    }

    ControllerOptions options;
    FleetState state;
    FleetScheduler scheduler;
    std::unique_ptr<ReplicatedLog> log;
    bool m_isLeader = false;

    /// The connection of an entry host.
    struct Session {
        HelloFrame hello;
        /// Versions that the host held according to its latest statement, or was sent since. The
        /// host states them again (VersionsFrame) if they are wrong.
        ConfigNumber configNumber;
        LogIndex instancesIndex;
        bool hasInstances = false;
        bool isSubscribed = false;
        /// The host cannot reach the leader and gets updates from this one.
        bool isFollowing = false;
        std::string sentLeader;
        /// When `hello` was processed.
        TimePoint since;
    };
    std::map<LinkId, Session> m_sessions;

private:
    /// A frame of an entry host in the backlog.
    struct QueuedFrame {
        LinkId link;
        std::string frame;
        TimePoint since;
    };

    static bool isPlacementFrame(std::string_view frame)
    {
        return isFrame<PlacementRequestFrame>(frame) || isFrame<AttemptEndFrame>(frame)
            || isFrame<CancelFrame>(frame) || isFrame<LocalPlacementFrame>(frame)
            || isFrame<LocalUsageFrame>(frame) || isFrame<RateLimitsFrame>(frame);
    }

    void processFrame(const QueuedFrame& queued, TimePoint now, ControllerActions& actions)
    {
        if (const auto hello = unpack<HelloFrame>(queued.frame))
            return onHello(queued.link, *hello, now, actions);
        if (const auto versions = unpack<VersionsFrame>(queued.frame))
            return onVersions(queued.link, *versions, actions);
        if (!m_isLeader)
            return;
        if (const auto dispatch = unpack<PlacementRequestFrame>(queued.frame)) {
            if (now - queued.since < maxRequestAge)
                onPlacementRequest(queued.link, *dispatch, now, actions);
        } else if (const auto end = unpack<AttemptEndFrame>(queued.frame)) {
            onEnd(queued.link, *end, now, actions);
        } else if (const auto cancel = unpack<CancelFrame>(queued.frame)) {
            m_replies.clear();
            scheduler.cancel({ queued.link, DispatchId(cancel->dispatch) }, now, m_replies);
            sendReplies(actions);
        } else if (const auto adopted = unpack<LocalPlacementFrame>(queued.frame)) {
            onLocalPlacement(queued.link, *adopted, now, actions);
        } else if (const auto placed = unpack<LocalUsageFrame>(queued.frame)) {
            m_caps.onUsage(placed->usage, now - queued.since, now);
        } else if (const auto limits = unpack<RateLimitsFrame>(queued.frame)) {
            m_rateLimits.onStatements(*limits, now - queued.since, now);
        }
    }

    /// The host and call that requested a change.
    struct Origin {
        HostId host;
        CallId call;
    };

    /// A call made at this host whose result is not known yet.
    struct PendingCall {
        ControlCall call;
        TimePoint deadline;
        TimePoint nextTry;
    };

    /// A change that this host proposed as leader and that is not applied yet.
    struct PendingCommit {
        Origin origin;
        ControlCall call;
        TimePoint deadline;
    };

    template <class Function>
    void runLog(TimePoint now, ControllerActions& actions, Function&& function)
    {
        Outbox out(options.host);
        function(out);
        dispatchOutbox(out, now, actions);
        onLogProgress(now, actions);
    }

    void dispatchOutbox(Outbox& out, TimePoint now, ControllerActions& actions)
    {
        for (auto& message : out.takeMessages()) {
            if (message.to == options.host) {
                deliverToLog(std::move(message), now, actions);
                continue;
            }
            actions.peerFrames.emplace_back(message.to,
                pack(LogMessageFrame {
                    options.host.value(), message.method, toJsonText(message.params) }));
        }
        for (auto& decision : out.takeDecisions())
            actions.decisions.push_back(std::move(decision));
    }

    void deliverToLog(PeerMessage message, TimePoint now, ControllerActions& actions)
    {
        runLog(now, actions, [&](Outbox& out) { log->receive(message, now, out); });
    }

    /// Handles newly committed entries and a change of leadership.
    void onLogProgress(TimePoint now, ControllerActions& actions)
    {
        const bool leads = log->role() == LogRole::Leader
            && log->store().termAt(log->commitIndex()) == log->term();
        if (leads && !m_isLeader)
            startLeading(now, actions);
        else if (!leads && m_isLeader)
            stopLeading(now, actions);
        if (log->appliedIndex() != m_lastSeenApplied) {
            m_lastSeenApplied = log->appliedIndex();
            if (m_isLeader) {
                syncScheduler(now);
                m_caps.apply(state.config(), now);
            }
            announceControlHosts(actions);
            for (auto& [link, session] : m_sessions) {
                if (m_isLeader || session.isFollowing)
                    update(link, session, actions);
            }
            completeCommits(actions);
        }
        if (!m_isLeader)
            redirectSessions(actions);
    }

    void startLeading(TimePoint now, ControllerActions& actions)
    {
        m_isLeader = true;
        m_schedulerIndex = LogIndex(0);
        m_lastVersions.clear();
        m_caps.apply(state.config(), now);
        scheduler.restart(now);
        m_rateLimits.restart(now);
        m_caps.onLease(true, now);
        m_announcedNeighbours.clear();
        m_newNeighbours.clear();
        syncScheduler(now);
        recordDecision("lead", "started", actions);
        m_announcedMembers = log->membership();
        for (auto& [link, session] : m_sessions)
            welcome(link, session, now, actions);
        m_nextHeartbeat = now;
    }

    /// Tells entry hosts which control hosts they can turn to without this one.
    void announceControlHosts(ControllerActions& actions)
    {
        if (!m_isLeader || log->membership() == m_announcedMembers)
            return;
        m_announcedMembers = log->membership();
        for (const auto& [link, session] : m_sessions) {
            if (session.isSubscribed)
                actions.frames.emplace_back(link, welcomeFrame());
        }
    }

    std::string welcomeFrame() const
    {
        return pack(WelcomeFrame { controlHosts(), options.spilloverFrom > Duration::zero() });
    }

    void stopLeading(TimePoint now, ControllerActions& actions)
    {
        m_isLeader = false;
        m_pendingCommits.clear();
        m_endedInstances.clear();
        scheduler.restart(now);
        recordDecision("lead", "stopped", actions);
        for (auto& [link, session] : m_sessions) {
            session.isSubscribed = false;
            session.sentLeader = "?";
        }
    }

    void recordDecision(const char* kind, const char* reason, ControllerActions& actions) const
    {
        Decision decision { kind, reason };
        decision.facts["term"] = Json::UInt64(log->term().value());
        decision.facts["commit"] = Json::UInt64(log->commitIndex().value());
        decision.facts["config"] = configNumberFact(state.config().number);
        decision.facts["voters"] = Json::UInt64(log->membership().voterCount());
        actions.decisions.push_back(std::move(decision));
    }

    /// Updates the scheduler to the instances of the replicated state.
    void syncScheduler(TimePoint now)
    {
        const auto changed
            = m_schedulerIndex == LogIndex(0) ? std::nullopt : state.changedSince(m_schedulerIndex);
        if (!changed) {
            for (const auto& [id, record] : state.instances())
                scheduler.upsert(record, now);
        } else {
            for (const InstanceId& id : *changed) {
                const auto found = state.instances().find(id);
                m_lastVersions.erase(id);
                if (found == state.instances().end())
                    scheduler.remove(id, now);
                else
                    scheduler.upsert(found->second, now);
            }
        }
        m_schedulerIndex = state.instancesIndex();
    }

    std::vector<std::string> controlHosts() const
    {
        std::vector<std::string> hosts;
        for (const Member& member : log->membership().members())
            hosts.push_back(member.host.value());
        return hosts;
    }

    void onHello(LinkId link, const HelloFrame& hello, TimePoint now, ControllerActions& actions)
    {
        Session& session = m_sessions[link];
        session = { hello, configNumberOf(hello.configNumber, hello.hasConfig),
            LogIndex(hello.instancesIndex), hello.hasInstances };
        session.sentLeader = "?";
        session.since = now;
        if (m_isLeader)
            welcome(link, session, now, actions);
        else
            redirectSessions(actions);
    }

    void loseSession(LinkId link, TimePoint now)
    {
        const auto session = m_sessions.extract(link);
        if (!session || !m_isLeader || !session.mapped().isSubscribed)
            return;
        const std::string& host = session.mapped().hello.host;
        if (std::none_of(m_sessions.begin(), m_sessions.end(),
                [&](const auto& other) { return other.second.hello.host == host; }))
            onHostLost(HostId(host), link, now);
    }

    void onHostLost(const HostId& host, LinkId link, TimePoint now)
    {
        m_caps.onHostLost(host, link, now);
        m_rateLimits.onHostLost(host, now);
    }

    /// The entry host holds other versions than this host assumed.
    void onVersions(LinkId link, const VersionsFrame& versions, ControllerActions& actions)
    {
        const auto found = m_sessions.find(link);
        if (found == m_sessions.end())
            return;
        Session& session = found->second;
        session.configNumber = configNumberOf(versions.configNumber, versions.hasConfig);
        session.instancesIndex = LogIndex(versions.instancesIndex);
        session.hasInstances = versions.hasInstances;
        session.isFollowing = !m_isLeader;
        update(link, session, actions);
    }

    /// Not queued in the backlog, so that a busy leader confirms in time. Updates are sent as soon
    /// as an entry is applied, so the frame follows all earlier ones on the link.
    void confirm(LinkId link, const ConfirmRequestFrame& request, TimePoint now,
        ControllerActions& actions) const
    {
        const auto found = m_sessions.find(link);
        if (m_isLeader && log->holdsLease(now) && found != m_sessions.end()
            && found->second.isSubscribed && found->second.configNumber >= state.config().number)
            actions.frames.emplace_back(link, pack(ConfirmFrame { request.number }));
    }

    void onDelays(LinkId link, const DelaysFrame& frame)
    {
        const auto session = m_sessions.find(link);
        if (!m_isLeader || session == m_sessions.end())
            return;
        std::map<DataCentreId, RegionId> regions;
        for (const auto& [id, record] : state.instances())
            regions.emplace(record.dataCentre, record.region);
        const HelloFrame& hello = session->second.hello;
        for (const DelayRow& row : frame.delays) {
            const auto region = regions.find(DataCentreId(row.dataCentre));
            if (region != regions.end() && row.dataCentre != hello.dataCentre)
                scheduler.onDelay(DataCentreId(hello.dataCentre), region->first,
                    region->second.value() == hello.region,
                    std::chrono::microseconds(row.oneWayUs));
        }
    }

    void welcome(LinkId link, Session& session, TimePoint now, ControllerActions& actions)
    {
        session.isSubscribed = true;
        actions.frames.emplace_back(link, welcomeFrame());
        for (const auto& placement : session.hello.activePlacements)
            adopt(link, placement, now);
        session.hello.activePlacements.clear();
        m_caps.onHostFound(HostId(session.hello.host), now);
        m_rateLimits.onHostFound(HostId(session.hello.host));
        m_caps.onUsage(std::exchange(session.hello.usage, {}), now - session.since, now);
        update(link, session, actions);
        announceNeighbour(link, session, actions);
        actions.frames.emplace_back(link, heartbeatWithDoubtful(now));
        actions.frames.emplace_back(link, m_rateLimits.listFrame(now));
    }

    /// Sends an entry host the addresses of the others in its region. The others learn of it with
    /// the next heartbeat, in one batch: after a change of leader every host is new.
    void announceNeighbour(LinkId link, const Session& session, ControllerActions& actions)
    {
        const std::string& address = session.hello.neighbour;
        if (address.empty())
            return;
        NeighboursFrame all;
        for (const auto& [otherLink, other] : m_sessions) {
            if (otherLink != link && other.isSubscribed && !other.hello.neighbour.empty()
                && other.hello.region == session.hello.region)
                all.addresses.push_back(other.hello.neighbour);
        }
        actions.frames.emplace_back(link, pack(all));
        if (m_announcedNeighbours.insert(address).second)
            m_newNeighbours[session.hello.region].addresses.push_back(address);
    }

    void sendNewNeighbours(ControllerActions& actions)
    {
        for (const auto& [region, frame] : std::exchange(m_newNeighbours, {})) {
            const std::string bytes = pack(frame);
            for (const auto& [link, session] : m_sessions) {
                if (session.isSubscribed && session.hello.region == region)
                    actions.frames.emplace_back(link, bytes);
            }
        }
    }

    void adopt(
        LinkId link, const ActivePlacementRow& row, TimePoint now, const std::string& account = {})
    {
        scheduler.adopt(
            { { link, DispatchId(row.dispatch) }, InstanceId(row.instance), ServiceId(row.service),
                milliseconds(row.ageMs), milliseconds(row.remainingMs), ClientAccountId(account) },
            now);
    }

    void redirectSessions(ControllerActions& actions)
    {
        const auto leader = log->leader();
        const std::string name = leader && *leader != options.host ? leader->value() : "";
        for (auto& [link, session] : m_sessions) {
            if (session.sentLeader == name)
                continue;
            session.sentLeader = name;
            actions.frames.emplace_back(link, pack(RedirectFrame { name, controlHosts() }));
        }
    }

    /// Sends an entry host the updates that it lacks. Hosts at the same version get the same bytes,
    /// which are encoded once.
    void update(LinkId link, Session& session, ControllerActions& actions)
    {
        const ConfigNumber number = state.config().number;
        if (number > session.configNumber) {
            actions.frames.emplace_back(link, m_updates.configFrame(session.configNumber));
            session.configNumber = number;
        }
        if (session.hasInstances && session.instancesIndex == state.instancesIndex())
            return;
        actions.frames.emplace_back(link,
            m_updates.instancesFrame(
                session.hasInstances ? std::optional(session.instancesIndex) : std::nullopt));
        session.instancesIndex = state.instancesIndex();
        session.hasInstances = true;
    }

    std::string heartbeatWithDoubtful(TimePoint now) const
    {
        HeartbeatFrame frame { true, {}, m_rateLimits.hosts() };
        for (const InstanceId& id : scheduler.doubtful(now))
            frame.doubtful.push_back(id.value());
        return pack(frame);
    }

    void sendHeartbeat(TimePoint now, ControllerActions& actions)
    {
        m_nextHeartbeat = now + heartbeatInterval;
        sendNewNeighbours(actions);
        auto doubtful = scheduler.doubtful(now);
        const bool includesDoubtful = now >= m_nextDoubtfulUpdate && doubtful != m_sentDoubtful;
        const std::string frame = includesDoubtful
            ? heartbeatWithDoubtful(now)
            : pack(HeartbeatFrame { false, {}, m_rateLimits.hosts() });
        const auto limits = m_rateLimits.takeUpdate(now);
        for (const auto& [link, session] : m_sessions) {
            if (!session.isSubscribed)
                continue;
            actions.frames.emplace_back(link, frame);
            if (limits)
                actions.frames.emplace_back(link, *limits);
        }
        if (!includesDoubtful)
            return;
        m_nextDoubtfulUpdate = now + doubtfulInterval;
        m_sentDoubtful = std::move(doubtful);
        Decision decision { "judge", "doubtful" };
        decision.facts["instances"] = toJsonArray(m_sentDoubtful);
        decision.facts["waiting"] = Json::UInt64(scheduler.waiting());
        decision.facts["granted"] = Json::UInt64(scheduler.granted());
        actions.decisions.push_back(std::move(decision));
    }

    void onPlacementRequest(
        LinkId link, const PlacementRequestFrame& frame, TimePoint now, ControllerActions& actions)
    {
        const auto session = m_sessions.find(link);
        if (session == m_sessions.end())
            return;
        PlacementRequest request;
        request.key = { link, DispatchId(frame.dispatch) };
        request.service = ServiceId(frame.service);
        request.kind = static_cast<RequestKind>(frame.kind);
        request.priority = frame.priority;
        request.bodyKiB = frame.bodyKiB;
        request.remaining = milliseconds(frame.remainingMs);
        request.objective = milliseconds(frame.objectiveMs);
        request.retry = frame.retry;
        request.resubmitted = frame.resubmitted;
        request.isHedge = frame.isHedge;
        request.account = ClientAccountId(frame.account);
        request.dataCentre = DataCentreId(session->second.hello.dataCentre);
        request.region = RegionId(session->second.hello.region);
        for (const auto& id : frame.avoid)
            request.avoid.emplace_back(id);
        if (!request.account.value().empty())
            m_caps.onLease(log->holdsLease(now), now);
        m_replies.clear();
        scheduler.dispatch(request, now, m_replies);
        sendReplies(actions);
    }

    void onEnd(LinkId link, const AttemptEndFrame& frame, TimePoint now, ControllerActions& actions)
    {
        m_replies.clear();
        scheduler.end({ link, DispatchId(frame.dispatch) },
            { static_cast<PlacementOutcome>(frame.end), milliseconds(frame.latencyMs),
                frame.reportedLoad, false, {}, {}, frame.isUnsent },
            now, m_replies);
        sendReplies(actions);
    }

    void onLocalPlacement(
        LinkId link, const LocalPlacementFrame& frame, TimePoint now, ControllerActions& actions)
    {
        m_replies.clear();
        scheduler.cancel({ link, DispatchId(frame.placement.dispatch) }, now, m_replies);
        sendReplies(actions);
        adopt(link, frame.placement, now, frame.account);
    }

    void sendReplies(ControllerActions& actions)
    {
        for (const PlacementReply& reply : m_replies) {
            const std::uint32_t dispatch = reply.key.dispatch.value();
            std::string frame;
            if (reply.kind == PlacementReplyKind::Granted)
                frame = pack(GrantedFrame { dispatch, reply.instance.value() });
            else if (reply.kind == PlacementReplyKind::Waiting)
                frame = pack(WaitingFrame { dispatch, wireMs(reply.delay) });
            else
                frame = pack(RefusedFrame {
                    dispatch, static_cast<std::uint8_t>(reply.refusal), wireMs(reply.delay) });
            actions.frames.emplace_back(reply.key.link, std::move(frame));
        }
        m_replies.clear();
    }

    /// Advances a call of this host: executes it, forwards it to the leader, or fails it at its
    /// deadline.
    void advanceCall(CallId id, TimePoint now, ControllerActions& actions)
    {
        const auto found = m_calls.find(id);
        if (found == m_calls.end())
            return;
        if (now >= found->second.deadline) {
            m_calls.erase(found);
            actions.results.emplace_back(id, CallResult {});
            return;
        }
        const auto leader = log->leader();
        found->second.nextTry = now + (leader ? callResendInterval : Controller::tickInterval);
        if (m_isLeader)
            execute({ options.host, id }, found->second.call, now, actions);
        else if (leader && *leader != options.host)
            actions.peerFrames.emplace_back(
                *leader, pack(toFrame(options.host, id, found->second.call)));
    }

    /// Executes a call as the leader.
    void execute(const Origin& origin, ControlCall call, TimePoint now, ControllerActions& actions)
    {
        if (!m_isLeader)
            return;
        if (std::holds_alternative<GetConfigCall>(call)) {
            if (log->holdsLease(now))
                finish(origin, { true, state.config() }, actions);
            return;
        }
        const bool isPending = std::any_of(
            m_pendingCommits.begin(), m_pendingCommits.end(), [&](const PendingCommit& c) {
                return c.origin.host == origin.host && c.origin.call == origin.call;
            });
        if (isPending)
            return;
        if (const auto* announce = std::get_if<AnnounceCall>(&call)) {
            scheduler.onAnnouncement(announce->record.id, announce->warmupRemaining, now);
            recordVersion(announce->record);
            if (m_endedInstances.observe(announce->record, now))
                reinstate(announce->record, now, actions);
        } else if (auto* deregister = std::get_if<DeregisterCall>(&call)) {
            resolveIncarnation(deregister->deregistration);
        }
        if (isApplied(call)) {
            finish(origin, { true, {} }, actions);
            return;
        }
        const std::string command = commandOf(call);
        m_pendingCommits.push_back({ origin, std::move(call), now + callTimeout });
        propose(command, now, actions);
    }

    void propose(const std::string& command, TimePoint now, ControllerActions& actions)
    {
        runLog(now, actions, [&](Outbox& out) {
            if (const auto proposed = log->propose(command, now, out); !proposed)
                out.log({ "call", "not-proposed" });
        });
    }

    /// Renewals are not replicated, so only the leader that hears them knows their versions.
    void recordVersion(const InstanceRecord& record)
    {
        const auto known = state.instances().find(record.id);
        if (known == state.instances().end() || known->second.incarnation != record.incarnation)
            return;
        auto& version = m_lastVersions[record.id];
        version = std::max(version, record.version);
    }

    /// An unstated incarnation is the registered one, or one whose registration is not committed
    /// yet. Resolved before the change is proposed, so that it does not end a later start.
    void resolveIncarnation(Deregistration& deregistration) const
    {
        if (deregistration.isStated)
            return;
        const auto known = state.instances().find(deregistration.id);
        deregistration.incarnation
            = known == state.instances().end() ? 0 : known->second.incarnation;
        if (const auto heard = m_lastVersions.find(deregistration.id);
            heard != m_lastVersions.end())
            deregistration.version = heard->second;
        for (const PendingCommit& commit : m_pendingCommits) {
            const auto* announce = std::get_if<AnnounceCall>(&commit.call);
            if (announce != nullptr && announce->record.id == deregistration.id)
                deregistration.incarnation
                    = std::max(deregistration.incarnation, announce->record.incarnation);
        }
    }

    void reinstate(const InstanceRecord& record, TimePoint now, ControllerActions& actions)
    {
        m_endedInstances.forget(record);
        Decision decision { "instance", "reinstated" };
        decision.facts["instance"] = record.id.value();
        decision.facts["incarnation"] = Json::UInt64(record.incarnation);
        decision.facts["version"] = Json::UInt64(record.version);
        actions.decisions.push_back(std::move(decision));
        propose(FleetState::encodeReinstateInstance(record), now, actions);
    }

    static std::string commandOf(const ControlCall& call)
    {
        if (const auto* announce = std::get_if<AnnounceCall>(&call))
            return FleetState::encodePutInstance(announce->record);
        if (const auto* deregister = std::get_if<DeregisterCall>(&call))
            return FleetState::encodeRemoveInstance(deregister->deregistration);
        return FleetState::encodePutConfig(std::get<PutConfigCall>(call).config);
    }

    /// True when the committed state already includes the change that `call` requests.
    bool isApplied(const ControlCall& call) const
    {
        if (const auto* announce = std::get_if<AnnounceCall>(&call))
            return !state.wouldChange(announce->record);
        if (const auto* deregister = std::get_if<DeregisterCall>(&call))
            return !state.wouldChange(deregister->deregistration);
        if (const auto* put = std::get_if<PutConfigCall>(&call))
            return state.config().number >= put->config.number;
        return false;
    }

    void completeCommits(ControllerActions& actions)
    {
        for (auto commit = m_pendingCommits.begin(); commit != m_pendingCommits.end();) {
            if (!isApplied(commit->call)) {
                ++commit;
                continue;
            }
            const Origin origin = commit->origin;
            commit = m_pendingCommits.erase(commit);
            finish(origin, { true, {} }, actions);
        }
    }

    void finish(const Origin& origin, const CallResult& result, ControllerActions& actions)
    {
        if (origin.host != options.host) {
            actions.peerFrames.emplace_back(origin.host,
                pack(CallResultFrame { origin.call.value(), result.done,
                    result.config.number.value_or(0), result.config.content,
                    result.config.number.has_value() }));
            return;
        }
        if (m_calls.erase(origin.call) != 0)
            actions.results.emplace_back(origin.call, result);
    }

    void onResult(const CallResultFrame& frame, ControllerActions& actions)
    {
        if (m_calls.erase(CallId(frame.call)) != 0)
            actions.results.emplace_back(CallId(frame.call),
                CallResult {
                    frame.done, { configNumberOf(frame.number, frame.hasConfig), frame.content } });
    }

    LogIndex m_lastSeenApplied;
    LogIndex m_schedulerIndex;
    TimePoint m_lastTick {};
    TimePoint m_nextSchedulerTick {};
    TimePoint m_nextHeartbeat {};
    std::map<CallId, PendingCall> m_calls;
    std::vector<PendingCommit> m_pendingCommits;
    EndedInstanceObserver m_endedInstances { state };
    /// Of the registered incarnations, as far as announced to this leader since the last change.
    std::map<InstanceId, std::uint64_t> m_lastVersions;
    CapCoordinator m_caps { scheduler.caps(), options.accountsOf };
    RateLimitCoordinator m_rateLimits { scheduler };
    std::vector<PlacementReply> m_replies;
    std::deque<QueuedFrame> m_backlog;
    /// The members that entry hosts were told of.
    Membership m_announcedMembers;
    std::set<std::string> m_announcedNeighbours;
    /// New neighbours by region, not announced to the other hosts yet.
    std::map<std::string, NeighboursFrame> m_newNeighbours;
    UpdateEncoder m_updates { state };
    TimePoint m_nextDoubtfulUpdate {};
    std::vector<InstanceId> m_sentDoubtful;
};

Controller::Controller(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
}

Controller::~Controller() = default;

Expected<std::unique_ptr<Controller>> Controller::create(
    ControllerOptions options, LogStore store, TimePoint now)
{
    auto impl = std::make_unique<Impl>(std::move(options));
    if (auto opened = impl->open(std::move(store), now); !opened)
        return tl::unexpected<Error>(opened.error());
    return std::unique_ptr<Controller>(new Controller(std::move(impl)));
}

void Controller::closeLink(LinkId link, TimePoint now) { m_impl->closeLink(link, now); }

void Controller::receive(
    LinkId link, std::string_view frame, TimePoint now, ControllerActions& actions)
{
    m_impl->receive(link, frame, now, actions);
}

void Controller::work(TimePoint now, ControllerActions& actions) { m_impl->work(now, actions); }

bool Controller::hasBacklog() const noexcept { return m_impl->hasBacklog(); }

void Controller::call(CallId id, ControlCall call, TimePoint now, ControllerActions& actions)
{
    m_impl->call(id, std::move(call), now, actions);
}

void Controller::tick(TimePoint now, ControllerActions& actions) { m_impl->tick(now, actions); }

std::string_view Controller::workCategory(std::string_view frame)
{
    if (isFrame<LogMessageFrame>(frame))
        return "log";
    if (isFrame<ForwardedCallFrame>(frame))
        return "call";
    return isFrame<CallResultFrame>(frame) ? "result" : "take-in";
}

void Controller::setSeeds(std::vector<HostId> seeds)
{
    m_impl->log->setJoinHosts(std::move(seeds));
}

const FleetState& Controller::state() const noexcept { return m_impl->state; }
const ReplicatedLog& Controller::log() const noexcept { return *m_impl->log; }
const FleetScheduler& Controller::scheduler() const noexcept { return m_impl->scheduler; }
bool Controller::isLeader() const noexcept { return m_impl->m_isLeader; }

std::size_t Controller::subscriberCount() const noexcept
{
    return static_cast<std::size_t>(std::count_if(m_impl->m_sessions.begin(),
        m_impl->m_sessions.end(), [](const auto& item) { return item.second.isSubscribed; }));
}

} // namespace laburnum
