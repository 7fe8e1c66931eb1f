#include <laburnumroute/configuration.h>

#include <sstream>
#include <utility>

namespace laburnum {

const char* weightingName(Weighting weighting) noexcept
{
    return weighting == Weighting::QuickDetection ? "quick-detection" : "few-false-ejections";
}

namespace {

    /// `text` as a basic string of TOML.
    std::string quoted(std::string_view text)
    {
        constexpr std::string_view hexDigits = "0123456789ABCDEF";
        constexpr unsigned char deleteCharacter = 0x7f;
        std::string result = "\"";
        for (const char c : text) {
            const auto byte = static_cast<unsigned char>(c);
            if (byte < ' ' || byte == deleteCharacter) {
                result += "\\u00";
                result += hexDigits[byte >> 4];
                result += hexDigits[byte & 0xf];
                continue;
            }
            if (c == '"' || c == '\\')
                result += '\\';
            result += c;
        }
        return result + '"';
    }

    void printMethods(std::ostream& out, const std::vector<std::string>& methods)
    {
        out << "methods = [";
        const char* separator = "";
        for (const auto& method : methods) {
            out << separator << quoted(method);
            separator = ", ";
        }
        out << "]\n";
    }

    void printService(std::ostream& out, const ServiceSpec& service)
    {
        out << "[[service]]\n";
        out << "name = " << quoted(service.name.value()) << '\n';
        out << "floor_slots = " << service.floorSlots << '\n';
        out << "weighting = " << quoted(weightingName(service.weighting)) << '\n';
        out << "balancer = " << quoted(service.balancer) << '\n';
        out << "deadline_ms = " << toMillis(service.deadline) << '\n';
        out << "retry_percent = " << service.retryPercent << '\n';
        out << "queue_limit = " << service.queueLimit << '\n';
    }

    void printRoute(std::ostream& out, const RouteSpec& route)
    {
        out << "[[route]]\n";
        if (!route.host.empty())
            out << "host = " << quoted(route.host) << '\n';
        out << "prefix = " << quoted(route.prefix) << '\n';
        if (!route.methods.empty())
            printMethods(out, route.methods);
        out << "service = " << quoted(route.service.value()) << '\n';
    }

} // namespace

std::string printConfiguration(const Configuration& configuration)
{
    std::ostringstream out;
    const char* separator = "";
    for (const auto& service : configuration.services) {
        out << std::exchange(separator, "\n");
        printService(out, service);
    }
    for (const auto& route : configuration.routes) {
        out << std::exchange(separator, "\n");
        printRoute(out, route);
    }
    return out.str();
}

} // namespace laburnum
