// Reads the declared configuration from TOML; see configuration.h.

#include <laburnumroute/configuration.h>

#include <set>

#include <laburnumroute/toml_table.h>

namespace laburnum {

namespace {

    constexpr std::int64_t maxSlots = 10'000'000;
    constexpr std::int64_t maxDeadlineMs = 3'600'000;
    constexpr std::int64_t maxPercent = 100;
    constexpr std::int64_t maxQueue = 1'000'000;

    Weighting readWeighting(TableReader& reader, Findings& findings, const Weighting fallback)
    {
        const std::string name = reader.text("weighting", weightingName(fallback), false);
        for (const Weighting weighting :
            { Weighting::FewFalseEjections, Weighting::QuickDetection }) {
            if (name == weightingName(weighting))
                return weighting;
        }
        findings.error(reader.placeOf(*reader.find("weighting")),
            "unknown weighting '" + name + "'; known: few-false-ejections, quick-detection");
        return fallback;
    }

    ServiceSpec readService(const toml::value& table, const std::string& file, Findings& findings)
    {
        TableReader reader(table, file, findings);
        ServiceSpec spec;
        spec.name = ServiceId(reader.text("name", "", true));
        spec.floorSlots = static_cast<std::uint32_t>(reader.integer("floor_slots", 0, 0, maxSlots));
        spec.weighting = readWeighting(reader, findings, spec.weighting);
        spec.balancer = reader.text("balancer", spec.balancer, false);
        spec.deadline = std::chrono::milliseconds(
            reader.integer("deadline_ms", toMillis(spec.deadline), 1, maxDeadlineMs));
        spec.retryPercent = static_cast<std::uint32_t>(
            reader.integer("retry_percent", spec.retryPercent, 0, maxPercent));
        spec.queueLimit = static_cast<std::uint32_t>(
            reader.integer("queue_limit", spec.queueLimit, 0, maxQueue));
        reader.refuseUnknownKeys();
        return spec;
    }

    RouteSpec readRoute(const toml::value& table, const std::string& file, Findings& findings)
    {
        TableReader reader(table, file, findings);
        RouteSpec spec;
        spec.host = reader.text("host", "", false);
        spec.prefix = reader.text("prefix", "/", false);
        spec.methods = reader.texts("methods");
        spec.service = ServiceId(reader.text("service", "", true));
        reader.refuseUnknownKeys();
        return spec;
    }

    void checkReferences(
        const Configuration& configuration, const std::string& file, Findings& findings)
    {
        std::set<ServiceId> known;
        for (const auto& service : configuration.services) {
            if (!known.insert(service.name).second)
                findings.error(
                    { file, 0, 0 }, "service '" + service.name.value() + "' is declared twice");
        }
        for (const auto& route : configuration.routes) {
            if (!known.contains(route.service))
                findings.error({ file, 0, 0 },
                    "route '" + route.prefix + "' names unknown service '" + route.service.value()
                        + "'");
        }
    }

} // namespace

Configuration readConfiguration(
    std::string_view text, const std::string& fileName, Findings& findings)
{
    Configuration configuration;
    const auto root = parseToml(text, fileName, findings);
    if (!root)
        return configuration;
    TableReader reader(*root, fileName, findings);
    configuration.services = readTables<ServiceSpec>(reader, "service", readService);
    configuration.routes = readTables<RouteSpec>(reader, "route", readRoute);
    reader.refuseUnknownKeys();
    checkReferences(configuration, fileName, findings);
    return configuration;
}

} // namespace laburnum
