/// The client of the Controller on an entry host: finds the leader among the control hosts, keeps
/// one connection (link) to it, caches the newest configuration and instances that the leader
/// sends, and has each attempt placed on an instance: by the leader, or by the local scheduler when
/// the leader does not answer. A state machine without I/O.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <laburnumroute/decision.h>
#include <laburnumroute/delay_meter.h>
#include <laburnumroute/fleet_state.h>
#include <laburnumroute/key_confirmation.h>
#include <laburnumroute/leader_search.h>
#include <laburnumroute/local_scheduler.h>
#include <laburnumroute/local_usage_caps.h>
#include <laburnumroute/placement_types.h>

namespace laburnum {

namespace pvt {
    struct RateLimitRow;
} // namespace pvt

/// The result of a placement request.
struct PlacementResult {
    DispatchId dispatch;
    /// Empty when refused.
    std::optional<InstanceRecord> instance;
    PlacementRefusal refusal = PlacementRefusal::None;
    /// Time after which to retry, counted from this result; zero unless refused.
    Duration delay {};
    /// The local scheduler decided, not the leader.
    bool alone = false;
};

/// Output of a ControllerClient, to be carried out by its owner. The client assigns the link ids
/// and appends to the lists.
struct ControllerClientActions {
    std::vector<std::pair<LinkId, HostId>> opens;
    std::vector<LinkId> closes;
    /// Frames to send, in this order, without length prefix.
    std::vector<std::pair<LinkId, std::string>> frames;
    /// Results of placement requests.
    std::vector<PlacementResult> answers;
    std::vector<Decision> decisions;
    /// Datagrams to other entry hosts of the region, which report failed and overdue attempts and
    /// ask for control hosts while no leader responds.
    std::vector<std::pair<Endpoint, std::string>> datagrams;
    /// A newer configuration arrived; see config().
    bool configChanged = false;
    /// The leader has confirmed the account keys; see ControllerClient::keys().
    bool keysConfirmed = false;
};

/// Not thread-safe: the owner serializes all calls. `now` never goes back.
class ControllerClient {
public:
    /// Interval between ticks while a placement request is pending or there is no leader.
    static constexpr Duration busyTickInterval = std::chrono::milliseconds(50);
    /// Interval between ticks at other times.
    static constexpr Duration idleTickInterval = std::chrono::milliseconds(250);

    /// `seeds` are the control hosts known at the start; `seed` is for random numbers. `neighbour`
    /// is the address at which other entry hosts of the region reach this one by datagrams; empty
    /// when they cannot.
    ControllerClient(HostLocation location, std::vector<HostId> seeds, std::uint64_t seed,
        std::optional<Endpoint> neighbour = std::nullopt);

    /// A link from ControllerClientActions::opens was established.
    void linkOpened(LinkId link, TimePoint now, ControllerClientActions& actions);
    /// The link was lost or could not be established.
    void linkClosed(LinkId link, TimePoint now, ControllerClientActions& actions);
    void receive(
        LinkId link, std::string_view frame, TimePoint now, ControllerClientActions& actions);
    /// Handles a datagram from another entry host; unknown senders are ignored.
    void receiveDatagram(const Endpoint& from, std::string_view bytes, TimePoint now,
        ControllerClientActions& actions);
    void tick(TimePoint now, ControllerClientActions& actions);
    Duration tickInterval() const noexcept;
    void setSeeds(std::vector<HostId> seeds) { m_search.setSeeds(std::move(seeds)); }
    /// The accounts of the configuration in force, for their caps while there is no leader.
    void setAccounts(const std::vector<ClientAccountSpec>& accounts)
    {
        m_localCaps.setCaps(accounts);
    }

    /// Time for which account keys may be used after a confirmation; zero, the default, switches
    /// the check off. To be called before the first link is opened.
    void setKeyValidity(Duration validity) { m_keys = KeyConfirmation(validity); }
    /// Sets the retry budget of the whole fleet, of which the host takes a share while it has no
    /// leader. To be called before the first request.
    void setRetryBudget(const RetryBudgetLimits& budget)
    {
        m_localScheduler.setRetryBudget(budget);
    }
    /// Whether the configuration in force has account keys, which the leader has to confirm.
    void requireKeyConfirmation(bool required, TimePoint now, ControllerClientActions& actions);
    const KeyConfirmation& keys() const noexcept { return m_keys; }

