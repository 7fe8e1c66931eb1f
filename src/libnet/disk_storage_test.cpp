#include <catch2/catch.hpp>

#include <cstdlib>
#include <filesystem>

#include <laburnumroute/disk_storage.h>

using namespace laburnum;

namespace {

/// A folder that goes when the test ends.
class TemporaryFolder {
public:
    TemporaryFolder()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "laburnum-XXXXXX").string();
        m_path = ::mkdtemp(pattern.data());
    }
    ~TemporaryFolder() { std::filesystem::remove_all(m_path); }
    TemporaryFolder(const TemporaryFolder&) = delete;
    TemporaryFolder& operator=(const TemporaryFolder&) = delete;
    const std::string& path() const { return m_path; }

private:
    std::string m_path;
};

} // namespace

TEST_CASE("files on disk keep what was written, and a second process is kept out")
{
    const TemporaryFolder folder;
    {
        auto storage = openDiskStorage(folder.path()).value();
        REQUIRE(storage->append("log", "abc"));
        REQUIRE(storage->append("log", "def"));
        REQUIRE(storage->sync("log"));
        REQUIRE(storage->truncate("log", 4));
        REQUIRE(storage->append("log", "g"));
        REQUIRE(storage->replace("vote", "one"));
        REQUIRE(storage->replace("vote", "two"));
        REQUIRE(openDiskStorage(folder.path()).error().code == ErrorCode::Conflict);
    }
    auto storage = openDiskStorage(folder.path()).value();
    REQUIRE(storage->sync("log"));
    REQUIRE(storage->read("log").value() == "abcdg");
    REQUIRE(storage->read("vote").value() == "two");
    REQUIRE(storage->list().value() == std::vector<std::string> { "log", "vote" });
    REQUIRE(storage->remove("log"));
    REQUIRE(storage->remove("log"));
    REQUIRE(storage->read("log").error().code == ErrorCode::NotFound);
    REQUIRE_FALSE(storage->sync("log"));
}
