/// The part of a service's owner in ejections: merges the evidence of all hosts, judges, and grants
/// permits under short leases so that the floor holds over the fleet.
#pragma once

#include <map>

#include <laburnumroute/outlier_detector.h>
#include <laburnumroute/ownership.h>
#include <laburnumroute/participant.h>
#include <laburnumroute/permit_message.h>

namespace laburnum {

/// Keeps references to the ownership and the traffic, which must outlive it. Runs at every host and
/// is idle for services that others own.
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
        /// Latest sending in which the permit was not withdrawn.
        TimePoint lastGranted {};
    };
    /// A host that reports on the service.
    struct Reporter {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        std::int64_t sentAt = 0;
        TimePoint heardAt {};
    };
    /// How often an instance was ejected; fades with time.
    struct Strikes {
        double count = 0.0;
        TimePoint updated {};
    };
    /// One owned service, for one term of ownership.
    struct Term {
        explicit Term(DetectionThresholds thresholds)
            : judge(thresholds)
        {
        }
        ServiceSpec spec;
        TimePoint since {};
        OutlierDetector judge;
        std::map<HostId, Reporter> reporters;
        std::vector<GrantedPermit> granted;
        std::map<InstanceId, Strikes> strikes;
        std::set<EjectionScope> denied;
        std::uint64_t lastSequence = 0;
        std::uint64_t version = 0;
        TimePoint nextJudgement {};
    };

    Term* termOf(const ServiceId& service, TimePoint now);
    void step(Term& term, const ServingSlots& serving, TimePoint now, Outbox& out);
    void noteServing(const ServiceId& service, const ServingSlots& serving, TimePoint now);
    static bool dropExpired(Term& term, TimePoint now);
    bool enforceFloor(Term& term, const ServingSlots& serving, TimePoint now, Outbox& out);
    bool advance(Term& term, GrantedPermit& granted, const ServingSlots& serving, TimePoint now,
        Outbox& out);
    bool grantSuspicions(Term& term, const ServingSlots& serving, TimePoint now, Outbox& out);
    static bool isHeld(const Term& term, const EjectionScope& scope);
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
    /// When this host first knew each serving instance, also of services that others own: a new
    /// owner must not take old instances for cold ones.
    std::map<ServiceId, std::map<InstanceId, TimePoint>> m_knownSince;
};

} // namespace laburnum
