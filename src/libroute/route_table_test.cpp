#include <algorithm>
#include <array>
#include <optional>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include <laburnumroute/random.h>
#include <laburnumroute/route_table.h>

using namespace laburnum;

namespace {

/// A host of a test configuration: the name and port that it denotes, and ways to write it.
struct DeclaredHost {
    const char* name;
    std::optional<unsigned> port;
    std::vector<const char*> spellings;
};

const std::array declaredHosts {
    DeclaredHost { "a", std::nullopt, { "a.example", "A.example", "a.EXAMPLE:" } },
    DeclaredHost { "a", 80, { "a.example:80", "A.EXAMPLE:080" } },
    DeclaredHost { "a", 8080, { "a.example:8080", "A.Example:8080" } },
    DeclaredHost { "a", 8443, { "a.example:8443", "a.eXample:08443" } },
    DeclaredHost { "b", 8080, { "b.example:8080", "B.example:8080" } },
    DeclaredHost { "v6", std::nullopt, { "[2001:db8::1]", "[2001:DB8:0::1]" } },
    DeclaredHost { "v6", 8080, { "[2001:db8::1]:8080", "[2001:0db8::0:1]:8080" } },
    DeclaredHost { "loopback", 8443, { "[::1]:8443", "[0::1]:8443" } },
};

struct RequestedHost {
    const char* name;
    unsigned port;
    const char* text;
};

const std::array requestedHosts {
    RequestedHost { "a", 80, "a.example" },
    RequestedHost { "a", 80, "A.example:80" },
    RequestedHost { "a", 80, "a.example:" },
    RequestedHost { "a", 8080, "a.example:8080" },
    RequestedHost { "a", 8080, "A.EXAMPLE:8080" },
    RequestedHost { "a", 8443, "a.example:8443" },
    RequestedHost { "a", 9999, "a.example:9999" },
    RequestedHost { "b", 80, "b.example" },
    RequestedHost { "b", 8080, "B.example:8080" },
    RequestedHost { "b", 8443, "b.example:8443" },
    RequestedHost { "v6", 80, "[2001:db8::1]" },
    RequestedHost { "v6", 80, "[2001:DB8::1]:80" },
    RequestedHost { "v6", 8080, "[2001:db8:0:0::1]:8080" },
    RequestedHost { "v6", 9999, "[2001:db8::1]:9999" },
    RequestedHost { "loopback", 80, "[::1]" },
    RequestedHost { "loopback", 8443, "[::1]:8443" },
    RequestedHost { "loopback", 8080, "[::1]:8080" },
    RequestedHost { "other", 8080, "other.example:8080" },
};

/// The service of the declared host that covers `request`: the one with its port, or else the one
/// of its name without a port.
std::optional<ServiceId> expectedService(
    const std::vector<DeclaredHost>& declared, const RequestedHost& request)
{
    std::optional<ServiceId> result;
    for (const DeclaredHost& host : declared) {
        if (std::string(host.name) != request.name)
            continue;
        const ServiceId service(host.spellings.front());
        if (host.port == request.port)
            return service;
        if (!host.port)
            result = service;
    }
    return result;
}

} // namespace

// Guards against requests for one port of a name at the service of another (review/14, ROUTE).
TEST_CASE("a request goes to the declared host with its port, else to the one without a port")
{
    for (unsigned seed = 1; seed <= 300; ++seed) {
        Random random(seed);
        std::vector<DeclaredHost> declared;
        for (const DeclaredHost& host : declaredHosts) {
            const bool clashes = host.port == 80U && !declared.empty();
            if (!clashes && uniformBelow(random, 2) == 0)
                declared.push_back(host);
        }
        std::shuffle(declared.begin(), declared.end(), random);
        std::vector<RouteSpec> routes;
        for (const DeclaredHost& host : declared) {
            const auto spelling = uniformBelow(random, host.spellings.size());
            routes.push_back(
                { host.spellings[spelling], "/", {}, ServiceId(host.spellings.front()) });
        }
        const RouteTable table(routes);
        for (const RequestedHost& request : requestedHosts) {
            CAPTURE(seed, request.text);
            CHECK(table.match("GET", request.text, "/x") == expectedService(declared, request));
        }
    }
}

TEST_CASE("a declared host with a port does not fall back on the one without, but on every host")
{
    const RouteTable table({ { "a.example", "/x/", {}, ServiceId("plain") },
        { "a.example:8080", "/y/", {}, ServiceId("ported") } });
    CHECK_FALSE(table.match("GET", "a.example:8080", "/x/1").has_value());
    CHECK(table.match("GET", "a.example:8080", "/y/1") == ServiceId("ported"));
    CHECK(table.match("GET", "a.example:9090", "/x/1") == ServiceId("plain"));
    const RouteTable withDefault({ { "a.example", "/x/", {}, ServiceId("plain") },
        { "a.example:8080", "/y/", {}, ServiceId("ported") }, { "", "/", {}, ServiceId("any") } });
    CHECK(withDefault.match("GET", "a.example:8080", "/x/1") == ServiceId("any"));
}

// Guards against a host whose routes are lost because it is declared in two spellings.
TEST_CASE("the routes of one host are joined, however it is spelled and in whatever order")
{
    std::vector<RouteSpec> routes { { "A.example", "/x/", {}, ServiceId("x") },
        { "a.example:80", "/x/y/", {}, ServiceId("y") },
        { "a.example:", "/z/", {}, ServiceId("z") } };
    std::sort(routes.begin(), routes.end(),
        [](const RouteSpec& a, const RouteSpec& b) { return a.service < b.service; });
    do {
        const RouteTable table(routes);
        for (const char* host : { "a.example", "A.EXAMPLE:80", "a.example:" }) {
            CAPTURE(host);
            CHECK(table.match("GET", host, "/x/1") == ServiceId("x"));
            CHECK(table.match("GET", host, "/x/y/1") == ServiceId("y"));
            CHECK(table.match("GET", host, "/z/1") == ServiceId("z"));
        }
        CHECK(table.match("GET", "a.example:9090", "/x/y/1") == ServiceId("x"));
        CHECK(table.match("GET", "a.example:9090", "/z/1") == ServiceId("z"));
    } while (std::next_permutation(routes.begin(), routes.end(),
        [](const RouteSpec& a, const RouteSpec& b) { return a.service < b.service; }));
}

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
