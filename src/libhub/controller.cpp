#include <laburnumroute/controller.h>

#include <algorithm>
#include <deque>

#include <laburnumroute/json.h>

#include "controller_messages_pvt.h"

namespace laburnum {

using std::chrono::milliseconds;
using namespace pvt;

namespace {

    /// Below the second after which callers turn to another host.
    constexpr auto callLimit = milliseconds(850);
    /// A call is passed to the leader resubmitted after this long.
    constexpr auto callResend = milliseconds(300);
    /// Entry hosts cancel a leader that they have not onAnnouncement for three of these.
    constexpr auto pulseInterval = milliseconds(500);
    constexpr auto placerTick = milliseconds(50);
    /// The list of doubtful instances is told at most this often: hosts need it only when alone.
    constexpr auto doubtfulInterval = milliseconds(2000);

    /// A slice of the backlog ends after so many frames, or so many instances evaluations: 5 ms of
    /// a control host at the most, a fiftieth of a leader's lease.
    constexpr std::size_t sliceFrames = 64;
    constexpr std::uint64_t sliceWeighed = 15'000;
    /// Entry hosts choose alone when they hear nothing for 250 ms; an dispatch that waited so long
    /// is void before its answer arrives.
    constexpr auto askLimit = milliseconds(225);
    /// Asks beyond this are void at once; ten times what a site of 126 hosts asks in a second.
    constexpr std::size_t backlogLimit = 16'384;

    /// A round trip between regions takes 40 ms, a lost packet a fifth of a second more.
    constexpr LogTiming logTiming { .heartbeat = milliseconds(175),
        .electionMin = milliseconds(450),
        .electionMax = milliseconds(650),
        .retryMin = milliseconds(90),
        .retryMax = milliseconds(240),
        .lease = milliseconds(240) };

    /// The view's part of the budget of repeats.
    RetryBudgetLimits viewShare(RetryBudgetLimits terms)
    {
        terms.ratio *= RetryBudgetShares::fleetShare;
        terms.slack *= RetryBudgetShares::fleetSlackShare;
        return terms;
    }

    enum class CallKind : std::uint8_t { Announce = 0, Depart = 1, PutConfig = 2, GetConfig = 3 };

    CallFrame toFrame(const HostId& from, CallId id, const ControlCall& call)
    {
        CallFrame frame;
        frame.from = from.value();
        frame.call = id.value();
        if (const auto* announce = std::get_if<AnnounceCall>(&call)) {
            frame.kind = static_cast<std::uint8_t>(CallKind::Announce);
            frame.instance = toRow(announce->record);
            frame.coldMs = wireMs(announce->warmupRemaining);
        } else if (const auto* depart = std::get_if<DeregisterCall>(&call)) {
            frame.kind = static_cast<std::uint8_t>(CallKind::Depart);
            frame.instance.id = depart->deregistration.id.value();
            frame.instance.incarnation = depart->deregistration.incarnation;
        } else if (const auto* put = std::get_if<PutConfigCall>(&call)) {
            frame.kind = static_cast<std::uint8_t>(CallKind::PutConfig);
            frame.number = put->config.number;
            frame.content = put->config.content;
        } else {
            frame.kind = static_cast<std::uint8_t>(CallKind::GetConfig);
        }
        return frame;
    }

    ControlCall fromFrame(const CallFrame& frame)
    {
        switch (static_cast<CallKind>(frame.kind)) {
        case CallKind::Announce:
            return AnnounceCall { fromRow(frame.instance), milliseconds(frame.coldMs) };
        case CallKind::Depart:
            return DeregisterCall { { InstanceId(frame.instance.id), frame.instance.incarnation } };
        case CallKind::PutConfig:
            return PutConfigCall { { frame.number, frame.content } };
        case CallKind::GetConfig:
            break;
        }
        return GetConfigCall {};
    }

    Json::Value idsOf(const std::vector<InstanceId>& ids)
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
        , scheduler(viewShare(options.repeats))
    {
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
        logOptions.voters = 2 * std::size_t { options.toleratedFailures } + 1;
        auto created = ReplicatedLog::create(std::move(logOptions), std::move(store), state, now);
        if (!created)
            return tl::unexpected<Error>(created.error());
        log = std::move(*created);
        return {};
    }

