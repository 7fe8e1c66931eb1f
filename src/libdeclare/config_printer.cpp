#include <laburnumroute/configuration.h>

#include <sstream>
#include <utility>

namespace laburnum {

const char* detectionWeightingName(DetectionWeighting weighting) noexcept
{
    return weighting == DetectionWeighting::QuickDetection ? "quick-detection"
                                                           : "few-false-ejections";
}

const char* requestKindName(RequestKind kind) noexcept
{
    switch (kind) {
    case RequestKind::ByMethod:
        return "by-method";
    case RequestKind::Safe:
        return "safe";
    case RequestKind::Unsafe:
        return "unsafe";
    case RequestKind::Upload:
        return "upload";
    }
    return "unknown";
}

namespace {

    /// `text` as a TOML basic string.
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

    void printTexts(std::ostream& out, const char* key, const std::vector<std::string>& texts)
    {
        out << key << " = [";
        const char* separator = "";
        for (const auto& text : texts) {
            out << separator << quoted(text);
            separator = ", ";
        }
        out << "]\n";
    }

    void printService(std::ostream& out, const ServiceSpec& service)
    {
        out << "[[service]]\n";
        out << "name = " << quoted(service.name.value()) << '\n';
        out << "floor_slots = " << service.floorSlots << '\n';
        out << "weighting = " << quoted(detectionWeightingName(service.weighting)) << '\n';
        out << "balancer = " << quoted(service.balancer) << '\n';
        out << "deadline_ms = " << toMillis(service.deadline) << '\n';
        out << "retry_percent = " << service.retryPercent << '\n';
        out << "queue_limit = " << service.queueLimit << '\n';
    }

    void printSplit(std::ostream& out, const std::vector<WeightedService>& split)
    {
        out << "split = [";
        const char* separator = "";
        for (const auto& share : split) {
            out << separator << "{ service = " << quoted(share.service.value())
                << ", weight = " << share.weight << " }";
            separator = ", ";
        }
        out << "]\n";
    }

    /// Prints the optional keys that differ from their defaults.
    void printOptionalKeys(std::ostream& out, const RouteSpec& route)
    {
        const RouteSpec defaults;
        if (!route.name.empty())
            out << "name = " << quoted(route.name) << '\n';
        if (route.kind != defaults.kind)
            out << "kind = " << quoted(requestKindName(route.kind)) << '\n';
        if (route.timeout != defaults.timeout)
            out << "timeout_ms = " << toMillis(route.timeout) << '\n';
        if (route.objective != defaults.objective)
            out << "objective_ms = " << toMillis(route.objective) << '\n';
        if (route.priority != defaults.priority)
            out << "priority = " << route.priority << '\n';
        if (route.attempts != defaults.attempts)
            out << "attempts = " << route.attempts << '\n';
        if (route.anonymous != defaults.anonymous)
            out << "anonymous = true\n";
    }

    void printLimits(std::ostream& out, const CallerLimits& limits)
    {
        out << "[limits]\n";
        out << "head_bytes = " << limits.headBytes << '\n';
        out << "body_bytes = " << limits.bodyBytes << '\n';
        out << "head_timeout_ms = " << toMillis(limits.headTimeout) << '\n';
        out << "idle_timeout_ms = " << toMillis(limits.idleTimeout) << '\n';
    }

    void printAccount(std::ostream& out, const ClientAccountSpec& account)
    {
        out << "[[account]]\n";
        out << "name = " << quoted(account.name.value()) << '\n';
        printTexts(out, "keys", account.keys);
        if (account.priority)
            out << "priority = " << *account.priority << '\n';
        if (account.ratePerSecond != 0)
            out << "rate_per_s = " << account.ratePerSecond << '\n';
        if (account.burst != 0)
            out << "burst = " << account.burst << '\n';
    }

    void printRoute(std::ostream& out, const RouteSpec& route)
    {
        out << "[[route]]\n";
        if (!route.host.empty())
            out << "host = " << quoted(route.host) << '\n';
        out << "prefix = " << quoted(route.prefix) << '\n';
        if (!route.methods.empty())
            printTexts(out, "methods", route.methods);
        if (route.split.empty())
            out << "service = " << quoted(route.service.value()) << '\n';
        else
            printSplit(out, route.split);
        printOptionalKeys(out, route);
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
    for (const auto& account : configuration.accounts) {
        out << std::exchange(separator, "\n");
        printAccount(out, account);
    }
    if (!(configuration.limits == CallerLimits())) {
        out << std::exchange(separator, "\n");
        printLimits(out, configuration.limits);
    }
    return out.str();
}

} // namespace laburnum
