#include <laburnumroute/key_confirmation.h>

#include <algorithm>

namespace laburnum {

void KeyConfirmation::setRequired(bool required)
{
    if (m_required == required)
        return;
    m_required = required;
    m_nextRequest.reset();
    m_sentAt.clear();
    m_confirmedAt.reset();
    m_reportedTrusted = false;
}

void KeyConfirmation::connect()
{
    m_connected = true;
    m_nextRequest.reset();
    m_sentAt.clear();
}

void KeyConfirmation::disconnect()
{
    m_connected = false;
    m_sentAt.clear();
}

std::optional<std::uint64_t> KeyConfirmation::takeRequest(TimePoint now)
{
    if (!isRequired() || !m_connected || (m_nextRequest && now < *m_nextRequest))
        return std::nullopt;
    m_nextRequest = now + std::min(requestInterval, m_validity / requestsPerValidity);
    m_sentAt[++m_lastNumber] = now;
    // A reply to an older request could not extend the trust.
    std::erase_if(m_sentAt, [&](const auto& sent) { return now - sent.second > m_validity; });
    return m_lastNumber;
}

void KeyConfirmation::confirm(std::uint64_t number)
{
    const auto found = m_sentAt.find(number);
    if (found == m_sentAt.end())
        return;
    m_confirmedAt = std::max(m_confirmedAt.value_or(found->second), found->second);
    m_sentAt.erase(m_sentAt.begin(), std::next(found));
}

bool KeyConfirmation::isTrusted(TimePoint now) const
{
    if (!isRequired())
        return true;
    return m_confirmedAt
        && now - *m_confirmedAt <= std::chrono::duration_cast<Duration>(m_validity * usableShare);
}

KeyConfirmation::Change KeyConfirmation::update(TimePoint now)
{
    const bool trusted = isTrusted(now);
    if (!isRequired() || isFirstPending() || trusted == m_reportedTrusted)
        return Change::None;
    m_reportedTrusted = trusted;
    return trusted ? Change::Confirmed : Change::Unconfirmed;
}

} // namespace laburnum
