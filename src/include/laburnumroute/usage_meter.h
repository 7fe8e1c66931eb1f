/// Counts the requests of client accounts that a cap accepted and refused, for metrics, and reports
/// in the log when an account begins to be refused and when that ends. No I/O.
///
/// Load pattern: hundreds of accounts, of which a few exceed their cap at a time. Metrics name the
/// accounts with most refusals only, and log lines are bounded by the number of accounts that are
/// refused at once.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <laburnumroute/clock.h>
#include <laburnumroute/decision.h>
#include <laburnumroute/ids.h>

namespace laburnum {

/// Not thread-safe; `now` never goes back.
class UsageMeter {
public:
    /// Accounts that render() names.
    static constexpr std::size_t namedAccounts = 8;
    /// Accounts that are reported in the log as refused at the same time; others are only counted.
    static constexpr std::size_t loggedAccounts = 16;
    /// An account's refusals have ended when it was not refused for this long.
    static constexpr Duration quietTime = std::chrono::seconds(5);

    void onAccepted(const ClientAccountId& account) { ++m_counts[account].accepted; }
    void onRefused(const ClientAccountId& account, Duration retryAfter, TimePoint now);
    /// The log lines `cap: refusing` and `cap: ended` due since the last call.
    std::vector<Decision> takeDecisions(TimePoint now);

    std::uint64_t accepted(const ClientAccountId& account) const;
    std::uint64_t refused(const ClientAccountId& account) const;
    /// Prometheus text: the accounts with most refusals by name, the rest together; empty before
    /// the first request of a capped account.
    std::string render() const;

private:
    struct Counts {
        std::uint64_t accepted = 0;
        std::uint64_t refused = 0;
    };
    /// Refusals of one account without a pause of quietTime.
    struct Episode {
        TimePoint since;
        TimePoint latest;
        std::uint64_t refusals = 0;
    };

    std::map<ClientAccountId, Counts> m_counts;
    std::map<ClientAccountId, Episode> m_episodes;
    std::vector<Decision> m_decisions;
};

} // namespace laburnum
