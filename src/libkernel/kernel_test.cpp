#include <limits>

#include <catch2/catch.hpp>

#include <laburnumroute/clock.h>
#include <laburnumroute/endpoint.h>
#include <laburnumroute/findings.h>
#include <laburnumroute/instance.h>
#include <laburnumroute/json.h>

using namespace laburnum;

// Guards against conversions that overflow, whose results differ between processors.
TEST_CASE("durations from seconds are clamped")
{
    constexpr double infinite = std::numeric_limits<double>::infinity();
    REQUIRE(fromSeconds(1.5) == std::chrono::milliseconds(1500));
    REQUIRE(fromSeconds(1e30) == maxDuration);
    REQUIRE(fromSeconds(infinite) == maxDuration);
    REQUIRE(fromSeconds(-infinite) == -maxDuration);
    REQUIRE(fromSeconds(std::numeric_limits<double>::quiet_NaN()) == Duration::zero());
    REQUIRE(TimePoint(maxDuration) + maxDuration > TimePoint(maxDuration));
}

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

// Guards against configurations that are acknowledged although no JSON reader can read them back.
TEST_CASE("text that is not JSON by RFC 8259 is refused")
{
    const auto text = GENERATE(as<std::string>(), "{\"a\":\"\xff\"}", "{\"a\":\"\xc0\xaf\"}",
        "{\"a\":\"\xed\xa0\x80\"}", "{\"a\":\"\xe2\x82\"}", "{\"\xff\":1}", "{\"a\":\"b\tc\"}",
        "{\"a\":\"\\ud800\"}", "{\"a\":-}", "{\"a\":01}", "{\"a\":1.}", "{\"a\":.5}", "{\"a\":+1}",
        "{\"a\":1e}", "{\"a\":1e999}", "{\"a\":NaN}", "{\"a\":1,}", "{\"a\":1}x", "{\"a\":1",
        "{\"a\":1,\"a\":2}", "/**/{}", "\xef\xbb\xbf{}", "");
    CAPTURE(text);
    CHECK_FALSE(parseJson(text));
    CHECK_FALSE(parseJson(std::string("{\"a\":\"b\0c\"}", 11)));
}

// Guards against a configuration or an announcement that one JSON reader takes and another refuses:
// a reader of C strings takes a NUL for the end of the text.
TEST_CASE("JSON text that is followed by anything but white space is refused")
{
    const std::string whole = "{\"a\":[1,2]}";
    const std::string line = whole + '\n';
    REQUIRE(parseJson(whole + " \t\r\n"));
    for (unsigned byte = 0; byte <= UINT8_MAX; ++byte) {
        const char last = static_cast<char>(byte);
        if (last == ' ' || last == '\t' || last == '\r' || last == '\n')
            continue;
        CAPTURE(byte);
        const std::string followed = whole + last;
        const std::string preceded = last + whole;
        CHECK_FALSE(parseJson(followed));
        CHECK_FALSE(parseJson(line + last));
        CHECK_FALSE(parseJson(whole + preceded));
        CHECK_FALSE(parseJson(preceded));
    }
    CHECK_FALSE(parseJson("7" + std::string(1, '\0')));
    CHECK_FALSE(parseJson(std::string(1, '\0')));
    CHECK_FALSE(parseJson(whole + std::string(3, '\0') + "{}"));
}

TEST_CASE("JSON values of all kinds and Unicode text are read")
{
    const std::string text
        = "{\"a\":\"\xc3\xa9\xe2\x82\xac\xf0\x9f\x9a\xa3 \\u0000\\ud83d\\ude00\","
          "\"b\":[-0,1.5e3,18446744073709551615,true,null,{}]}\n";
    const auto value = parseJson(text);
    REQUIRE(value);
    CHECK((*value)["b"][2].asUInt64() == UINT64_MAX);
    CHECK((*value)["a"].asString().size() == 2 + 3 + 4 + 1 + 1 + 4);
}

TEST_CASE("deeply nested JSON is refused, not a stack overflow")
{
    for (const std::string open : { "[", "{\"a\":" })
        for (const std::size_t depth : { 2'000U, 1'000'000U }) {
            std::string text;
            for (std::size_t i = 0; i < depth; ++i)
                text += open;
            CHECK_FALSE(parseJson(text));
            CHECK_FALSE(parseJson("{\"x\":" + text));
        }
}
