// Prints the deployment of the New England Bottle Mould Guild, where a slow detection weighs more
// than a false ejection: a pattern maker waits while a sick instance goes on taking lookups.

#include <iostream>

#include <laburnumroute/declare.h>

namespace {

using namespace laburnum;
using namespace std::chrono_literals;

constexpr const char* hostName = "ledger.guild.example";
constexpr std::uint32_t slotsPerInstance = 6;

/// About 12 instances; the floor keeps 7 of them, so that up to 5 sick ones can go. Lookups are
/// idempotent and short.
ServiceId addPatternLibrary(Deployment& deployment)
{
    return deployment.addService({
        .name = ServiceId("pattern-library"),
        .floorSlots = 7 * slotsPerInstance,
        .weighting = DetectionWeighting::QuickDetection,
        .deadline = 3s,
        .retryPercent = 20,
    });
}

/// About 19 instances; the floor keeps 12 of them.
ServiceId addOrderLedger(Deployment& deployment)
{
    return deployment.addService({
        .name = ServiceId("order-ledger"),
        .floorSlots = 12 * slotsPerInstance,
        .weighting = DetectionWeighting::QuickDetection,
        .deadline = 10s,
    });
}

/// About 12 instances; the floor keeps 7 of them. Design files and scans take long.
ServiceId addDrawingVault(Deployment& deployment)
{
    return deployment.addService({
        .name = ServiceId("drawing-vault"),
        .floorSlots = 7 * slotsPerInstance,
        .weighting = DetectionWeighting::QuickDetection,
        .deadline = 120s,
    });
}

} // namespace

int main()
{
    Deployment deployment("New England Bottle Mould Guild: quick detection goes before few false "
                          "ejections.\nPrinted by examples/guild.cpp.");
    const ServiceId patternLibrary = addPatternLibrary(deployment);
    const ServiceId orderLedger = addOrderLedger(deployment);
    const ServiceId drawingVault = addDrawingVault(deployment);
    deployment.addRoute({ .host = hostName, .prefix = "/patterns", .service = patternLibrary });
    deployment.addRoute({ .host = hostName, .prefix = "/orders", .service = orderLedger });
    deployment.addRoute({ .host = hostName, .prefix = "/drawings", .service = drawingVault });
    return deployment.print(std::cout, std::cerr);
}
