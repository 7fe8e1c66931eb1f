/// The question to the service's retry budget.
#pragma once

#include <laburnumroute/dispatch_table.h>

namespace laburnum::pvt {

/// Whether a request of `service` that was repeated `retries` times may be repeated once more.
inline bool takeRetry(DispatchTable& /*table*/, const ServiceId& /*service*/, unsigned retries)
{
    return retries == 0;
}

} // namespace laburnum::pvt
