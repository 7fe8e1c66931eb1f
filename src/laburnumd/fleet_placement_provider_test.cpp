#include <catch2/catch.hpp>

#include "fakes/controller_fleet.h"

#include "fleet_placement_provider.h"

using namespace laburnum;
using namespace laburnum::fakes;
using std::chrono::seconds;

namespace {

class FleetClock final : public Clock {
public:
    explicit FleetClock(const ControllerFleet& fleet)
        : m_fleet(fleet)
    {
    }
    TimePoint now() const noexcept override { return m_fleet.now(); }

private:
    const ControllerFleet& m_fleet;
};

/// Reads configurations as TOML; has no other function.
class TomlAdapter final : public ProtocolAdapter {
public:
    HeaderNames headerNames() const override { return {}; }
    Configuration parseConfiguration(std::string_view content, Findings& findings) const override
    {
        return readConfiguration(content, "test", findings);
    }
    DecodedCall decodeCall(const WebRequest&, const DataCentreMap&) const override
    {
        return WebResponse {};
    }
    WebResponse encodeResult(const ControlCall&, const CallResult&) const override { return {}; }
    bool isReadinessCheck(const WebRequest&) const override { return false; }
};

/// The provider of an entry host in a simulated fleet.
class ProviderFixture {
public:
    /// Configurations get numbers from `firstNumber` on.
    explicit ProviderFixture(std::uint64_t firstNumber = 1)
        : fleet({ .entries = 1, .keyValidity = seconds(5) })
        , m_clock(fleet)
        , m_nextNumber(firstNumber)
    {
        REQUIRE(fleet.runUntil(seconds(10), [this] { return fleet.leader().has_value(); }));
    }

    /// Puts a configuration with these accounts in force.
    void configure(const std::string& accounts)
    {
        put("[[service]]\nname = \"s\"\nfloor_slots = 1\n"
            "[[route]]\nservice = \"s\"\npriority = 2\n"
            "[[route]]\nservice = \"s\"\nprefix = \"/open\"\nanonymous = true\n"
            + accounts);
    }

    void put(const std::string& content)
    {
        const std::uint64_t number = m_nextNumber++;
        REQUIRE(fleet.callAnywhere(PutConfigCall { { number, content } }));
        REQUIRE(fleet.runUntil(seconds(5), [&] { return client().config().number == number; }));
        if (!m_provider)
            m_provider.emplace(
                client(), m_clock, m_adapter, m_log, 1, [](ControllerClientActions&) {});
        ControllerClientActions actions;
        actions.configChanged = true;
        m_provider->apply(actions);
        fleet.run(seconds(2));
    }

    tl::expected<RequestPlan, PlanRefusal> plan(
        const std::string& target, std::vector<std::string_view> keys)
    {
        return m_provider->plan({ "GET", "h", target, std::move(keys) });
    }

    PlanRefusal refusal(const std::string& target, std::vector<std::string_view> keys)
    {
        const auto result = plan(target, std::move(keys));
        REQUIRE_FALSE(result);
        return result.error();
    }

    void cutFromControls(bool isCut)
    {
        for (unsigned i = 1; i <= 5; ++i)
            fleet.cut(ControllerFleet::entry(1), ControllerFleet::control(i), isCut);
    }

    bool hasConfiguration() const { return m_provider && m_provider->hasConfiguration(); }
    std::optional<std::uint64_t> configNumber() const { return m_provider->configNumber(); }

    ControllerClient& client() { return fleet.client(ControllerFleet::entry(1)); }

    ControllerFleet fleet;

private:
    FleetClock m_clock;
    TomlAdapter m_adapter;
    NullDecisionLog m_log;
    std::optional<FleetPlacementProvider> m_provider;
    std::uint64_t m_nextNumber;
};

} // namespace

TEST_CASE("placement provider: without accounts no route needs a key")
{
    ProviderFixture fixture;
    fixture.configure("");
    const auto plan = fixture.plan("/", {});
    REQUIRE(plan);
    REQUIRE(plan->account.value().empty());
    REQUIRE_FALSE(plan->removesAccountFields);
    REQUIRE(fixture.plan("/", { "any", "two" }));
}

