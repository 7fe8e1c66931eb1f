/// The declared routes as a lookup table from request to service.
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

    /// The route of a request, or null when none matches; lives as long as the table. `host` may
    /// carry a port and any case; `target` may carry a query. A named host goes before "every
    /// host", a longer prefix before a shorter one, named methods before "every method".
    const RouteSpec* find(
        std::string_view method, std::string_view host, std::string_view target) const;

    /// The service of the route that find() gives; of a split one, the part that the target's hash
    /// falls to.
    std::optional<ServiceId> match(
        std::string_view method, std::string_view host, std::string_view target) const;

private:
    using Rules = std::vector<RouteSpec>;

    static const RouteSpec* findIn(
        const Rules& rules, std::string_view method, std::string_view path);

    std::unordered_map<std::string, Rules> m_byHost;
};

} // namespace laburnum
