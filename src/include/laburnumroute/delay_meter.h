/// Measures on an entry host the one-way delay to each data centre by the time that connections to
/// instances take to open, and says when to report it. No I/O.
///
/// Load pattern: links of 2 Mbit/s on which connections wait behind bodies, and instances that
/// accept late. Both only add to the time, so the smallest of a minute stands for the path.
#pragma once

#include <map>
#include <vector>

#include <laburnumroute/clock.h>
#include <laburnumroute/ids.h>

namespace laburnum {

/// Not thread-safe; `now` never goes back.
class DelayMeter {
public:
    struct Delay {
        DataCentreId dataCentre;
        Duration oneWay {};
    };

    /// A connection to an instance at `dataCentre` was opened after `elapsed`.
    void onConnect(const DataCentreId& dataCentre, Duration elapsed, TimePoint now);
    /// The delays that changed by a tenth since they were taken last; empty within 10 s after the
    /// latest that were not.
    std::vector<Delay> takeChanges(TimePoint now);
    /// The next takeChanges() returns all delays: the receiver of the former ones is lost.
    void resend();

private:
    /// The smallest times of the present and the previous half window.
    struct Window {
        TimePoint begin;
        Duration current = Duration::max();
        Duration previous = Duration::max();
        Duration taken {};
    };

    std::map<DataCentreId, Window> m_windows;
    TimePoint m_nextReport {};
};

} // namespace laburnum
