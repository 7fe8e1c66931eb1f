/// Fleet-wide retry budget: a ratio of the requests in a sliding window plus a fixed slack.
#pragma once

#include <array>
#include <cstdint>

#include <laburnumroute/clock.h>

namespace laburnum {

/// Limits of a retry budget.
struct RetryBudgetLimits {
    /// Retries allowed per request in the window.
    double ratio = 0.1;
    /// Retries allowed in addition.
    double slack = 0.0;
    Duration window = std::chrono::seconds(10);
};

/// Division of the budget between the fleet scheduler and hosts that place locally. The sum stays
/// within the limits whichever hosts place locally, and whenever that changes. With f requests sent
/// to the fleet scheduler, l requests placed locally only, and all shares used up:
///
///     retries <= ratio (fleetShare f + fallbackShare f + localOnlyShare l) + fleetSlackShare slack
///             <= 0.9 ratio (f + l) + 0.75 slack
///
/// Each request counts once: one that was sent to the fleet scheduler and then placed locally
/// belongs to f. The remainder covers retries that fall into another window than their request.
struct RetryBudgetShares {
    // Shares of the ratio, for each request that was sent to the fleet scheduler: the part that the
    // scheduler may grant, and the part that the host may take in local placement.
    static constexpr double fleetShare = 0.6;
    static constexpr double fallbackShare = 0.3;
    /// Share of the ratio, for each request that was placed locally only.
    static constexpr double localOnlyShare = 0.9;
    static constexpr double fleetSlackShare = 0.75;
};

/// Sliding-window counter of one service's requests and retries, in slices of a tenth of the
/// window. The oldest, partly covered slice counts in full for retries and not at all for requests,
/// so that no window of this length, wherever it begins, holds more retries than the limits allow.
/// No I/O.
class RetryWindow {
public:
    void setLimits(const RetryBudgetLimits& limits) { m_limits = limits; }
    /// Counts a request, or a fraction of one.
    void onRequest(TimePoint now, double weight = 1.0);
    /// Takes one retry; false when the budget is used up.
    bool take(TimePoint now);
    /// Counts a retry without checking the budget.
    void addRetry(TimePoint now);
    /// Counts the whole slack as used at `now`, for retries of unknown number granted before.
    void spendSlack(TimePoint now);
    /// Retries left in the current window.
    double remaining(TimePoint now);
    /// The same as a share of the retries that the limits allow in the window.
    double remainingShare(TimePoint now);

private:
    static constexpr std::int64_t windowSlices = 10;
    static constexpr std::size_t keptSlices = windowSlices + 1;
    struct Slice {
        std::int64_t number = -1;
        double requests = 0;
        double retries = 0;
    };

    Slice& slice(TimePoint now);
    std::int64_t numberAt(TimePoint now) const;
    /// Retries that the limits allow in the current window.
    double allowance(TimePoint now) const;

    RetryBudgetLimits m_limits;
    std::array<Slice, keptSlices> m_slices {};
};

} // namespace laburnum
