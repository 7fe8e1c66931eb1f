/// Storage in memory whose writes and syncs can fail, tear, flip bits and get lost.
#pragma once

#include <map>
#include <string>

#include <laburnumroute/random.h>
#include <laburnumroute/storage.h>

namespace laburnum::fakes {

/// Keeps for each file what is synced and what is not. crash() decides what of the rest survives.
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
    /// The process dies: of the unsynced bytes of each file a random prefix survives.
    void crash(Random& random);
    /// The process dies and all unsynced bytes are gone.
    void crash();
    /// Flips one bit of a synced byte. The file must be longer than `offset`.
    void flipBit(std::string_view name, std::size_t offset);
    /// The disk is replaced by an empty one.
    void lose() { m_files.clear(); }
    /// Number of successful syncs and replaces so far.
    unsigned syncs() const noexcept { return m_syncs; }

private:
    struct File {
        std::string content;
        std::size_t synced = 0;
    };

    bool takeWriteFailure();

    std::map<std::string, File, std::less<>> m_files;
    unsigned m_failWrites = 0;
    unsigned m_failSyncs = 0;
    unsigned m_syncs = 0;
};

} // namespace laburnum::fakes
