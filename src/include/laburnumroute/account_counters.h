/// Counters of an entry host about client accounts.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <laburnumroute/ids.h>

namespace laburnum {

/// Load pattern: thousands of accounts on each of a hundred hosts. Metrics name only the accounts
/// with most requests, so that their number of time series stays bounded.
class AccountCounters {
public:
    static constexpr std::size_t namedAccounts = 8;

    void countRequest(const ClientAccountId& account) { ++m_requests[account]; }
    void countKeyRefusal(const std::string& cause) { ++m_keyRefusals[cause]; }

    bool isEmpty() const noexcept { return m_requests.empty() && m_keyRefusals.empty(); }
    /// The accounts with most requests since the start, most first, equal ones by name. An account
    /// that enters or leaves this list moves its count from or to restCount().
    std::vector<std::pair<ClientAccountId, std::uint64_t>> busiest() const;
    /// Requests of all other accounts.
    std::uint64_t restCount() const;
    const std::map<std::string, std::uint64_t>& keyRefusals() const noexcept
    {
        return m_keyRefusals;
    }

private:
    std::map<ClientAccountId, std::uint64_t> m_requests;
    std::map<std::string, std::uint64_t> m_keyRefusals;
};

} // namespace laburnum
