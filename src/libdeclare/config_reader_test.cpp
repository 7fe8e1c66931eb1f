#include <catch2/catch.hpp>

#include <laburnumroute/configuration.h>

using namespace laburnum;

TEST_CASE("a printed configuration reads back to the same text")
{
    Configuration configuration;
    configuration.services.push_back({ ServiceId("claimdesk"), 96, Weighting::QuickDetection });
    configuration.routes.push_back(
        { "book.example", "/claims", { "GET", "POST" }, ServiceId("claimdesk") });
    const std::string text = printConfiguration(configuration);
    Findings findings;
    const Configuration again = readConfiguration(text, "x.toml", findings);
    REQUIRE(findings.empty());
    REQUIRE(printConfiguration(again) == text);
}

TEST_CASE("all findings of a file are reported with their places")
{
    const char* text = "[[service]]\n"
                       "name = \"a\"\n"
                       "floor_slots = -1\n"
                       "colour = \"red\"\n"
                       "[[route]]\n"
                       "service = \"b\"\n";
    Findings findings;
    readConfiguration(text, "x.toml", findings);
    const auto sorted = findings.sorted();
    REQUIRE(sorted.size() == 3);
    REQUIRE(sorted[1].place.line == 3);
    REQUIRE(sorted[2].place.line == 4);
}

TEST_CASE("text that is not TOML is one finding with its line")
{
    Findings findings;
    readConfiguration("[[service]]\nname = \n", "x.toml", findings);
    REQUIRE(findings.hasErrors());
    REQUIRE(findings.sorted().front().place.line == 2);
}
