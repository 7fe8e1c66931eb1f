/// The budget of repeats that all hosts share: a share of the requests of a sliding window, and a
/// fixed slack.
#pragma once

#include <array>
#include <cstdint>

#include <laburnumroute/clock.h>

namespace laburnum {

/// How much may be repeated.
struct RepeatBudgetTerms {
    /// Repeats allowed for each request of the window.
    double ratio = 0.1;
    /// Repeats allowed besides.
    double slack = 0.0;
    /// Length of the window.
    Duration window = std::chrono::seconds(10);
};

/// Counts requests and repeats of one service in slices of a tenth of the window. The slice that
/// the window's far end cuts counts whole for repeats and not at all for requests: no window of
/// this length, wherever it begins, holds more repeats than its terms allow. No I/O.
class RepeatWindow {
public:
    void setTerms(const RepeatBudgetTerms& terms) { m_terms = terms; }
    void onRequest(TimePoint now);
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
        std::uint32_t requests = 0;
        double repeats = 0;
    };

    Slice& slice(TimePoint now);
    std::int64_t numberAt(TimePoint now) const;

    RepeatBudgetTerms m_terms;
    std::array<Slice, keptSlices> m_slices {};
};

} // namespace laburnum
