// Checks across the tables of a configuration; see config_reader_pvt.h.

#include "config_reader_pvt.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include <laburnumroute/host_name.h>

namespace laburnum::pvt {

namespace {

    std::string lineOf(const SourceLocation& location)
    {
        return "line " + std::to_string(location.line);
    }

    std::string commaSeparated(const std::vector<std::string>& names)
    {
        std::string result;
        for (const auto& name : names)
            result += (result.empty() ? "" : ", ") + name;
        return result;
    }

    void checkUniqueNames(const std::vector<LocatedService>& services, Findings& findings)
    {
        std::map<ServiceId, SourceLocation> first;
        for (const auto& service : services) {
            const ServiceId& name = service.spec.name;
            if (name.value().empty())
                continue;
            const auto [known, inserted] = first.emplace(name, service.name);
            if (!inserted)
                findings.error(service.name,
                    "service '" + name.value() + "' is declared twice; first in "
                        + lineOf(known->second));
        }
    }

    void checkFloor(const LocatedService& service, const ConfigContext& context, Findings& findings)
    {
        const auto announced = context.announcedSlots.find(service.spec.name);
        if (announced != context.announcedSlots.end()
            && service.spec.floorSlots > announced->second)
            findings.warning(service.floor,
                "service '" + service.spec.name.value() + "' has a floor of "
                    + std::to_string(service.spec.floorSlots)
                    + " slots, but its instances announce " + std::to_string(announced->second)
                    + ": nothing can be ejected");
    }

    void checkBalancer(
        const LocatedService& service, const ConfigContext& context, Findings& findings)
    {
        const auto& known = context.balancers;
        if (!known.empty()
            && std::find(known.begin(), known.end(), service.spec.balancer) == known.end())
            findings.error(service.balancer,
                "unknown balancer '" + service.spec.balancer
                    + "'; known: " + commaSeparated(known));
    }

    /// A method that both routes match; `*` when both match every method.
    std::string commonMethod(const RouteSpec& a, const RouteSpec& b)
    {
        if (a.methods.empty() && b.methods.empty())
            return "*";
        for (const auto& method : a.methods) {
            if (std::find(b.methods.begin(), b.methods.end(), method) != b.methods.end())
                return method;
        }
        return {};
    }

    void checkOverlap(const LocatedRoute& earlier, const LocatedRoute& later, Findings& findings)
    {
        const std::string method = commonMethod(earlier.spec, later.spec);
        if (method.empty())
            return;
        const std::string what = method == "*" ? "every method" : "method '" + method + "'";
        findings.error(later.table,
            "route '" + later.spec.host + later.spec.prefix + "' takes " + what
                + " as the route in " + lineOf(earlier.table) + " already does");
    }

} // namespace

void checkServices(const std::vector<LocatedService>& services,
    const std::vector<LocatedRoute>& routes, const ConfigContext& context, Findings& findings)
{
    checkUniqueNames(services, findings);
    std::set<ServiceId> routed;
    for (const auto& route : routes) {
        routed.insert(route.spec.service);
        for (const auto& share : route.spec.split)
            routed.insert(share.service);
    }
    for (const auto& service : services) {
        checkFloor(service, context, findings);
        checkBalancer(service, context, findings);
        const ServiceId& name = service.spec.name;
        if (!name.value().empty() && !routed.contains(name))
            findings.warning(
                service.name, "service '" + name.value() + "' has no route: no request reaches it");
    }
}

void checkRoutes(const std::vector<LocatedRoute>& routes,
    const std::vector<LocatedService>& services, Findings& findings)
{
    std::set<ServiceId> known;
    for (const auto& service : services)
        known.insert(service.spec.name);
    std::map<std::pair<HostName, std::string>, std::vector<const LocatedRoute*>> byHostAndPrefix;
    for (const auto& route : routes) {
        const ServiceId& service = route.spec.service;
        if (!service.value().empty() && !known.contains(service))
            findings.error(route.service,
                "route '" + route.spec.prefix + "' names unknown service '" + service.value()
                    + "'");
        for (const auto& share : route.spec.split) {
            if (!share.service.value().empty() && !known.contains(share.service))
                findings.error(route.table,
                    "route '" + route.spec.prefix + "' names unknown service '"
                        + share.service.value() + "'");
        }
        auto& sameHostAndPrefix
            = byHostAndPrefix[{ parseHostName(route.spec.host), route.spec.prefix }];
        for (const LocatedRoute* earlier : sameHostAndPrefix)
            checkOverlap(*earlier, route, findings);
        sameHostAndPrefix.push_back(&route);
    }
}

} // namespace laburnum::pvt
