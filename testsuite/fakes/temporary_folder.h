/// Temporary directory for tests that need real files.
#pragma once

#include <cstdlib>
#include <filesystem>
#include <stdexcept>
#include <string>

namespace laburnum::fakes {

/// Creates an empty directory and removes it with its contents on destruction.
class TemporaryFolder {
public:
    TemporaryFolder()
        : m_path((std::filesystem::temp_directory_path() / "laburnum-XXXXXX").string())
    {
        if (::mkdtemp(m_path.data()) == nullptr)
            throw std::runtime_error("cannot create a temporary directory");
    }
    ~TemporaryFolder() { std::filesystem::remove_all(m_path); }
    TemporaryFolder(const TemporaryFolder&) = delete;
    TemporaryFolder& operator=(const TemporaryFolder&) = delete;

    const std::string& path() const { return m_path; }

private:
    std::string m_path;
};

} // namespace laburnum::fakes
