#include <laburnumroute/configuration.h>

#include <sstream>

#include <toml.hpp>

namespace laburnum {

const char* weightingName(Weighting weighting) noexcept
{
    return weighting == Weighting::QuickDetection ? "quick-detection" : "few-false-ejections";
}

namespace {

    std::string quoted(const std::string& text) { return toml::format(toml::value(text)); }

    void printService(std::ostream& out, const ServiceSpec& service)
    {
        out << "[[service]]\n";
        out << "name = " << quoted(service.name.value()) << '\n';
        out << "floor_slots = " << service.floorSlots << '\n';
        out << "weighting = " << quoted(weightingName(service.weighting)) << '\n';
        out << "balancer = " << quoted(service.balancer) << '\n';
        out << "deadline_ms = " << toMillis(service.deadline) << '\n';
        out << "retry_percent = " << service.retryPercent << '\n';
        out << "queue_limit = " << service.queueLimit << "\n\n";
    }

    void printRoute(std::ostream& out, const RouteSpec& route)
    {
        out << "[[route]]\n";
        out << "host = " << quoted(route.host) << '\n';
        out << "prefix = " << quoted(route.prefix) << '\n';
        out << "methods = [";
        const char* separator = "";
        for (const auto& method : route.methods) {
            out << separator << quoted(method);
            separator = ", ";
        }
        out << "]\n";
        out << "service = " << quoted(route.service.value()) << "\n\n";
    }

} // namespace

std::string printConfiguration(const Configuration& configuration)
{
    std::ostringstream out;
    for (const auto& service : configuration.services)
        printService(out, service);
    for (const auto& route : configuration.routes)
        printRoute(out, route);
    return out.str();
}

} // namespace laburnum