    void receive(LinkId link, std::string_view frame, TimePoint now, ControllerActions& actions)
    {
        // A host that slept may have lost its place meanwhile.
        if (now - m_lastTick > logTiming.electionMin)
            tick(now, actions);
        if (const auto peer = unpack<PeerFrame>(frame)) {
            auto params = parseJson(peer->json);
            if (params)
                toLog({ HostId(peer->from), options.host, peer->method, std::move(*params) }, now,
                    actions);
        } else if (const auto call = unpack<CallFrame>(frame)) {
            execute({ HostId(call->from), CallId(call->call) }, fromFrame(*call), now, actions);
        } else if (const auto result = unpack<ResultFrame>(frame)) {
            onResult(*result, actions);
        } else if (isPlacement(frame)) {
            const bool isVoid
                = !m_leads || (m_backlog.size() >= backlogLimit && isFrame<AskFrame>(frame));
            if (!isVoid)
                m_backlog.push_back({ link, std::string(frame), now });
        } else if (isFrame<HelloFrame>(frame)) {
            m_backlog.push_back({ link, std::string(frame), now });
        }
    }

    void work(TimePoint now, ControllerActions& actions)
    {
        const std::uint64_t evaluations = scheduler.evaluations();
        for (std::size_t i = 0; i < sliceFrames && !m_backlog.empty()
             && scheduler.evaluations() - evaluations < sliceWeighed;
             ++i) {
            const Waiting waiting = std::move(m_backlog.front());
            m_backlog.pop_front();
            workOff(waiting, now, actions);
        }
    }

    bool hasBacklog() const { return !m_backlog.empty(); }

    void call(CallId id, ControlCall call, TimePoint now, ControllerActions& actions)
    {
        m_calls[id] = { std::move(call), now + callLimit, now };
        pursue(id, now, actions);
    }

    void tick(TimePoint now, ControllerActions& actions)
    {
        m_lastTick = now;
        withLog(now, actions, [&](Outbox& out) { log->tick(now, out); });
        std::vector<CallId> due;
        for (const auto& [id, pending] : m_calls) {
            if (now >= pending.nextTry || now >= pending.deadline)
                due.push_back(id);
        }
        for (const CallId id : due)
            pursue(id, now, actions);
        std::erase_if(m_commits, [&](const Commit& commit) { return now >= commit.deadline; });
        if (!m_leads)
            return;
        if (now >= m_placerDue) {
            m_placerDue = now + placerTick;
            m_replies.clear();
            scheduler.tick(now, m_replies);
            sendReplies(actions);
        }
        if (now >= m_pulseDue && log->holdsLease(now))
            sendPulse(now, actions);
    }

    void closeLink(LinkId link, TimePoint now)
    {
        m_sessions.erase(link);
        // What ended at instances counts all the same.
        std::erase_if(m_backlog, [&](const Waiting& waiting) {
            return waiting.link == link && !isFrame<EndFrame>(waiting.frame);
        });
        scheduler.dropLink(link, now);
    }

    ControllerOptions options;
    FleetState state;
    FleetScheduler scheduler;
    std::unique_ptr<ReplicatedLog> log;
    bool m_leads = false;

    struct Session {
        HelloFrame hello;
        std::uint64_t configNumber = 0;
        LogIndex instancesIndex;
        bool holdsInstances = false;
        bool welcomed = false;
        std::string toldLeader;
    };
    std::map<LinkId, Session> m_sessions;

private:
    /// A frame of an entry host that was not looked at yet.
    struct Waiting {
        LinkId link;
        std::string frame;
        TimePoint since;
    };

    static bool isPlacement(std::string_view frame)
    {
        return isFrame<AskFrame>(frame) || isFrame<EndFrame>(frame) || isFrame<LeaveFrame>(frame)
            || isFrame<AdoptFrame>(frame);
    }

    void workOff(const Waiting& waiting, TimePoint now, ControllerActions& actions)
    {
        if (const auto hello = unpack<HelloFrame>(waiting.frame))
            return onHello(waiting.link, *hello, now, actions);
        if (!m_leads)
            return;
        if (const auto dispatch = unpack<AskFrame>(waiting.frame)) {
            if (now - waiting.since < askLimit)
                onAsk(waiting.link, *dispatch, now, actions);
        } else if (const auto end = unpack<EndFrame>(waiting.frame)) {
            onEnd(waiting.link, *end, now, actions);
        } else if (const auto cancel = unpack<LeaveFrame>(waiting.frame)) {
            m_replies.clear();
            scheduler.cancel({ waiting.link, DispatchId(cancel->dispatch) }, now, m_replies);
            sendReplies(actions);
        } else if (const auto adopted = unpack<AdoptFrame>(waiting.frame)) {
            onAdopt(waiting.link, *adopted, now, actions);
        }
    }

