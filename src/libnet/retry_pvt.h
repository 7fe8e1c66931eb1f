/// The question to the service's retry budget.
#pragma once

#include <laburnumroute/dispatch_table.h>

namespace laburnum::pvt {

/// Takes one retry from the budget of `service`; false when it is used up.
inline bool takeRetry(DispatchTable& table, const ServiceId& service)
{
    return table.with(
        [&](Dispatcher& dispatcher, TimePoint now) { return dispatcher.takeRetry(service, now); });
}

} // namespace laburnum::pvt
