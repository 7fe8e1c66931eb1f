#include <catch2/catch.hpp>

#include <laburnumroute/config_ledger.h>

using namespace laburnum;

TEST_CASE("of two operators on equal numbers one wins and the other is told what changed")
{
    ConfigLedger ledger;
    REQUIRE(ledger.apply({ ChangeId("a"), Revision(0), "x" }).value() == Revision(1));
    const auto loser = ledger.apply({ ChangeId("b"), Revision(0), "y" });
    REQUIRE(loser.error().code == ErrorCode::Conflict);
    REQUIRE(loser.error().message.find("'a'") != std::string::npos);
    REQUIRE(ledger.current().content == "x");
}

TEST_CASE("a resent change returns its first result, also after later changes")
{
    ConfigLedger ledger;
    ledger.apply({ ChangeId("a"), Revision(0), "x" });
    ledger.apply({ ChangeId("b"), Revision(1), "y" });
    REQUIRE(ledger.apply({ ChangeId("a"), Revision(0), "x" }).value() == Revision(1));
    REQUIRE(ledger.current().revision == Revision(2));
    REQUIRE(ledger.apply({ ChangeId("a"), Revision(2), "z" }).error().code == ErrorCode::Conflict);
}
