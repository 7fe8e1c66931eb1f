/// Rate limits that instances name in their responses: the requests per second that an instance
/// takes from all hosts together, for as long as it says so. Statements reach a host out of order,
/// because requests overlap and other hosts pass on what they heard. No I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include <laburnumroute/clock.h>
#include <laburnumroute/ids.h>

namespace laburnum {

/// Larger limits are taken as this.
inline constexpr double maxRateLimit = 1e6;

/// Parses a limit: a decimal number of requests per second, at least 0, without an exponent. Empty
/// if `text` is anything else.
std::optional<double> parseRateLimit(std::string_view text);

/// What one response said.
struct RateLimitStatement {
    /// Empty: the response named no limit.
    std::optional<double> perSecond;
    /// When the request was sent, and when the head of the response had arrived. The instance made
    /// the statement between the two.
    TimePoint sentAt {};
    TimePoint headAt {};
};

/// The limit of one instance according to the statements so far.
class StatedRateLimit {
public:
    /// Takes a statement into account. A newer one replaces what is known, an older one changes
    /// nothing. Of two whose order is unknown, because their requests overlapped, the stricter
    /// holds. Returns whether the limit changed.
    bool update(const RateLimitStatement& statement);

    /// Empty without a limit.
    const std::optional<double>& perSecond() const noexcept { return m_latest.perSecond; }
    /// The limit, with the times that a later statement is compared with.
    const RateLimitStatement& latest() const noexcept { return m_latest; }

private:
    RateLimitStatement m_latest;
};

/// A statement of one start of an instance.
struct InstanceRateLimit {
    InstanceId instance;
    std::uint64_t incarnation = 0;
    RateLimitStatement statement;
};

/// The limits of all instances according to the statements so far.
class StatedRateLimits {
public:
    /// Takes a statement into account. Those of an earlier start of the instance change nothing.
    /// Returns whether the instance's limit changed.
    bool update(const InstanceRateLimit& limit, TimePoint now);
    /// The instance is registered as this start; what another start said is void. Returns whether
    /// that ended a limit.
    bool onInstance(const InstanceId& id, std::uint64_t incarnation);
    /// Returns whether that ended a limit.
    bool remove(const InstanceId& id);
    void clear();

    /// Empty without a limit.
    std::optional<double> perSecond(const InstanceId& id) const;
    /// Number of instances with a limit.
    std::size_t limited() const noexcept { return m_limited; }
    /// The limits, and those that ended in the last minute.
    std::vector<InstanceRateLimit> statements() const;
    /// One of them; empty if there is none of the instance.
    std::optional<InstanceRateLimit> statement(const InstanceId& id) const;

private:
    struct Limit {
        std::uint64_t incarnation = 0;
        StatedRateLimit stated;
    };

    void eraseEnded(TimePoint now);

    std::map<InstanceId, Limit> m_limits;
    std::size_t m_limited = 0;
};

} // namespace laburnum
