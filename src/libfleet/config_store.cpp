#include <laburnumroute/config_store.h>

#include <algorithm>

#include <laburnumroute/json.h>

#include "config_messages_pvt.h"
#include "hash_pvt.h"

namespace laburnum {

namespace {

    constexpr std::string_view versionFile = "config.version";
    constexpr std::string_view revisionFile = "config.revision";
    /// Format tag at the start of both files; changes with the file format.
    constexpr std::string_view formatTag = "laburnum-config-1";

    std::string withChecksum(const std::string& payload)
    {
        return std::string(formatTag) + ' ' + std::to_string(pvt::stableHash(payload)) + '\n'
            + payload;
    }

    /// Verifies the checksum of file `name` and parses its payload. Corrupt names the file.
    Expected<Json::Value> parseChecksummed(std::string_view name, const std::string& text)
    {
        const std::size_t lineEnd = text.find('\n');
        const std::string payload = lineEnd == std::string::npos ? "" : text.substr(lineEnd + 1);
        if (text != withChecksum(payload))
            return fail(ErrorCode::Corrupt, "file '" + std::string(name) + "': checksum mismatch");
        return parseJson(payload);
    }

    /// Reads one file; nullopt when it is missing or damaged. Damage is added to `errors`.
    std::optional<Json::Value> readChecksummed(
        Storage& storage, std::string_view name, std::vector<std::string>& errors)
    {
        const auto text = storage.read(name);
        if (!text) {
            if (text.error().code != ErrorCode::NotFound)
                errors.push_back(text.error().message);
            return std::nullopt;
        }
        auto value = parseChecksummed(name, *text);
        if (value)
            return *value;
        errors.push_back(value.error().message);
        return std::nullopt;
    }

} // namespace

StoredConfig ConfigStore::load() const
{
    StoredConfig found;
    if (!m_storage)
        return found;
    if (const auto value = readChecksummed(*m_storage, revisionFile, found.errors)) {
        if (const auto revision = unsignedMember(*value, "revision"))
            found.minRevision = Revision(*revision);
    }
    if (const auto value = readChecksummed(*m_storage, versionFile, found.errors)) {
        if (auto version = pvt::decodeVersion(*value);
            version && version->revision >= found.minRevision)
            found.version = std::move(*version);
    }
    if (found.version)
        found.minRevision = std::max(found.minRevision, found.version->revision);
    return found;
}

Expected<void> ConfigStore::save(const ConfigVersion& version)
{
    if (!m_storage)
        return {};
    const std::string content = toJsonText(pvt::encodeVersion(version));
    if (auto saved = m_storage->replace(versionFile, withChecksum(content)); !saved)
        return saved;
    Json::Value revision(Json::objectValue);
    revision["revision"] = Json::UInt64(version.revision.value());
    return m_storage->replace(revisionFile, withChecksum(toJsonText(revision)));
}

} // namespace laburnum
