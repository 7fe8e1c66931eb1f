/// The dispatcher's traffic for state machines that run outside the worker pool's lock.
#pragma once

#include <laburnumroute/synchronized_dispatcher.h>

namespace laburnum {

/// Forwards to the Dispatcher of a SynchronizedDispatcher under its lock. The table must outlive
/// it. The instants come from the caller, so that they agree with the caller's other decisions.
class LockedTrafficView final : public TrafficView {
public:
    explicit LockedTrafficView(SynchronizedDispatcher& table)
        : m_table(table)
    {
    }

    std::vector<ServiceSpec> declaredServices() const override
    {
        return m_table.with(
            [](Dispatcher& dispatcher, TimePoint) { return dispatcher.declaredServices(); });
    }
    ServingSlots servingSlots(const ServiceId& service) const override
    {
        return m_table.with(
            [&](Dispatcher& dispatcher, TimePoint) { return dispatcher.servingSlots(service); });
    }
    std::vector<EvidenceDelta> takeEvidence(TimePoint now) override
    {
        return m_table.with(
            [&](Dispatcher& dispatcher, TimePoint) { return dispatcher.takeEvidence(now); });
    }
    void applyPermits(const ServiceId& service, const PermitSet& permits, TimePoint now) override
    {
        m_table.with([&](Dispatcher& dispatcher, TimePoint) {
            dispatcher.applyPermits(service, permits, now);
        });
    }

private:
    SynchronizedDispatcher& m_table;
};

} // namespace laburnum
