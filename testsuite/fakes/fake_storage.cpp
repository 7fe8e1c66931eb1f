#include "fakes/fake_storage.h"

#include <algorithm>

namespace laburnum::fakes {

namespace {

    constexpr std::size_t sectorSize = 512;

    tl::unexpected<Error> fileNotFound(std::string_view name)
    {
        return fail(ErrorCode::NotFound, "no file '" + std::string(name) + "'");
    }

    tl::unexpected<Error> processDead(std::string_view name)
    {
        return fail(ErrorCode::Io, "write '" + std::string(name) + "': the process is dead");
    }

} // namespace

bool FakeStorage::consumeWriteFailure()
{
    if (m_failWrites == 0)
        return false;
    --m_failWrites;
    return true;
}

void FakeStorage::stopAt(unsigned operation, StopPoint point)
{
    m_stopAt = m_operations + operation;
    m_stopPoint = point;
}

FakeStorage::WriteAction FakeStorage::nextWriteAction(
    std::string_view operation, std::string_view name)
{
    if (m_observer)
        m_observer(operation, name);
    ++m_operations;
    if (m_stopAt == 0 || m_operations < m_stopAt)
        return WriteAction::Run;
    if (m_operations > m_stopAt || m_stopPoint == StopPoint::Before)
        return WriteAction::Fail;
    return m_stopPoint == StopPoint::Half ? WriteAction::Half : WriteAction::RunThenFail;
}

Expected<std::string> FakeStorage::read(std::string_view name)
{
    const auto file = m_files.find(name);
    if (file == m_files.end())
        return fileNotFound(name);
    return file->second.content;
}

Expected<void> FakeStorage::append(std::string_view name, std::string_view bytes)
{
    const WriteAction action = nextWriteAction("append", name);
    if (action == WriteAction::Fail)
        return processDead(name);
    File& file = m_files[std::string(name)];
    if (action == WriteAction::Half || consumeWriteFailure()) {
        file.content += bytes.substr(0, bytes.size() / 2);
        return fail(ErrorCode::Io, "write '" + std::string(name) + "': disk full");
    }
    file.content += bytes;
    if (action == WriteAction::RunThenFail)
        return processDead(name);
    return {};
}

Expected<void> FakeStorage::sync(std::string_view name)
{
    const WriteAction action = nextWriteAction("sync", name);
    if (action == WriteAction::Fail || action == WriteAction::Half)
        return processDead(name);
    if (m_failSyncs > 0) {
        --m_failSyncs;
        return fail(ErrorCode::Io, "sync '" + std::string(name) + "': failed");
    }
    const auto file = m_files.find(name);
    if (file != m_files.end() && !m_ignoreSyncs) {
        file->second.synced = file->second.content.size();
        file->second.isNamed = true;
        file->second.before.reset();
    }
    ++m_syncs;
    if (action == WriteAction::RunThenFail)
        return processDead(name);
    return {};
}

Expected<void> FakeStorage::replace(std::string_view name, std::string_view bytes)
{
    const WriteAction action = nextWriteAction("replace", name);
    if (action == WriteAction::Fail || action == WriteAction::Half)
        return processDead(name);
    if (consumeWriteFailure())
        return fail(ErrorCode::Io, "write '" + std::string(name) + "': disk full");
    if (m_failSyncs > 0) {
        --m_failSyncs;
        return fail(ErrorCode::Io, "sync '" + std::string(name) + "': failed");
    }
    File& file = m_files[std::string(name)];
    if (m_ignoreSyncs && !file.before)
        file.before = file.content;
    file.content = bytes;
    file.synced = bytes.size();
    if (!m_ignoreSyncs) {
        file.before.reset();
        file.isNamed = true;
    }
    ++m_syncs;
    if (action == WriteAction::RunThenFail)
        return processDead(name);
    return {};
}

Expected<void> FakeStorage::truncate(std::string_view name, std::uint64_t size)
{
    const WriteAction action = nextWriteAction("truncate", name);
    if (action == WriteAction::Fail || action == WriteAction::Half)
        return processDead(name);
    const auto file = m_files.find(name);
    if (file == m_files.end())
        return fileNotFound(name);
    file->second.content.resize(size);
    file->second.synced = size;
    if (action == WriteAction::RunThenFail)
        return processDead(name);
    return {};
}

Expected<void> FakeStorage::remove(std::string_view name)
{
    const WriteAction action = nextWriteAction("remove", name);
    if (action == WriteAction::Fail || action == WriteAction::Half)
        return processDead(name);
    const auto file = m_files.find(name);
    if (file != m_files.end())
        m_files.erase(file);
    if (action == WriteAction::RunThenFail)
        return processDead(name);
    return {};
}

Expected<std::vector<std::string>> FakeStorage::list()
{
    std::vector<std::string> names;
    names.reserve(m_files.size());
    for (const auto& [name, file] : m_files)
        names.push_back(name);
    return names;
}

void FakeStorage::dropUnsynced(File& file)
{
    if (file.before) {
        file.content = *file.before;
        file.before.reset();
    }
    file.content.resize(std::min(file.synced, file.content.size()));
    file.synced = file.content.size();
}

void FakeStorage::dropNames(const std::function<bool()>& isLost)
{
    for (auto file = m_files.begin(); file != m_files.end();)
        file = !file->second.isNamed && isLost() ? m_files.erase(file) : std::next(file);
    for (auto& [name, file] : m_files)
        file.isNamed = true;
}

void FakeStorage::crash(Random& random)
{
    dropNames([&] { return uniformBelow(random, 2) == 0; });
    for (auto& [name, file] : m_files) {
        if (!file.before) {
            const std::size_t unsynced = file.content.size() - file.synced;
            file.synced += uniformBelow(random, unsynced + 1);
        }
        dropUnsynced(file);
    }
    resume();
}

void FakeStorage::crash()
{
    dropNames([] { return true; });
    for (auto& [name, file] : m_files)
        dropUnsynced(file);
    resume();
}

void FakeStorage::crashInSectors(Random& random)
{
    dropNames([&] { return uniformBelow(random, 2) == 0; });
    for (auto& [name, file] : m_files) {
        for (std::size_t at = file.synced; at < file.content.size();) {
            const std::size_t end
                = std::min((at / sectorSize + 1) * sectorSize, file.content.size());
            if (uniformBelow(random, 2) == 0)
                std::fill(file.content.begin() + static_cast<std::ptrdiff_t>(at),
                    file.content.begin() + static_cast<std::ptrdiff_t>(end), '\0');
            at = end;
        }
        file.synced = file.content.size();
    }
    resume();
}

void FakeStorage::flipBit(std::string_view name, std::size_t offset, unsigned bit)
{
    char& byte = m_files.find(name)->second.content.at(offset);
    byte = static_cast<char>(byte ^ (1 << bit));
}

} // namespace laburnum::fakes
