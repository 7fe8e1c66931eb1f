/// A ControllerFleet whose entry hosts run requests at simulated instances, on a day of planned
/// work: shedding, a scale-in, changes of the configuration, trouble of the leader, hosts that are
/// alone, and stops of busy hosts. Deterministic for a seed.
///
/// Decisions on attempts, placements, hedges and stops, and the causes for which an attempt may be
/// ended, are the product's. Modelled are the connections, the callers, and what FleetRequest,
/// Exchange and EntryNode do around those decisions.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <laburnumroute/configuration.h>
#include <laburnumroute/placement_provider.h>
#include <laburnumroute/planned_stop.h>
#include <laburnumroute/request_attempts.h>
#include <laburnumroute/weighted_splitter.h>

#include "fakes/attempt_checker.h"
#include "fakes/controller_fleet.h"
#include "fakes/rate_limit_checker.h"
#include "fakes/simulated_instances.h"

namespace laburnum::fakes {

/// Faults that a test puts into the simulated hosts, to show that the checker finds them.
enum class PromiseFault {
    None,
    /// An attempt is given up at its hedge delay, and only then a replacement is asked for, as
    /// before e39fe03.
    GivesUpBeforeReplacement,
    /// The abort of a stop comes a second early.
    AbortsEarly,
    /// A configuration with a shorter timeout holds for requests at work, too.
    ShortensDeadlines,
    /// A hedge that is refused takes the attempt beside it with it.
    EndsWithRefusedHedge,
    /// A hedge takes the place of the attempt beside it.
    EndsWithHedge,
    /// A server error of one attempt ends the other one.
    EndsWithServerError,
    /// A host that loses its leader withdraws its attempts.
    EndsWithLeader,
    /// A host that gives an answer of its own forgets the attempts that are at work.
    Forgets,
};

/// What happens to the leader.
enum class LeaderTrouble { None, Freeze, Kill, Cut };

/// Which instances name rate limits on the day.
enum class RateLimitDay {
    None,
    /// A part of them.
    Some,
    /// A part of them, and all of one service.
    WholeService,
};

/// Which entry hosts lose all control hosts on a day with rate limits, for seconds.
enum class AloneDay { None, Half, All };

struct RequestFleetOptions {
    /// The users' grown site has 120; instances, requests and stops are in proportion.
    unsigned entries = 120;
    std::uint64_t seed = 1;
    PromiseFault fault = PromiseFault::None;
    /// Leaders freeze just before the scale-in and the second change, which are then acknowledged
    /// as late as in the record, and twice more during the stops. Otherwise the trouble is drawn.
    bool isRecord = false;
    /// Time from SIGTERM to the kill of an entry host; 6 s and 10 s on the users' sites.
    Duration grace = std::chrono::milliseconds(6000);
    RateLimitDay rateLimits = RateLimitDay::None;
    AloneDay alone = AloneDay::None;
};

struct RequestFleetStats {
    std::uint64_t hedges = 0;
    /// Hedges that were refused while their first attempt was at work.
    std::uint64_t refusedHedges = 0;
    std::uint64_t placedAlone = 0;
    std::uint64_t refusedAlone = 0;
    std::uint64_t stops = 0;
    /// Requests refused as not run by a host that stops.
    std::uint64_t stopping = 0;
    /// Ends of attempts that a decision demanded and mayTerminate() forbade.
    std::uint64_t refusedTerminations = 0;
    /// Longest time until a change of the configuration was acknowledged.
    Duration longestConfigCall {};
    std::map<unsigned, std::uint64_t> statuses;
};

class RequestFleet {
public:
    explicit RequestFleet(const RequestFleetOptions& options);

    /// Starts the fleet and plays the day; false if the fleet does not start.
    bool run();
    const AttemptChecker& checker() const { return m_checker; }
    const RequestFleetStats& stats() const { return m_stats; }
    const SimulatedInstances& instances() const { return m_instances; }
    const RateLimitChecker& rateLimits() const { return m_rateLimits; }
    ControllerFleet& fleet() { return m_fleet; }
    LeaderTrouble leaderTrouble() const { return m_leaderTrouble; }
    /// When the load began.
    TimePoint began() const { return m_began; }

private:
    struct LiveAttempt {
        AttemptNumber id;
        DispatchId dispatch;
        InstanceId instance;
        TimePoint start;
        /// A hedge may start beside it, so it asks before it relays.
        bool isConcurrent = false;
        bool isSent = false;
        /// The head of a long answer is being relayed; its end has arrived.
        bool isRelaying = false;
        bool isComplete = false;
        bool isTruncated = false;
        bool isClosed = false;
        bool isOver = false;
        Duration connectTime {};
        /// Status of its response and the load in it.
        unsigned status = 0;
        std::int32_t load = -1;
        InstanceEnding ending = InstanceEnding::Answered;
        AttemptEndKind kind = AttemptEndKind::Failed;
    };
    struct LiveRequest {
        RequestNumber id;
        HostId host;
        RequestPlan plan;
        bool isRetryable = false;
        TimePoint read;
        TimePoint deadline;
        RequestAttempts logic;
        /// Numbered from 1 by the logic.
        std::vector<LiveAttempt> attempts;
        std::optional<DispatchId> pending;
        std::optional<PlacementResult> granted;
        std::vector<InstanceId> tried;
        /// Attempt with a complete 500.
        std::optional<unsigned> fallback;
        std::optional<unsigned> answer;
        bool wasDispatched = false;
        bool callerLeft = false;
        /// Its body can be sent again, and the buffers have room for that.
        bool isReplayable = true;
        bool hasRoom = true;
        /// As AttemptSteps::wakeAt of the latest steps.
        Duration wakeAt = maxDuration;
    };
    struct Host {
        unsigned number = 0;
        /// Counts the starts of its process.
        unsigned process = 0;
        std::optional<TimePoint> stopBegan;
        bool isDraining = false;
        std::map<std::string, WeightedSplitter> splitters;
    };

