// Reads one [[service]] table; see config_reader_pvt.h.

#include "config_reader_pvt.h"

namespace laburnum::pvt {

namespace {

    constexpr std::int64_t maxSlots = 10'000'000;
    constexpr std::int64_t maxDeadlineMs = 3'600'000;
    constexpr std::int64_t maxPercent = 100;
    constexpr std::int64_t maxQueue = 1'000'000;

    DetectionWeighting readWeighting(TableReader& reader, const DetectionWeighting fallback)
    {
        const std::string name = reader.text("weighting", detectionWeightingName(fallback), false);
        for (const DetectionWeighting weighting :
            { DetectionWeighting::FewFalseEjections, DetectionWeighting::QuickDetection }) {
            if (name == detectionWeightingName(weighting))
                return weighting;
        }
        reader.errorAt("weighting",
            "unknown weighting '" + name + "'; known: few-false-ejections, quick-detection");
        return fallback;
    }

    std::uint32_t readFloor(TableReader& reader)
    {
        const auto floor = reader.integer("floor_slots", 0, 0, maxSlots);
        const toml::value* value = reader.find("floor_slots");
        if (!value || (value->is_integer() && value->as_integer() == 0))
            reader.findings().warning(reader.locationOfValue("floor_slots"),
                "a floor of 0: ejections may take the whole capacity of the service");
        return static_cast<std::uint32_t>(floor);
    }

    ServiceId readName(TableReader& reader)
    {
        const toml::value* value = reader.find("name");
        if (value && value->is_string() && value->as_string().str.empty())
            reader.errorAt("name", "'name' must not be empty");
        return ServiceId(reader.text("name", "", true));
    }

} // namespace

LocatedService readService(const toml::value& table, const std::string& file, Findings& findings)
{
    TableReader reader(table, file, findings);
    ServiceSpec spec;
    spec.name = readName(reader);
    spec.floorSlots = readFloor(reader);
    spec.weighting = readWeighting(reader, spec.weighting);
    spec.balancer = reader.text("balancer", spec.balancer, false);
    spec.deadline = std::chrono::milliseconds(
        reader.integer("deadline_ms", toMillis(spec.deadline), 1, maxDeadlineMs));
    spec.retryPercent = static_cast<std::uint32_t>(
        reader.integer("retry_percent", spec.retryPercent, 0, maxPercent));
    spec.queueLimit
        = static_cast<std::uint32_t>(reader.integer("queue_limit", spec.queueLimit, 0, maxQueue));
    reader.reportUnknownKeys();
    return { std::move(spec), reader.locationOfValue("name"), reader.locationOfValue("floor_slots"),
        reader.locationOfValue("balancer") };
}

} // namespace laburnum::pvt
