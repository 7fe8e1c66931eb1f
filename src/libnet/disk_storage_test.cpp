#include <catch2/catch.hpp>

#include <cstdlib>
#include <filesystem>

#include <laburnumroute/disk_storage.h>

#include "fakes/temporary_folder.h"

using namespace laburnum;
using namespace laburnum::fakes;

TEST_CASE("files on disk keep their content, and the data folder can be opened only once")
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
