/// The configuration version that a host keeps on its disk.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include <laburnumroute/config_ledger.h>
#include <laburnumroute/storage.h>

namespace laburnum {

/// What was found at the start.
struct StoredConfig {
    /// The version held; nothing when there is none or its file is damaged.
    std::optional<ConfigVersion> version;
    /// No version below this revision may come in force; survives damage of the version's file.
    Revision lowest;
    /// Damaged files, one message each.
    std::vector<std::string> problems;
};

/// Two checksummed files: the version, and the number of its revision. Not thread-safe.
class ConfigStore {
public:
    /// `storage` must outlive the store; null for a host without a disk, where nothing is kept.
    explicit ConfigStore(Storage* storage)
        : m_storage(storage)
    {
    }

    StoredConfig load() const;
    /// Keeps `version` durably. After a failure the version kept before is still there.
    Expected<void> save(const ConfigVersion& version);

private:
    Storage* m_storage;
};

} // namespace laburnum
