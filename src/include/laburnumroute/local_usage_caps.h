/// Usage caps of client accounts at one entry host while it has no leader: spends at most what the
/// leader was seen to grant this host before. No I/O.
///
/// Load pattern: many hosts lose the leader at once, or one host alone is cut off for long, while
/// an account sends several times its cap to all of them. The hosts can't count together, so each
/// continues at the rate at which the leader granted the account's requests to it; the sum over all
/// hosts is what the leader granted, plus one request for each host.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include <laburnumroute/configuration.h>
#include <laburnumroute/usage_meter.h>

namespace laburnum {

/// Requests of an account that a host placed alone.
struct LocalUsage {
    ClientAccountId account;
    std::uint32_t requests = 0;
    /// Time since the latest of them.
    Duration age {};
};

/// Not thread-safe; `now` never goes back.
class LocalUsageCaps {
public:
    /// Time before the loss of the leader from which the rates are taken.
    static constexpr Duration window = std::chrono::seconds(5);

    /// Sets the caps of the configuration in force. Accounts without a rate have no cap.
    void setCaps(const std::vector<ClientAccountSpec>& accounts);
    bool isCapped(const ClientAccountId& account) const { return m_caps.contains(account); }
    bool empty() const noexcept { return m_caps.empty(); }

    /// The leader granted a request of the account to this host, or refused it for its cap.
    void onGranted(const ClientAccountId& account, TimePoint now);
    void onRefused(const ClientAccountId& account, TimePoint now);
    /// The host has lost its leader, or has none yet; no effect if it was lost before.
    void onLeaderLost(TimePoint now);
    void onLeaderFound() { m_lostAt.reset(); }

    /// Takes a token for a request that is placed alone. If there is none: the time until there is
    /// one, as far as this host knows.
    std::optional<Duration> take(const ClientAccountId& account, TimePoint now);
    /// Requests placed alone after `since`, at most a window ago, that no leader is known to have
    /// counted.
    std::vector<LocalUsage> uncounted(TimePoint since, TimePoint now) const;
    /// A leader has counted the requests placed alone until `until`. The next leader need not: what
    /// this one granted since was less by that number.
    void onCounted(TimePoint until) { m_countedUntil = std::max(m_countedUntil, until); }

    UsageMeter& meter() noexcept { return m_meter; }
    const UsageMeter& meter() const noexcept { return m_meter; }

private:
    struct Cap {
        double rate = 0.0;
        double burst = 0.0;
    };
    /// What the leader decided for an account, by time.
    struct History {
        std::deque<TimePoint> grants;
        std::optional<TimePoint> lastRefusal;
    };
    struct Bucket {
        double rate = 0.0;
        double depth = 1.0;
        double level = 0.0;
        TimePoint refilledAt;
    };
    struct Placed {
        ClientAccountId account;
        TimePoint at;
    };

    void recordPlacement(const ClientAccountId& account, TimePoint now);
    Bucket makeBucket(const ClientAccountId& account) const;
    double placedWithin(const ClientAccountId& account, TimePoint since) const;
    static void dropBefore(std::deque<TimePoint>& times, TimePoint limit);

    std::map<ClientAccountId, Cap> m_caps;
    std::map<ClientAccountId, History> m_history;
    std::optional<TimePoint> m_lostAt;
    /// Buckets since m_lostAt.
    std::map<ClientAccountId, Bucket> m_buckets;
    std::deque<Placed> m_placed;
    TimePoint m_countedUntil {};
    UsageMeter m_meter;
};

} // namespace laburnum