    /// Requests a placement. The client assigns the returned id. Exactly one result follows,
    /// possibly in `actions` of this call, unless cancel() is called first.
    DispatchId dispatch(PlacementRequest request, TimePoint now, ControllerClientActions& actions);
    /// The attempt exceeded its expected time without a response and is still in progress. The
    /// leader detects this by itself and is not notified; while no leader responds, the other
    /// entry hosts of the region are.
    void reportOverdue(
        DispatchId dispatch, Duration elapsed, TimePoint now, ControllerClientActions& actions);
    /// A response to the placed attempt, which was sent `sinceSent` ago, named this rate limit of
    /// its instance, or none.
    void reportRateLimit(DispatchId dispatch, std::optional<double> perSecond, Duration sinceSent,
        TimePoint now, ControllerClientActions& actions);
    /// Withdraws a pending placement request. Has no effect on a granted one, which needs end().
    void cancel(DispatchId dispatch, ControllerClientActions& actions);
    /// Reports the end of a placed attempt.
    void end(DispatchId dispatch, const PlacementReport& report, TimePoint now,
        ControllerClientActions& actions);

    const NumberedConfig& config() const noexcept { return m_config; }
    /// Time of the last heartbeat or welcome of a leader; the clock's epoch when there was none.
    TimePoint lastLeaderContact() const noexcept { return m_lastHeartbeat; }
    bool hasLeader() const noexcept { return m_leader.has_value(); }
    const LeaderSearch& leaderSearch() const noexcept { return m_search; }
    const LocalScheduler& localScheduler() const noexcept { return m_localScheduler; }
    const LocalUsageCaps& localCaps() const noexcept { return m_localCaps; }
    std::size_t pendingPlacements() const noexcept { return m_pendingRequests.size(); }
    std::size_t activePlacements() const noexcept { return m_placements.size(); }

private:
    struct Link {
        HostId host;
        TimePoint since;
        bool open = false;
        /// Placements listed in the HelloFrame, the first frame on a link.
        std::set<DispatchId> announcedPlacements;
        /// Requests placed alone until then were reported in the HelloFrame.
        TimePoint usageReportedAt {};
        /// The control host was asked for updates, and none has applied since.
        bool updatesRequested = false;
        /// The control host said that it does not lead.
        bool isFollower = false;
        /// It was asked for updates nevertheless.
        bool isFollowed = false;
    };
    struct PendingRequest {
        PlacementRequest request;
        TimePoint since;
        /// When it was sent to the present leader.
        TimePoint sentAt;
        /// Without a reply by then the local scheduler decides.
        TimePoint replyDue;
    };
    struct Placement {
        InstanceId instance;
        std::uint64_t incarnation = 0;
        ServiceId service;
        TimePoint since;
        TimePoint until;
        std::uint32_t bodyKiB = 0;
    };

    void searchLeader(TimePoint now, ControllerClientActions& actions);
    void open(const HostId& host, TimePoint now, ControllerClientActions& actions);
    void close(LinkId link, ControllerClientActions& actions);
    /// The link is open, or may still open in the usual time.
    static bool isPromising(const Link& link, TimePoint now);
    bool isConnectedTo(const HostId& host, TimePoint now) const;
    /// Asks some of the other entry hosts for control hosts, when that is due.
    void queryNeighbours(TimePoint now, ControllerClientActions& actions);
    void loseLeader(const char* reason, TimePoint now, ControllerClientActions& actions);
    void sendRequest(DispatchId id, const PendingRequest& pending, TimePoint now,
        ControllerClientActions& actions) const;
    Duration transferTime(TimePoint now) const;
    /// `isGranted`: the leader granted the request, so that its account's cap allows it.
    void placeLocally(DispatchId dispatch, TimePoint now, ControllerClientActions& actions,
        bool isGranted = false);
    void refuseLocally(DispatchId dispatch, PlacementRefusal refusal, Duration delay,
        ControllerClientActions& actions);
    void onGranted(DispatchId dispatch, const InstanceId& instance, TimePoint now,
        ControllerClientActions& actions);
    void onRefused(DispatchId dispatch, PlacementRefusal refusal, Duration delay, TimePoint now,
        ControllerClientActions& actions);
    void answer(PlacementResult answer, ControllerClientActions& actions);

