#include <laburnumroute/account_counters.h>

#include <algorithm>

namespace laburnum {

std::vector<std::pair<ClientAccountId, std::uint64_t>> AccountCounters::busiest() const
{
    std::vector<std::pair<ClientAccountId, std::uint64_t>> counts(
        std::min(namedAccounts, m_requests.size()));
    std::partial_sort_copy(m_requests.begin(), m_requests.end(), counts.begin(), counts.end(),
        [](const auto& a, const auto& b) {
            return a.second != b.second ? a.second > b.second : a.first < b.first;
        });
    return counts;
}

std::uint64_t AccountCounters::restCount() const
{
    std::uint64_t count = 0;
    for (const auto& [account, requests] : m_requests)
        count += requests;
    for (const auto& [account, requests] : busiest())
        count -= requests;
    return count;
}

} // namespace laburnum