    struct Origin {
        HostId host;
        CallId call;
    };

    /// A call at this host until its result is known.
    struct PendingCall {
        ControlCall call;
        TimePoint deadline;
        TimePoint nextTry;
    };

    /// A change that this host proposed as the leader, until it is applied.
    struct Commit {
        Origin origin;
        ControlCall call;
        TimePoint deadline;
    };

    template <class Function>
    void withLog(TimePoint now, ControllerActions& actions, Function&& function)
    {
        Outbox out(options.host);
        function(out);
        flush(out, now, actions);
        afterLog(now, actions);
    }

    void flush(Outbox& out, TimePoint now, ControllerActions& actions)
    {
        for (auto& message : out.takeMessages()) {
            if (message.to == options.host) {
                toLog(std::move(message), now, actions);
                continue;
            }
            actions.peerFrames.emplace_back(message.to,
                pack(PeerFrame {
                    options.host.value(), message.method, toJsonText(message.params) }));
        }
        for (auto& decision : out.takeDecisions())
            actions.decisions.push_back(std::move(decision));
    }

    void toLog(PeerMessage message, TimePoint now, ControllerActions& actions)
    {
        withLog(now, actions, [&](Outbox& out) { log->receive(message, now, out); });
    }

    /// Takes up what the log committed, and a change of leader.
    void afterLog(TimePoint now, ControllerActions& actions)
    {
        const bool leads = log->role() == LogRole::Leader
            && log->store().termAt(log->commitIndex()) == log->term();
        if (leads && !m_leads)
            startLeading(now, actions);
        else if (!leads && m_leads)
            stopLeading(now, actions);
        if (log->appliedIndex() != m_seenApplied) {
            m_seenApplied = log->appliedIndex();
            if (m_leads) {
                syncPlacer(now);
                for (auto& [link, session] : m_sessions)
                    update(link, session, actions);
            }
            settleCommits(actions);
        }
        if (!m_leads)
            redirectSessions(actions);
    }

    void startLeading(TimePoint now, ControllerActions& actions)
    {
        m_leads = true;
        m_placedIndex = LogIndex(0);
        scheduler.restart(now);
        m_introduced.clear();
        m_newNeighbours.clear();
        syncPlacer(now);
        decide("lead", "started", actions);
        for (auto& [link, session] : m_sessions)
            welcome(link, session, now, actions);
        m_pulseDue = now;
    }

    void stopLeading(TimePoint now, ControllerActions& actions)
    {
        m_leads = false;
        m_commits.clear();
        scheduler.restart(now);
        decide("lead", "stopped", actions);
        for (auto& [link, session] : m_sessions) {
            session.welcomed = false;
            session.toldLeader = "?";
        }
    }

    void decide(const char* kind, const char* reason, ControllerActions& actions) const
    {
        Decision decision { kind, reason };
        decision.facts["term"] = Json::UInt64(log->term().value());
        decision.facts["commit"] = Json::UInt64(log->commitIndex().value());
        decision.facts["config"] = Json::UInt64(state.config().number);
        decision.facts["voters"] = Json::UInt64(log->membership().voterCount());
        actions.decisions.push_back(std::move(decision));
    }

    /// Brings the scheduler to the instances of the state.
    void syncPlacer(TimePoint now)
    {
        const auto changed
            = m_placedIndex == LogIndex(0) ? std::nullopt : state.changedSince(m_placedIndex);
        if (!changed) {
            for (const auto& [id, record] : state.instances())
                scheduler.upsert(record, now);
        } else {
            for (const InstanceId& id : *changed) {
                const auto found = state.instances().find(id);
                if (found == state.instances().end())
                    scheduler.remove(id);
                else
                    scheduler.upsert(found->second, now);
            }
        }
        m_placedIndex = state.instancesIndex();
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
        session
            = { hello, hello.configNumber, LogIndex(hello.instancesIndex), hello.holdsInstances };
        session.toldLeader = "?";
        if (m_leads)
            welcome(link, session, now, actions);
        else
            redirectSessions(actions);
    }

