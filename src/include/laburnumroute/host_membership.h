/// Failure detection between hosts (SWIM): which hosts are alive, and their data centre and region.
///
/// Every period a host pings one other host, in random order. If no acknowledgement arrives, it
/// asks a few other hosts to ping the target on its behalf, so that the loss of one network
/// direction does not make a live host look dead. A host that nobody reached becomes suspect, and
/// dead unless it refutes the suspicion in time with a higher incarnation. Membership updates are
/// piggybacked on pings and acknowledgements. The message rate per host does not depend on the
/// number of hosts.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include <laburnumroute/host_location.h>
#include <laburnumroute/participant.h>
#include <laburnumroute/random.h>

namespace laburnum {

namespace pvt {
    struct MemberUpdate;
    struct MemberPing;
} // namespace pvt

/// State of a host as seen by another one.
enum class MemberState { Alive, Suspect, Dead };

/// Timeouts and limits of failure detection.
struct MembershipSettings {
    /// Interval between probes; each probes another host.
    Duration period = std::chrono::seconds(1);
    /// Time to wait for an acknowledgement before indirect probes are requested.
    Duration pingTimeout = std::chrono::milliseconds(300);
    /// Number of hosts asked to ping the target indirectly.
    unsigned indirectProbes = 3;
    /// Time a suspect host has to refute the suspicion before it is declared dead.
    Duration suspicionTimeout = std::chrono::seconds(4);
    /// Maximum number of updates about other hosts in one message.
    std::size_t updatesPerMessage = 6;
    /// Consecutive unanswered probes after which a host considers itself isolated. An isolated host
    /// suspects nobody.
    unsigned isolationMisses = 3;
    /// One in this many probes goes to a dead host, so that a live one learns of it and refutes it.
    unsigned deadPingInterval = 4;
};

/// The membership view of one host. All configured hosts are initially alive.
class HostMembership final : public Participant {
public:
    /// `hosts` are all configured hosts; `self` may be among them.
    HostMembership(const HostId& self, const std::vector<HostLocation>& hosts, std::uint64_t seed,
        MembershipSettings settings = {});

    /// Configured hosts that are not dead, this one included, sorted by id.
    std::vector<HostLocation> liveHosts() const;
    /// False for dead and unknown hosts.
    bool isLive(const HostId& host) const;
    /// State of `host`; Dead when it is unknown.
    MemberState stateOf(const HostId& host) const;

    std::vector<std::string> methods() const override;
    void receive(const PeerMessage& message, TimePoint now, Outbox& out) override;
    void tick(TimePoint now, Outbox& out) override;

private:
    struct Member {
        HostLocation location;
        MemberState state = MemberState::Alive;
        std::uint64_t incarnation = 0;
        /// When a suspect host is declared dead.
        TimePoint deadline;
        /// Number of messages that carried the current state.
        unsigned timesSent = 0;
    };
    /// The probe of the current period.
    struct Probe {
        HostId target;
        std::uint64_t sequence = 0;
        TimePoint started;
        bool indirectSent = false;
        bool answered = false;
    };
    /// A ping sent on behalf of another host.
    struct RelayedPing {
        HostId requester;
        std::uint64_t requesterSequence = 0;
        TimePoint ends;
    };

    void receivePing(const PeerMessage& message, TimePoint now, Outbox& out);
    void receiveAck(const PeerMessage& message, TimePoint now, Outbox& out);
    void receiveRequest(const PeerMessage& message, TimePoint now, Outbox& out);
    void applyUpdates(
        const HostId& from, const std::vector<pvt::MemberUpdate>& updates, TimePoint now);
    void applyUpdateAboutSelf(const pvt::MemberUpdate& item);
    void setState(Member& member, MemberState state, std::uint64_t incarnation, TimePoint now);
    void endProbe(TimePoint now);
    void startProbe(TimePoint now, Outbox& out);
    HostId nextTarget();
    void sendIndirectProbes(Outbox& out);
    void sendUrgentPings(Outbox& out);
    void expire(TimePoint now, Outbox& out);
    std::vector<pvt::MemberUpdate> selectUpdates(const HostId& receiver);
    void sendPing(const HostId& to, std::uint64_t sequence, Outbox& out);
    bool isIsolated() const noexcept { return m_consecutiveMisses >= m_settings.isolationMisses; }

    HostId m_self;
    HostLocation m_location;
    Random m_random;
    MembershipSettings m_settings;
    std::map<HostId, Member> m_members;
    std::uint64_t m_incarnation = 0;
    unsigned m_selfUpdatesSent = 0;
    unsigned m_maxTransmissions = 0;

    std::vector<HostId> m_probeOrder;
    unsigned m_probes = 0;
    std::optional<Probe> m_probe;
    std::uint64_t m_lastSequence = 0;
    std::map<std::uint64_t, RelayedPing> m_relayedPings;
    /// Consecutive unanswered probes. A host counts as isolated until its first acknowledgement.
    unsigned m_consecutiveMisses;
    /// Hosts reported suspect by others; pinged at once so that they can refute the suspicion.
    std::vector<HostId> m_suspectsToPing;
    /// Whether a suspicion raised by this host, or its own refutation, must be sent at once.
    bool m_hasUrgentUpdate = false;
    std::vector<HostId> m_newlyDead;
    TimePoint m_nextProbe;
};

} // namespace laburnum
