#include <laburnumroute/priority_room.h>

#include <algorithm>

namespace laburnum {

std::optional<std::uint32_t> PriorityRoom::next(const std::vector<std::uint32_t>& waiting)
{
    if (waiting.size() < 2 || m_granted + 1 < interval)
        return std::nullopt;
    return waiting[1 + m_turn % (waiting.size() - 1)];
}

void PriorityRoom::onGrant(bool isLower)
{
    if (isLower) {
        m_granted = 0;
        ++m_turn;
    } else {
        m_granted = std::min(m_granted + 1, interval - 1);
    }
}

} // namespace laburnum
