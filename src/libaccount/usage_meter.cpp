#include <laburnumroute/usage_meter.h>

#include <algorithm>

namespace laburnum {

namespace {

    std::string escapeLabel(const std::string& value)
    {
        std::string out;
        for (const char c : value) {
            if (c == '\n') {
                out += "\\n";
                continue;
            }
            if (c == '\\' || c == '"')
                out += '\\';
            out += c;
        }
        return out;
    }

    void addCounter(std::string& text, const std::string& labels, std::uint64_t value)
    {
        text += "laburnum_cap_requests_total{" + labels + "} " + std::to_string(value) + '\n';
    }

} // namespace

void UsageMeter::onRefused(const ClientAccountId& account, Duration retryAfter, TimePoint now)
{
    ++m_counts[account].refused;
    const auto found = m_episodes.find(account);
    if (found != m_episodes.end()) {
        found->second.latest = now;
        ++found->second.refusals;
        return;
    }
    if (m_episodes.size() >= loggedAccounts)
        return;
    m_episodes[account] = { now, now, 1 };
    Decision decision { "cap", "refusing" };
    decision.facts["account"] = account.value();
    decision.facts["retry_after_ms"] = Json::Int64(toMillis(retryAfter));
    m_decisions.push_back(std::move(decision));
}

std::vector<Decision> UsageMeter::takeDecisions(TimePoint now)
{
    for (auto episode = m_episodes.begin(); episode != m_episodes.end();) {
        if (now - episode->second.latest < quietTime) {
            ++episode;
            continue;
        }
        Decision decision { "cap", "ended" };
        decision.facts["account"] = episode->first.value();
        decision.facts["refused"] = Json::UInt64(episode->second.refusals);
        decision.facts["ms"]
            = Json::Int64(toMillis(episode->second.latest - episode->second.since));
        m_decisions.push_back(std::move(decision));
        episode = m_episodes.erase(episode);
    }
    return std::exchange(m_decisions, {});
}

std::uint64_t UsageMeter::accepted(const ClientAccountId& account) const
{
    const auto found = m_counts.find(account);
    return found == m_counts.end() ? 0 : found->second.accepted;
}

std::uint64_t UsageMeter::refused(const ClientAccountId& account) const
{
    const auto found = m_counts.find(account);
    return found == m_counts.end() ? 0 : found->second.refused;
}

std::string UsageMeter::render() const
{
    if (m_counts.empty())
        return {};
    std::vector<std::pair<ClientAccountId, Counts>> accounts(m_counts.begin(), m_counts.end());
    std::stable_sort(accounts.begin(), accounts.end(),
        [](const auto& a, const auto& b) { return a.second.refused > b.second.refused; });
    std::string text = "# TYPE laburnum_cap_requests_total counter\n";
    Counts rest;
    for (std::size_t i = 0; i < accounts.size(); ++i) {
        const auto& [account, counts] = accounts[i];
        if (i >= namedAccounts || counts.refused == 0) {
            rest.accepted += counts.accepted;
            rest.refused += counts.refused;
            continue;
        }
        const std::string label = "account=\"" + escapeLabel(account.value()) + "\",result=";
        addCounter(text, label + "\"accepted\"", counts.accepted);
        addCounter(text, label + "\"refused\"", counts.refused);
    }
    // Without the label `account`: any name may be that of an account.
    addCounter(text, "result=\"accepted\"", rest.accepted);
    addCounter(text, "result=\"refused\"", rest.refused);
    return text;
}

} // namespace laburnum
