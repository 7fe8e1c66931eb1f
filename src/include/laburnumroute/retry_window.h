/// The budget of repeats that all hosts share: a share of the requests of a sliding window, and a
/// fixed slack.
#pragma once

#include <array>
#include <cstdint>

#include <laburnumroute/clock.h>

namespace laburnum {

/// How much may be repeated.
struct RetryBudgetLimits {
    /// Repeats allowed for each request of the window.
    double ratio = 0.1;
    /// Repeats allowed besides.
    double slack = 0.0;
    /// Length of the window.
    Duration window = std::chrono::seconds(10);
};

/// How the budget is divided between the view and hosts that place requests alone, so that their
/// sum stays within the terms whoever is alone and whenever that changes. With v requests asked of
/// a view, a placed alone without asking one, and every part drawn to the full:
///
///     repeats <= ratio (fleetShare v + fallbackShare v + localOnlyShare a) + fleetSlackShare slack
///             <= 0.9 ratio (v + a) + 0.75 slack
///
/// A request counts once: whoever asked a view and then placed alone stays with v. The rest is for
/// a repeat that arrives in another window than its request.
struct RetryBudgetShares {
    // Of the ratio, for each request that was asked of a view.
    static constexpr double fleetShare = 0.6;
    static constexpr double fallbackShare = 0.3;
    /// Of the ratio, for each request that no view was asked for.
    static constexpr double localOnlyShare = 0.9;
    static constexpr double fleetSlackShare = 0.75;
};

/// Counts requests and repeats of one service in slices of a tenth of the window. The slice that
/// the window's far end cuts counts whole for repeats and not at all for requests: no window of
/// this length, wherever it begins, holds more repeats than its terms allow. No I/O.
class RetryWindow {
public:
    void setTerms(const RetryBudgetLimits& terms) { m_terms = terms; }
    /// Counts a request, or a part of one.
    void onRequest(TimePoint now, double part = 1.0);
    /// Takes one repeat; false when the budget is used up.
    bool take(TimePoint now);
    /// Counts a repeat that happened without being asked for.
    void onRepeat(TimePoint now);
    /// Takes the whole slack as used at `now`: what an earlier count has granted is not known.
    void spendSlack(TimePoint now);
    /// Repeats that are left.
    double left(TimePoint now);

private:
    static constexpr std::int64_t windowSlices = 10;
    static constexpr std::size_t keptSlices = windowSlices + 1;
    struct Slice {
        std::int64_t number = -1;
        double requests = 0;
        double repeats = 0;
    };

    Slice& slice(TimePoint now);
    std::int64_t numberAt(TimePoint now) const;

    RetryBudgetLimits m_terms;
    std::array<Slice, keptSlices> m_slices {};
};

} // namespace laburnum
