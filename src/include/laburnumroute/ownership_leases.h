/// Service ownership by leases granted by a majority of a small group of hosts.
///
/// Each service has a voter group, chosen by rendezvous hashing over the configured hosts so that
/// its members are in different regions and data centres where possible. A member is the owner
/// while a majority of the group has granted it the lease. Leases of two owners never overlap: the
/// owner counts its lease from the time of its request and shortens it to allow for clock drift; a
/// voter counts from the time of its reply. Grants are not stored, so a restarted voter grants
/// nothing for one lease duration.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include <laburnumroute/host_location.h>
#include <laburnumroute/ownership.h>
#include <laburnumroute/participant.h>
#include <laburnumroute/random.h>

namespace laburnum {

namespace pvt {
    struct LeaseReply;
    struct LeaseRequest;
} // namespace pvt

/// Timeouts and limits of ownership leases.
struct LeaseSettings {
    /// Duration of a grant by the voter's clock.
    Duration leaseDuration = std::chrono::seconds(5);
    /// Maximum deviation of a clock's rate from real time, as a fraction.
    double clockDrift = 0.01;
    /// Interval between renewals by the owner.
    Duration renewInterval = std::chrono::milliseconds(1500);
    /// Time after which a candidate without a majority releases its grants.
    Duration requestTimeout = std::chrono::milliseconds(500);
    /// Delay of a candidacy per rank in the voter group, so that members do not compete at the same
    /// time. A random delay of up to the same value is added.
    Duration rankDelay = std::chrono::milliseconds(300);
    /// Number of hosts in a voter group.
    std::size_t groupSize = 5;
    /// Interval at which a host outside the voter group queries the owner of a service.
    Duration ownerQueryInterval = std::chrono::seconds(2);
};

/// The voter group of `service`, the preferred owner first. The result depends only on the set of
/// `hosts`, so it is the same on all hosts.
std::vector<HostId> voterGroup(
    const ServiceId& service, const std::vector<HostLocation>& hosts, std::size_t size);

/// The lease protocol of one host, as voter, candidate, owner or outside observer.
class OwnershipLeases : public Ownership, public Participant {
public:
    /// `hosts` are all configured hosts, including this one. `seed` must differ between runs of the
    /// process, because it makes the epoch of its requests unique.
    OwnershipLeases(HostId self, std::vector<HostLocation> hosts, std::uint64_t seed,
        LeaseSettings settings = {});

    /// Sets the services whose ownership this host seeks or, outside their voter group, queries.
    void setServices(const std::set<ServiceId>& services);
    /// Releases all ownership and seeks none until setServices() is called; for a planned shutdown.
    void resign(TimePoint now, Outbox& out);

    bool isOwner(const ServiceId& service, TimePoint now) const override;
    std::optional<HostId> ownerOf(const ServiceId& service, TimePoint now) const override;
    std::optional<TimePoint> ownerSince(const ServiceId& service, TimePoint now) const override;

    std::vector<std::string> methods() const override;
    void receive(const PeerMessage& message, TimePoint now, Outbox& out) override;
    void tick(TimePoint now, Outbox& out) override;

protected:
    /// Whether this host may vote. False for one lease duration after the start, because grants
    /// given before a restart may still be valid.
    virtual bool mayGrant(TimePoint now) const;
    /// Time for which the owner relies on a grant, counted from the time of its request.
    virtual Duration ownerLease() const;

private:
    /// A grant given by this host as a voter.
    struct Grant {
        HostId owner;
        std::uint64_t epoch = 0;
        std::uint64_t round = 0;
        TimePoint expires;
    };
    /// State of this host as candidate for, or owner of, one service.
    struct Candidacy {
        std::vector<HostId> group;
        std::size_t rank = 0;
        /// Replies to requests up to this round are ignored.
        std::uint64_t cancelledRound = 0;
        std::uint64_t round = 0;
        bool requesting = false;
        TimePoint roundSent;
        std::map<std::uint64_t, TimePoint> sentAt;
        /// Expiry of each voter's grant, by this host's clock.
        std::map<HostId, TimePoint> grants;
        TimePoint ownedSince;
        TimePoint ownedUntil;
        TimePoint nextRequest;
    };
    struct OwnerHint {
        HostId owner;
        TimePoint expires;
    };

    void receiveRequest(const PeerMessage& message, TimePoint now, Outbox& out);
    void receiveReply(const PeerMessage& message, TimePoint now);
    void receiveRelease(const PeerMessage& message, TimePoint now);
    void receiveOwnerQuery(const PeerMessage& message, TimePoint now, Outbox& out);
    void receiveOwner(const PeerMessage& message, TimePoint now);

    const std::vector<HostId>& groupOf(const ServiceId& service);
    bool isInGroup(const ServiceId& service, const HostId& host);
    bool tryGrant(const pvt::LeaseRequest& request, const HostId& from, TimePoint now);
    void tickCandidacy(const ServiceId& service, Candidacy& candidacy, TimePoint now, Outbox& out);
    void request(const ServiceId& service, Candidacy& candidacy, TimePoint now, Outbox& out);
    void addGrant(const ServiceId& service, Candidacy& candidacy, const HostId& voter,
        const pvt::LeaseReply& reply, TimePoint now);
    void backOff(const ServiceId& service, Candidacy& candidacy, TimePoint now, Outbox& out);
    void release(const ServiceId& service, Candidacy& candidacy, Outbox& out);
    void log(const ServiceId& service, const char* reason);
    Duration candidacyDelay(const Candidacy& candidacy);
    const Grant* validGrant(const ServiceId& service, TimePoint now) const;

    HostId m_self;
    std::vector<HostLocation> m_hosts;
    Random m_random;
    LeaseSettings m_settings;
    /// Identifies this run of the process.
    std::uint64_t m_epoch;
    /// Number of the last request for any service.
    std::uint64_t m_lastRound = 0;
    std::optional<TimePoint> m_startTime;
    std::map<ServiceId, std::vector<HostId>> m_groups;
    std::map<ServiceId, Grant> m_granted;
    std::map<ServiceId, Candidacy> m_candidacies;
    /// Services whose voter group does not include this host, with their groups.
    std::map<ServiceId, std::vector<HostId>> m_observed;
    std::map<ServiceId, OwnerHint> m_ownerHints;
    TimePoint m_nextOwnerQuery;
    std::vector<Decision> m_pendingDecisions;
};

} // namespace laburnum
