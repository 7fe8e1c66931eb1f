/// The dispatcher's state of one declared service.
#pragma once

#include "instance_pool_pvt.h"

namespace laburnum {

struct Dispatcher::Service {
    ServiceSpec spec;
    std::unique_ptr<Balancer> balancer;
    RetryBudget budget;
    WaitQueue queue;
};

} // namespace laburnum
