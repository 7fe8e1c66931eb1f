/// The stages of readConfiguration(): reading tables into specs with source locations, then checks
/// across tables.
#pragma once

#include <string_view>
#include <vector>

#include <laburnumroute/configuration.h>
#include <laburnumroute/toml_table.h>

namespace laburnum::pvt {

/// A service with the locations that findings about it refer to.
struct LocatedService {
    ServiceSpec spec;
    SourceLocation name;
    SourceLocation floor;
    SourceLocation balancer;
};

/// A route with the locations that findings about it refer to.
struct LocatedRoute {
    RouteSpec spec;
    SourceLocation table;
    SourceLocation service;
};

/// An account with the locations that findings about it refer to.
struct LocatedAccount {
    ClientAccountSpec spec;
    SourceLocation name;
    /// Of each of the spec's keys.
    std::vector<SourceLocation> keys;
};

/// Reads the table `[limits]` of `root`; returns the defaults when there is none.
CallerLimits readLimits(TableReader& root);

LocatedService readService(const toml::value& table, const std::string& file, Findings& findings);
LocatedRoute readRoute(const toml::value& table, const std::string& file, Findings& findings);
LocatedAccount readAccount(const toml::value& table, const std::string& file, Findings& findings);

/// Checks services against each other, the routes and `context`.
void checkServices(const std::vector<LocatedService>& services,
    const std::vector<LocatedRoute>& routes, const ConfigContext& context, Findings& findings);
/// Checks routes against each other and the services.
void checkRoutes(const std::vector<LocatedRoute>& routes,
    const std::vector<LocatedService>& services, Findings& findings);

/// Checks accounts against each other: names and keys belong to one account only.
void checkAccounts(const std::vector<LocatedAccount>& accounts, Findings& findings);
/// Reports every account and anonymous route, for a fleet that does not enforce them.
void refuseAccounts(const std::vector<LocatedAccount>& accounts,
    const std::vector<LocatedRoute>& routes, Findings& findings);

/// True for a method name by RFC 9110: one or more token characters.
bool isToken(std::string_view text) noexcept;
/// True for a DNS name, an IPv4 address or a bracketed IPv6 address, with or without a port.
bool isHostName(std::string_view text);
/// True for visible ASCII characters without `?` and `#`, starting with `/`.
bool isPathPrefix(std::string_view text) noexcept;
/// `text` with ASCII letters in upper case.
std::string upperCase(std::string_view text);

} // namespace laburnum::pvt
