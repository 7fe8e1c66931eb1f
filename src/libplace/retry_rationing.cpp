#include <laburnumroute/retry_rationing.h>

namespace laburnum {

namespace {

    /// With a fifth, 0.905 instead of 0.907 of all requests were served in time in the replay of a
    /// service that sheds; with a tenth 0.906, and 0.960 instead of 0.915 of the urgent ones.
    constexpr double reservedShare = 0.1;
    /// A priority without retries for this long needs no reserve.
    constexpr auto reserveTime = std::chrono::seconds(2);

} // namespace

bool RetryRationing::admit(std::uint32_t priority, double remainingShare, TimePoint now)
{
    m_lastWanted[priority] = now;
    if (remainingShare >= reservedShare)
        return true;
    for (const auto& [other, wanted] : m_lastWanted) {
        if (other >= priority)
            break;
        if (now - wanted < reserveTime)
            return false;
    }
    return true;
}

} // namespace laburnum
