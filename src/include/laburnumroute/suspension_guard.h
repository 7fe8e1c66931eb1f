/// Notices that the process was suspended, and how far back a signal may have been sent. No I/O.
///
/// Load pattern: a host is suspended, is told to stop meanwhile, and is resumed. Connections that
/// became readable during the suspension come before the signal in the event loop, and their
/// requests would be passed on although the host has little or no time left.
#pragma once

#include <laburnumroute/clock.h>

namespace laburnum {

class SuspensionGuard {
public:
    explicit SuspensionGuard(TimePoint now)
        : m_beforeGap(now)
        , m_lastAlive(now)
        , m_heldUntil(now)
    {
    }

    /// The event loop runs at `now`. Must be called several times a second.
    void alive(TimePoint now);
    /// When a request that was read at `now` may be handled: at once, or after a suspension once
    /// pending signals have been handled.
    TimePoint admitAt(TimePoint now);
    /// The earliest time at which a signal that is handled at `now` may have been sent.
    TimePoint earliestSignal(TimePoint now) const;

private:
    TimePoint m_beforeGap;
    TimePoint m_lastAlive;
    TimePoint m_heldUntil;
};

} // namespace laburnum
