#include <catch2/catch.hpp>

#include "seeded_settings.h"

using namespace laburnum;

namespace {

SeededSettings read(const std::string& text, Findings& findings)
{
    const auto root = parseToml(text, "s.toml", findings);
    REQUIRE(root.has_value());
    TableReader reader(*root, "s.toml", findings);
    return readSeededSettings(reader);
}

const std::string common = "host = \"h\"\ndata_centre = \"d\"\nregion = \"r\"\n"
                           "interface = \"provider\"\n";

} // namespace

TEST_CASE("seeded settings of a control host: seed_peer_port replaces the ports of the seeds")
{
    Findings findings;
    const auto settings = read(common
            + "role = \"control\"\nfirst_start = true\ncalls = \"10.0.0.1:8000\"\n"
              "peer_address = \"10.0.0.1:7000\"\nseeds = [\"10.0.0.2:8000\"]\n"
              "seed_peer_port = 7000\ndata_folder = \"/data\"\nbear_losses = 1\n"
              "repeat_ratio = 0.2\nrepeat_slack = 64\nrepeat_window_ms = 10000\n"
              "spillover_from_ms = 2.5\n"
              "[data_centres]\nd = \"r\"\n",
        findings);
    REQUIRE(findings.empty());
    REQUIRE(settings.control);
    REQUIRE(settings.firstStart);
    REQUIRE(settings.seeds == std::vector<Endpoint> { { "10.0.0.2", 7000 } });
    REQUIRE(settings.toleratedFailures == 1);
    REQUIRE(settings.retryBudget.ratio == Approx(0.2));
    REQUIRE(settings.retryBudget.slack == Approx(64.0));
    REQUIRE(settings.spilloverFrom == std::chrono::microseconds(2500));
    REQUIRE(settings.dataCentres.at(DataCentreId("d")) == RegionId("r"));
}

TEST_CASE("seeded settings: key_validity_ms is off unless it is set")
{
    Findings findings;
    const std::string entry = common + "entry = \"10.0.0.1:80\"\nseeds = []\n";
    REQUIRE(read(entry, findings).keyValidity == Duration::zero());
    REQUIRE(
        read(entry + "key_validity_ms = 5000\n", findings).keyValidity == std::chrono::seconds(5));
    REQUIRE(findings.empty());
    // Anything but a valid number is the shortest validity, never none.
    for (const char* value : { "0", "-1", "0.25", "\"0\"", "\"soon\"", "true" }) {
        CAPTURE(value);
        Findings warned;
        CHECK(read(entry + "key_validity_ms = " + value + "\n", warned).keyValidity
            == std::chrono::milliseconds(1));
        CHECK(warned.sorted().size() == 1);
        CHECK_FALSE(warned.hasErrors());
    }
    Findings empty;
    CHECK(read(entry + "key_validity_ms = \"\"\n", empty).keyValidity == Duration::zero());
    CHECK(empty.empty());
}

namespace {

struct DurationCase {
    const char* value;
    /// Value that is used, in seconds; the default when negative.
    double seconds;
    bool warns;
};

/// Of a key in seconds whose range is [low, high].
std::vector<DurationCase> durationCases(double low, double high)
{
    return { { "6", 6, false }, { "6.5", 6.5, false }, { "\"6\"", 6, false },
        { "\"6.0\"", 6, false }, { "\"3.25\"", 3.25, false }, { "\"0.3\"", 0.3, false },
        { "\"1e1\"", 10, false }, { "\"\"", -1, false }, { "\"0\"", low, low > 0 },
        { "0.0", low, low > 0 }, { "\"-3\"", low, true }, { "\"1e300\"", high, true },
        { "\"123456789012345678901234567890\"", high, true }, { "9223372036854775807", high, true },
        { "\"inf\"", high, true }, { "\"nan\"", -1, true }, { "\"6 s\"", -1, true },
        { "\"true\"", -1, true }, { "true", -1, true }, { "[6]", -1, true } };
}

} // namespace

// Guards against hosts that end at their start because a number of the platform is a fraction,
// zero, large or missing (review/15, Fault).
TEST_CASE(
    "seeded settings: numbers may be integers, fractions, texts or missing and never end a start")
{
    const std::string entry = common + "entry = \"10.0.0.1:80\"\nseeds = []\n";
    const auto check = [&](const std::string& key, const DurationCase& test, double fallback,
                           const auto& durationOf) {
        CAPTURE(key, test.value);
        Findings findings;
        const SeededSettings settings = read(entry + key + " = " + test.value + "\n", findings);
        const double expected = test.seconds < 0 ? fallback : test.seconds;
        CHECK(std::chrono::duration<double>(durationOf(settings)).count() == Approx(expected));
        CHECK_FALSE(findings.hasErrors());
        CHECK(findings.empty() != test.warns);
    };
    const auto grace = [](const SeededSettings& settings) { return settings.stopGrace; };
    for (const DurationCase& test : durationCases(0, 86400))
        check("stop_grace_s", test, 30, grace);
    const auto window = [](const SeededSettings& settings) { return settings.retryBudget.window; };
    for (const DurationCase& test : durationCases(0.001, 31'536'000))
        check("repeat_window_s", test, 10, window);
    check("stop_grace_ms", { "6500", 6.5, false }, 30, grace);
    check("stop_grace_ms", { "\"1500.5\"", 1.5005, false }, 30, grace);
    check("repeat_window_ms", { "7500.0", 7.5, false }, 10, window);
    check("key_validity_ms", { "\"1500.5\"", 1.5005, false }, 0,
        [](const SeededSettings& settings) { return settings.keyValidity; });
    check("stop_grace_s = 6\nstop_grace_ms", { "7000", 6, true }, 30, grace);
}

