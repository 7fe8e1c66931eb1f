#include "seeded_settings.h"

#include <fstream>
#include <sstream>

namespace laburnum {

namespace {

    constexpr std::int64_t maxPort = 65535;
    constexpr double maxToleratedFailures = 16;
    constexpr double maxRetryRatio = 1'000;
    constexpr double maxRetrySlack = 1'000'000;
    constexpr double maxMemoryMib = 1'000'000'000;
    constexpr double maxBufferBytes = 1'000'000'000'000;
    constexpr double bytesPerMib = 1024.0 * 1024.0;
    constexpr double memoryDivisor = 4;
    constexpr double msPerSecond = 1000.0;

    struct DurationRange {
        Duration low;
        Duration high;
    };
    constexpr DurationRange graceRange { Duration::zero(), std::chrono::hours(24) };
    constexpr DurationRange retryWindowRange { std::chrono::milliseconds(1),
        std::chrono::hours(24 * 365) };
    constexpr DurationRange keyValidityRange { std::chrono::milliseconds(1),
        std::chrono::hours(24) };
    constexpr DurationRange delayRange { Duration::zero(), std::chrono::hours(24) };

    double toSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

    std::optional<Endpoint> readEndpoint(TableReader& reader, const std::string& key, bool required)
    {
        const std::string text = reader.text(key, "", required);
        if (text.empty()) {
            if (required && reader.has(key))
                reader.errorAt(key, "'" + key + "' must not be empty");
            return std::nullopt;
        }
        const auto endpoint = parseEndpoint(text);
        if (endpoint)
            return *endpoint;
        reader.errorAt(key, endpoint.error().message);
        return std::nullopt;
    }

    std::vector<Endpoint> readSeeds(TableReader& reader)
    {
        const auto peerPort = reader.integer("seed_peer_port", 0, 0, maxPort);
        std::vector<Endpoint> seeds;
        for (const auto& text : reader.texts("seeds")) {
            auto endpoint = parseEndpoint(text);
            if (!endpoint) {
                reader.errorAt("seeds", endpoint.error().message);
                continue;
            }
            if (peerPort != 0)
                endpoint->port = static_cast<std::uint16_t>(peerPort);
            seeds.push_back(*endpoint);
        }
        return seeds;
    }

    DataCentreMap readDataCentres(TableReader& reader)
    {
        DataCentreMap centres;
        const toml::value* table = reader.find("data_centres");
        if (table == nullptr)
            return centres;
        if (!table->is_table()) {
            reader.errorAt("data_centres", "must be a table that maps data centres to regions");
            return centres;
        }
        for (const auto& [name, region] : table->as_table()) {
            if (region.is_string())
                centres[DataCentreId(name)] = RegionId(region.as_string().str);
            else
                reader.findings().error(reader.locationOf(region), "a region must be a string");
        }
        return centres;
    }

    /// Reads the key `name` with the unit `_s` or `_ms`.
    Duration readDuration(
        TableReader& reader, const std::string& name, Duration fallback, const DurationRange& range)
    {
        const std::string seconds = name + "_s";
        const std::string millis = name + "_ms";
        const double unitsPerSecond = reader.has(seconds) ? 1.0 : msPerSecond;
        if (reader.has(seconds) && reader.has(millis))
            reader.warnAt(millis, "'" + seconds + "' is used in place of '" + millis + "'");
        const double number = reader.number(reader.has(seconds) ? seconds : millis,
            toSeconds(fallback) * unitsPerSecond, toSeconds(range.low) * unitsPerSecond,
            toSeconds(range.high) * unitsPerSecond);
        return std::chrono::round<std::chrono::microseconds>(
            std::chrono::duration<double>(number / unitsPerSecond));
    }

    /// A validity that cannot be read is the shortest one: removed keys must not stay valid.
    Duration readKeyValidity(TableReader& reader)
    {
        const bool isStated
            = reader.isStated("key_validity_s") || reader.isStated("key_validity_ms");
        return readDuration(reader, "key_validity",
            isStated ? keyValidityRange.low : Duration::zero(), keyValidityRange);
    }

    RetryBudgetLimits readRetryBudget(TableReader& reader)
    {
        RetryBudgetLimits limits;
        limits.ratio = reader.number("repeat_ratio", limits.ratio, 0.0, maxRetryRatio);
        limits.slack = reader.number("repeat_slack", limits.slack, 0.0, maxRetrySlack);
        limits.window = readDuration(reader, "repeat_window", limits.window, retryWindowRange);
        return limits;
    }

    /// `buffer_bytes`, or else a quarter of `memory_mb`, the memory limit of the host.
    std::size_t readBufferBytes(TableReader& reader, std::size_t fallback)
    {
        const double memoryMib = reader.number("memory_mb", 0, 0, maxMemoryMib);
        const double bytes = reader.number("buffer_bytes", 0, 0, maxBufferBytes);
        if (bytes > 0)
            return static_cast<std::size_t>(bytes);
        if (memoryMib > 0)
            return static_cast<std::size_t>(memoryMib * bytesPerMib / memoryDivisor);
        return fallback;
    }

} // namespace

SeededSettings readSeededSettings(TableReader& reader)
{
    SeededSettings settings;
    settings.location.host = HostId(reader.text("host", "", true));
    settings.location.dataCentre = DataCentreId(reader.text("data_centre", "", true));
    settings.location.region = RegionId(reader.text("region", "", true));
    settings.interface = reader.text("interface", "", true);
    if (!settings.interface.empty()
        && !ProtocolAdapterRegistry::instance().contains(settings.interface))
        reader.errorAt("interface", "unknown interface '" + settings.interface + "'");
    const std::string role = reader.text("role", "entry", false);
    if (role != "entry" && role != "control")
        reader.errorAt("role", "'role' must be entry or control");
    settings.control = role == "control";
    settings.entry = readEndpoint(reader, "entry", !settings.control);
    settings.readiness = readEndpoint(reader, "ready", false);
    settings.apiEndpoint = readEndpoint(reader, "calls", settings.control);
    settings.peer = readEndpoint(reader, "peer_address", settings.control);
    settings.metrics = readEndpoint(reader, "metrics", false);
    settings.seeds = readSeeds(reader);
    settings.firstStart = reader.flag("first_start", false);
    settings.dataFolder = reader.text("data_folder", "", settings.control);
    settings.dataCentres = readDataCentres(reader);
    settings.toleratedFailures = static_cast<unsigned>(
        reader.number("bear_losses", settings.toleratedFailures, 0, maxToleratedFailures));
    settings.retryBudget = readRetryBudget(reader);
    settings.spilloverFrom
        = readDuration(reader, "spillover_from", settings.spilloverFrom, delayRange);
    settings.stopGrace = readDuration(reader, "stop_grace", settings.stopGrace, graceRange);
    settings.keyValidity = readKeyValidity(reader);
    settings.bufferBytes = readBufferBytes(reader, settings.bufferBytes);
    settings.logFile = reader.text("log_file", "", false);
    reader.reportUnknownKeys();
    return settings;
}

std::optional<SeededSettings> readSeededFile(const std::string& path, Findings& findings)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        findings.error({ path }, "cannot be read");
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    const auto root = parseToml(text.str(), path, findings);
    if (!root || !root->is_table() || !root->contains("seeds"))
        return std::nullopt;
    TableReader reader(*root, path, findings);
    return readSeededSettings(reader);
}

} // namespace laburnum
