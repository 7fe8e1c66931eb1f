#include <catch2/catch.hpp>

#include <laburnumroute/config_holder.h>
#include <laburnumroute/instance_directory.h>

using namespace laburnum;

TEST_CASE("an instance that stops announcing expires with its lease")
{
    ManualClock clock;
    InstanceDirectory directory;
    InstanceRecord record;
    record.id = InstanceId("a");
    record.version = 1;
    record.lease = std::chrono::seconds(6);
    REQUIRE(directory.merge(record, clock.now()));
    REQUIRE_FALSE(directory.merge(record, clock.now()));
    clock.advance(std::chrono::seconds(5));
    REQUIRE(directory.expire(clock.now()).empty());
    clock.advance(std::chrono::seconds(1));
    REQUIRE(directory.expire(clock.now()) == std::vector<InstanceId> { InstanceId("a") });
    REQUIRE(directory.size() == 0);
}

TEST_CASE("a host never returns to a lower revision")
{
    ConfigHolder holder;
    REQUIRE(holder.updateIfNewer({ Revision(2), ChangeId("b"), "y" }));
    REQUIRE_FALSE(holder.updateIfNewer({ Revision(1), ChangeId("a"), "x" }));
    REQUIRE_FALSE(holder.updateIfNewer({ Revision(2), ChangeId("c"), "z" }));
    REQUIRE(holder.current().content == "y");
}
