/// State of one declared service in the dispatcher.
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