    void welcome(LinkId link, Session& session, TimePoint now, ControllerActions& actions)
    {
        session.welcomed = true;
        actions.frames.emplace_back(link, pack(WelcomeFrame { controlHosts() }));
        for (const auto& open : session.hello.open)
            adopt(link, open, now);
        session.hello.open.clear();
        update(link, session, actions);
        introduce(link, session, actions);
        actions.frames.emplace_back(link, fullPulse(now));
    }

    /// Tells an entry host of the others of its region. They hear of it with the next pulse, of all
    /// that are new at once: after a change of leader every host is.
    void introduce(LinkId link, const Session& session, ControllerActions& actions)
    {
        const std::string& address = session.hello.neighbour;
        if (address.empty())
            return;
        NeighboursFrame all;
        for (const auto& [otherLink, other] : m_sessions) {
            if (otherLink != link && other.welcomed && !other.hello.neighbour.empty()
                && other.hello.region == session.hello.region)
                all.addresses.push_back(other.hello.neighbour);
        }
        actions.frames.emplace_back(link, pack(all));
        if (m_introduced.insert(address).second)
            m_newNeighbours[session.hello.region].addresses.push_back(address);
    }

    void sendNewNeighbours(ControllerActions& actions)
    {
        for (const auto& [region, frame] : std::exchange(m_newNeighbours, {})) {
            const std::string bytes = pack(frame);
            for (const auto& [link, session] : m_sessions) {
                if (session.welcomed && session.hello.region == region)
                    actions.frames.emplace_back(link, bytes);
            }
        }
    }

    void adopt(LinkId link, const OpenPlaceRow& row, TimePoint now)
    {
        scheduler.adopt(
            { { link, DispatchId(row.dispatch) }, InstanceId(row.instance), ServiceId(row.service),
                milliseconds(row.ageMs), milliseconds(row.remainingMs) },
            now);
    }

    void redirectSessions(ControllerActions& actions)
    {
        const auto leader = log->leader();
        const std::string name = leader && *leader != options.host ? leader->value() : "";
        for (auto& [link, session] : m_sessions) {
            if (session.toldLeader == name)
                continue;
            session.toldLeader = name;
            actions.frames.emplace_back(link, pack(RedirectFrame { name, controlHosts() }));
        }
    }

    /// Tells an entry host what it does not hold yet. Hosts that hold the same get the same bytes,
    /// which are made once.
    void update(LinkId link, Session& session, ControllerActions& actions)
    {
        const std::uint64_t number = state.config().number;
        if (number > session.configNumber) {
            actions.frames.emplace_back(link, configFrame(session.configNumber));
            session.configNumber = number;
        }
        if (session.holdsInstances && session.instancesIndex == state.instancesIndex())
            return;
        actions.frames.emplace_back(link,
            instancesFrame(
                session.holdsInstances ? std::optional(session.instancesIndex) : std::nullopt));
        session.instancesIndex = state.instancesIndex();
        session.holdsInstances = true;
    }

    /// The configuration for a host that holds the one with number `held`.
    const std::string& configFrame(std::uint64_t held)
    {
        const NumberedConfig& config = state.config();
        if (std::exchange(m_configFramesOf, config.number) != config.number)
            m_configFrames.clear();
        const NumberedConfig* base = state.configNumbered(held);
        std::string& bytes = m_configFrames[base != nullptr ? base->number : 0];
        if (bytes.empty())
            bytes = pack(ConfigFrame { config.number, base != nullptr ? base->number : 0,
                deflateText(config.content, base != nullptr ? base->content : "") });
        return bytes;
    }

    /// What changed since `held`, or all instances.
    const std::string& instancesFrame(std::optional<LogIndex> held)
    {
        if (std::exchange(m_instanceFramesOf, state.instancesIndex()) != state.instancesIndex())
            m_instanceFrames.clear();
        std::string& bytes = m_instanceFrames[held];
        if (!bytes.empty())
            return bytes;
        InstancesFrame frame;
        frame.index = state.instancesIndex().value();
        const auto changed = held ? state.changedSince(*held) : std::nullopt;
        frame.whole = !changed;
        for (const auto& [id, record] : state.instances()) {
            if (!changed || changed->contains(id))
                frame.held.push_back(toRow(record));
        }
        if (changed) {
            for (const InstanceId& id : *changed) {
                if (!state.instances().contains(id))
                    frame.gone.push_back(id.value());
            }
        }
        bytes = pack(frame);
        return bytes;
    }

