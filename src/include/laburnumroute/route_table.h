/// Lookup table from requests to the declared routes.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <laburnumroute/configuration.h>

namespace laburnum {

/// Immutable after construction; safe to read from any thread.
class RouteTable {
public:
    RouteTable() = default;
    explicit RouteTable(const std::vector<RouteSpec>& routes);

    /// Returns the route of a request, valid as long as the table, or null when none matches.
    /// `host` may have a port and any case; `target` may have a query. Precedence: named hosts
    /// before "every host", then longer prefixes, then named methods before "every method".
    const RouteSpec* find(
        std::string_view method, std::string_view host, std::string_view target) const;

    /// Returns the service of the route that find() returns. A split route is divided by the hash
    /// of `target`.
    std::optional<ServiceId> match(
        std::string_view method, std::string_view host, std::string_view target) const;

private:
    using Rules = std::vector<RouteSpec>;

    static const RouteSpec* findIn(
        const Rules& rules, std::string_view method, std::string_view path);

    std::unordered_map<std::string, Rules> m_byHost;
};

} // namespace laburnum
