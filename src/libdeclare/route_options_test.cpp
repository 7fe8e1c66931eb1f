#include <catch2/catch.hpp>

#include <laburnumroute/configuration.h>

using namespace laburnum;

namespace {

constexpr const char* services = "[[service]]\nname = \"a\"\nfloor_slots = 6\n"
                                 "[[service]]\nname = \"b\"\nfloor_slots = 6\n";

Configuration read(const std::string& rest, std::string* all = nullptr)
{
    Findings findings;
    auto result = readConfiguration(services + rest, "x.toml", findings);
    for (const auto& finding : findings.sorted()) {
        if (all != nullptr)
            *all += formatFinding(finding) + '\n';
    }
    return result;
}

std::string findingsOf(const std::string& rest)
{
    std::string all;
    read(rest, &all);
    return all;
}

} // namespace

TEST_CASE("a route's optional keys and the limits on callers are read")
{
    const auto configuration = read("[[route]]\nname = \"n\"\nkind = \"safe\"\n"
                                    "split = [{ service = \"a\", weight = 9 }, "
                                    "{ service = \"b\" }]\ntimeout_ms = 4000\n"
                                    "objective_ms = 2000\npriority = 3\nattempts = 4\n"
                                    "[limits]\nbody_bytes = 1000\nidle_timeout_ms = 15000\n");
    const RouteSpec& route = configuration.routes.front();
    REQUIRE(route.name == "n");
    REQUIRE(route.kind == RequestKind::Safe);
    REQUIRE(route.split.size() == 2);
    REQUIRE(route.split[0].weight == 9);
    REQUIRE(route.split[1].weight == 1);
    REQUIRE(route.timeout == std::chrono::seconds(4));
    REQUIRE(route.objective == std::chrono::seconds(2));
    REQUIRE(route.priority == 3);
    REQUIRE(route.attempts == 4);
    REQUIRE(configuration.limits.bodyBytes == 1000);
    REQUIRE(configuration.limits.idleTimeout == std::chrono::seconds(15));
    REQUIRE(configuration.limits.headTimeout == CallerLimits().headTimeout);
}

TEST_CASE("invalid optional keys of a route are findings with their location")
{
    REQUIRE(
        findingsOf("[[route]]\nservice = \"a\"\nkind = \"odd\"\n")
            .find("x.toml:9:8: error: unknown kind 'odd'; known: by-method, safe, unsafe, upload")
        != std::string::npos);
    REQUIRE(findingsOf("[[route]]\nservice = \"a\"\nsplit = [{ service = \"b\" }]\n")
                .find("a route has either a service or a split")
        != std::string::npos);
    REQUIRE(
        findingsOf("[[route]]\nsplit = [{ service = \"c\" }]\n").find("names unknown service 'c'")
        != std::string::npos);
    REQUIRE(findingsOf("[[route]]\nsplit = [{ service = \"a\", weight = 0 }]\n")
                .find("the weights of a split must not all be 0")
        != std::string::npos);
    REQUIRE(findingsOf("[[route]]\nservice = \"a\"\ntimeout_ms = 10\nobjective_ms = 20\n")
                .find("'objective_ms' must not be greater than 'timeout_ms'")
        != std::string::npos);
    REQUIRE(findingsOf("[limits]\nhead_bytes = 1\ncolour = 3\n").find("unknown key 'colour'")
        != std::string::npos);
}
