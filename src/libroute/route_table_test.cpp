#include <catch2/catch.hpp>

#include <laburnumroute/route_table.h>

using namespace laburnum;

TEST_CASE("the most specific route wins")
{
    const RouteTable table(
        { { "", "/", {}, ServiceId("any") }, { "Book.example", "/claims", {}, ServiceId("claims") },
            { "book.example", "/claims", { "POST" }, ServiceId("claim-writes") } });
    REQUIRE(table.match("GET", "BOOK.example:80", "/claims/7?x=/") == ServiceId("claims"));
    REQUIRE(table.match("POST", "book.example", "/claims") == ServiceId("claim-writes"));
    REQUIRE(table.match("GET", "book.example", "/claimsmith") == ServiceId("any"));
    REQUIRE(table.match("GET", "else.example", "/claims") == ServiceId("any"));
}

TEST_CASE("a request that no route matches has no service")
{
    const RouteTable table({ { "a.example", "/x", {}, ServiceId("x") } });
    REQUIRE_FALSE(table.match("GET", "a.example", "/y").has_value());
    REQUIRE_FALSE(table.match("GET", "b.example", "/x").has_value());
}
