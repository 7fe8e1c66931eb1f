#include <laburnumroute/route_table.h>

#include <algorithm>

namespace laburnum {

namespace {

    bool isPathPrefix(std::string_view prefix, std::string_view path)
    {
        if (!path.starts_with(prefix))
            return false;
        return prefix.ends_with('/') || path.size() == prefix.size() || path[prefix.size()] == '/';
    }

    bool goesBefore(const RouteSpec& a, const RouteSpec& b)
    {
        if (a.prefix.size() != b.prefix.size())
            return a.prefix.size() > b.prefix.size();
        return !a.methods.empty() && b.methods.empty();
    }

} // namespace

RouteTable::RouteTable(const std::vector<RouteSpec>& routes)
{
    for (const auto& route : routes) {
        const HostName host = parseHostName(route.host);
        if (host.hasPort)
            m_byHost[host].push_back(route);
        else
            m_byName[host.name].push_back(route);
    }
    for (auto& [host, rules] : m_byHost) {
        const auto sameHost = m_byName.find(host.name);
        if (host.port == defaultHttpPort && sameHost != m_byName.end())
            rules.insert(rules.end(), sameHost->second.begin(), sameHost->second.end());
        std::stable_sort(rules.begin(), rules.end(), goesBefore);
    }
    for (auto& [name, rules] : m_byName)
        std::stable_sort(rules.begin(), rules.end(), goesBefore);
}

const RouteTable::Rules* RouteTable::rulesOf(const HostName& host) const
{
    if (const auto found = m_byHost.find(host); found != m_byHost.end())
        return &found->second;
    const auto found = m_byName.find(host.name);
    return found == m_byName.end() ? nullptr : &found->second;
}

const RouteSpec* RouteTable::find(
    std::string_view method, std::string_view host, std::string_view target) const
{
    const std::string_view path = target.substr(0, target.find('?'));
    for (const HostName& key : { parseHostName(host), HostName() }) {
        const Rules* rules = rulesOf(key);
        if (rules == nullptr)
            continue;
        if (const RouteSpec* route = findIn(*rules, method, path))
            return route;
    }
    return nullptr;
}

std::optional<ServiceId> RouteTable::match(
    std::string_view method, std::string_view host, std::string_view target) const
{
    const RouteSpec* route = find(method, host, target);
    if (route == nullptr)
        return std::nullopt;
    std::uint64_t sum = 0;
    for (const auto& share : route->split)
        sum += share.weight;
    if (sum == 0)
        return route->service;
    std::uint64_t position = std::hash<std::string_view> {}(target) % sum;
    for (const auto& share : route->split) {
        if (position < share.weight)
            return share.service;
        position -= share.weight;
    }
    return route->split.back().service;
}

const RouteSpec* RouteTable::findIn(
    const Rules& rules, std::string_view method, std::string_view path)
{
    for (const auto& rule : rules) {
        const bool methodMatches = rule.methods.empty()
            || std::find(rule.methods.begin(), rule.methods.end(), method) != rule.methods.end();
        if (methodMatches && isPathPrefix(rule.prefix, path))
            return &rule;
    }
    return nullptr;
}

} // namespace laburnum