TEST_CASE("seeded settings: the retry budget, losses and memory take every number")
{
    const std::string entry = common + "entry = \"10.0.0.1:80\"\nseeds = []\n";
    struct Case {
        const char* value;
        double used;
        bool warns;
    };
    const auto check
        = [&](const std::string& key, const std::vector<Case>& cases, const auto& valueOf) {
              for (const Case& test : cases) {
                  CAPTURE(key, test.value);
                  Findings findings;
                  const auto settings = read(entry + key + " = " + test.value + "\n", findings);
                  CHECK(static_cast<double>(valueOf(settings)) == Approx(test.used));
                  CHECK_FALSE(findings.hasErrors());
                  CHECK(findings.empty() != test.warns);
              }
          };
    check("repeat_ratio",
        { { "0", 0, false }, { "\"0\"", 0, false }, { "\"1\"", 1, false },
            { "\"0.25\"", 0.25, false }, { "\"\"", 0.1, false }, { "\"1e9\"", 1000, true },
            { "-1", 0, true } },
        [](const SeededSettings& settings) { return settings.retryBudget.ratio; });
    check("repeat_slack",
        { { "\"64\"", 64, false }, { "\"64.0\"", 64, false }, { "\"64.5\"", 64.5, false },
            { "64.5", 64.5, false }, { "\"0\"", 0, false }, { "\"\"", 0, false },
            { "\"1e12\"", 1'000'000, true } },
        [](const SeededSettings& settings) { return settings.retryBudget.slack; });
    check("bear_losses",
        { { "\"2\"", 2, false }, { "\"2.0\"", 2, false }, { "\"0\"", 0, false },
            { "\"\"", 2, false }, { "\"400\"", 16, true } },
        [](const SeededSettings& settings) { return settings.toleratedFailures; });
    check("memory_mb",
        { { "\"260\"", 65 << 20, false }, { "\"128.5\"", 33'685'504, false },
            { "\"0\"", 32 << 20, false }, { "\"\"", 32 << 20, false },
            { "\"1e10\"", 262'144'000'000'000.0, true } },
        [](const SeededSettings& settings) { return settings.bufferBytes; });
}

TEST_CASE("seeded settings: an address that a host needs is not empty")
{
    Findings findings;
    read(common + "entry = \"\"\nseeds = []\n", findings);
    CHECK(findings.hasErrors());
}

TEST_CASE("seeded settings: the buffer limit is given, or a quarter of the memory, or 32 MiB")
{
    const std::string entry = common + "entry = \"10.0.0.1:8000\"\nseeds = [\"10.0.0.2:8000\"]\n";
    Findings findings;
    CHECK(read(entry, findings).bufferBytes == 33'554'432);
    CHECK(read(entry + "memory_mb = 160\n", findings).bufferBytes == 41'943'040);
    CHECK(read(entry + "memory_mb = 160\nbuffer_bytes = 5000\n", findings).bufferBytes == 5000);
    CHECK(findings.empty());
    read(entry + "memory_mb = -1\nbuffer_bytes = \"much\"\n", findings);
    CHECK(findings.sorted().size() == 2);
}

TEST_CASE("seeded settings: every invalid key is reported in one pass")
{
    Findings findings;
    read(common
            + "role = \"chief\"\nentry = \"nowhere\"\nseeds = [\"10.0.0.2\"]\n"
              "repeat_ratio = -1\ncolour = 1\n[data_centres]\nd = 3\n",
        findings);
    std::string all;
    for (const auto& finding : findings.sorted())
        all += formatFinding(finding) + '\n';
    for (const char* part :
        { "must be entry or control", "nowhere", "10.0.0.2", "'repeat_ratio' must be a number",
            "unknown key 'colour'", "a region must be a string" }) {
        CAPTURE(part);
        REQUIRE(all.find(part) != std::string::npos);
    }
}

TEST_CASE("seeded settings: an unknown interface is an error")
{
    Findings findings;
    read("host = \"h\"\ndata_centre = \"d\"\nregion = \"r\"\ninterface = \"odd\"\n"
         "entry = \"10.0.0.1:80\"\nseeds = []\n",
        findings);
    REQUIRE(findings.hasErrors());
}
