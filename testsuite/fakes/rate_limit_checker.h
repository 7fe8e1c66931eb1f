/// Judges a simulated fleet by the limits that its instances named: how many requests reached an
/// instance from all hosts that it had told. Knows what happened on the connections; uses none of
/// the product's decisions.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include <laburnumroute/clock.h>
#include <laburnumroute/ids.h>

namespace laburnum::fakes {

/// More requests than a limit allows.
struct RateLimitViolation {
    InstanceId instance;
    /// The latest of the requests.
    TimePoint at;
    std::uint64_t requests = 0;
    double allowed = 0.0;
    double perSecond = 0.0;
};

class RateLimitChecker {
public:
    // The users' rule.
    static constexpr Duration window = std::chrono::seconds(4);
    static constexpr double factor = 1.5;
    static constexpr double slack = 5.0;
    /// Time from which on a named limit binds.
    static constexpr Duration noticeTime = std::chrono::seconds(3);
    /// Requests of a host count from this time after it was told.
    static constexpr Duration hostNoticeTime = std::chrono::milliseconds(500);

    /// The instance names another limit from now on, or none.
    void onNamed(const InstanceId& instance, std::optional<double> perSecond, TimePoint now);
    /// A response with a limit arrived at the host.
    void onTold(const InstanceId& instance, const HostId& host, TimePoint now);
    /// A request arrived at the instance, whether it ran or not.
    void onArrived(const InstanceId& instance, const HostId& host, TimePoint now);

    /// At most one for each instance and limit, the fullest window.
    std::vector<RateLimitViolation> violations() const;
    /// The highest use of a window, as a share of what it allows.
    double fullestWindow() const;
    /// Requests that reached instances while their limits bound.
    std::uint64_t counted() const;

private:
    struct Arrival {
        TimePoint at;
        HostId host;
    };
    /// From the first naming until the instance names none.
    struct Period {
        std::map<TimePoint, double> limits;
        std::optional<TimePoint> end;
        std::map<HostId, TimePoint> told;
        std::vector<Arrival> arrivals;
    };

    /// The fullest window of the period.
    static RateLimitViolation worst(const InstanceId& instance, const Period& period);
    /// The highest limit that may count in the window that ends at `at`.
    static double limitAt(const Period& period, TimePoint at);
    static bool counts(const Period& period, const Arrival& arrival);

    std::map<InstanceId, std::vector<Period>> m_periods;
};

} // namespace laburnum::fakes
