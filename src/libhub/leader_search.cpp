#include <laburnumroute/leader_search.h>

#include <algorithm>

namespace laburnum {

namespace {

    constexpr auto firstReportDelay = std::chrono::milliseconds(1000);
    constexpr std::array<const char*, connectResultCount> resultNames { "opened", "failed",
        "timed_out" };

} // namespace

void LeaderSearch::setControlHosts(const std::vector<std::string>& hosts)
{
    m_discoveredHosts.clear();
    addControlHosts(hosts);
}

void LeaderSearch::addControlHosts(const std::vector<std::string>& hosts)
{
    for (const auto& name : hosts) {
        const HostId host(name);
        const bool isKnown = std::find(m_discoveredHosts.begin(), m_discoveredHosts.end(), host)
            != m_discoveredHosts.end();
        if (!isKnown && m_discoveredHosts.size() < maxDiscoveredHosts)
            m_discoveredHosts.push_back(host);
    }
}

std::vector<HostId> LeaderSearch::candidates() const
{
    std::vector<HostId> hosts = m_seeds;
    for (const HostId& host : m_discoveredHosts) {
        if (std::find(hosts.begin(), hosts.end(), host) == hosts.end())
            hosts.push_back(host);
    }
    return hosts;
}

const HostId& LeaderSearch::nextCandidate(const std::vector<HostId>& candidates)
{
    return candidates[m_nextCandidate++ % candidates.size()];
}

void LeaderSearch::onSearching(TimePoint now)
{
    if (m_since)
        return;
    m_since = now;
    m_nextNeighbourQuery = now + neighbourQueryDelay;
    m_reportInterval = firstReportDelay;
    m_nextReport = now + firstReportDelay;
    m_resultsBefore = m_results;
}

void LeaderSearch::onJoined() { m_since.reset(); }

bool LeaderSearch::takeNeighbourQuery(TimePoint now)
{
    if (!m_since || now < m_nextNeighbourQuery)
        return false;
    m_nextNeighbourQuery = now + neighbourQueryInterval;
    return true;
}

Duration LeaderSearch::searchTime(TimePoint now) const
{
    return m_since ? now - *m_since : Duration::zero();
}

std::optional<Decision> LeaderSearch::takeReport(TimePoint now)
{
    if (!m_since || now < m_nextReport)
        return std::nullopt;
    m_reportInterval *= 2;
    m_nextReport = now + m_reportInterval;
    Decision decision { "leader", "searching" };
    decision.facts["for_ms"] = Json::Int64(toMillis(now - *m_since));
    for (std::size_t i = 0; i < connectResultCount; ++i)
        decision.facts[resultNames[i]] = Json::UInt64(m_results[i] - m_resultsBefore[i]);
    decision.facts["candidates"] = Json::Value(Json::arrayValue);
    for (const HostId& host : candidates())
        decision.facts["candidates"].append(host.value());
    return decision;
}

std::string LeaderSearch::render() const
{
    std::string text = "# TYPE laburnum_leader_connections_total counter\n";
    for (std::size_t i = 0; i < connectResultCount; ++i)
        text += std::string("laburnum_leader_connections_total{result=\"") + resultNames[i] + "\"} "
            + std::to_string(m_results[i]) + '\n';
    return text;
}

} // namespace laburnum
