#include <laburnumroute/auth.h>

#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <optional>

#include <fcntl.h>
#include <openssl/rand.h>
#include <sys/stat.h>
#include <unistd.h>

namespace laburnum {

namespace {

    constexpr mode_t groupOrOtherAccess = S_IRWXG | S_IRWXO;

    /// RAII owner of a file descriptor.
    class OpenFile {
    public:
        explicit OpenFile(const std::string& path)
            : m_descriptor(::open(path.c_str(), O_RDONLY | O_CLOEXEC | O_NONBLOCK))
        {
        }
        ~OpenFile()
        {
            if (m_descriptor >= 0)
                ::close(m_descriptor);
        }
        OpenFile(const OpenFile&) = delete;
        OpenFile& operator=(const OpenFile&) = delete;

        int descriptor() const noexcept { return m_descriptor; }

    private:
        int m_descriptor;
    };

    tl::unexpected<Error> failErrno(const std::string& path)
    {
        return fail(ErrorCode::Io, "key file '" + path + "': " + std::strerror(errno));
    }

    Expected<void> checkAccess(const OpenFile& file, const std::string& path)
    {
        struct stat status { };
        if (::fstat(file.descriptor(), &status) != 0)
            return failErrno(path);
        if (!S_ISREG(status.st_mode))
            return fail(ErrorCode::InvalidArgument, "key file '" + path + "' is not a file");
        if ((status.st_mode & groupOrOtherAccess) != 0)
            return fail(ErrorCode::PermissionDenied,
                "key file '" + path + "' is open to others than its owner; run: chmod 600 '" + path
                    + "'");
        if (status.st_uid != ::geteuid() && status.st_uid != 0)
            return fail(ErrorCode::PermissionDenied,
                "key file '" + path + "' belongs to another user than this process");
        return {};
    }

    Expected<std::string> readBounded(const OpenFile& file, const std::string& path)
    {
        std::string bytes(SharedKey::maxBytes + 2, '\0');
        std::size_t filled = 0;
        while (filled < bytes.size()) {
            const ssize_t count
                = ::read(file.descriptor(), bytes.data() + filled, bytes.size() - filled);
            if (count < 0)
                return failErrno(path);
            if (count == 0)
                break;
            filled += static_cast<std::size_t>(count);
        }
        bytes.resize(filled);
        if (bytes.ends_with('\n'))
            bytes.pop_back();
        return bytes;
    }

} // namespace

SharedKey::SharedKey(std::string bytes)
    : m_bytes(std::move(bytes))
{
}

Expected<SharedKey> SharedKey::create(std::string bytes)
{
    if (bytes.size() < minBytes || bytes.size() > maxBytes)
        return fail(ErrorCode::InvalidArgument,
            "a key has " + std::to_string(minBytes) + " to " + std::to_string(maxBytes)
                + " bytes, not " + std::to_string(bytes.size()));
    return SharedKey(std::move(bytes));
}

Expected<SharedKey> readKeyFile(const std::string& path)
{
    const OpenFile file(path);
    if (file.descriptor() < 0)
        return failErrno(path);
    if (auto access = checkAccess(file, path); !access)
        return tl::unexpected<Error>(access.error());
    auto bytes = readBounded(file, path);
    if (!bytes)
        return tl::unexpected<Error>(bytes.error());
    auto key = SharedKey::create(std::move(*bytes));
    if (!key)
        return fail(key.error().code, "key file '" + path + "': " + key.error().message);
    return key;
}

std::string randomBytes(std::size_t count)
{
    std::string bytes(count, '\0');
    const int done = RAND_bytes(
        reinterpret_cast<unsigned char*>(bytes.data()), static_cast<int>(bytes.size()));
    if (done != 1)
        std::abort(); // Without secure random bytes the process must not sign anything.
    return bytes;
}

} // namespace laburnum
