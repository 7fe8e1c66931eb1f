#include "fakes/fake_storage.h"

namespace laburnum::fakes {

namespace {

    tl::unexpected<Error> missing(std::string_view name)
    {
        return fail(ErrorCode::NotFound, "no file '" + std::string(name) + "'");
    }

} // namespace

bool FakeStorage::takeWriteFailure()
{
    if (m_failWrites == 0)
        return false;
    --m_failWrites;
    return true;
}

Expected<std::string> FakeStorage::read(std::string_view name)
{
    const auto file = m_files.find(name);
    if (file == m_files.end())
        return missing(name);
    return file->second.content;
}

Expected<void> FakeStorage::append(std::string_view name, std::string_view bytes)
{
    File& file = m_files[std::string(name)];
    if (takeWriteFailure()) {
        file.content += bytes.substr(0, bytes.size() / 2);
        return fail(ErrorCode::Io, "write '" + std::string(name) + "': disk full");
    }
    file.content += bytes;
    return {};
}

Expected<void> FakeStorage::sync(std::string_view name)
{
    if (m_failSyncs > 0) {
        --m_failSyncs;
        return fail(ErrorCode::Io, "sync '" + std::string(name) + "': failed");
    }
    const auto file = m_files.find(name);
    if (file != m_files.end())
        file->second.synced = file->second.content.size();
    ++m_syncs;
    return {};
}

Expected<void> FakeStorage::replace(std::string_view name, std::string_view bytes)
{
    if (takeWriteFailure())
        return fail(ErrorCode::Io, "write '" + std::string(name) + "': disk full");
    m_files[std::string(name)] = { std::string(bytes), bytes.size() };
    ++m_syncs;
    return {};
}

Expected<void> FakeStorage::truncate(std::string_view name, std::uint64_t size)
{
    const auto file = m_files.find(name);
    if (file == m_files.end())
        return missing(name);
    file->second.content.resize(size);
    file->second.synced = size;
    return {};
}

Expected<void> FakeStorage::remove(std::string_view name)
{
    const auto file = m_files.find(name);
    if (file != m_files.end())
        m_files.erase(file);
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

void FakeStorage::crash(Random& random)
{
    for (auto& [name, file] : m_files) {
        const std::size_t unsynced = file.content.size() - file.synced;
        file.content.resize(file.synced + uniformBelow(random, unsynced + 1));
        file.synced = file.content.size();
    }
}

void FakeStorage::crash()
{
    for (auto& [name, file] : m_files)
        file.content.resize(file.synced);
}

void FakeStorage::flipBit(std::string_view name, std::size_t offset)
{
    m_files.find(name)->second.content.at(offset) ^= 1;
}

} // namespace laburnum::fakes
