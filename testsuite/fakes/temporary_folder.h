/// A folder of its own for a test that needs real files.
#pragma once

#include <cstdlib>
#include <filesystem>
#include <stdexcept>
#include <string>

namespace laburnum::fakes {

/// Empty at first; goes with all that is in it when the test ends.
class TemporaryFolder {
public:
    TemporaryFolder()
        : m_path((std::filesystem::temp_directory_path() / "laburnum-XXXXXX").string())
    {
        if (::mkdtemp(m_path.data()) == nullptr)
            throw std::runtime_error("no temporary folder");
    }
    ~TemporaryFolder() { std::filesystem::remove_all(m_path); }
    TemporaryFolder(const TemporaryFolder&) = delete;
    TemporaryFolder& operator=(const TemporaryFolder&) = delete;

    const std::string& path() const { return m_path; }

private:
    std::string m_path;
};

} // namespace laburnum::fakes
