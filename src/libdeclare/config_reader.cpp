// Reads the declared configuration from TOML; see configuration.h.

#include "config_reader_pvt.h"

namespace laburnum {

Configuration readConfiguration(std::string_view text, const std::string& fileName,
    Findings& findings, const ConfigContext& context)
{
    Configuration configuration;
    const auto root = parseToml(text, fileName, findings);
    if (!root)
        return configuration;
    TableReader reader(*root, fileName, findings);
    auto services = readTables<pvt::LocatedService>(reader, "service", pvt::readService);
    auto routes = readTables<pvt::LocatedRoute>(reader, "route", pvt::readRoute);
    auto accounts = readTables<pvt::LocatedAccount>(reader, "account", pvt::readAccount);
    configuration.limits = pvt::readLimits(reader);
    reader.reportUnknownKeys();
    pvt::checkServices(services, routes, context, findings);
    pvt::checkRoutes(routes, services, findings);
    pvt::checkAccounts(accounts, findings);
    if (context.refusesAccounts)
        pvt::refuseAccounts(accounts, routes, findings);
    for (auto& service : services)
        configuration.services.push_back(std::move(service.spec));
    for (auto& route : routes)
        configuration.routes.push_back(std::move(route.spec));
    for (auto& account : accounts)
        configuration.accounts.push_back(std::move(account.spec));
    return configuration;
}

} // namespace laburnum
