/// The stages of readConfiguration(): tables become specs with places, then checks across tables.
#pragma once

#include <string_view>
#include <vector>

#include <laburnumroute/configuration.h>
#include <laburnumroute/toml_table.h>

namespace laburnum::pvt {

/// A service with the places that findings about it name.
struct PlacedService {
    ServiceSpec spec;
    SourceLocation name;
    SourceLocation floor;
    SourceLocation balancer;
};

/// A route with the places that findings about it name.
struct PlacedRoute {
    RouteSpec spec;
    SourceLocation table;
    SourceLocation service;
};

/// Reads the table `[limits]` of `root`; the defaults when there is none.
CallerLimits readLimits(TableReader& root);

PlacedService readService(const toml::value& table, const std::string& file, Findings& findings);
PlacedRoute readRoute(const toml::value& table, const std::string& file, Findings& findings);

/// Checks that need more than one table, or facts from `context`.
void checkServices(const std::vector<PlacedService>& services,
    const std::vector<PlacedRoute>& routes, const ConfigContext& context, Findings& findings);
void checkRoutes(const std::vector<PlacedRoute>& routes, const std::vector<PlacedService>& services,
    Findings& findings);

/// True for a method name by RFC 9110: one or more token characters.
bool isToken(std::string_view text) noexcept;
/// True for a DNS name, an IPv4 address or a bracketed IPv6 address, without a port.
bool isHostName(std::string_view text) noexcept;
/// True for visible ASCII characters without `?` and `#`, starting with `/`.
bool isPathPrefix(std::string_view text) noexcept;
/// `text` with ASCII letters in lower case.
std::string lowerCase(std::string_view text);
/// `text` with ASCII letters in upper case.
std::string upperCase(std::string_view text);

} // namespace laburnum::pvt
