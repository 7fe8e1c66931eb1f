/// Connects the UsageCaps of the leader's scheduler with what the Controller knows: the rates in
/// the configuration, the lease, and the requests that entry hosts placed alone. No I/O.
///
/// Load pattern: after a change of leader all entry hosts report at once what they placed alone,
/// together with the time for which they heard no leader.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include <laburnumroute/controller.h>
#include <laburnumroute/usage_caps.h>

#include "controller_messages_pvt.h"

namespace laburnum::pvt {

class CapCoordinator {
public:
    CapCoordinator(UsageCaps& caps, AccountsOfConfig accountsOf)
        : m_caps(caps)
        , m_accountsOf(std::move(accountsOf))
    {
    }

    /// Sets the caps of `config`, if it is another one than before.
    void apply(const NumberedConfig& config, TimePoint now);
    /// Whether this leader holds its lease at `now`.
    void onLease(bool isHeld, TimePoint now);
    /// The connection to an entry host was lost; it has no other one to this leader.
    void onHostLost(const HostId& host, LinkId link, TimePoint now)
    {
        m_caps.onHostLost(host, link, now);
    }
    void onHostFound(const HostId& host, TimePoint now) { m_caps.onHostFound(host, now); }
    /// An entry host reported `usage` before `delay`.
    void onUsage(const LocalUsageRows& usage, Duration delay, TimePoint now);

private:
    UsageCaps& m_caps;
    AccountsOfConfig m_accountsOf;
    ConfigNumber m_configNumber;
    /// Latest time at which the lease was seen to be held. After a pause of the process, the lease
    /// ended long before that is noticed.
    TimePoint m_leaseHeldAt {};
};

} // namespace laburnum::pvt
