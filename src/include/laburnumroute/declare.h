/// Library for operators' programs that declare services and routes in C++ and print them as TOML;
/// `laburnumctl apply` submits the result.
///
///     Deployment deployment("Night desk");
///     const ServiceId desk = deployment.addService({ ServiceId("desk"), 24 });
///     deployment.addRoute({ "desk.example", "/", {}, desk });
///     return deployment.print(std::cout, std::cerr);
#pragma once

#include <iosfwd>
#include <string>

#include <laburnumroute/configuration.h>

namespace laburnum {

/// Collects the services, routes and accounts of one configuration.
class Deployment {
public:
    /// `title` becomes the comment at the top of the file; it may have several lines.
    explicit Deployment(std::string title);

    /// Adds a service and returns its id, for its routes.
    ServiceId addService(ServiceSpec service);
    void addRoute(RouteSpec route);
    void addAccount(ClientAccountSpec account);

    const Configuration& configuration() const noexcept { return m_configuration; }
    /// The configuration as TOML.
    std::string text() const;
    /// Checks the configuration and writes it to `out`; findings go to `errors`. Returns the exit
    /// code for main(): 0, or 1 when the configuration has errors and nothing was written.
    int print(std::ostream& out, std::ostream& errors) const;

private:
    std::string m_title;
    Configuration m_configuration;
};

} // namespace laburnum
