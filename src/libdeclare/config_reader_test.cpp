#include <catch2/catch.hpp>

#include <laburnumroute/configuration.h>

using namespace laburnum;

namespace {

std::string findingsOf(const std::string& text, const ConfigContext& context = {})
{
    Findings findings;
    readConfiguration(text, "x.toml", findings, context);
    std::string all;
    for (const auto& finding : findings.sorted())
        all += formatFinding(finding) + '\n';
    return all;
}

const std::string validService = "[[service]]\nname = \"a\"\nfloor_slots = 6\n";
const std::string validRoute = "[[route]]\nservice = \"a\"\n";

} // namespace

TEST_CASE("all findings of a file are reported with their locations")
{
    const auto all = findingsOf("[[service]]\n"
                                "name = \"a\"\n"
                                "floor_slots = -1\n"
                                "  colour = \"red\"\n"
                                "[[route]]\n"
                                "service = \"b\"\n"
                                "[colours]\n");
    REQUIRE(all
        == "x.toml:2:8: warning: service 'a' has no route: no request reaches it\n"
           "x.toml:3:15: error: 'floor_slots' must be an integer from 0 to 10000000\n"
           "x.toml:4:3: error: unknown key 'colour'\n"
           "x.toml:6:11: error: route '/' names unknown service 'b'\n"
           "x.toml:7:1: error: unknown table 'colours'\n");
}

TEST_CASE("a syntax error is one finding on one line with its location")
{
    REQUIRE(findingsOf("[[service]]\nname = \n")
        == "x.toml:2:8: error: missing value after key-value separator '=':"
           " expected value, but got nothing\n");
    REQUIRE(findingsOf("a = 1\na = 2\n")
        == "x.toml:2:5: error: value (\"a\") already exists.: value defined twice\n");
    REQUIRE(
        findingsOf("a = \"\\q\"\n") == "x.toml:1:5: error: the next token is not a valid string\n");
}

TEST_CASE("nesting that would exhaust the parser's stack is an error with its location")
{
    const std::string open(100'000, '[');
    REQUIRE(
        findingsOf("a = " + open) == "x.toml:1:69: error: arrays and tables nest deeper than 64\n");
    REQUIRE(findingsOf("# " + open + "\n[[service]]\nname = \"" + open
                + "\"\n[[route]]\nservice = \"" + open + "\"\n")
                .find("nest")
        == std::string::npos);
}

TEST_CASE("a duplicate service or route is an error that names the first one's line")
{
    REQUIRE(findingsOf(validService + validService + validRoute)
        == "x.toml:5:8: error: service 'a' is declared twice; first in line 2\n");
    REQUIRE(findingsOf(validService
                + "[[route]]\nhost = \"A.b\"\nmethods = [\"GET\"]\nservice = \"a\"\n"
                + "[[route]]\nhost = \"a.B\"\nmethods = [\"PUT\", \"GET\"]\nservice = \"a\"\n")
        == "x.toml:8:1: error: route 'a.B/' takes method 'GET' as the route in line 4 already "
           "does\n");
    REQUIRE(
        findingsOf(validService + validRoute + "[[route]]\nmethods = [\"GET\"]\nservice = \"a\"\n")
            .empty());
}

// Guards against checks that disagree with the route table about which hosts are one (review/14).
TEST_CASE("routes overlap if their hosts are one host in HTTP's sense")
{
    const auto routesFor = [](const std::string& a, const std::string& b) {
        return findingsOf(validService + "[[route]]\nhost = \"" + a
            + "\"\nservice = \"a\"\n[[route]]\nhost = \"" + b + "\"\nservice = \"a\"\n");
    };
    CHECK(routesFor("a.b", "a.b:8080").empty());
    CHECK(routesFor("a.b:8443", "A.b:8080").empty());
    CHECK(routesFor("[::1]:8443", "[::1]").empty());
    CHECK(routesFor("a.b", "A.B:80")
        == "x.toml:7:1: error: route 'A.B:80/' takes every method as the route in line 4 already "
           "does\n");
    CHECK_FALSE(routesFor("a.b:8080", "A.B:08080").empty());
    CHECK_FALSE(routesFor("[::1]", "[0::1]").empty());
}

TEST_CASE("prefixes, methods and hosts that no request can match are findings")
{
    const auto routeWith = [](const std::string& line) {
        return findingsOf(validService + "[[route]]\nservice = \"a\"\n" + line + '\n');
    };
    REQUIRE(routeWith("prefix = \"a\"") == "x.toml:6:10: error: prefix 'a' must start with '/'\n");
    REQUIRE(
        routeWith("prefix = \"/a?b\"").starts_with("x.toml:6:10: error: prefix '/a?b' must be"));
    REQUIRE(routeWith("methods = [\"GET\", \"G T\"]")
        == "x.toml:6:19: error: 'G T' is not a method name\n");
    REQUIRE(routeWith("methods = [\"get\"]").starts_with("x.toml:6:12: warning: method 'get'"));
    for (const char* bad : { "a b", "a:", "a:x", "a:65536", ":80", "-a", "a..b", "[::1", "[::1]:x",
             "::1", "a/b", "a:80:80" })
        REQUIRE(
            routeWith("host = \"" + std::string(bad) + "\"").starts_with("x.toml:6:8: error: "));
    for (const char* good :
        { "a", "A.example", "10.0.0.1", "[::1]", "x-1.example", "a:80", "A:65535", "[::1]:8080" })
        REQUIRE(routeWith("host = \"" + std::string(good) + "\"").empty());
}

TEST_CASE("missing and empty names are findings")
{
    REQUIRE(findingsOf("[[service]]\nfloor_slots = 6\n" + validService + validRoute)
        == "x.toml:1:1: error: key 'name' is missing\n");
    REQUIRE(findingsOf("[[service]]\nname = \"\"\nfloor_slots = 6\n" + validService + validRoute)
        == "x.toml:2:8: error: 'name' must not be empty\n");
    REQUIRE(findingsOf("service = 3\n") == "x.toml:1:11: error: must be an array of tables\n");
}

TEST_CASE("balancers and announced capacity are checked when they are known")
{
    const std::string text
        = "[[service]]\nname = \"a\"\nbalancer = \"best\"\nfloor_slots = 13\n" + validRoute;
    REQUIRE(findingsOf(text).empty());
    REQUIRE(findingsOf(text, { { "least", "random" }, {} })
        == "x.toml:3:12: error: unknown balancer 'best'; known: least, random\n");
    REQUIRE(findingsOf(text, { {}, { { ServiceId("a"), 13 } } }).empty());
    REQUIRE(findingsOf(text, { {}, { { ServiceId("a"), 12 } } })
        == "x.toml:4:15: warning: service 'a' has a floor of 13 slots, but its instances announce"
           " 12: nothing can be ejected\n");
    REQUIRE(findingsOf("[[service]]\nname = \"a\"\n" + validRoute)
        == "x.toml:1:1: warning: a floor of 0: ejections may take the whole capacity of the"
           " service\n");
}
