#include "settings.h"

#include <laburnumroute/toml_table.h>

namespace laburnum {

namespace {

    constexpr std::int64_t maxWorkers = 256;

    Endpoint readEndpoint(TableReader& reader, const std::string& key)
    {
        const std::string text = reader.text(key, "", true);
        if (text.empty())
            return {};
        const auto endpoint = parseEndpoint(text);
        if (endpoint)
            return *endpoint;
        reader.errorAt(key, endpoint.error().message);
        return {};
    }

    bool readRole(TableReader& reader)
    {
        const std::string role = reader.text("role", "entry", false);
        if (role != "entry" && role != "control")
            reader.errorAt("role", "'role' must be entry or control");
        return role == "control";
    }

    HostLocation readLocation(TableReader& reader)
    {
        HostLocation location;
        location.host = HostId(reader.text("host", "", true));
        location.dataCentre = DataCentreId(reader.text("data_centre", "", true));
        location.region = RegionId(reader.text("region", "", true));
        return location;
    }

    PeerSettings readPeer(const toml::value& table, const std::string& file, Findings& findings)
    {
        TableReader reader(table, file, findings);
        PeerSettings peer;
        peer.location = readLocation(reader);
        peer.endpoint = readEndpoint(reader, "address");
        peer.control = readRole(reader);
        peer.claims = reader.flag("claims", false);
        reader.reportUnknownKeys();
        return peer;
    }

} // namespace

Settings readSettings(std::string_view text, const std::string& fileName, Findings& findings)
{
    Settings settings;
    const auto root = parseToml(text, fileName, findings);
    if (!root)
        return settings;
    TableReader reader(*root, fileName, findings);
    settings.location = readLocation(reader);
    settings.control = readRole(reader);
    if (reader.has("entry"))
        settings.entry = readEndpoint(reader, "entry");
    settings.admin = readEndpoint(reader, "admin");
    settings.peer = readEndpoint(reader, "peer_address");
    settings.claims = reader.flag("claims", false);
    settings.dataFolder = reader.text("data_folder", "", settings.control || settings.claims);
    settings.keyFile = reader.text("key_file", "", false);
    if (reader.has("operators"))
        settings.operators = readEndpoint(reader, "operators");
    settings.logFile = reader.text("log_file", "", false);
    settings.workers
        = static_cast<unsigned>(reader.integer("workers", settings.workers, 1, maxWorkers));
    settings.peers = readTables<PeerSettings>(reader, "peer", readPeer);
    reader.reportUnknownKeys();
    return settings;
}

} // namespace laburnum