    std::string fullPulse(TimePoint now) const
    {
        PulseFrame frame { true, {} };
        for (const InstanceId& id : scheduler.doubtful(now))
            frame.doubtful.push_back(id.value());
        return pack(frame);
    }

    void sendPulse(TimePoint now, ControllerActions& actions)
    {
        m_pulseDue = now + pulseInterval;
        sendNewNeighbours(actions);
        auto doubtful = scheduler.doubtful(now);
        const bool tells = now >= m_doubtfulDue && doubtful != m_toldDoubtful;
        const std::string frame = tells ? fullPulse(now) : pack(PulseFrame {});
        for (const auto& [link, session] : m_sessions) {
            if (session.welcomed)
                actions.frames.emplace_back(link, frame);
        }
        if (!tells)
            return;
        m_doubtfulDue = now + doubtfulInterval;
        m_toldDoubtful = std::move(doubtful);
        Decision decision { "judge", "doubtful" };
        decision.facts["instances"] = idsOf(m_toldDoubtful);
        decision.facts["waiting"] = Json::UInt64(scheduler.waiting());
        decision.facts["granted"] = Json::UInt64(scheduler.granted());
        actions.decisions.push_back(std::move(decision));
    }

    void onAsk(LinkId link, const AskFrame& frame, TimePoint now, ControllerActions& actions)
    {
        const auto session = m_sessions.find(link);
        if (session == m_sessions.end())
            return;
        PlacementRequest demand;
        demand.key = { link, DispatchId(frame.dispatch) };
        demand.service = ServiceId(frame.service);
        demand.kind = static_cast<RequestKind>(frame.kind);
        demand.priority = frame.priority;
        demand.bodyKiB = frame.bodyKiB;
        demand.remaining = milliseconds(frame.remainingMs);
        demand.objective = milliseconds(frame.objectiveMs);
        demand.retry = frame.retry;
        demand.resubmitted = frame.resubmitted;
        demand.isHedge = frame.isHedge;
        demand.dataCentre = DataCentreId(session->second.hello.dataCentre);
        demand.region = RegionId(session->second.hello.region);
        for (const auto& id : frame.avoid)
            demand.avoid.emplace_back(id);
        m_replies.clear();
        scheduler.dispatch(demand, now, m_replies);
        sendReplies(actions);
    }

    void onEnd(LinkId link, const EndFrame& frame, TimePoint now, ControllerActions& actions)
    {
        m_replies.clear();
        scheduler.end({ link, DispatchId(frame.dispatch) },
            { static_cast<PlacementOutcome>(frame.end), milliseconds(frame.latencyMs),
                frame.reportedLoad },
            now, m_replies);
        sendReplies(actions);
    }

    void onAdopt(LinkId link, const AdoptFrame& frame, TimePoint now, ControllerActions& actions)
    {
        m_replies.clear();
        scheduler.cancel({ link, DispatchId(frame.place.dispatch) }, now, m_replies);
        sendReplies(actions);
        adopt(link, frame.place, now);
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

    /// Brings a call of this host further: executes it, passes it to the leader, or gives up.
    void pursue(CallId id, TimePoint now, ControllerActions& actions)
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
        found->second.nextTry = now + (leader ? callResend : Controller::tickInterval);
        if (m_leads)
            execute({ options.host, id }, found->second.call, now, actions);
        else if (leader && *leader != options.host)
            actions.peerFrames.emplace_back(
                *leader, pack(toFrame(options.host, id, found->second.call)));
    }

