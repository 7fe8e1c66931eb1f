/// Usage caps of client accounts at the leader: one token bucket per account that has a cap,
/// consulted by the FleetScheduler at the first dispatch of each request. No I/O.
///
/// Load patterns that it handles:
/// - One or two accounts send 6 to 12 times their usual rate for seconds, over all hosts: what
///   exceeds the cap is refused at once, with the time until the next token.
/// - The leader changes: the levels are unknown to the new one, which starts with few tokens.
/// - Hosts place requests alone, without this leader: these are deducted when the leader learns of
///   them, as if they had been taken when they were placed.
/// - A part of the hosts is cut off while the others go on: the leader can't count what the lost
///   hosts place alone, so it sets aside the rate at which it granted requests to them.
/// - A deposed leader that does not know it yet: it spends what it has, but its buckets do not
///   refill while it holds no lease, so that two leaders never grant the same tokens.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include <laburnumroute/configuration.h>
#include <laburnumroute/placement_types.h>
#include <laburnumroute/usage_meter.h>

namespace laburnum {

/// Not thread-safe; `now` never goes back.
class UsageCaps {
public:
    /// Window in which the number of accepted requests is limited, wherever it begins.
    static constexpr Duration window = std::chrono::seconds(5);
    /// Tokens of each bucket after restart(): 0.4 of the 20 requests that the limit allows in
    /// addition, so that two changes of leader within a window stay below it. Without any, accounts
    /// below their cap would be refused.
    static constexpr double startTokens = 8.0;

    /// Sets the caps in force. Accounts without a rate have no cap. Buckets keep their levels,
    /// bounded by the new burst; a new bucket is full.
    void setCaps(const std::vector<ClientAccountSpec>& accounts, TimePoint now);
    /// This host became the leader, or ceased to be: the levels are unknown.
    void restart(TimePoint now);

    /// Takes a token for the request that is dispatched as `key`. If there is none: the time until
    /// there is one, in whole milliseconds.
    std::optional<Duration> take(const ClientAccountId& account, DispatchKey key, TimePoint now);
    /// The request of `key` did not reach an instance. Restores the bucket to the level that it
    /// would have without the request; unknown keys are ignored.
    void giveBack(DispatchKey key, TimePoint now);
    /// The request of `key` reached an instance: its token is spent.
    void settle(DispatchKey key);
    /// Deducts requests that a host placed alone `age` ago, below zero if necessary.
    void takeByForce(
        const ClientAccountId& account, std::uint32_t requests, Duration age, TimePoint now);
    /// An entry host last heard from a leader `silence` ago. Before restart() no leader granted
    /// anything from the latest such moment on, so that the buckets would have refilled.
    void onLeaderSilence(Duration silence, TimePoint now);
    /// The connection `link` to the entry host was lost, and the host may place requests alone at
    /// the rate of its last grants. Buckets refill less by that until onHostFound(), or for
    /// maxReserveTime: the host may have ended.
    void onHostLost(const HostId& host, LinkId link, TimePoint now);
    /// The host is back. What was set aside is restored; its reports replace it.
    void onHostFound(const HostId& host, TimePoint now);
    void expireReserves(TimePoint now);
    /// Buckets do not refill until resumeRefill(), which credits the time in between.
    void suspendRefill(TimePoint now);
    void resumeRefill() { m_refillUntil.reset(); }

    bool empty() const noexcept { return m_buckets.empty(); }
    /// Tokens of an account at `now`; empty without a cap.
    std::optional<double> level(const ClientAccountId& account, TimePoint now);
    UsageMeter& meter() noexcept { return m_meter; }
    const UsageMeter& meter() const noexcept { return m_meter; }

private:
    /// Refills that found the bucket full are kept for one window, in slices.
    static constexpr Duration sliceLength = std::chrono::milliseconds(500);
    static constexpr std::size_t sliceCount = 11;
    struct Slice {
        std::int64_t number = -1;
        double tokens = 0.0;
    };
    static constexpr Duration maxReserveTime = std::chrono::seconds(30);
    /// A host that is cut off loses its leader before the leader loses the host's connection.
    static constexpr Duration unnoticedTime = std::chrono::seconds(1);
    struct Grant {
        TimePoint at;
        LinkId link;
        ClientAccountId account;
    };
    /// What is set aside for a lost host, in tokens per second.
    struct Reserve {
        TimePoint since;
        std::map<ClientAccountId, double> rates;
    };
    /// Number of a take; larger for later ones.
    using TakeNumber = std::uint64_t;

    struct Bucket {
        double rate = 0.0;
        double depth = 1.0;
        double level = 0.0;
        /// Part of the rate that is set aside for lost hosts.
        double reserved = 0.0;
        TimePoint refilledAt;

        double refillRate() const { return std::max(rate - reserved, 0.0); }
        std::array<Slice, sliceCount> overflow {};
        /// What giveBack() would restore for each take that is neither settled nor given back. With
        /// `level` they never exceed the depth: tokens that a full bucket would have lost without
        /// the take are not restored, or more than the cap could pass within a window.
        std::map<TakeNumber, double> revocable;
        double revocableSum = 0.0;
        /// Requests that hosts placed alone before restart().
        double inherited = 0.0;
        /// The part of them that the refill between two leaders covers.
        double covered = 0.0;
    };

    void refill(Bucket& bucket, TimePoint now) const;
    static void clip(Bucket& bucket);
    static void recordOverflow(Bucket& bucket, double tokens, TimePoint until);
    static double absorbOverflow(Bucket& bucket, double tokens, TimePoint since);
    void coverInherited(Bucket& bucket) const;
    std::optional<std::pair<Bucket*, TakeNumber>> forget(DispatchKey key);
    void endReserve(const Reserve& reserve, bool isRestored, TimePoint now);

    std::map<ClientAccountId, Bucket> m_buckets;
    std::map<DispatchKey, std::pair<ClientAccountId, TakeNumber>> m_takes;
    TakeNumber m_lastTake = 0;
    /// Takes of the last window.
    std::deque<Grant> m_grants;
    std::map<HostId, Reserve> m_reserves;
    std::optional<TimePoint> m_refillUntil;
    TimePoint m_startedAt {};
    /// Shortest time without a leader before restart() that the entry hosts' reports allow.
    std::optional<Duration> m_leaderlessTime;
    UsageMeter m_meter;
};

} // namespace laburnum
