#include <laburnumroute/retry_window.h>

namespace laburnum {

std::int64_t RetryWindow::numberAt(TimePoint now) const
{
    const auto length = std::max<Duration::rep>(m_limits.window.count() / windowSlices, 1);
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

void RetryWindow::onRequest(TimePoint now, double weight) { slice(now).requests += weight; }
void RetryWindow::addRetry(TimePoint now) { slice(now).retries += 1.0; }

void RetryWindow::spendSlack(TimePoint now) { slice(now).retries += m_limits.slack; }

double RetryWindow::allowance(TimePoint now) const
{
    const std::int64_t number = numberAt(now);
    double requests = 0;
    for (const Slice& each : m_slices) {
        if (each.number > number - windowSlices && each.number <= number)
            requests += each.requests;
    }
    return m_limits.ratio * requests + m_limits.slack;
}

double RetryWindow::remaining(TimePoint now)
{
    const std::int64_t number = numberAt(now);
    double retries = 0;
    for (const Slice& each : m_slices) {
        if (each.number >= number - windowSlices && each.number <= number)
            retries += each.retries;
    }
    return allowance(now) - retries;
}

double RetryWindow::remainingShare(TimePoint now)
{
    const double allowed = allowance(now);
    return allowed > 0 ? remaining(now) / allowed : 0.0;
}

bool RetryWindow::take(TimePoint now)
{
    if (remaining(now) < 1.0)
        return false;
    addRetry(now);
    return true;
}

} // namespace laburnum
