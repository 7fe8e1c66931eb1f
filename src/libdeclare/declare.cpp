#include <laburnumroute/declare.h>

#include <cstdlib>
#include <ostream>
#include <sstream>

namespace laburnum {

Deployment::Deployment(std::string title)
    : m_title(std::move(title))
{
}

ServiceId Deployment::addService(ServiceSpec service)
{
    m_configuration.services.push_back(std::move(service));
    return m_configuration.services.back().name;
}

void Deployment::addRoute(RouteSpec route) { m_configuration.routes.push_back(std::move(route)); }

void Deployment::addAccount(ClientAccountSpec account)
{
    m_configuration.accounts.push_back(std::move(account));
}

std::string Deployment::text() const
{
    std::string result;
    std::istringstream title(m_title);
    for (std::string line; std::getline(title, line);)
        result += "# " + line + '\n';
    if (!result.empty())
        result += '\n';
    return result + printConfiguration(m_configuration);
}

int Deployment::print(std::ostream& out, std::ostream& errors) const
{
    const std::string content = text();
    Findings findings;
    readConfiguration(content, "configuration", findings);
    for (const auto& finding : findings.sorted())
        errors << formatFinding(finding) << '\n';
    if (findings.hasErrors())
        return EXIT_FAILURE;
    out << content;
    return EXIT_SUCCESS;
}

} // namespace laburnum
