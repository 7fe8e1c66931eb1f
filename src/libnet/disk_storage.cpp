#include <laburnumroute/disk_storage.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <map>
#include <set>
#include <sstream>

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

namespace laburnum {

namespace {

    constexpr const char* lockFile = ".lock";
    constexpr const char* temporarySuffix = ".new";
    constexpr mode_t fileMode = 0600;

    tl::unexpected<Error> ioFailure(const std::string& action, const std::string& path)
    {
        return fail(ErrorCode::Io, action + " '" + path + "': " + std::strerror(errno));
    }

    /// Owns a file descriptor.
    class FileHandle {
    public:
        FileHandle() = default;
        explicit FileHandle(int fd)
            : m_fd(fd)
        {
        }
        FileHandle(FileHandle&& other) noexcept
            : m_fd(std::exchange(other.m_fd, -1))
        {
        }
        FileHandle& operator=(FileHandle&& other) noexcept
        {
            std::swap(m_fd, other.m_fd);
            return *this;
        }
        ~FileHandle()
        {
            if (m_fd >= 0)
                ::close(m_fd);
        }
        int get() const noexcept { return m_fd; }
        bool valid() const noexcept { return m_fd >= 0; }

    private:
        int m_fd = -1;
    };

    Expected<void> writeAll(const FileHandle& file, std::string_view bytes, const std::string& path)
    {
        while (!bytes.empty()) {
            const ssize_t written = ::write(file.get(), bytes.data(), bytes.size());
            if (written < 0 && errno == EINTR)
                continue;
            if (written < 0)
                return ioFailure("write", path);
            bytes.remove_prefix(static_cast<std::size_t>(written));
        }
        return {};
    }

    class DiskStorage final : public Storage {
    public:
        DiskStorage(std::string folder, FileHandle lock)
            : m_folder(std::move(folder))
            , m_lock(std::move(lock))
        {
        }

        Expected<std::string> read(std::string_view name) override
        {
            const std::string path = pathOf(name);
            std::error_code code;
            if (!std::filesystem::exists(path, code))
                return fail(ErrorCode::NotFound, "no file '" + path + "'");
            std::ifstream stream(path, std::ios::binary);
            std::ostringstream content;
            content << stream.rdbuf();
            if (!stream)
                return ioFailure("read", path);
            return content.str();
        }

        Expected<void> append(std::string_view name, std::string_view bytes) override
        {
            const auto file = openForAppend(name, O_CREAT);
            if (!file)
                return tl::unexpected<Error>(file.error());
            return writeAll(**file, bytes, pathOf(name));
        }

        Expected<void> sync(std::string_view name) override
        {
            const auto file = openForAppend(name, 0);
            if (!file)
                return tl::unexpected<Error>(file.error());
            if (::fdatasync((*file)->get()) != 0)
                return ioFailure("sync", pathOf(name));
            if (!m_unsyncedNames.contains(name))
                return {};
            if (auto synced = syncFolder(); !synced)
                return synced;
            m_unsyncedNames.erase(m_unsyncedNames.find(name));
            return {};
        }

        Expected<void> replace(std::string_view name, std::string_view bytes) override
        {
            const std::string path = pathOf(name);
            const std::string temporary = path + temporarySuffix;
            closeFile(name);
            const FileHandle file(
                ::open(temporary.c_str(), O_WRONLY | O_TRUNC | O_CREAT | O_CLOEXEC, fileMode));
            if (!file.valid())
                return ioFailure("open", temporary);
            if (auto written = writeAll(file, bytes, temporary); !written)
                return written;
            if (::fsync(file.get()) != 0)
                return ioFailure("sync", temporary);
            if (::rename(temporary.c_str(), path.c_str()) != 0)
                return ioFailure("rename", temporary);
            return syncFolder();
        }

        Expected<void> truncate(std::string_view name, std::uint64_t size) override
        {
            const std::string path = pathOf(name);
            closeFile(name);
            const FileHandle file(::open(path.c_str(), O_WRONLY | O_CLOEXEC));
            if (!file.valid())
                return ioFailure("open", path);
            if (::ftruncate(file.get(), static_cast<off_t>(size)) != 0)
                return ioFailure("truncate", path);
            if (::fsync(file.get()) != 0)
                return ioFailure("sync", path);
            return {};
        }

        Expected<void> remove(std::string_view name) override
        {
            const std::string path = pathOf(name);
            closeFile(name);
            if (::unlink(path.c_str()) != 0 && errno != ENOENT)
                return ioFailure("remove", path);
            return syncFolder();
        }

        Expected<std::vector<std::string>> list() override
        {
            std::vector<std::string> names;
            std::error_code code;
            for (const auto& entry : std::filesystem::directory_iterator(m_folder, code)) {
                const std::string name = entry.path().filename();
                if (name != lockFile && !name.ends_with(temporarySuffix))
                    names.push_back(name);
            }
            if (code)
                return fail(ErrorCode::Io, "list '" + m_folder + "': " + code.message());
            std::sort(names.begin(), names.end());
            return names;
        }

    private:
        std::string pathOf(std::string_view name) const
        {
            return m_folder + '/' + std::string(name);
        }

        /// Returns the file, opening it on first use. Its directory entry is then treated as not
        /// yet durable.
        Expected<FileHandle*> openForAppend(std::string_view name, int createFlag)
        {
            FileHandle& file = m_open[std::string(name)];
            if (!file.valid()) {
                const std::string path = pathOf(name);
                file = FileHandle(
                    ::open(path.c_str(), O_WRONLY | O_APPEND | O_CLOEXEC | createFlag, fileMode));
                if (!file.valid())
                    return ioFailure("open", path);
                m_unsyncedNames.insert(std::string(name));
            }
            return &file;
        }

        void closeFile(std::string_view name)
        {
            const auto file = m_open.find(name);
            if (file != m_open.end())
                m_open.erase(file);
        }

        Expected<void> syncFolder()
        {
            const FileHandle folder(::open(m_folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
            if (!folder.valid() || ::fsync(folder.get()) != 0)
                return ioFailure("sync", m_folder);
            return {};
        }

        std::string m_folder;
        FileHandle m_lock;
        std::map<std::string, FileHandle, std::less<>> m_open;
        std::set<std::string, std::less<>> m_unsyncedNames;
    };

} // namespace

Expected<std::unique_ptr<Storage>> openDiskStorage(const std::string& folder)
{
    std::error_code code;
    std::filesystem::create_directories(folder, code);
    if (code)
        return fail(ErrorCode::Io, "create '" + folder + "': " + code.message());
    const std::string path = folder + '/' + lockFile;
    FileHandle lock(::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, fileMode));
    if (!lock.valid())
        return ioFailure("open", path);
    if (::flock(lock.get(), LOCK_EX | LOCK_NB) != 0)
        return fail(
            ErrorCode::Conflict, "data folder '" + folder + "' is in use by another process");
    return std::make_unique<DiskStorage>(folder, std::move(lock));
}

} // namespace laburnum
