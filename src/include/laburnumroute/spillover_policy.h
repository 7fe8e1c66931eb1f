/// Decides for each service and data centre how many of the requests that arrive there may use
/// instances of other data centres, and of which ones. No I/O.
///
/// Load pattern: demand moves between data centres within seconds, or a data centre loses most of
/// its instances of a service, while others have free slots. Only what exceeds the home data
/// centre's slots leaves, first within the region. Differences between the failure rates of single
/// instances, which are mostly noise, make nothing leave.
///
/// A data centre exports while its demand, in slots and with its trend, exceeds its slots. An
/// exporter imports nothing, so two data centres never open to each other at the same time. The
/// surplus is divided over the importers of the region in proportion to their spare slots, and what
/// is left over those of other regions.
#pragma once

#include <map>
#include <utility>
#include <vector>

#include <laburnumroute/clock.h>
#include <laburnumroute/ids.h>

namespace laburnum {

/// How a request that arrived in one data centre may use instances of another.
enum class SpilloverPath {
    /// The instance is in the request's own data centre.
    Home,
    /// Part of the surplus may use it now.
    Open,
    /// The surplus is used up, or there is none: a slot there costs as much as a failure that is
    /// known for sure makes worthwhile.
    Closed,
    /// Requests that arrived in the other data centre wait for slots themselves, or some of them
    /// are being served here: only requests at the end of their wait go.
    Blocked,
};

/// Not thread-safe; `now` never goes back.
class SpilloverPolicy {
public:
    /// A service in one data centre.
    struct CentreLoad {
        DataCentreId centre;
        RegionId region;
        /// Slots of the instances that are usable and not likely to be in a gray spell.
        double slots = 0.0;
        /// Queued requests that arrived there.
        double waiting = 0.0;
    };
    /// Grants of a service to requests that arrived in one data centre, since the start.
    struct Count {
        std::uint64_t granted = 0;
        std::uint64_t leftDataCentre = 0;
        std::uint64_t leftRegion = 0;
    };
    using Key = std::pair<ServiceId, DataCentreId>;

    /// One-way delay from which on another data centre of a region counts as far; zero: the policy
    /// is off.
    void setThreshold(Duration from) { m_threshold = from; }
    /// The smallest one-way delay that a host measured lately. Both directions count as equal; of
    /// several hosts the smallest counts.
    void onDelay(
        const DataCentreId& one, const DataCentreId& other, bool isSameRegion, Duration oneWay);
    /// True while a measured delay within a region counts as far.
    bool isOn() const noexcept { return m_isOn; }
    /// Forgets loads and grants in use, not delays and counts.
    void restart();

    /// The state of all data centres of a service; called at each tick of the scheduler.
    void update(const ServiceId& service, const std::vector<CentreLoad>& loads, TimePoint now);
    SpilloverPath path(
        const ServiceId& service, const DataCentreId& home, const DataCentreId& destination) const;
    /// Cost in milliseconds of expected delay of a slot at `destination`, on top of its own.
    double cost(SpilloverPath path, const DataCentreId& home, const DataCentreId& destination,
        bool isSameRegion, std::uint32_t bodyKiB) const;

    /// Returns true if the grant left its data centre and is not a probe.
    bool onGrant(const ServiceId& service, const DataCentreId& home,
        const DataCentreId& destination, bool isSameRegion, bool isProbe);
    /// The end of a grant; `hasLeft` is what onGrant() returned.
    void onRelease(const ServiceId& service, const DataCentreId& home,
        const DataCentreId& destination, bool hasLeft);

    const std::map<Key, Count>& counts() const noexcept { return m_counts; }

private:
    /// Requests of one data centre that are served by another.
    struct Flow {
        /// Part of the surplus that may leave, in slots.
        double allotted = 0.0;
        /// Grants in use that have left, but probes.
        unsigned inUse = 0;
    };
    struct Centre {
        RegionId region;
        double slots = 0.0;
        /// Slots in use anywhere for requests that arrived here.
        unsigned inUse = 0;
        double waiting = 0.0;
        /// Demand in slots and its change per second, smoothed.
        double demand = 0.0;
        double trend = 0.0;
        TimePoint updated;
        bool isExporter = false;
        TimePoint exporterSince;
        std::map<DataCentreId, Flow> flows;
    };
    using Centres = std::map<DataCentreId, Centre>;

    static void updateDemand(Centre& centre, double waiting, TimePoint now);
    static void updateRole(Centre& centre, TimePoint now);
    static double surplusOf(const Centre& centre);
    static double spareOf(const Centre& centre);
    static bool sendsTo(const Centre& centre, const DataCentreId& destination);
    static void allot(Centres& centres);
    Duration delay(const DataCentreId& one, const DataCentreId& other, bool isSameRegion) const;

    Duration m_threshold {};
    bool m_isOn = false;
    struct Delay {
        Duration oneWay;
        bool isSameRegion = false;
    };
    /// By the pair of names in order.
    std::map<std::pair<DataCentreId, DataCentreId>, Delay> m_delays;
    std::map<ServiceId, Centres> m_services;
    std::map<Key, Count> m_counts;
};

} // namespace laburnum
