#include <catch2/catch.hpp>

#include <laburnumroute/clock.h>
#include <laburnumroute/endpoint.h>
#include <laburnumroute/findings.h>
#include <laburnumroute/instance.h>
#include <laburnumroute/json.h>

using namespace laburnum;

TEST_CASE("a manual clock does not advance by itself")
{
    ManualClock clock;
    const TimePoint start = clock.now();
    REQUIRE(clock.now() == start);
    clock.advance(std::chrono::seconds(3));
    REQUIRE(clock.now() - start == std::chrono::seconds(3));
}

TEST_CASE("findings are reported together in file order")
{
    Findings findings;
    findings.warning({ "a.toml", 9, 1 }, "later");
    findings.error({ "a.toml", 2, 5 }, "earlier");
    const auto sorted = findings.sorted();
    REQUIRE(sorted.size() == 2);
    REQUIRE(formatFinding(sorted[0]) == "a.toml:2:5: error: earlier");
    REQUIRE(formatFinding(sorted[1]) == "a.toml:9:1: warning: later");
    REQUIRE(findings.hasErrors());
}

TEST_CASE("endpoints are parsed and formatted, and invalid ones are rejected")
{
    REQUIRE(parseEndpoint("127.0.0.1:80").value() == Endpoint { "127.0.0.1", 80 });
    REQUIRE(formatEndpoint(parseEndpoint("[::1]:443").value()) == "[::1]:443");
    for (const char* bad : { "", "80", ":80", "h:", "h:0", "h:70000", "h:8x" })
        REQUIRE_FALSE(parseEndpoint(bad).has_value());
}

TEST_CASE("truncated JSON and invalid members are errors")
{
    REQUIRE_FALSE(parseJson("{\"a\":").has_value());
    REQUIRE(unsignedMember(parseJson("{\"a\":7}").value(), "a").value() == 7);
    REQUIRE_FALSE(unsignedMember(parseJson("{\"a\":-7}").value(), "a").has_value());
}

TEST_CASE("an announcement round-trips through its encoding, and an error names the invalid member")
{
    InstanceRecord record;
    record.id = InstanceId("claimdesk-1");
    record.service = ServiceId("claimdesk");
    record.endpoint = { "127.0.0.1", 9000 };
    record.dataCentre = DataCentreId("cpt-1");
    record.region = RegionId("cpt");
    record.slots = 6;
    Json::Value value = encodeInstance(record);
    REQUIRE(encodeInstance(decodeInstance(value).value()) == value);
    value["slots"] = 0;
    const auto refused = decodeInstance(value);
    REQUIRE_FALSE(refused.has_value());
    REQUIRE(refused.error().message.find("slots") != std::string::npos);
}
