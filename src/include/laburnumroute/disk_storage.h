/// Storage on the file system, in one folder.
#pragma once

#include <memory>
#include <string>

#include <laburnumroute/storage.h>

namespace laburnum {

/// Opens (and creates) the data folder and takes its lock file. Conflict when another process holds
/// the lock; Io names the path that failed.
Expected<std::unique_ptr<Storage>> openDiskStorage(const std::string& folder);

} // namespace laburnum
