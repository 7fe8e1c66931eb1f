#include <catch2/catch.hpp>

#include "fakes/ejection_fleet.h"

using namespace laburnum;
using namespace laburnum::fakes;
using namespace std::chrono_literals;

namespace {

constexpr auto warmupTime = 30s;

/// Returns a fleet after a healthy warm-up, with `health` from then on.
std::unique_ptr<EjectionFleet> warmFleet(const HealthModel& health, DetectionWeighting weighting)
{
    auto fleet = std::make_unique<EjectionFleet>(
        EjectionFleet::Options { .floorSlots = 6, .weighting = weighting });
    fleet->run(warmupTime);
    REQUIRE(fleet->ejectedAnywhere().empty());
    fleet->health = health;
    return fleet;
}

bool isFirst(const InstanceId& id) { return id == EjectionFleet::instance(0); }

AttemptReport slowReport(Random& random, int factor)
{
    AttemptReport report = healthyReport(random);
    report.latency *= factor;
    return report;
}

} // namespace

TEST_CASE("an error rate of a fifth and threefold latency are detected")
{
    const auto weighting
        = GENERATE(DetectionWeighting::FewFalseEjections, DetectionWeighting::QuickDetection);
    CAPTURE(detectionWeightingName(weighting));
    auto errors = warmFleet(
        [](const InstanceId& id, const HostLocation&, TimePoint, Random& random) {
            return isFirst(id) && uniformReal(random) < 0.2 ? errorReport() : healthyReport(random);
        },
        weighting);
    errors->run(10s);
    REQUIRE(errors->ejectedAnywhere() == std::set { EjectionFleet::instance(0) });
    auto slowness
        = warmFleet([](const InstanceId& id, const HostLocation&, TimePoint,
                        Random& random) { return slowReport(random, isFirst(id) ? 3 : 1); },
            weighting);
    slowness->run(10s);
    REQUIRE(slowness->ejectedAnywhere() == std::set { EjectionFleet::instance(0) });
}

TEST_CASE("a service that fails or slows down as a whole causes no ejection")
{
    auto failing = warmFleet(
        [](const InstanceId&, const HostLocation&, TimePoint, Random& random) {
            return uniformReal(random) < 0.7 ? errorReport() : healthyReport(random);
        },
        DetectionWeighting::QuickDetection);
    failing->run(20s);
    REQUIRE(failing->ejectedAnywhere().empty());
    auto slow = warmFleet([](const InstanceId&, const HostLocation&, TimePoint,
                              Random& random) { return slowReport(random, 5); },
        DetectionWeighting::QuickDetection);
    slow->run(20s);
    REQUIRE(slow->ejectedAnywhere().empty());
}

TEST_CASE("shed requests and the caller's faults cause no ejection")
{
    const auto result = GENERATE(AttemptResult::Shed, AttemptResult::CallerFault);
    auto fleet = warmFleet(
        [result](const InstanceId& id, const HostLocation&, TimePoint, Random& random) {
            return isFirst(id) ? AttemptReport { result, 503, 1ms, 0 } : healthyReport(random);
        },
        DetectionWeighting::QuickDetection);
    fleet->run(20s);
    REQUIRE(fleet->ejectedAnywhere().empty());
}

TEST_CASE("a faulty path of one data centre is avoided there and nowhere else")
{
    auto fleet = warmFleet(
        [](const InstanceId& id, const HostLocation& location, TimePoint, Random& random) {
            const bool cut = isFirst(id) && location.dataCentre == DataCentreId("d0");
            return cut ? AttemptReport { AttemptResult::NotConnected } : healthyReport(random);
        },
        DetectionWeighting::QuickDetection);
    fleet->run(8s);
    REQUIRE(fleet->isEjectedAt(0, 0));
    REQUIRE(fleet->isEjectedAt(2, 0));
    REQUIRE_FALSE(fleet->isEjectedAt(1, 0));
    REQUIRE_FALSE(fleet->isEjectedAt(3, 0));
}

TEST_CASE("cut paths of two of six data centres cause no ejection elsewhere")
{
    OutlierDetector detector(thresholdsFor(DetectionWeighting::QuickDetection));
    TimePoint now(1h);
    const auto feed = [&](bool isCut) {
        for (unsigned host = 0; host < 12; ++host) {
            EvidenceDelta delta;
            delta.observer = DataCentreId("d" + std::to_string(host % 6));
            for (unsigned i = 0; i < 4; ++i) {
                OutcomeCounts& counts = delta.instances[EjectionFleet::instance(i)];
                const bool fails = isCut && i == 0 && host % 6 < 2;
                (fails ? counts.notConnected : counts.succeeded) = 3;
            }
            detector.add(HostId("h" + std::to_string(host)), delta, now);
        }
        now += 500ms;
        detector.evaluate({}, now);
    };
    for (int i = 0; i < 60; ++i)
        feed(false);
    while (detector.suspicions().empty())
        feed(true);
    REQUIRE(detector.suspicions().size() == 1);
    REQUIRE(detector.suspicions()[0].instance == EjectionFleet::instance(0));
    REQUIRE(detector.suspicions()[0].scope < DataCentreId("d2"));
    REQUIRE_FALSE(detector.suspicions()[0].scope.value().empty());
}

