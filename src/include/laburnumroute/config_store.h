/// Durable storage of a host's configuration version.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include <laburnumroute/config_ledger.h>
#include <laburnumroute/storage.h>

namespace laburnum {

/// Result of loading the stored configuration.
struct StoredConfig {
    /// The stored version; nullopt when there is none or its file is damaged.
    std::optional<ConfigVersion> version;
    /// No version below this revision may become active. Kept in a file of its own, so that it
    /// survives damage to the version's file.
    Revision minRevision;
    /// One error message per damaged file.
    std::vector<std::string> errors;
};

/// Stores the version and its revision number in two checksummed files. Not thread-safe.
class ConfigStore {
public:
    /// `storage` must outlive the store; null on a host without a disk, where nothing is stored.
    explicit ConfigStore(Storage* storage)
        : m_storage(storage)
    {
    }

    StoredConfig load() const;
    /// Stores `version` durably. On failure the previously stored version is preserved.
    Expected<void> save(const ConfigVersion& version);

private:
    Storage* m_storage;
};

} // namespace laburnum
