/// Strong types for identifiers. Two ids of different kinds never compare or convert.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace laburnum {

/// An identifier whose `Tag` makes it a type of its own. `Rep` is its representation.
template <class Tag, class Rep> class StrongId {
public:
    using rep = Rep;

    StrongId() = default;
    explicit StrongId(Rep value)
        : m_value(std::move(value))
    {
    }

    /// The underlying value, for codecs and logs.
    const Rep& value() const noexcept { return m_value; }

    friend bool operator==(const StrongId&, const StrongId&) = default;
    friend auto operator<=>(const StrongId&, const StrongId&) = default;

private:
    Rep m_value {};
};

/// A machine on which laburnumd runs.
using HostId = StrongId<struct HostTag, std::string>;
/// A data centre; hosts and upstreams name theirs in settings and announcements.
using DataCentreId = StrongId<struct DataCentreTag, std::string>;
/// A region: a set of data centres.
using RegionId = StrongId<struct RegionTag, std::string>;
/// A service that operators declare.
using ServiceId = StrongId<struct ServiceTag, std::string>;
/// One upstream process that serves a service.
using InstanceId = StrongId<struct InstanceTag, std::string>;
/// An operator's name for one submitted change; a resend carries the same id.
using ChangeId = StrongId<struct ChangeTag, std::string>;
/// A caller's Idempotency-Key, scoped to a service.
using IdempotencyKey = StrongId<struct IdempotencyKeyTag, std::string>;
/// One attempt of one request at one upstream; unique within a host.
using AttemptId = StrongId<struct AttemptTag, std::uint64_t>;
/// The revision of the configuration; grows by one with each accepted change. 0 is "none".
using Revision = StrongId<struct RevisionTag, std::uint64_t>;
/// An election term of the replicated log.
using Term = StrongId<struct TermTag, std::uint64_t>;
/// A position in the replicated log; the first entry is 1.
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
