/// Ownership of services, set by the test.
#pragma once

#include <map>
#include <utility>

#include <laburnumroute/ownership.h>

namespace laburnum::fakes {

/// One host's view of ownership. It does not enforce a single owner; the test that sets it must.
class FakeOwnership final : public Ownership {
public:
    explicit FakeOwnership(HostId self)
        : m_self(std::move(self))
    {
    }

    /// Makes `owner` the owner of every service in this host's view.
    void setOwner(const HostId& owner, TimePoint since)
    {
        m_owner = owner;
        m_since = since;
    }
    void setNoOwner() { m_owner.reset(); }

    bool isOwner(const ServiceId& /*service*/, TimePoint /*now*/) const override
    {
        return m_owner == m_self;
    }
    std::optional<HostId> ownerOf(const ServiceId& /*service*/, TimePoint /*now*/) const override
    {
        return m_owner;
    }
    std::optional<TimePoint> ownerSince(
        const ServiceId& /*service*/, TimePoint /*now*/) const override
    {
        return m_owner == m_self ? std::optional(m_since) : std::nullopt;
    }

private:
    HostId m_self;
    std::optional<HostId> m_owner;
    TimePoint m_since {};
};

} // namespace laburnum::fakes
