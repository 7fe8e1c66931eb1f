/// Decides which freed slots of a service go to a lower priority. A state machine without I/O.
///
/// Load pattern that it handles: a surge of a high priority that lasts for seconds takes all slots,
/// and requests of lower priorities are refused until it ends.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

namespace laburnum {

class PriorityRoom {
public:
    /// One of this many freed slots goes to a lower priority while several priorities wait.
    static constexpr std::uint32_t interval = 8;

    /// The lower priority that the next freed slot goes to, if one does. `waiting` holds the
    /// priorities that wait, in order. Lower priorities take turns.
    std::optional<std::uint32_t> next(const std::vector<std::uint32_t>& waiting);
    /// A freed slot was granted to a queued request; `isLower`: while a higher priority waited.
    void onGrant(bool isLower);

private:
    /// Slots granted to others since the latest one for a lower priority, at most interval - 1.
    std::uint32_t m_granted = 0;
    std::uint32_t m_turn = 0;
};

} // namespace laburnum
