/// Thread-safe view of the dispatcher's traffic, for state machines that run outside the worker
/// pool's lock.
#pragma once

#include <laburnumroute/dispatch_table.h>

namespace laburnum {

/// Forwards to the Dispatcher of a DispatchTable under its lock. The DispatchTable must outlive this
/// object. Time points are passed in by the user rather than read from the clock of the
/// DispatchTable, so that they are consistent with the user's other decisions.
class LockedTrafficView final : public TrafficView {
public:
    explicit LockedTrafficView(DispatchTable& sharedDispatcher)
        : m_dispatcher(sharedDispatcher)
    {
    }

    std::vector<ServiceSpec> declaredServices() const override
    {
        return m_dispatcher.with(
            [](Dispatcher& dispatcher, TimePoint) { return dispatcher.declaredServices(); });
    }
    ServingSlots servingSlots(const ServiceId& service) const override
    {
        return m_dispatcher.with(
            [&](Dispatcher& dispatcher, TimePoint) { return dispatcher.servingSlots(service); });
    }
    std::vector<EvidenceDelta> takeEvidence(TimePoint now) override
    {
        return m_dispatcher.with(
            [&](Dispatcher& dispatcher, TimePoint) { return dispatcher.takeEvidence(now); });
    }
    void applyPermits(const ServiceId& service, const PermitSet& permits, TimePoint now) override
    {
        m_dispatcher.with([&](Dispatcher& dispatcher, TimePoint) {
            dispatcher.applyPermits(service, permits, now);
        });
    }

private:
    DispatchTable& m_dispatcher;
};

} // namespace laburnum
