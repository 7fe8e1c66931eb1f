#include <laburnumroute/route_table.h>

#include <algorithm>
#include <cctype>

namespace laburnum {

namespace {

    std::string normalizedHost(std::string_view host)
    {
        const auto bracket = host.rfind(']');
        const auto colon = host.rfind(':');
        const bool hasPort = colon != std::string_view::npos
            && (bracket == std::string_view::npos || colon > bracket);
        std::string result(host.substr(0, hasPort ? colon : host.size()));
        std::transform(result.begin(), result.end(), result.begin(),
            [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        return result;
    }

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
    for (const auto& route : routes)
        m_byHost[normalizedHost(route.host)].push_back(route);
    for (auto& [host, rules] : m_byHost)
        std::stable_sort(rules.begin(), rules.end(), goesBefore);
}

const RouteSpec* RouteTable::find(
    std::string_view method, std::string_view host, std::string_view target) const
{
    const std::string_view path = target.substr(0, target.find('?'));
    for (const std::string& key : { normalizedHost(host), std::string() }) {
        const auto found = m_byHost.find(key);
        if (found == m_byHost.end())
            continue;
        if (const RouteSpec* route = findIn(found->second, method, path))
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
