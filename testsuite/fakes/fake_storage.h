/// Storage in memory whose writes and syncs can fail, tear, flip bits and get lost.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>

#include <laburnumroute/random.h>
#include <laburnumroute/storage.h>

namespace laburnum::fakes {

/// How far the last operation of a dying process gets.
enum class StopPoint { Before, Half, After };

/// Keeps for each file what is synced and what is not. crash() decides what of the rest survives.
/// Copyable: a copy is a backup.
class FakeStorage final : public Storage {
public:
    Expected<std::string> read(std::string_view name) override;
    Expected<void> append(std::string_view name, std::string_view bytes) override;
    Expected<void> sync(std::string_view name) override;
    Expected<void> replace(std::string_view name, std::string_view bytes) override;
    Expected<void> truncate(std::string_view name, std::uint64_t size) override;
    Expected<void> remove(std::string_view name) override;
    Expected<std::vector<std::string>> list() override;

    /// The next `count` appends and replaces fail, as on a full disk; an append leaves half its
    /// bytes.
    void failWrites(unsigned count) { m_failWrites = count; }
    /// The next `count` syncs fail; the bytes stay unsynced.
    void failSyncs(unsigned count) { m_failSyncs = count; }
    /// The process dies in its `operation`-th write operation from now on, 1 being the next one: it
    /// gets as far as `point`, and it and all later ones fail. Lasts until crash() or resume().
    void stopAt(unsigned operation, StopPoint point);
    /// Writes work again; as when a process dies and the machine does not.
    void resume() { m_stopAt = 0; }
    /// Calls `observer` before each write operation, with its name and the file's.
    using Observer = std::function<void(std::string_view operation, std::string_view name)>;
    void setObserver(Observer observer) { m_observer = std::move(observer); }
    /// True once the operation named by stopAt() was reached.
    bool stopped() const noexcept { return m_stopAt != 0 && m_operations >= m_stopAt; }
    /// Write operations so far: appends, syncs, replaces, truncates and removes.
    unsigned operations() const noexcept { return m_operations; }
    /// Mutation: syncs and replaces report success and make nothing durable.
    void ignoreSyncs(bool pretend) { m_pretendSyncs = pretend; }
    /// The process dies: of the unsynced bytes of each file a random prefix survives.
    void crash(Random& random);
    /// The process dies and all unsynced bytes are gone.
    void crash();
    /// The process dies: each sector of 512 unsynced bytes is written or zero, at random.
    void crashInSectors(Random& random);
    /// Flips bit `bit` of a byte. The file must be longer than `offset`.
    void flipBit(std::string_view name, std::size_t offset, unsigned bit = 0);
    /// The disk is replaced by an empty one.
    void eraseAll() { m_files.clear(); }
    /// Number of successful syncs and replaces so far.
    unsigned syncs() const noexcept { return m_syncs; }

private:
    struct File {
        std::string content;
        std::size_t synced = 0;
        /// What a crash brings back in place of a replace that was not durable.
        std::optional<std::string> before;
    };

    /// What the next write operation does.
    enum class Step { Run, Half, RunThenFail, Fail };

    bool takeWriteFailure();
    Step nextStep(std::string_view operation, std::string_view name);
    void dropUnsynced(File& file);

    std::map<std::string, File, std::less<>> m_files;
    unsigned m_failWrites = 0;
    unsigned m_failSyncs = 0;
    unsigned m_syncs = 0;
    unsigned m_operations = 0;
    unsigned m_stopAt = 0;
    StopPoint m_stopPoint = StopPoint::Before;
    bool m_pretendSyncs = false;
    Observer m_observer;
};

} // namespace laburnum::fakes
