#include "fakes/fake_storage.h"

#include <algorithm>

namespace laburnum::fakes {

namespace {

    constexpr std::size_t sectorSize = 512;

    tl::unexpected<Error> missing(std::string_view name)
    {
        return fail(ErrorCode::NotFound, "no file '" + std::string(name) + "'");
    }

    tl::unexpected<Error> dead(std::string_view name)
    {
        return fail(ErrorCode::Io, "write '" + std::string(name) + "': the process is dead");
    }

} // namespace

bool FakeStorage::takeWriteFailure()
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

FakeStorage::Step FakeStorage::nextStep(std::string_view operation, std::string_view name)
{
    if (m_observer)
        m_observer(operation, name);
    ++m_operations;
    if (m_stopAt == 0 || m_operations < m_stopAt)
        return Step::Run;
    if (m_operations > m_stopAt || m_stopPoint == StopPoint::Before)
        return Step::Fail;
    return m_stopPoint == StopPoint::Half ? Step::Half : Step::RunThenFail;
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
    const Step step = nextStep("append", name);
    if (step == Step::Fail)
        return dead(name);
    File& file = m_files[std::string(name)];
    if (step == Step::Half || takeWriteFailure()) {
        file.content += bytes.substr(0, bytes.size() / 2);
        return fail(ErrorCode::Io, "write '" + std::string(name) + "': disk full");
    }
    file.content += bytes;
    if (step == Step::RunThenFail)
        return dead(name);
    return {};
}

Expected<void> FakeStorage::sync(std::string_view name)
{
    const Step step = nextStep("sync", name);
    if (step == Step::Fail || step == Step::Half)
        return dead(name);
    if (m_failSyncs > 0) {
        --m_failSyncs;
        return fail(ErrorCode::Io, "sync '" + std::string(name) + "': failed");
    }
    const auto file = m_files.find(name);
    if (file != m_files.end() && !m_pretendSyncs) {
        file->second.synced = file->second.content.size();
        file->second.before.reset();
    }
    ++m_syncs;
    if (step == Step::RunThenFail)
        return dead(name);
    return {};
}

Expected<void> FakeStorage::replace(std::string_view name, std::string_view bytes)
{
    const Step step = nextStep("replace", name);
    if (step == Step::Fail || step == Step::Half)
        return dead(name);
    if (takeWriteFailure())
        return fail(ErrorCode::Io, "write '" + std::string(name) + "': disk full");
    if (m_failSyncs > 0) {
        --m_failSyncs;
        return fail(ErrorCode::Io, "sync '" + std::string(name) + "': failed");
    }
    File& file = m_files[std::string(name)];
    if (m_pretendSyncs && !file.before)
        file.before = file.content;
    file.content = bytes;
    file.synced = bytes.size();
    if (!m_pretendSyncs)
        file.before.reset();
    ++m_syncs;
    if (step == Step::RunThenFail)
        return dead(name);
    return {};
}

Expected<void> FakeStorage::truncate(std::string_view name, std::uint64_t size)
{
    const Step step = nextStep("truncate", name);
    if (step == Step::Fail || step == Step::Half)
        return dead(name);
    const auto file = m_files.find(name);
    if (file == m_files.end())
        return missing(name);
    file->second.content.resize(size);
    file->second.synced = size;
    if (step == Step::RunThenFail)
        return dead(name);
    return {};
}

Expected<void> FakeStorage::remove(std::string_view name)
{
    const Step step = nextStep("remove", name);
    if (step == Step::Fail || step == Step::Half)
        return dead(name);
    const auto file = m_files.find(name);
    if (file != m_files.end())
        m_files.erase(file);
    if (step == Step::RunThenFail)
        return dead(name);
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

void FakeStorage::crash(Random& random)
{
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
    for (auto& [name, file] : m_files)
        dropUnsynced(file);
    resume();
}

void FakeStorage::crashInSectors(Random& random)
{
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