    // The day.
    bool startFleet();
    void addInstances();
    void scheduleDay();
    void scheduleGrayInstances();
    void scheduleLeaderTrouble();
    void scheduleAloneHosts();
    void shed(double share);
    void scaleIn();
    void changeConfiguration(std::uint64_t number, unsigned first);
    void putConfig(const NumberedConfig& config, unsigned attempt, TimePoint since);
    void startLeaderTrouble(Duration length);
    void setLeaderTrouble(const HostId& leader, bool begins);
    void startAloneSpell(const HostId& host);
    void drawAloneSpell(const HostId& host);
    void crowd();
    void cutFromControls(const HostId& host, bool isCut);

    // Rate limits (request_fleet_limits.cpp).
    void scheduleRateLimits();
    void scheduleRateLimits(std::size_t instance, Random& random);
    void setRateLimit(std::size_t instance, std::optional<double> perSecond);
    void scheduleAloneDay(Random& random);
    void onRateLimit(
        const LiveRequest& request, const LiveAttempt& attempt, const InstanceAnswer& answer);

    // Stops.
    void stopBusiest();
    void checkStop(const HostId& host, unsigned process);
    void abortRequests(const HostId& host, TerminationCause cause);
    /// How much too early the host aborts.
    Duration abortLead() const;
    void exitProcess(const HostId& host);
    void startProcess(const HostId& host);
    std::vector<RequestNumber> requestsOf(const HostId& host) const;

    // Requests.
    void arrive();
    std::optional<HostId> pickHost();
    void read(const HostId& host);
    std::optional<RequestPlan> planFor(const HostId& host, const std::string& target);
    Duration routeTimeout(const HostId& host, const std::string& target);
    AttemptConditions conditions(const LiveRequest& request) const;
    bool fitsBeforeStop(const LiveRequest& request) const;
    void perform(LiveRequest& request, const AttemptSteps& steps);
    void dispatch(LiveRequest& request, const PlacementStep& step);
    void onPlacement(const HostId& host, const PlacementResult& result);
    void startAttempt(LiveRequest& request, bool isConcurrent);
    void connected(RequestNumber request, unsigned attempt, bool isOpen);
    void onInstanceAnswer(AttemptNumber attempt, const InstanceAnswer& answer);
    void receiveAnswer(
        RequestNumber request, unsigned attempt, const InstanceAnswer& answer, bool isStreamed);
    void receiveEnd(RequestNumber request, unsigned attempt);
    void relay(LiveRequest& request, unsigned attempt);
    bool terminate(
        LiveRequest& request, unsigned attempt, TerminationCause cause, unsigned otherStatus);
    /// Ends all attempts but `except`, for a PromiseFault.
    void giveUp(RequestNumber request, std::optional<unsigned> except);
    void closeAttempt(LiveRequest& request, unsigned attempt);
    void endAttempt(RequestNumber request, unsigned attempt, AttemptEndKind kind);
    PlacementReport makeReport(const LiveRequest& request, const LiveAttempt& attempt) const;
    void onDeadline(RequestNumber request);
    void onCallerLeft(RequestNumber request);
    void finish(LiveRequest& request, RequestEnding ending);
    void respond(LiveRequest& request, unsigned status);
    void wake(RequestNumber request, Duration at);
    LiveRequest* find(RequestNumber request);
    Duration wayTo(const HostId& host, const InstanceId& instance) const;
    void shortenDeadlines(const HostId& host);
    void watchHosts();
    void changeSeeds();

    RequestFleetOptions m_options;
    Random m_random;
    ControllerFleet m_fleet;
    AttemptChecker m_checker;
    SimulatedInstances m_instances;
    RateLimitChecker m_rateLimits;
    std::map<InstanceId, std::size_t> m_instanceIndex;
    std::map<HostId, Host> m_hosts;
    std::map<RequestNumber, LiveRequest> m_requests;
    std::map<std::pair<HostId, DispatchId>, RequestNumber> m_pending;
    struct AttemptPlace {
        RequestNumber request;
        unsigned attempt = 0;
    };
    std::map<AttemptNumber, AttemptPlace> m_attempts;
    std::map<std::string, Configuration> m_parsed;
    /// What watchHosts() saw last.
    struct Seen {
        ConfigNumber config;
        bool hasLeader = false;
    };
    std::map<HostId, Seen> m_seen;
    RequestNumber m_lastRequest;
    AttemptNumber m_lastAttempt;
    RequestFleetStats m_stats;
    LeaderTrouble m_leaderTrouble = LeaderTrouble::None;
    TimePoint m_began;
    TimePoint m_loadEnds;
};

} // namespace laburnum::fakes
