/// Decides how long an entry host may rely on the account keys of its configuration.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include <laburnumroute/clock.h>

namespace laburnum {

/// The state machine of an entry host for requests that ask the leader to confirm that the host's
/// configuration is the newest. A confirmation is dated by when its request was sent: the reply may
/// have been delayed by any amount, so its time of arrival proves nothing.
///
/// Load pattern: one request per second from each host; leader changes and interrupted connections,
/// after which replies are missing or arrive late.
class KeyConfirmation {
public:
    /// Interval between requests. With a short validity it is 1/requestsPerValidity of that.
    static constexpr Duration requestInterval = std::chrono::milliseconds(1000);
    static constexpr int requestsPerValidity = 4;
    /// Share of the validity for which a confirmation is used; the rest covers differences between
    /// the clocks' rates and the time between the check and the request's dispatch.
    static constexpr double usableShare = 0.9;

    /// A change reported by update().
    enum class Change { None, Confirmed, Unconfirmed };

    /// Time for which a removed key may still be accepted. Zero switches the check off: keys are
    /// trusted without confirmation.
    explicit KeyConfirmation(Duration validity = {})
        : m_validity(validity)
    {
    }

    /// Whether the configuration has keys to confirm. Without them no requests are sent, and what
    /// was confirmed before is forgotten.
    void setRequired(bool required);
    bool isRequired() const noexcept { return m_required && m_validity > Duration::zero(); }

    /// A leader was joined; a request is due at once. Replies to requests to the previous leader
    /// are ignored from now on.
    void connect();
    /// There is no leader any more.
    void disconnect();
    /// The number of the request to send now, if one is due.
    std::optional<std::uint64_t> takeRequest(TimePoint now);
    /// The leader answered the request `number`, and this host holds the newest configuration that
    /// the leader sent before.
    void confirm(std::uint64_t number);

    /// Whether keys may be accepted at `now`.
    bool isTrusted(TimePoint now) const;
    /// No confirmation has arrived since keys need one; the first is expected within a round trip.
    bool isFirstPending() const noexcept { return isRequired() && !m_confirmedAt; }
    /// When the request of the latest confirmation was sent.
    std::optional<TimePoint> confirmedAt() const noexcept { return m_confirmedAt; }
    /// Reports each change of isTrusted() once, for logs. The state before the first confirmation
    /// is not reported.
    Change update(TimePoint now);

private:
    Duration m_validity;
    bool m_required = false;
    bool m_connected = false;
    /// Time of the next request; empty while one is due at once.
    std::optional<TimePoint> m_nextRequest;
    std::uint64_t m_lastNumber = 0;
    /// When the unanswered requests to the present leader were sent.
    std::map<std::uint64_t, TimePoint> m_sentAt;
    std::optional<TimePoint> m_confirmedAt;
    bool m_reportedTrusted = false;
};

} // namespace laburnum