TEST_CASE("errors that only one host sees cause no ejection")
{
    auto fleet = warmFleet(
        [](const InstanceId& id, const HostLocation& location, TimePoint, Random& random) {
            return isFirst(id) && location.host == HostId("h1") ? errorReport()
                                                                : healthyReport(random);
        },
        DetectionWeighting::QuickDetection);
    fleet->run(10s);
    REQUIRE(fleet->ejectedAnywhere().empty());
}

TEST_CASE("an instance that hangs is detected before its requests time out")
{
    NullDecisionLog log;
    Dispatcher dispatcher({ HostId("e1") }, 1, log);
    Configuration configuration;
    configuration.services.push_back({ ServiceId("s") });
    configuration.routes.push_back({ "", "/", {}, ServiceId("s") });
    dispatcher.setConfiguration(configuration);
    InstanceRecord record;
    record.id = InstanceId("a");
    record.service = ServiceId("s");
    const TimePoint now(1h);
    dispatcher.upsertInstance(record, now);
    const auto assigned = dispatcher.begin({ "GET", "", "/" }, {}, now);
    REQUIRE(assigned.has_value());
    REQUIRE(dispatcher.takeEvidence(now + 500ms).empty());
    const auto evidence = dispatcher.takeEvidence(now + 1500ms);
    REQUIRE(evidence.size() == 1);
    REQUIRE(evidence[0].instances.at(InstanceId("a")).latency.total() == 1.0);
    dispatcher.finish(assigned->attempt, { AttemptResult::Succeeded, 200, 2s, 0 }, now + 2s);
    REQUIRE(
        dispatcher.takeEvidence(now + 2s)[0].instances.at(InstanceId("a")).latency.total() == 0.0);
}

TEST_CASE("evidence and permits survive encoding, and malformed ones are refused")
{
    EvidenceDelta delta { ServiceId("s"), DataCentreId("d"), 7, 8, 9, {} };
    delta.instances[InstanceId("a")].failed = 3;
    delta.instances[InstanceId("a")].latency.add(40ms);
    const auto decoded = decodeEvidence(encodeEvidence(delta));
    REQUIRE(decoded.has_value());
    REQUIRE(encodeEvidence(*decoded) == encodeEvidence(delta));
    Json::Value broken = encodeEvidence(delta);
    broken["instances"]["a"]["l"][0] = 4000;
    REQUIRE_FALSE(decodeEvidence(broken).has_value());
    REQUIRE_FALSE(decodeEvidence(Json::Value("x")).has_value());
    const PermitGrant grant { ServiceId("s"), 1, 2, 3,
        { { 4, InstanceId("a"), DataCentreId("d"), PermitState::Withdrawn } } };
    const auto granted = decodePermitGrant(encodePermitGrant(grant));
    REQUIRE(granted.has_value());
    REQUIRE(granted->permits == grant.permits);
    Json::Value unknownState = encodePermitGrant(grant);
    unknownState["permits"][0]["state"] = "else";
    REQUIRE_FALSE(decodePermitGrant(unknownState).has_value());
}

TEST_CASE("a short pause of an instance causes no ejection")
{
    auto fleet = warmFleet(
        [](const InstanceId& id, const HostLocation&, TimePoint now, Random& random) {
            const bool pauses = isFirst(id) && now.time_since_epoch() % 10s < 300ms;
            AttemptReport report = healthyReport(random);
            report.latency += pauses ? 300ms : 0ms;
            return report;
        },
        DetectionWeighting::QuickDetection);
    fleet->run(60s);
    REQUIRE(fleet->ejectedAnywhere().empty());
}

TEST_CASE("a cold instance is exempt during its grace period")
{
    auto fleet = warmFleet([](const InstanceId&, const HostLocation&, TimePoint,
                               Random& random) { return healthyReport(random); },
        DetectionWeighting::QuickDetection);
    const InstanceId cold = EjectionFleet::instance(6);
    const TimePoint joined = fleet->network.now();
    fleet->health = [=](const InstanceId& id, const HostLocation&, TimePoint now, Random& random) {
        return slowReport(random, id == cold && now < joined + 5s ? 5 : 1);
    };
    fleet->addInstance(6);
    fleet->run(30s);
    REQUIRE(fleet->ejectedAnywhere().empty());
    REQUIRE(fleet->requests[cold] > 0);
}

TEST_CASE("a failing instance is detected eventually at low traffic")
{
    EjectionFleet fleet({ .floorSlots = 6, .rate = 1.0 });
    fleet.run(60s);
    fleet.health = [](const InstanceId& id, const HostLocation&, TimePoint, Random& random) {
        return isFirst(id) ? errorReport() : healthyReport(random);
    };
    fleet.run(120s);
    REQUIRE(fleet.ejectedAnywhere() == std::set { EjectionFleet::instance(0) });
}

TEST_CASE("a flapping instance is ejected less often than it flaps")
{
    auto fleet = warmFleet(
        [](const InstanceId& id, const HostLocation&, TimePoint now, Random& random) {
            const bool unhealthy = isFirst(id) && now.time_since_epoch() % 20s < 10s;
            return unhealthy ? errorReport() : healthyReport(random);
        },
        DetectionWeighting::QuickDetection);
    fleet->run(400s);
    unsigned grants = 0;
    for (const auto& decision : fleet->network.decisions())
        grants += decision.kind == "grant-ejection" ? 1 : 0;
    REQUIRE(grants >= 1);
    REQUIRE(grants <= 7);
    REQUIRE(fleet->violations == 0);
}
