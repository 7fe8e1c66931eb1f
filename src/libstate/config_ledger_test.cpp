#include <catch2/catch.hpp>

#include <laburnumroute/config_ledger.h>

using namespace laburnum;

TEST_CASE("of two changes based on the same revision one is accepted and the other gets a conflict")
{
    ConfigLedger ledger;
    REQUIRE(ledger.apply({ ChangeId("a"), Revision(0), "x" }).value() == Revision(1));
    const auto loser = ledger.apply({ ChangeId("b"), Revision(0), "y" });
    REQUIRE(loser.error().code == ErrorCode::Conflict);
    REQUIRE(loser.error().message.find("'a'") != std::string::npos);
    REQUIRE(ledger.current().content == "x");
}

TEST_CASE("a resent change returns its first result, even after later changes")
{
    ConfigLedger ledger;
    ledger.apply({ ChangeId("a"), Revision(0), "x" });
    ledger.apply({ ChangeId("b"), Revision(1), "y" });
    REQUIRE(ledger.apply({ ChangeId("a"), Revision(0), "x" }).value() == Revision(1));
    REQUIRE(ledger.current().revision == Revision(2));
    REQUIRE(ledger.apply({ ChangeId("a"), Revision(2), "z" }).error().code == ErrorCode::Conflict);
}

TEST_CASE("a refused change is refused again when resent, and accepted when corrected")
{
    ConfigLedger ledger;
    REQUIRE_FALSE(ledger.apply({ ChangeId("early"), Revision(1), "x" }));
    ledger.apply({ ChangeId("a"), Revision(0), "y" });
    REQUIRE_FALSE(ledger.apply({ ChangeId("early"), Revision(1), "x" }));
    ledger.apply({ ChangeId("b"), Revision(1), "z" });
    REQUIRE(ledger.apply({ ChangeId("early"), Revision(2), "x" }).value() == Revision(3));
}

TEST_CASE("restoring an earlier content creates a new revision")
{
    ConfigLedger ledger;
    ledger.apply({ ChangeId("a"), Revision(0), "x" });
    ledger.apply({ ChangeId("b"), Revision(1), "y" });
    const ConfigChange back { ChangeId("c"), Revision(2), {}, "back", Revision(1) };
    REQUIRE(ledger.apply(back).value() == Revision(3));
    REQUIRE(ledger.current().content == "x");
    REQUIRE(ledger.history().back().restored == Revision(1));
    REQUIRE(ledger.apply({ ChangeId("d"), Revision(3), {}, "", Revision(9) }).error().code
        == ErrorCode::NotFound);
}

TEST_CASE("a ledger is restored from its snapshot, and a damaged snapshot is refused")
{
    ConfigLedger ledger;
    for (unsigned i = 0; i < 100; ++i)
        ledger.apply({ ChangeId(std::to_string(i)), Revision(i), "content", "note" });
    ledger.apply({ ChangeId("refused"), Revision(3), "x" });
    ConfigLedger copy;
    REQUIRE(copy.restore(ledger.snapshot()));
    REQUIRE(copy.snapshot() == ledger.snapshot());
    REQUIRE(copy.apply({ ChangeId("7"), Revision(7), "content" }).value() == Revision(8));
    REQUIRE(copy.history().size() == 100);
    REQUIRE_FALSE(copy.restore(ledger.snapshot().substr(1)));
    REQUIRE(copy.restore(""));
    REQUIRE(copy.current().revision == Revision(0));
}

TEST_CASE("the number of recorded change ids is limited, and a change with a dropped id is not "
          "applied twice")
{
    ConfigLedger ledger;
    const unsigned changes = ConfigLedger::maxChangeIds + 1;
    for (unsigned i = 0; i < changes; ++i)
        ledger.apply({ ChangeId(std::to_string(i)), Revision(i), "x" });
    REQUIRE(ledger.history().size() == ConfigLedger::maxChangeIds);
    REQUIRE(ledger.apply({ ChangeId("1"), Revision(1), "x" }).value() == Revision(2));
    REQUIRE(ledger.apply({ ChangeId("0"), Revision(0), "x" }).error().code == ErrorCode::Conflict);
}
