/// Ownership of services by leases from a majority of a small group of hosts.
///
/// Each service has a voter group, chosen by rendezvous hashing over the configured hosts so that
/// its members stand in different regions and data centres where possible. A member becomes owner
/// while a majority of the group has granted it the lease. Leases of two owners never overlap: the
/// owner counts its lease from before it asked and shortens it for clocks that run at different
/// rates; a voter counts from when it answered, and after a restart, when its memory is gone,
/// grants nothing for one whole lease.
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

/// Times and limits of ownership.
struct LeaseSettings {
    /// Time for which a voter's grant holds by the voter's clock.
    Duration lease = std::chrono::seconds(5);
    /// Largest difference of a clock's rate from true time, as a fraction.
    double clockSkew = 0.01;
    /// Interval at which the owner renews.
    Duration renewInterval = std::chrono::milliseconds(1500);
    /// Time after which a candidate without a majority gives its grants back.
    Duration requestTimeout = std::chrono::milliseconds(500);
    /// Extra wait before a candidacy per place in the group's order, so that candidates come one
    /// after the other. A random wait of up to this comes on top.
    Duration rankDelay = std::chrono::milliseconds(300);
    /// Hosts in a voter group.
    std::size_t groupSize = 5;
    /// Interval at which a host outside the group asks who owns a service.
    Duration askInterval = std::chrono::seconds(2);
};

/// The voter group of `service`, the preferred owner first. Equal on all hosts that have the same
/// `hosts`.
std::vector<HostId> voterGroup(
    const ServiceId& service, const std::vector<HostLocation>& hosts, std::size_t size);

/// One host as voter, candidate, owner and asker.
class OwnershipLeases : public Ownership, public Participant {
public:
    /// `hosts` are all configured hosts, this one included. `seed` must differ between runs of a
    /// process, as it makes the numbers of its requests unique.
    OwnershipLeases(HostId self, std::vector<HostLocation> hosts, std::uint64_t seed,
        LeaseSettings settings = {});

    /// The services to own or to ask about from now on.
    void setServices(const std::set<ServiceId>& services);
    /// Gives up all ownership and seeks none until setServices() is called; for a planned stop.
    void resign(TimePoint now, Outbox& out);

    bool isOwner(const ServiceId& service, TimePoint now) const override;
    std::optional<HostId> ownerOf(const ServiceId& service, TimePoint now) const override;
    std::optional<TimePoint> ownerSince(const ServiceId& service, TimePoint now) const override;

    std::vector<std::string> methods() const override;
    void receive(const PeerMessage& message, TimePoint now, Outbox& out) override;
    void tick(TimePoint now, Outbox& out) override;

protected:
    /// False for one lease after the start: grants of a former life may still hold.
    virtual bool mayGrant(TimePoint now) const;
    /// Time for which the owner trusts a grant, from before it asked.
    virtual Duration ownerLease() const;

private:
    /// What this host granted as a voter.
    struct Grant {
        HostId owner;
        std::uint64_t epoch = 0;
        std::uint64_t round = 0;
        TimePoint expires;
    };
    /// What this host strives for as a candidate or owner.
    struct Claim {
        std::vector<HostId> group;
        std::size_t rank = 0;
        /// Requests up to this round are void.
        std::uint64_t voidRound = 0;
        std::uint64_t round = 0;
        bool requesting = false;
        TimePoint roundSent;
        std::map<std::uint64_t, TimePoint> sentAt;
        /// Until when each voter's grant may be trusted.
        std::map<HostId, TimePoint> grants;
        TimePoint ownedSince;
        TimePoint ownedUntil;
        TimePoint nextRequest;
    };
    struct Hint {
        HostId owner;
        TimePoint expires;
    };

    void receiveRequest(const PeerMessage& message, TimePoint now, Outbox& out);
    void receiveReply(const PeerMessage& message, TimePoint now);
    void receiveRelease(const PeerMessage& message, TimePoint now);
    void receiveAsk(const PeerMessage& message, TimePoint now, Outbox& out);
    void receiveOwner(const PeerMessage& message, TimePoint now);

    const std::vector<HostId>& groupOf(const ServiceId& service);
    bool isInGroup(const ServiceId& service, const HostId& host);
    bool tryGrant(const pvt::LeaseRequest& request, const HostId& from, TimePoint now);
    void tickClaim(const ServiceId& service, Claim& claim, TimePoint now, Outbox& out);
    void request(const ServiceId& service, Claim& claim, TimePoint now, Outbox& out);
    void takeGrant(const ServiceId& service, Claim& claim, const HostId& voter,
        const pvt::LeaseReply& reply, TimePoint now);
    void backOff(const ServiceId& service, Claim& claim, TimePoint now, Outbox& out);
    void release(const ServiceId& service, Claim& claim, Outbox& out);
    void log(const ServiceId& service, const char* reason);
    Duration candidacyDelay(const Claim& claim);
    const Grant* liveGrant(const ServiceId& service, TimePoint now) const;

    HostId m_self;
    std::vector<HostLocation> m_hosts;
    Random m_random;
    LeaseSettings m_settings;
    /// Tells this life of the process from earlier ones.
    std::uint64_t m_epoch;
    /// Number of the last request, of any service.
    std::uint64_t m_lastRound = 0;
    std::optional<TimePoint> m_started;
    std::map<ServiceId, std::vector<HostId>> m_groups;
    std::map<ServiceId, Grant> m_granted;
    std::map<ServiceId, Claim> m_claims;
    /// Services whose group this host is not in, with their groups.
    std::map<ServiceId, std::vector<HostId>> m_foreign;
    std::map<ServiceId, Hint> m_hints;
    TimePoint m_nextAsk;
    std::vector<Decision> m_unlogged;
};

} // namespace laburnum
