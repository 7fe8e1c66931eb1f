/// Rate limits of instances at one entry host: what it heard itself, from the leader and from other
/// hosts, and the host's share of them while it has no leader. No I/O.
///
/// Load pattern: dozens of hosts lose the leader at once, for many seconds, while an instance names
/// a limit of one request a second. All of them together have RateLimitShares::alone of it. Each
/// refills its bucket at an equal share and starts at a random level, so that a share of one
/// request in minutes is one request of some host each few seconds.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <laburnumroute/random.h>
#include <laburnumroute/rate_limit_bucket.h>

namespace laburnum {

/// Not thread-safe; `now` never goes back.
class LocalRateLimits {
public:
    /// Assumed number of hosts before a leader told it.
    static constexpr std::uint32_t defaultHosts = 64;

    explicit LocalRateLimits(std::uint64_t seed)
        : m_random(seed)
    {
    }

    struct News {
        /// The instance's limit changed, as far as this host knows.
        bool isChanged = false;
        /// The leader, or the other hosts, should hear it: the response named a limit, or they
        /// believe in one.
        bool isPassedOn = false;
    };

    /// A response to a request of this host named a limit, or none.
    News onOwnStatement(const InstanceRateLimit& limit, TimePoint now);
    /// Another host passed on what it heard.
    void onPeerStatement(const InstanceRateLimit& limit, TimePoint now)
    {
        m_stated.update(limit, now);
    }
    /// The leader's limits, and those that ended lately: all of them, or those that changed.
    void onLeaderStatements(
        const std::vector<InstanceRateLimit>& limits, bool isFull, TimePoint now);
    /// The instance is registered as this start. What another start said is void.
    void onInstance(const InstanceId& id, std::uint64_t incarnation)
    {
        if (m_stated.onInstance(id, incarnation))
            m_leaderLimited.erase(id);
    }
    void remove(const InstanceId& id);

    /// Number of entry hosts in the fleet.
    void setHosts(std::uint32_t hosts) { m_hosts = std::max(hosts, 1U); }
    std::uint32_t hosts() const noexcept { return m_hosts; }
    /// The host hears its leader. When it places requests alone again, it starts anew.
    void onLeaderHeard() { m_buckets.clear(); }

    /// Whether this host may place a request at the instance by itself.
    bool mayPlace(const InstanceId& id, TimePoint now);
    /// A request was placed at the instance, by the leader or by this host alone.
    void onPlaced(const InstanceId& id, bool isAlone, TimePoint now);

    /// Empty without a limit.
    std::optional<double> perSecond(const InstanceId& id) const { return m_stated.perSecond(id); }
    std::vector<InstanceRateLimit> statements() const { return m_stated.statements(); }
    /// Prometheus text.
    std::string render() const;

private:
    RateLimitBucket& bucketOf(const InstanceId& id, double perSecond, TimePoint now);

    StatedRateLimits m_stated;
    /// Instances with a limit according to the leader.
    std::set<InstanceId> m_leaderLimited;
    std::map<InstanceId, TimePoint> m_passedOnAt;
    std::map<InstanceId, RateLimitBucket> m_buckets;
    std::uint32_t m_hosts = defaultHosts;
    Random m_random;
    std::uint64_t m_granted = 0;
    std::uint64_t m_placedAlone = 0;
    std::uint64_t m_withheld = 0;
};

} // namespace laburnum
