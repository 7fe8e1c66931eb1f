#include <laburnumroute/retry_window.h>

namespace laburnum {

std::int64_t RetryWindow::numberAt(TimePoint now) const
{
    const auto length = std::max<Duration::rep>(m_terms.window.count() / windowSlices, 1);
    return now.time_since_epoch().count() / length;
}

RetryWindow::Slice& RetryWindow::slice(TimePoint now)
{
    const std::int64_t number = numberAt(now);
    Slice& current = m_slices[static_cast<std::size_t>(number) % keptSlices];
    if (current.number != number)
        current = { number };
    return current;
}

void RetryWindow::onRequest(TimePoint now, double part) { slice(now).requests += part; }
void RetryWindow::onRepeat(TimePoint now) { slice(now).repeats += 1.0; }

void RetryWindow::spendSlack(TimePoint now) { slice(now).repeats += m_terms.slack; }

double RetryWindow::left(TimePoint now)
{
    const std::int64_t number = numberAt(now);
    double requests = 0;
    double repeats = 0;
    for (const Slice& each : m_slices) {
        if (each.number < number - windowSlices || each.number > number)
            continue;
        repeats += each.repeats;
        if (each.number > number - windowSlices)
            requests += each.requests;
    }
    return m_terms.ratio * requests + m_terms.slack - repeats;
}

bool RetryWindow::take(TimePoint now)
{
    if (left(now) < 1.0)
        return false;
    onRepeat(now);
    return true;
}

} // namespace laburnum
