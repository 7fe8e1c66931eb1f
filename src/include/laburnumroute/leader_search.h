/// Which control hosts an entry host contacts while it has no leader. No I/O.
///
/// Load pattern: control hosts are lost and replaced one after the other, also while this host is
/// connected to the leader, suspended or cut off. Of the hosts that it knew, one at a time or all
/// may be gone, and the leader may be one of which it has never heard. The names come from the
/// settings, the leader, control hosts that do not lead, and other entry hosts.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <laburnumroute/clock.h>
#include <laburnumroute/decision.h>
#include <laburnumroute/ids.h>

namespace laburnum {

/// How an attempt to connect to a control host ended.
enum class ConnectResult { Opened, Failed, TimedOut };
constexpr std::size_t connectResultCount = 3;

class LeaderSearch {
public:
    /// Bound on the hosts that are remembered besides the seeds.
    static constexpr std::size_t maxDiscoveredHosts = 64;
    /// Other entry hosts are asked for control hosts after this time without a leader, which is
    /// longer than an election, and then at this interval.
    static constexpr Duration neighbourQueryDelay = std::chrono::milliseconds(1000);
    static constexpr Duration neighbourQueryInterval = std::chrono::milliseconds(500);
    /// Number of entry hosts that are asked at a time.
    static constexpr std::size_t neighboursPerQuery = 3;

    /// `first` selects the candidate that is contacted first, so that hosts spread.
    LeaderSearch(std::vector<HostId> seeds, std::size_t first)
        : m_seeds(std::move(seeds))
        , m_nextCandidate(first)
    {
    }

    void setSeeds(std::vector<HostId> seeds) { m_seeds = std::move(seeds); }
    /// The control hosts according to the leader, which replace those discovered before.
    void setControlHosts(const std::vector<std::string>& hosts);
    /// Further control hosts, according to a host that does not lead.
    void addControlHosts(const std::vector<std::string>& hosts);
    const std::vector<HostId>& discoveredHosts() const noexcept { return m_discoveredHosts; }

    /// All known control hosts, each once.
    std::vector<HostId> candidates() const;
    /// The candidate whose turn it is.
    const HostId& nextCandidate(const std::vector<HostId>& candidates);

    /// To be called repeatedly while there is no leader.
    void onSearching(TimePoint now);
    void onJoined();
    /// Whether other entry hosts are to be asked for control hosts now.
    bool takeNeighbourQuery(TimePoint now);

    void count(ConnectResult result) { ++m_results.at(static_cast<std::size_t>(result)); }
    /// A line for the log, at intervals that double, with the results since the leader was lost.
    std::optional<Decision> takeReport(TimePoint now);
    /// Counters in the Prometheus text format.
    std::string render() const;
    /// Time without a leader so far; zero while there is one.
    Duration searchTime(TimePoint now) const;

private:
    using Results = std::array<std::uint64_t, connectResultCount>;

    std::vector<HostId> m_seeds;
    std::vector<HostId> m_discoveredHosts;
    std::size_t m_nextCandidate;
    std::optional<TimePoint> m_since;
    TimePoint m_nextNeighbourQuery {};
    TimePoint m_nextReport {};
    Duration m_reportInterval {};
    Results m_results {};
    /// Results when the search began.
    Results m_resultsBefore {};
};

} // namespace laburnum
