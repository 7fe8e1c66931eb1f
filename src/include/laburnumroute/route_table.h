/// Lookup table from requests to the declared routes.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <laburnumroute/configuration.h>
#include <laburnumroute/host_name.h>

namespace laburnum {

/// Immutable after construction; safe to read from any thread.
class RouteTable {
public:
    RouteTable() = default;
    explicit RouteTable(const std::vector<RouteSpec>& routes);

    /// Returns the route of a request, valid as long as the table, or null when none matches.
    /// `host` is as sent (see host_name.h); `target` may have a query. Precedence: the host with
    /// the request's port, or else the name without a port, before "every host"; then longer
    /// prefixes, then named methods before "every method".
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

    /// The routes that cover `host`, without those for every host; null when there are none.
    const Rules* rulesOf(const HostName& host) const;

    /// Hosts declared with a port. A host with the default port has the routes of its name, too.
    std::map<HostName, Rules> m_byHost;
    /// Hosts declared without a port; "every host" has an empty name.
    std::unordered_map<std::string, Rules> m_byName;
};

} // namespace laburnum
