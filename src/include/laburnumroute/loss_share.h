/// The part of a service's requests that was lost lately. No I/O.
#pragma once

#include <laburnumroute/clock.h>

namespace laburnum {

/// Counts requests and losses; what is older weighs less, by half after a second.
class LossShare {
public:
    void onRequest(TimePoint now);
    void onLoss(TimePoint now);
    /// Requests that the share stands on, in weights of 0 to 1.
    double requests(TimePoint now) const;
    /// 0 to 1; 0 without requests.
    double share() const;

private:
    void fade(TimePoint now);

    double m_requests = 0.0;
    double m_losses = 0.0;
    TimePoint m_at {};
};

} // namespace laburnum
