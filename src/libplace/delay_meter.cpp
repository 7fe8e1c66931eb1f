#include <laburnumroute/delay_meter.h>

#include <algorithm>

namespace laburnum {

namespace {

    constexpr auto halfWindow = std::chrono::seconds(30);
    constexpr auto reportInterval = std::chrono::seconds(10);
    /// A change below one part in this is not reported.
    constexpr int changeDivisor = 10;

} // namespace

void DelayMeter::onConnect(const DataCentreId& dataCentre, Duration elapsed, TimePoint now)
{
    Window& window = m_windows[dataCentre];
    if (now - window.begin >= halfWindow) {
        window.previous = now - window.begin < 2 * halfWindow ? window.current : Duration::max();
        window.current = Duration::max();
        window.begin = now;
    }
    window.current = std::min(window.current, elapsed);
}

std::vector<DelayMeter::Delay> DelayMeter::takeChanges(TimePoint now)
{
    std::vector<Delay> changes;
    if (now < m_nextReport)
        return changes;
    for (auto& [dataCentre, window] : m_windows) {
        const Duration oneWay = std::min(window.current, window.previous) / 2;
        const Duration change = std::max(oneWay, window.taken) - std::min(oneWay, window.taken);
        if (change <= window.taken / changeDivisor)
            continue;
        window.taken = oneWay;
        changes.push_back({ dataCentre, oneWay });
    }
    if (!changes.empty())
        m_nextReport = now + reportInterval;
    return changes;
}

void DelayMeter::resend()
{
    for (auto& [dataCentre, window] : m_windows)
        window.taken = Duration::zero();
    m_nextReport = TimePoint();
}

} // namespace laburnum