    /// The control host at `link` declared itself the leader.
    void onWelcome(LinkId link, const std::vector<std::string>& hosts, TimePoint now,
        ControllerClientActions& actions);
    void sendPlacementChanges(LinkId link, TimePoint now, ControllerClientActions& actions) const;
    void onRedirect(LinkId link, const std::string& leader, const std::vector<std::string>& hosts,
        TimePoint now, ControllerClientActions& actions);
    void onConfig(LinkId link, std::string_view frame, ControllerClientActions& actions);
    void onInstances(LinkId link, std::string_view frame, ControllerClientActions& actions);
    void requestUpdates(
        LinkId link, const ConfigNumber& configNumber, ControllerClientActions& actions);
    /// The connection to the host that was named the leader failed.
    void onLeaderUnreachable(ControllerClientActions& actions);
    /// Asks the connected control hosts for updates, although they do not lead.
    void followControlHosts(ControllerClientActions& actions);
    void onConfirm(std::uint64_t number, TimePoint now, ControllerClientActions& actions);
    /// Sends a due confirmation request, and logs whether keys are confirmed if that changed.
    void updateKeys(TimePoint now, ControllerClientActions& actions);
    void onNeighbours(const std::vector<std::string>& addresses);
    void measureDelay(const InstanceId& id, const PlacementReport& report, TimePoint now,
        ControllerClientActions& actions);
    void notifyNeighbours(
        const InstanceId& id, PlacementOutcome outcome, ControllerClientActions& actions) const;
    /// What `rows` say about known starts of instances.
    std::vector<InstanceRateLimit> currentLimits(
        const std::vector<pvt::RateLimitRow>& rows, TimePoint now) const;
    /// Tells the leader, and while there is none the other hosts of the region, what an instance
    /// said about its rate limit.
    void passOnRateLimit(
        const InstanceRateLimit& limit, TimePoint now, ControllerClientActions& actions) const;
    /// The HelloFrame: this host's location, the versions of its cached data, its placements.
    std::string hello(TimePoint now) const;
    TimePoint lastAuthority() const;

    HostLocation m_location;
    /// The leader according to the latest redirect, until one is joined.
    std::optional<HostId> m_namedLeader;
    /// The search contacted the named leader last; next, it is another host's turn.
    bool m_triedNamedLeader = false;
    /// No connection to the named leader opened in time. Until a leader is joined, configurations
    /// and instances come from control hosts that do not lead.
    bool m_leaderUnreachable = false;
    std::optional<Endpoint> m_neighbour;
    std::set<Endpoint> m_neighbours;
    LocalScheduler m_localScheduler;
    LocalUsageCaps m_localCaps;
    DelayMeter m_delayMeter;
    /// The leader asked for delays.
    bool m_reportsDelays = false;
    Random m_random;
    LeaderSearch m_search;
    std::map<LinkId, Link> m_links;
    LinkId m_lastLink;
    std::optional<LinkId> m_leader;
    TimePoint m_lastHeartbeat {};
    /// When the present leader welcomed this host.
    TimePoint m_leaderSince {};
    /// When the leader sent its latest frame of any kind.
    TimePoint m_lastHeard {};
    TimePoint m_nextSearch {};
    /// The leader missed the deadline of a placement request and has sent nothing since. Meanwhile
    /// new requests are placed locally, and other control hosts are contacted.
    bool m_leaderSuspected = false;
    NumberedConfig m_config;
    /// Highest number of a configuration that a control host sent, even if it could not be applied.
    ConfigNumber m_announcedConfig;
    KeyConfirmation m_keys;
    /// Log index of the cached instances, reported in the HelloFrame.
    LogIndex m_instancesIndex;
    bool m_hasInstances = false;
    DispatchId m_lastRequest;
    std::map<DispatchId, PendingRequest> m_pendingRequests;
    std::map<DispatchId, Placement> m_placements;
};

} // namespace laburnum