    /// Carries a call out as the leader.
    void execute(const Origin& origin, ControlCall call, TimePoint now, ControllerActions& actions)
    {
        if (!m_leads)
            return;
        if (std::holds_alternative<GetConfigCall>(call)) {
            if (log->holdsLease(now))
                finish(origin, { true, state.config() }, actions);
            return;
        }
        if (const auto* announce = std::get_if<AnnounceCall>(&call))
            scheduler.onAnnouncement(announce->record.id, announce->warmupRemaining, now);
        if (isInForce(call)) {
            finish(origin, { true, {} }, actions);
            return;
        }
        const bool underWay = std::any_of(m_commits.begin(), m_commits.end(), [&](const Commit& c) {
            return c.origin.host == origin.host && c.origin.call == origin.call;
        });
        if (underWay)
            return;
        const std::string command = commandOf(call);
        m_commits.push_back({ origin, std::move(call), now + callLimit });
        withLog(now, actions, [&](Outbox& out) {
            if (const auto proposed = log->propose(command, now, out); !proposed)
                out.log({ "call", "not-proposed" });
        });
    }

    static std::string commandOf(const ControlCall& call)
    {
        if (const auto* announce = std::get_if<AnnounceCall>(&call))
            return FleetState::putInstance(announce->record);
        if (const auto* depart = std::get_if<DeregisterCall>(&call))
            return FleetState::removeInstance(depart->deregistration);
        return FleetState::putConfig(std::get<PutConfigCall>(call).config);
    }

    /// True when the committed state already holds what `call` asks for.
    bool isInForce(const ControlCall& call) const
    {
        if (const auto* announce = std::get_if<AnnounceCall>(&call))
            return !state.wouldChange(announce->record);
        if (const auto* depart = std::get_if<DeregisterCall>(&call))
            return !state.wouldChange(depart->deregistration);
        if (const auto* put = std::get_if<PutConfigCall>(&call))
            return state.config().number >= put->config.number;
        return false;
    }

    void settleCommits(ControllerActions& actions)
    {
        for (auto commit = m_commits.begin(); commit != m_commits.end();) {
            if (!isInForce(commit->call)) {
                ++commit;
                continue;
            }
            const Origin origin = commit->origin;
            commit = m_commits.erase(commit);
            finish(origin, { true, {} }, actions);
        }
    }

    void finish(const Origin& origin, const CallResult& result, ControllerActions& actions)
    {
        if (origin.host != options.host) {
            actions.peerFrames.emplace_back(origin.host,
                pack(ResultFrame { origin.call.value(), result.done, result.config.number,
                    result.config.content }));
            return;
        }
        if (m_calls.erase(origin.call) != 0)
            actions.results.emplace_back(origin.call, result);
    }

    void onResult(const ResultFrame& frame, ControllerActions& actions)
    {
        if (m_calls.erase(CallId(frame.call)) != 0)
            actions.results.emplace_back(
                CallId(frame.call), CallResult { frame.done, { frame.number, frame.content } });
    }

    LogIndex m_seenApplied;
    LogIndex m_placedIndex;
    TimePoint m_lastTick {};
    TimePoint m_placerDue {};
    TimePoint m_pulseDue {};
    std::map<CallId, PendingCall> m_calls;
    std::vector<Commit> m_commits;
    std::vector<PlacementReply> m_replies;
    std::deque<Waiting> m_backlog;
    std::set<std::string> m_introduced;
    /// By region.
    std::map<std::string, NeighboursFrame> m_newNeighbours;
    /// Bytes of the configuration and of the instances, by what the receiver holds.
    std::map<std::uint64_t, std::string> m_configFrames;
    std::uint64_t m_configFramesOf = 0;
    std::map<std::optional<LogIndex>, std::string> m_instanceFrames;
    LogIndex m_instanceFramesOf;
    TimePoint m_doubtfulDue {};
    std::vector<InstanceId> m_toldDoubtful;
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
    if (isFrame<PeerFrame>(frame))
        return "log";
    if (isFrame<CallFrame>(frame))
        return "call";
    return isFrame<ResultFrame>(frame) ? "result" : "take-in";
}

void Controller::setSeeds(std::vector<HostId> seeds) { m_impl->log->setContacts(std::move(seeds)); }

const FleetState& Controller::state() const noexcept { return m_impl->state; }
const ReplicatedLog& Controller::log() const noexcept { return *m_impl->log; }
const FleetScheduler& Controller::scheduler() const noexcept { return m_impl->scheduler; }
bool Controller::isLeader() const noexcept { return m_impl->m_leads; }

std::size_t Controller::subscriberCount() const noexcept
{
    return static_cast<std::size_t>(std::count_if(m_impl->m_sessions.begin(),
        m_impl->m_sessions.end(), [](const auto& item) { return item.second.welcomed; }));
}

} // namespace laburnum
