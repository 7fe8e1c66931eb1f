/// Strongly typed identifiers. Ids of different types neither compare nor convert.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace laburnum {

/// An identifier with representation `Rep`, made a distinct type by `Tag`.
template <class Tag, class Rep> class StrongId {
public:
    using rep = Rep;

    StrongId() = default;
    explicit StrongId(Rep value)
        : m_value(std::move(value))
    {
    }

    /// The underlying value, for encoding and logging.
    const Rep& value() const noexcept { return m_value; }

    friend bool operator==(const StrongId&, const StrongId&) = default;
    friend auto operator<=>(const StrongId&, const StrongId&) = default;

private:
    Rep m_value {};
};

/// A host on which laburnumd runs.
using HostId = StrongId<struct HostTag, std::string>;
/// A data centre, as named in the settings of hosts and the announcements of instances.
using DataCentreId = StrongId<struct DataCentreTag, std::string>;
/// A region: a set of data centres.
using RegionId = StrongId<struct RegionTag, std::string>;
/// A service declared by operators.
using ServiceId = StrongId<struct ServiceTag, std::string>;
/// A client account declared by operators; empty stands for callers without one.
using ClientAccountId = StrongId<struct ClientAccountTag, std::string>;
/// One upstream process of a service.
using InstanceId = StrongId<struct InstanceTag, std::string>;
/// Identifies a submitted configuration change; a resend has the same id.
using ChangeId = StrongId<struct ChangeTag, std::string>;
/// Idempotency-Key of a caller, scoped to a service.
using IdempotencyKey = StrongId<struct IdempotencyKeyTag, std::string>;
/// One attempt to send a request to an instance; unique within a host.
using AttemptId = StrongId<struct AttemptTag, std::uint64_t>;
/// Configuration revision, incremented by one with each accepted change. 0 means none.
using Revision = StrongId<struct RevisionTag, std::uint64_t>;
/// An election term of the replicated log.
using Term = StrongId<struct TermTag, std::uint64_t>;
/// Index in the replicated log; the first entry has index 1.
using LogIndex = StrongId<struct LogIndexTag, std::uint64_t>;

/// The id that follows `id`, for ids with an integral representation.
template <class Tag> StrongId<Tag, std::uint64_t> next(const StrongId<Tag, std::uint64_t>& id)
{
    return StrongId<Tag, std::uint64_t>(id.value() + 1);
}

} // namespace laburnum

template <class Tag, class Rep> struct std::hash<laburnum::StrongId<Tag, Rep>> {
    std::size_t operator()(const laburnum::StrongId<Tag, Rep>& id) const noexcept
    {
        return std::hash<Rep> {}(id.value());
    }
};
