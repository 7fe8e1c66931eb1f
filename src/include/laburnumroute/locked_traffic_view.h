/// Thread-safe view of the dispatcher's traffic, for state machines that run outside the worker
/// pool's lock.
#pragma once

#include <laburnumroute/synchronized_dispatcher.h>

namespace laburnum {

/// Forwards to the Dispatcher of a SynchronizedDispatcher under its lock. The
/// SynchronizedDispatcher must outlive this object. Time points are passed in by the user rather
/// than read from the clock of the SynchronizedDispatcher, so that they are consistent with the
/// user's other decisions.
class LockedTrafficView final : public TrafficView {
public:
    explicit LockedTrafficView(SynchronizedDispatcher& sharedDispatcher)
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
    SynchronizedDispatcher& m_dispatcher;
};

} // namespace laburnum
