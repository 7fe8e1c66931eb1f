/// Storage implementation that keeps its files in one folder of the file system.
#pragma once

#include <memory>
#include <string>

#include <laburnumroute/storage.h>

namespace laburnum {

/// Opens the data folder, creating it if needed, and locks its lock file. Fails with Conflict when
/// another process holds the lock, and with Io, naming the path, when a file operation fails.
Expected<std::unique_ptr<Storage>> openDiskStorage(const std::string& folder);

} // namespace laburnum
