#include <laburnumroute/rate_limit.h>

#include <algorithm>
#include <charconv>
#include <limits>

namespace laburnum {

namespace {

    /// Time for which the end of a limit is remembered, so that an older statement does not bring
    /// it back. Longer than a request takes.
    constexpr auto endedLimitLifetime = std::chrono::seconds(60);

    double strictness(const std::optional<double>& perSecond)
    {
        return perSecond.value_or(std::numeric_limits<double>::infinity());
    }

    bool isDigits(std::string_view text)
    {
        return std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
    }

} // namespace

std::optional<double> parseRateLimit(std::string_view text)
{
    const std::size_t point = text.find('.');
    const std::string_view whole = text.substr(0, point);
    const std::string_view fraction
        = point == std::string_view::npos ? std::string_view() : text.substr(point + 1);
    if (!isDigits(whole) || !isDigits(fraction) || whole.size() + fraction.size() == 0)
        return std::nullopt;
    double value = 0.0;
    const auto result
        = std::from_chars(text.data(), text.data() + text.size(), value, std::chars_format::fixed);
    // Only digits are left, so that a value out of range is too large or too small.
    if (result.ec == std::errc::result_out_of_range) {
        const bool isSmall
            = std::all_of(whole.begin(), whole.end(), [](char c) { return c == '0'; });
        return isSmall ? 0.0 : maxRateLimit;
    }
    if (result.ec != std::errc())
        return std::nullopt;
    return std::min(value, maxRateLimit);
}

bool StatedRateLimit::update(const RateLimitStatement& statement)
{
    const std::optional<double> before = m_latest.perSecond;
    if (statement.headAt <= m_latest.sentAt)
        return false;
    if (statement.sentAt >= m_latest.headAt) {
        m_latest = statement;
        return m_latest.perSecond != before;
    }
    // A looser statement must not move the times: under a constant overlap nothing would ever be
    // newer than the limit.
    if (strictness(statement.perSecond) > strictness(before))
        return false;
    m_latest.perSecond = statement.perSecond;
    m_latest.sentAt = std::max(m_latest.sentAt, statement.sentAt);
    m_latest.headAt = std::max(m_latest.headAt, statement.headAt);
    return m_latest.perSecond != before;
}

bool StatedRateLimits::update(const InstanceRateLimit& limit, TimePoint now)
{
    Limit& known = m_limits[limit.instance];
    const bool wasLimited = known.stated.perSecond().has_value();
    if (limit.incarnation > known.incarnation)
        known = { limit.incarnation, {} };
    const bool isChanged
        = limit.incarnation == known.incarnation && known.stated.update(limit.statement);
    const bool isLimited = known.stated.perSecond().has_value();
    if (isLimited && !wasLimited)
        ++m_limited;
    if (wasLimited && !isLimited)
        --m_limited;
    eraseEnded(now);
    return isChanged || wasLimited != isLimited;
}

void StatedRateLimits::eraseEnded(TimePoint now)
{
    std::erase_if(m_limits, [&](const auto& item) {
        const StatedRateLimit& stated = item.second.stated;
        return !stated.perSecond() && now - stated.latest().headAt > endedLimitLifetime;
    });
}

bool StatedRateLimits::onInstance(const InstanceId& id, std::uint64_t incarnation)
{
    const auto found = m_limits.find(id);
    return found != m_limits.end() && found->second.incarnation != incarnation && remove(id);
}

bool StatedRateLimits::remove(const InstanceId& id)
{
    const bool wasLimited = perSecond(id).has_value();
    m_limited -= wasLimited ? 1 : 0;
    m_limits.erase(id);
    return wasLimited;
}

void StatedRateLimits::clear()
{
    m_limits.clear();
    m_limited = 0;
}

std::optional<double> StatedRateLimits::perSecond(const InstanceId& id) const
{
    if (m_limited == 0)
        return std::nullopt;
    const auto found = m_limits.find(id);
    return found == m_limits.end() ? std::nullopt : found->second.stated.perSecond();
}

std::optional<InstanceRateLimit> StatedRateLimits::statement(const InstanceId& id) const
{
    const auto found = m_limits.find(id);
    if (found == m_limits.end())
        return std::nullopt;
    return InstanceRateLimit { id, found->second.incarnation, found->second.stated.latest() };
}

std::vector<InstanceRateLimit> StatedRateLimits::statements() const
{
    std::vector<InstanceRateLimit> result;
    result.reserve(m_limits.size());
    for (const auto& [id, limit] : m_limits)
        result.push_back({ id, limit.incarnation, limit.stated.latest() });
    return result;
}

} // namespace laburnum
