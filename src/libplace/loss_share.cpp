#include <laburnumroute/loss_share.h>

#include <algorithm>
#include <cmath>

namespace laburnum {

namespace {

    /// Half of the two seconds for which a floor has to be broken before it counts.
    constexpr double halfLifeSeconds = 1.0;

    double weightAfter(Duration age)
    {
        const double seconds = std::chrono::duration<double>(age).count();
        return std::exp2(-std::max(seconds, 0.0) / halfLifeSeconds);
    }

} // namespace

void LossShare::fade(TimePoint now)
{
    const double weight = weightAfter(now - m_at);
    m_requests *= weight;
    m_losses *= weight;
    m_at = now;
}

void LossShare::onRequest(TimePoint now)
{
    fade(now);
    m_requests += 1.0;
}

void LossShare::onLoss(TimePoint now)
{
    fade(now);
    m_losses += 1.0;
}

double LossShare::requests(TimePoint now) const { return m_requests * weightAfter(now - m_at); }

// Both fade alike: their ratio holds until the next count.
double LossShare::share() const
{
    return m_requests > 0.0 ? std::min(m_losses / m_requests, 1.0) : 0.0;
}

} // namespace laburnum
