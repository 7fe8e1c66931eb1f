/// Runs at the owner of a service: merges the evidence of all hosts, detects outliers, and grants
/// ejection permits under short leases, so that the floor holds across the fleet.
#pragma once

#include <map>

#include <laburnumroute/outlier_detector.h>
#include <laburnumroute/ownership.h>
#include <laburnumroute/participant.h>
#include <laburnumroute/permit_message.h>

namespace laburnum {

/// Keeps references to `ownership` and `traffic`, which must outlive it. Exists at every host; idle
/// for services that other hosts own.
class EjectionOwner final : public Participant {
public:
    EjectionOwner(const Ownership& ownership, const TrafficView& traffic)
        : m_ownership(ownership)
        , m_traffic(traffic)
    {
    }

    std::vector<std::string> methods() const override { return { methodEvidence }; }
    void receive(const PeerMessage& message, TimePoint now, Outbox& out) override;
    void tick(TimePoint now, Outbox& out) override;

private:
    struct GrantedPermit {
        Permit permit;
        TimePoint stateSince {};
        /// Last time the permit was sent while not withdrawn.
        TimePoint lastGranted {};
    };
    /// A host that reports on the service.
    struct Reporter {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        std::int64_t sentAt = 0;
        TimePoint lastReport {};
    };
    /// Number of ejections of an instance, decaying with time.
    struct Strikes {
        double count = 0.0;
        TimePoint updated {};
    };
    /// State of an owned service during one term of ownership.
    struct Term {
        explicit Term(DetectionThresholds thresholds)
            : detector(thresholds)
        {
        }
        ServiceSpec spec;
        TimePoint since {};
        OutlierDetector detector;
        std::map<HostId, Reporter> reporters;
        std::vector<GrantedPermit> granted;
        std::map<InstanceId, Strikes> strikes;
        std::set<EjectionScope> denied;
        std::uint64_t lastSequence = 0;
        std::uint64_t version = 0;
        TimePoint nextEvaluation {};
    };

    Term* termOf(const ServiceId& service, TimePoint now);
    void evaluateTerm(Term& term, const ServingSlots& serving, TimePoint now, Outbox& out);
    void updateServing(const ServiceId& service, const ServingSlots& serving, TimePoint now);
    static bool dropExpired(Term& term, TimePoint now);
    bool enforceFloor(Term& term, const ServingSlots& serving, TimePoint now, Outbox& out);
    bool advancePermit(Term& term, GrantedPermit& granted, const ServingSlots& serving,
        TimePoint now, Outbox& out);
    bool grantSuspicions(Term& term, const ServingSlots& serving, TimePoint now, Outbox& out);
    static bool isCovered(const Term& term, const EjectionScope& scope);
    static std::set<EjectionScope> heldScopes(const Term& term);
    static std::vector<Permit> permitsOf(const Term& term);
    static Duration ejectionTime(Term& term, const InstanceId& instance, TimePoint now);
    static void addStrike(Term& term, const InstanceId& instance, TimePoint now);
    static void setState(Term& term, GrantedPermit& granted, PermitState state, const char* reason,
        TimePoint now, Outbox& out);
    static void sendTo(Term& term, const HostId& host, TimePoint now, Outbox& out);

    const Ownership& m_ownership;
    const TrafficView& m_traffic;
    std::map<ServiceId, Term> m_terms;
    /// When this host first saw each serving instance, also for services that others own, so that a
    /// new owner does not treat long-running instances as cold.
    std::map<ServiceId, std::map<InstanceId, TimePoint>> m_knownSince;
};

} // namespace laburnum
