/// In-memory storage with failing writes and syncs, torn writes, flipped bits and lost data.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>

#include <laburnumroute/random.h>
#include <laburnumroute/storage.h>

namespace laburnum::fakes {

/// How much of the last operation of a killed process is carried out.
enum class StopPoint { Before, Half, After };

/// Tracks for each file which bytes are synced; crash() decides which of the others survive, and
/// whether a file whose name was never synced does. Copyable: a copy serves as a backup.
class FakeStorage final : public Storage {
public:
    Expected<std::string> read(std::string_view name) override;
    Expected<void> append(std::string_view name, std::string_view bytes) override;
    Expected<void> sync(std::string_view name) override;
    Expected<void> replace(std::string_view name, std::string_view bytes) override;
    Expected<void> truncate(std::string_view name, std::uint64_t size) override;
    Expected<void> remove(std::string_view name) override;
    Expected<std::vector<std::string>> list() override;

    /// Makes the next `count` appends and replaces fail, as on a full disk. A failed append writes
    /// half of its bytes.
    void failWrites(unsigned count) { m_failWrites = count; }
    /// Makes the next `count` syncs fail; the bytes remain unsynced.
    void failSyncs(unsigned count) { m_failSyncs = count; }
    /// Kills the process in its `operation`-th write operation from now on, 1 being the next one.
    /// That operation is carried out up to `point`; it and all subsequent ones fail until crash()
    /// or resume().
    void stopAt(unsigned operation, StopPoint point);
    /// Lets writes succeed again without losing data, as when the process is killed but the machine
    /// keeps running.
    void resume() { m_stopAt = 0; }
    /// Calls `observer` before each write operation with the names of the operation and the file.
    using Observer = std::function<void(std::string_view operation, std::string_view name)>;
    void setObserver(Observer observer) { m_observer = std::move(observer); }
    /// True once the operation set by stopAt() has been reached.
    bool stopped() const noexcept { return m_stopAt != 0 && m_operations >= m_stopAt; }
    /// Number of write operations so far: appends, syncs, replaces, truncates and removes.
    unsigned operations() const noexcept { return m_operations; }
    /// Mutation: syncs and replaces report success without making anything durable.
    void ignoreSyncs(bool ignore) { m_ignoreSyncs = ignore; }
    /// Crash after which a random prefix of the unsynced bytes of each file survives. Each unsynced
    /// name is kept or lost at random.
    void crash(Random& random);
    /// Crash that loses all unsynced bytes and names.
    void crash();
    /// Crash after which each 512-byte sector of unsynced data is, at random, written or zero. Each
    /// unsynced name is kept or lost at random.
    void crashInSectors(Random& random);
    /// Flips one bit of the byte at `offset`. The file must be longer than `offset`.
    void flipBit(std::string_view name, std::size_t offset, unsigned bit = 0);
    /// Replaces the disk by an empty one.
    void eraseAll() { m_files.clear(); }
    /// Number of successful syncs and replaces so far.
    unsigned syncs() const noexcept { return m_syncs; }

private:
    struct File {
        std::string content;
        std::size_t synced = 0;
        /// The folder has been synced since the file was created.
        bool isNamed = false;
        /// Content that a crash restores if a replace was not durable.
        std::optional<std::string> before;
    };

    /// How far the next write operation is carried out.
    enum class WriteAction { Run, Half, RunThenFail, Fail };

    bool consumeWriteFailure();
    WriteAction nextWriteAction(std::string_view operation, std::string_view name);
    void dropUnsynced(File& file);
    /// Drops the files whose names a crash loses.
    void dropNames(const std::function<bool()>& isLost);

    std::map<std::string, File, std::less<>> m_files;
    unsigned m_failWrites = 0;
    unsigned m_failSyncs = 0;
    unsigned m_syncs = 0;
    unsigned m_operations = 0;
    unsigned m_stopAt = 0;
    StopPoint m_stopPoint = StopPoint::Before;
    bool m_ignoreSyncs = false;
    Observer m_observer;
};

} // namespace laburnum::fakes
