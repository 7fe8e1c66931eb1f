/// Where a host stands.
#pragma once

#include <laburnumroute/ids.h>

namespace laburnum {

/// Where a host stands; placement prefers what is near.
struct HostLocation {
    HostId host;
    DataCentreId dataCentre;
    RegionId region;
};

} // namespace laburnum
