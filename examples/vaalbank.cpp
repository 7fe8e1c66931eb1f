// Prints the deployment of Vaalbank Oarhouse Bookings, where a false ejection weighs more than a
// slow detection: a healthy instance that is removed before dawn is missed until people wake up.

#include <iostream>

#include <laburnumroute/declare.h>

namespace {

using namespace laburnum;
using namespace std::chrono_literals;

constexpr const char* hostName = "book.vaalbank.example";
constexpr std::uint32_t slotsPerInstance = 6;

/// About 12 instances; the floor keeps 8 of them.
ServiceId addBoatboard(Deployment& deployment)
{
    return deployment.addService({
        .name = ServiceId("boatboard"),
        .floorSlots = 8 * slotsPerInstance,
        .weighting = DetectionWeighting::FewFalseEjections,
        .deadline = 5s,
    });
}

/// About 23 instances; the floor keeps 16 of them.
ServiceId addClaimdesk(Deployment& deployment)
{
    return deployment.addService({
        .name = ServiceId("claimdesk"),
        .floorSlots = 16 * slotsPerInstance,
        .weighting = DetectionWeighting::FewFalseEjections,
        .deadline = 10s,
    });
}

/// About 12 instances; the floor keeps 8 of them. Uploads of photos take long.
ServiceId addScuffvault(Deployment& deployment)
{
    return deployment.addService({
        .name = ServiceId("scuffvault"),
        .floorSlots = 8 * slotsPerInstance,
        .weighting = DetectionWeighting::FewFalseEjections,
        .deadline = 60s,
    });
}

} // namespace

int main()
{
    Deployment deployment("Vaalbank Oarhouse Bookings: few false ejections go before quick "
                          "detection.\nPrinted by examples/vaalbank.cpp.");
    const ServiceId boatboard = addBoatboard(deployment);
    const ServiceId claimdesk = addClaimdesk(deployment);
    const ServiceId scuffvault = addScuffvault(deployment);
    deployment.addRoute({ .host = hostName, .prefix = "/boats", .service = boatboard });
    deployment.addRoute({ .host = hostName, .prefix = "/claims", .service = claimdesk });
    deployment.addRoute({ .host = hostName, .prefix = "/photos", .service = scuffvault });
    return deployment.print(std::cout, std::cerr);
}
