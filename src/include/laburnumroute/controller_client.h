/// The entry host's part in a seeded fleet: finds the leading control host and keeps one
/// subscription to it, holds the newest configuration and instances that it heard of, and gets each
/// attempt a place: from the fleet's view, or by itself when that does not answer. A state machine
/// without I/O.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <laburnumroute/decision.h>
#include <laburnumroute/fleet_state.h>
#include <laburnumroute/local_scheduler.h>
#include <laburnumroute/placement_types.h>

namespace laburnum {

/// What became of an dispatch.
struct PlacementResult {
    DispatchId dispatch;
    /// Nothing when refused.
    std::optional<InstanceRecord> instance;
    PlacementRefusal refusal = PlacementRefusal::None;
    /// When to come back.
    Duration delay {};
    /// This host chose alone.
    bool alone = false;
};

/// What a ControllerClient wants done. Links are numbered by the client.
struct ControllerClientActions {
    std::vector<std::pair<LinkId, HostId>> opens;
    std::vector<LinkId> closes;
    std::vector<std::pair<LinkId, std::string>> frames;
    std::vector<PlacementResult> answers;
    std::vector<Decision> decisions;
    /// Datagrams to other entry hosts.
    std::vector<std::pair<Endpoint, std::string>> datagrams;
    /// A newer configuration came; take config().
    bool configChanged = false;
};

/// Calls are serialized by the shell, `now` never goes back.
class ControllerClient {
public:
    /// The interval between ticks while an dispatch is open, and otherwise.
    static constexpr Duration busyTick = std::chrono::milliseconds(50);
    static constexpr Duration idleTick = std::chrono::milliseconds(250);

    /// `neighbour` is where other entry hosts reach this one, if they can.
    ControllerClient(HostLocation place, std::vector<HostId> seeds, std::uint64_t seed,
        std::optional<Endpoint> neighbour = std::nullopt);

    void linkOpened(LinkId link, TimePoint now, ControllerClientActions& actions);
    void linkClosed(LinkId link, TimePoint now, ControllerClientActions& actions);
    void receive(
        LinkId link, std::string_view frame, TimePoint now, ControllerClientActions& actions);
    /// A datagram from another entry host; one that is not known is ignored.
    void receiveDatagram(const Endpoint& from, std::string_view bytes, TimePoint now);
    void tick(TimePoint now, ControllerClientActions& actions);
    Duration tickInterval() const noexcept;
    void setSeeds(std::vector<HostId> seeds) { m_seeds = std::move(seeds); }

    /// Asks for a place; `demand.key.dispatch` is drawn here and returned. Answered once, maybe at
    /// once.
    DispatchId dispatch(PlacementRequest demand, TimePoint now, ControllerClientActions& actions);
    /// The attempt has had its time without an answer, and goes on. The leader sees that by itself.
    void reportOverdue(
        DispatchId dispatch, Duration silence, TimePoint now, ControllerClientActions& actions);
    /// The request no longer waits.
    void cancel(DispatchId dispatch, ControllerClientActions& actions);
    /// An attempt whose dispatch was granted ended.
    void end(DispatchId dispatch, const PlacementReport& report, TimePoint now,
        ControllerClientActions& actions);

    const NumberedConfig& config() const noexcept { return m_config; }
    /// When the leader was last heard; the epoch of the clock when never.
    TimePoint lastLeaderContact() const noexcept { return m_pulseHeard; }
    bool hasLeader() const noexcept { return m_leader.has_value(); }
    const LocalScheduler& localScheduler() const noexcept { return m_lone; }
    std::size_t pendingPlacements() const noexcept { return m_asks.size(); }
    std::size_t activePlacements() const noexcept { return m_places.size(); }

private:
    struct Link {
        HostId host;
        TimePoint since;
        bool open = false;
        /// Places that the hello named.
        std::set<DispatchId> told;
    };
    struct Ask {
        PlacementRequest demand;
        TimePoint since;
        /// Without an answer by then this host chooses alone.
        TimePoint answerBy;
    };
    struct Place {
        InstanceId instance;
        ServiceId service;
        TimePoint since;
        TimePoint until;
    };

    void search(TimePoint now, ControllerClientActions& actions);
    void open(const HostId& host, TimePoint now, ControllerClientActions& actions);
    void close(LinkId link, ControllerClientActions& actions);
    bool isContacted(const HostId& host) const;
    std::vector<HostId> contacts() const;
    void loseLeader(const char* reason, TimePoint now, ControllerClientActions& actions);
    void sendAsk(
        DispatchId id, const Ask& dispatch, TimePoint now, ControllerClientActions& actions) const;
    void placeAlone(DispatchId dispatch, TimePoint now, ControllerClientActions& actions);
    void granted(DispatchId dispatch, const InstanceId& instance, TimePoint now,
        ControllerClientActions& actions);
    void answer(PlacementResult answer, ControllerClientActions& actions);

    void onWelcome(LinkId link, const std::vector<std::string>& hosts, TimePoint now,
        ControllerClientActions& actions);
    void tellChanges(LinkId link, TimePoint now, ControllerClientActions& actions) const;
    void onRedirect(LinkId link, const std::string& leader, const std::vector<std::string>& hosts,
        TimePoint now, ControllerClientActions& actions);
    void onConfig(std::string_view frame, ControllerClientActions& actions);
    void onInstances(std::string_view frame);
    void onNeighbours(const std::vector<std::string>& addresses);
    void tellNeighbours(
        const InstanceId& id, PlacementOutcome how, ControllerClientActions& actions) const;
    std::string hello(TimePoint now) const;

    HostLocation m_place;
    std::vector<HostId> m_seeds;
    std::vector<HostId> m_learned;
    std::optional<Endpoint> m_neighbour;
    std::set<Endpoint> m_neighbours;
    LocalScheduler m_lone;
    Random m_random;
    std::map<LinkId, Link> m_links;
    LinkId m_lastLink;
    std::optional<LinkId> m_leader;
    TimePoint m_pulseHeard {};
    TimePoint m_searchDue {};
    std::size_t m_nextContact;
    /// The leader left an dispatch unanswered and was not heard since.
    bool m_leaderDoubted = false;
    NumberedConfig m_config;
    LogIndex m_instancesIndex;
    bool m_holdsInstances = false;
    DispatchId m_lastAsk;
    std::map<DispatchId, Ask> m_asks;
    std::map<DispatchId, Place> m_places;
};

} // namespace laburnum
