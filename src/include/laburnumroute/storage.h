/// Interface to durable storage: named files in one data folder, without subfolders. Appended bytes
/// are durable only after sync() succeeded. The implementation on disk is in libnet.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <laburnumroute/error.h>

namespace laburnum {

/// A folder of append-only or atomically replaced files. Calls block; not thread-safe. A failed
/// append or sync leaves the unsynced part of the file undefined.
class Storage {
public:
    virtual ~Storage() = default;

    /// The whole content of `name`; NotFound when it does not exist.
    virtual Expected<std::string> read(std::string_view name) = 0;
    /// Appends `bytes` to `name`, creating the file if needed. Not durable until sync().
    virtual Expected<void> append(std::string_view name, std::string_view bytes) = 0;
    /// Makes all earlier appends to `name` (and its directory entry) durable.
    virtual Expected<void> sync(std::string_view name) = 0;
    /// Replaces `name` by `bytes` atomically and durably.
    virtual Expected<void> replace(std::string_view name, std::string_view bytes) = 0;
    /// Truncates `name` to `size` bytes, durably.
    virtual Expected<void> truncate(std::string_view name, std::uint64_t size) = 0;
    /// Removes `name`, durably. Removing a missing file succeeds.
    virtual Expected<void> remove(std::string_view name) = 0;
    /// Names of all files, sorted.
    virtual Expected<std::vector<std::string>> list() = 0;
};

} // namespace laburnum
