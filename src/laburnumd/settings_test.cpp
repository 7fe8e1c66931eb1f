#include <catch2/catch.hpp>

#include "settings.h"

using namespace laburnum;

TEST_CASE("settings: every invalid or missing key is reported in one pass")
{
    Findings findings;
    readSettings(
        "host = \"e1\"\nadmin = \"nowhere\"\nrole = \"king\"\ncolour = 1\n", "s.toml", findings);
    std::string all;
    for (const auto& finding : findings.sorted())
        all += formatFinding(finding) + '\n';
    for (const char* part :
        { "data_centre", "region", "s.toml:2:", "s.toml:3:", "colour", "peer_address" })
        REQUIRE(all.find(part) != std::string::npos);
}

TEST_CASE("settings of an entry host with one control peer")
{
    Findings findings;
    const Settings settings
        = readSettings("host = \"e1\"\ndata_centre = \"cpt-1\"\nregion = \"cpt\"\n"
                       "entry = \"127.0.0.1:8000\"\nadmin = \"127.0.0.1:8001\"\n"
                       "peer_address = \"127.0.0.1:8002\"\n"
                       "[[peer]]\nhost = \"c1\"\nregion = \"cpt\"\ndata_centre = \"cpt-2\"\nclaims "
                       "= true\naddress = \"127.0.0.1:8102\"\nrole = \"control\"\n",
            "s.toml", findings);
    REQUIRE(findings.empty());
    REQUIRE(settings.entry->port == 8000);
    REQUIRE(settings.peers.size() == 1);
    REQUIRE(settings.peers[0].control);
    REQUIRE(settings.peers[0].claims);
    REQUIRE(settings.peers[0].location.dataCentre.value() == "cpt-2");
}
