#include <laburnumroute/clock.h>

#include <ctime>

namespace laburnum {

TimePoint SteadyClock::now() const noexcept
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

TimePoint ManualClock::now() const noexcept { return TimePoint(Duration(m_now.load())); }

void ManualClock::advance(Duration d) noexcept { m_now.fetch_add(d.count()); }

} // namespace laburnum
