/// Fair queueing among client accounts: start-time fair queueing of the requests of one service and
/// priority. A state machine without I/O.
///
/// Load pattern that it handles: an account that sends several times its usual rate fills the queue
/// of a service, and the other accounts lose the slots that they usually get.
///
/// Each request has a start tag, a point in virtual time. An account's next start tag is where its
/// previous request ended in virtual time, by the work of that request, but never before the
/// present virtual time. Serving requests by start tag divides the work among the accounts that
/// have requests queued (max-min fairness), whatever the durations of their requests.
#pragma once

#include <map>
#include <optional>

#include <laburnumroute/clock.h>
#include <laburnumroute/ids.h>

namespace laburnum {

/// Work is measured in seconds of a slot.
class FairShares {
public:
    /// The place of a request in virtual time and the work that was counted for it.
    struct Charge {
        double startTag = 0.0;
        double work = 0.0;
    };

    /// The start tag of the account's next request.
    double nextStartTag(const ClientAccountId& account) const;
    /// Counts a request that is queued or granted.
    Charge charge(const ClientAccountId& account, double work);
    /// Takes back the charge of a request that left the queue without a grant.
    void withdraw(const ClientAccountId& account, const Charge& charge);
    /// A request was granted. `firstQueued` is the smallest start tag in the queue, without the
    /// granted one. Virtual time does not pass it: a request may be granted before others that wait
    /// for another slot.
    void onGrant(double startTag, std::optional<double> firstQueued);
    /// Corrects the charge of a granted request whose work turned out to be `measured`.
    void correct(const ClientAccountId& account, const Charge& charge, double measured);
    /// True if a request with this start tag stands at least `work` after those that are served
    /// next: its account has had, or has queued, more than the accounts that ask for their share.
    bool isBeyondShare(double startTag, double work) const
    {
        return startTag >= m_virtualTime + work;
    }
    /// Called at intervals, with whether requests were queued all the time since the last call.
    /// Measures the speed of virtual time and drops accounts that have no lead over it.
    void onTick(TimePoint now, bool wasBacklogged);
    /// Time in seconds until virtual time reaches `startTag`, at its speed of the last moments; 0
    /// if that is not known. A request's place in the queue does not tell this: other accounts'
    /// later requests may come before it.
    double secondsUntil(double startTag) const;

private:
    double m_virtualTime = 0.0;
    /// Smoothed; 0 if unknown.
    double m_speed = 0.0;
    double m_lastVirtualTime = 0.0;
    TimePoint m_lastTick;
    /// Where the latest request of each account ends in virtual time.
    std::map<ClientAccountId, double> m_finish;
};

} // namespace laburnum
