#include <laburnumroute/clock.h>

namespace laburnum {

TimePoint SteadyClock::now() const noexcept
{
    return TimePoint(std::chrono::steady_clock::now().time_since_epoch());
}

TimePoint ManualClock::now() const noexcept { return TimePoint(Duration(m_now.load())); }

void ManualClock::advance(Duration d) noexcept { m_now.fetch_add(d.count()); }

} // namespace laburnum