TEST_CASE("placement provider: with accounts each route but anonymous ones needs one known key")
{
    ProviderFixture fixture;
    fixture.configure("[[account]]\nname = \"a\"\nkeys = [\"k1\", \"k2\"]\npriority = 1\n"
                      "[[account]]\nname = \"b\"\nkeys = [\"k3\"]\n");
    const auto plan = fixture.plan("/", { "k1" });
    REQUIRE(plan);
    REQUIRE(plan->account == ClientAccountId("a"));
    REQUIRE(plan->priority == 1);
    REQUIRE(plan->keyFingerprint == keyFingerprint("k1"));
    REQUIRE(plan->removesAccountFields);
    REQUIRE(fixture.plan("/", { "k3" })->priority == 2);
    REQUIRE(fixture.refusal("/", {}) == PlanRefusal::KeyMissing);
    REQUIRE(fixture.refusal("/", { "k1", "k1" }) == PlanRefusal::KeyRepeated);
    REQUIRE(fixture.refusal("/", { "k4" }) == PlanRefusal::KeyUnknown);
    REQUIRE(fixture.refusal("/", { "" }) == PlanRefusal::KeyUnknown);
    const auto open = fixture.plan("/open/x", { "k4" });
    REQUIRE(open);
    REQUIRE(open->account.value().empty());
    REQUIRE(open->removesAccountFields);
    // One key moves, and the last key of an account is removed.
    fixture.configure("[[account]]\nname = \"a\"\nkeys = [\"k3\"]\n"
                      "[[account]]\nname = \"b\"\nkeys = []\n");
    REQUIRE(fixture.plan("/", { "k3" })->account == ClientAccountId("a"));
    REQUIRE(fixture.refusal("/", { "k1" }) == PlanRefusal::KeyUnknown);
}

TEST_CASE("placement provider: refuses keys without contact, serves anonymous routes, resumes")
{
    ProviderFixture fixture;
    fixture.configure("[[account]]\nname = \"a\"\nkeys = [\"k1\"]\n");
    fixture.cutFromControls(true);
    fixture.fleet.run(seconds(3));
    REQUIRE(fixture.plan("/", { "k1" }));
    fixture.fleet.run(seconds(2));
    REQUIRE(fixture.refusal("/", { "k1" }) == PlanRefusal::KeyUnconfirmed);
    REQUIRE(fixture.refusal("/", {}) == PlanRefusal::KeyUnconfirmed);
    REQUIRE(fixture.plan("/open/x", {}));
    fixture.cutFromControls(false);
    REQUIRE(fixture.fleet.runUntil(
        seconds(5), [&] { return fixture.plan("/", { "k1" }).has_value(); }));
}

// The keys of the former configuration may have been removed by the one that cannot be read.
TEST_CASE("placement provider: refuses keys while the newest configuration cannot be read")
{
    ProviderFixture fixture;
    fixture.configure("[[account]]\nname = \"a\"\nkeys = [\"k1\"]\n");
    REQUIRE(fixture.plan("/", { "k1" }));
    fixture.put("[not a configuration");
    REQUIRE(fixture.refusal("/", { "k1" }) == PlanRefusal::KeyUnconfirmed);
    REQUIRE(fixture.plan("/open/x", {}));
}

// Guards against a first configuration with the number 0 by which no request is served.
TEST_CASE("placement provider: the smallest and the largest number are configurations as any other")
{
    const std::uint64_t number = GENERATE(std::uint64_t { 0 }, UINT64_MAX);
    ProviderFixture fixture(number);
    fixture.configure("[[account]]\nname = \"a\"\nkeys = [\"k1\"]\n");
    REQUIRE(fixture.hasConfiguration());
    REQUIRE(fixture.configNumber() == number);
    const auto plan = fixture.plan("/", { "k1" });
    REQUIRE(plan);
    REQUIRE(plan->configNumber == number);
    REQUIRE(plan->account == ClientAccountId("a"));
    REQUIRE(fixture.refusal("/", { "k2" }) == PlanRefusal::KeyUnknown);
    REQUIRE(fixture.plan("/open/x", {}));
}
