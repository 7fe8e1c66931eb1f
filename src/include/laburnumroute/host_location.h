/// Network location of a host.
#pragma once

#include <laburnumroute/ids.h>

namespace laburnum {

/// Location of a host. Placement prefers instances that are near.
struct HostLocation {
    HostId host;
    DataCentreId dataCentre;
    RegionId region;
};

} // namespace laburnum
