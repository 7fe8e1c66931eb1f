#include <laburnumroute/config_store.h>

#include <algorithm>

#include <laburnumroute/json.h>

#include "config_messages_pvt.h"
#include "hash_pvt.h"

namespace laburnum {

namespace {

    constexpr std::string_view versionFile = "config.version";
    constexpr std::string_view revisionFile = "config.revision";
    /// First word of both files; changes with their format.
    constexpr std::string_view formatMark = "laburnum-config-1";

    std::string seal(const std::string& payload)
    {
        return std::string(formatMark) + ' ' + std::to_string(pvt::stableHash(payload)) + '\n'
            + payload;
    }

    /// The payload of a sealed file; Corrupt names the file.
    Expected<Json::Value> unseal(std::string_view name, const std::string& text)
    {
        const std::size_t lineEnd = text.find('\n');
        const std::string payload = lineEnd == std::string::npos ? "" : text.substr(lineEnd + 1);
        if (text != seal(payload))
            return fail(ErrorCode::Corrupt, "file '" + std::string(name) + "': wrong checksum");
        return parseJson(payload);
    }

    /// Reads one file; nothing when it is missing or damaged, the latter with a problem.
    std::optional<Json::Value> readSealed(
        Storage& storage, std::string_view name, std::vector<std::string>& problems)
    {
        const auto text = storage.read(name);
        if (!text) {
            if (text.error().code != ErrorCode::NotFound)
                problems.push_back(text.error().message);
            return std::nullopt;
        }
        auto value = unseal(name, *text);
        if (value)
            return *value;
        problems.push_back(value.error().message);
        return std::nullopt;
    }

} // namespace

StoredConfig ConfigStore::load() const
{
    StoredConfig found;
    if (!m_storage)
        return found;
    if (const auto value = readSealed(*m_storage, revisionFile, found.problems)) {
        if (const auto revision = unsignedMember(*value, "revision"))
            found.lowest = Revision(*revision);
    }
    if (const auto value = readSealed(*m_storage, versionFile, found.problems)) {
        if (auto version = pvt::decodeVersion(*value); version && version->revision >= found.lowest)
            found.version = std::move(*version);
    }
    if (found.version)
        found.lowest = std::max(found.lowest, found.version->revision);
    return found;
}

Expected<void> ConfigStore::save(const ConfigVersion& version)
{
    if (!m_storage)
        return {};
    const std::string content = toJsonText(pvt::encodeVersion(version));
    if (auto saved = m_storage->replace(versionFile, seal(content)); !saved)
        return saved;
    Json::Value revision(Json::objectValue);
    revision["revision"] = Json::UInt64(version.revision.value());
    return m_storage->replace(revisionFile, seal(toJsonText(revision)));
}

} // namespace laburnum
