#include <catch2/catch.hpp>

#include <array>
#include <sstream>

#include <laburnumroute/declare.h>
#include <laburnumroute/random.h>

using namespace laburnum;

namespace {

constexpr std::uint64_t firstSeed = 20'261;
constexpr std::uint64_t seedCount = 200;

template <std::size_t count>
std::string anyOf(Random& random, const std::array<const char*, count>& choices)
{
    return choices[uniformBelow(random, count)];
}

/// A name with characters that must be escaped in TOML.
std::string randomName(Random& random, std::size_t serial)
{
    static constexpr std::array<const char*, 10> parts { "a", "\"", "\\", "\n", "\t", "#", "'''",
        "\x7f", "\xc3\xa9", "a very long part that a printer may want to break over lines " };
    std::string name = std::to_string(serial);
    for (std::uint64_t i = uniformBelow(random, 6); i > 0; --i)
        name += anyOf(random, parts);
    return name;
}

ServiceSpec randomService(Random& random, std::size_t serial)
{
    ServiceSpec service;
    service.name = ServiceId(randomName(random, serial));
    service.floorSlots = static_cast<std::uint32_t>(1 + uniformBelow(random, 10'000'000));
    service.weighting = uniformBelow(random, 2) == 0 ? DetectionWeighting::FewFalseEjections
                                                     : DetectionWeighting::QuickDetection;
    service.balancer = randomName(random, serial);
    service.deadline = std::chrono::milliseconds(1 + uniformBelow(random, 3'600'000));
    service.retryPercent = static_cast<std::uint32_t>(uniformBelow(random, 101));
    service.queueLimit = static_cast<std::uint32_t>(uniformBelow(random, 1'000'001));
    return service;
}

RouteSpec randomRoute(Random& random, const ServiceSpec& service, std::size_t serial)
{
    static constexpr std::array<const char*, 6> hosts { "", "book.example", "[::1]",
        "Book.example:8080", "book.example:80", "[::1]:65535" };
    static constexpr std::array<const char*, 4> methods { "GET", "POST", "PROPFIND", "M'`|~" };
    RouteSpec route;
    route.host = anyOf(random, hosts);
    route.prefix = "/" + std::to_string(serial) + "/\"\\'%20";
    for (std::size_t i = uniformBelow(random, methods.size() + 1); i > 0; --i)
        route.methods.emplace_back(methods[i - 1]);
    route.name = uniformBelow(random, 2) == 0 ? "" : randomName(random, serial);
    if (uniformBelow(random, 2) == 0) {
        route.service = service.name;
    } else {
        for (std::uint64_t i = 1 + uniformBelow(random, 3); i > 0; --i)
            route.split.push_back({ service.name, static_cast<std::uint32_t>(i) });
    }
    route.kind = static_cast<RequestKind>(uniformBelow(random, 4));
    route.timeout = std::chrono::milliseconds(1 + uniformBelow(random, 3'600'000));
    route.objective = std::chrono::milliseconds(
        uniformBelow(random, static_cast<std::uint64_t>(toMillis(route.timeout))));
    route.priority = static_cast<std::uint32_t>(uniformBelow(random, 1000));
    route.attempts = static_cast<std::uint32_t>(1 + uniformBelow(random, 100));
    route.anonymous = uniformBelow(random, 2) == 0;
    return route;
}

ClientAccountSpec randomAccount(Random& random, std::size_t serial)
{
    ClientAccountSpec account;
    account.name = ClientAccountId(std::to_string(serial) + "\"\\#'''\xc3\xa9");
    // Printable keys: others cause warnings.
    for (std::uint64_t i = uniformBelow(random, 4); i > 0; --i)
        account.keys.push_back(std::to_string(serial) + "/\"\\'#" + std::to_string(i));
    if (uniformBelow(random, 2) == 0)
        account.priority = static_cast<std::uint32_t>(uniformBelow(random, 1001));
    account.ratePerSecond = static_cast<std::uint32_t>(uniformBelow(random, 1'000'000'001));
    account.burst = static_cast<std::uint32_t>(uniformBelow(random, 2) * 1'000'000'000);
    return account;
}

Configuration randomConfiguration(Random& random)
{
    Configuration configuration;
    for (std::size_t i = 1 + uniformBelow(random, 5); i > 0; --i) {
        configuration.services.push_back(randomService(random, i));
        configuration.routes.push_back(randomRoute(random, configuration.services.back(), i));
    }
    for (std::size_t i = uniformBelow(random, 4); i > 0; --i)
        configuration.accounts.push_back(randomAccount(random, i));
    return configuration;
}

} // namespace

TEST_CASE("a printed configuration reads back equal")
{
    for (std::uint64_t seed = firstSeed; seed < firstSeed + seedCount; ++seed) {
        CAPTURE(seed);
        Random random(seed);
        const Configuration printed = randomConfiguration(random);
        const std::string text = printConfiguration(printed);
        CAPTURE(text);
        Findings findings;
        const Configuration reread = readConfiguration(text, "x.toml", findings);
        REQUIRE(findings.empty());
        REQUIRE(reread == printed);
    }
}

TEST_CASE("a deployment with errors is reported and not printed")
{
    Deployment deployment("Title");
    const ServiceId desk = deployment.addService({ ServiceId("desk"), 24 });
    deployment.addRoute({ "", "/", {}, desk });
    std::ostringstream out;
    std::ostringstream errors;
    REQUIRE(deployment.print(out, errors) == EXIT_SUCCESS);
    REQUIRE(out.str().starts_with("# Title\n\n[[service]]\nname = \"desk\"\n"));
    deployment.addRoute({ "", "/other", {}, ServiceId("other") });
    std::ostringstream nothing;
    REQUIRE(deployment.print(nothing, errors) == EXIT_FAILURE);
    REQUIRE(nothing.str().empty());
    REQUIRE(errors.str().find("unknown service 'other'") != std::string::npos);
}
