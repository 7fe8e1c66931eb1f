/// Failure detection among hosts: who is alive, in which data centre and region.
///
/// Every period a host pings one other host, in random order. Without an answer it asks a few
/// others to ping on its behalf, so that one cut direction does not make a live host look dead. A
/// host that nobody reached is suspected, and dead unless it refutes in time with a higher
/// incarnation. News travels on the pings. Messages per host do not depend on the number of hosts.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include <laburnumroute/host_location.h>
#include <laburnumroute/participant.h>
#include <laburnumroute/random.h>

namespace laburnum {

namespace pvt {
    struct MemberNews;
    struct MemberPing;
} // namespace pvt

/// What is thought of a host.
enum class MemberState { Alive, Suspect, Dead };

/// Times and limits of the failure detection.
struct MembershipSettings {
    /// Interval between pings; each goes to another host.
    Duration period = std::chrono::seconds(1);
    /// Time to wait for an answer before others are asked to ping.
    Duration pingTimeout = std::chrono::milliseconds(300);
    /// Hosts that are asked to ping.
    unsigned helpers = 3;
    /// Time that a suspected host has to refute.
    Duration suspicionTime = std::chrono::seconds(4);
    /// News on one message.
    std::size_t newsPerMessage = 6;
    /// Unanswered pings in a row after which a host doubts itself and suspects nobody.
    unsigned selfDoubtMisses = 3;
    /// Every so many pings one goes to a dead host, which thus learns that it is thought dead.
    unsigned deadPingEvery = 4;
};

/// One host's view. Every host counts as alive until there is reason to think otherwise.
class HostMembership final : public Participant {
public:
    /// `hosts` are all configured hosts, with or without `self`.
    HostMembership(const HostId& self, const std::vector<HostLocation>& hosts, std::uint64_t seed,
        MembershipSettings settings = {});

    /// Configured hosts that are not dead, this one included, sorted by id.
    std::vector<HostLocation> liveHosts() const;
    /// False for dead and unknown hosts.
    bool isLive(const HostId& host) const;
    /// What is thought of `host`; Dead when it is unknown.
    MemberState stateOf(const HostId& host) const;

    std::vector<std::string> methods() const override;
    void receive(const PeerMessage& message, TimePoint now, Outbox& out) override;
    void tick(TimePoint now, Outbox& out) override;

private:
    struct Member {
        HostLocation place;
        MemberState state = MemberState::Alive;
        std::uint64_t incarnation = 0;
        /// When a suspicion turns into death.
        TimePoint deadline;
        /// Messages that carried the present state.
        unsigned told = 0;
    };
    /// The ping of the current period.
    struct Probe {
        HostId target;
        std::uint64_t number = 0;
        TimePoint started;
        bool helpersAsked = false;
        bool answered = false;
    };
    /// A ping that another host asked for.
    struct Errand {
        HostId asker;
        std::uint64_t askerNumber = 0;
        TimePoint ends;
    };

    void receivePing(const PeerMessage& message, TimePoint now, Outbox& out);
    void receiveAck(const PeerMessage& message, TimePoint now, Outbox& out);
    void receiveRequest(const PeerMessage& message, TimePoint now, Outbox& out);
    void applyNews(const HostId& from, const std::vector<pvt::MemberNews>& news, TimePoint now);
    void applyOwnNews(const pvt::MemberNews& item);
    void setState(Member& member, MemberState state, std::uint64_t incarnation, TimePoint now);
    void endProbe(TimePoint now);
    void startProbe(TimePoint now, Outbox& out);
    HostId nextTarget();
    void askHelpers(Outbox& out);
    void sendUrgent(Outbox& out);
    void expire(TimePoint now, Outbox& out);
    std::vector<pvt::MemberNews> pickNews(const HostId& receiver);
    void sendPing(const HostId& to, std::uint64_t number, Outbox& out);
    bool doubtsItself() const noexcept { return m_misses >= m_settings.selfDoubtMisses; }

    HostId m_self;
    HostLocation m_place;
    Random m_random;
    MembershipSettings m_settings;
    std::map<HostId, Member> m_members;
    std::uint64_t m_incarnation = 0;
    unsigned m_ownNewsTold = 0;
    unsigned m_maxTellings = 0;

    std::vector<HostId> m_order;
    unsigned m_probes = 0;
    std::optional<Probe> m_probe;
    std::uint64_t m_lastNumber = 0;
    std::map<std::uint64_t, Errand> m_errands;
    /// Unanswered probes in a row. A host doubts itself until its first answer.
    unsigned m_misses;
    /// Suspected by others; to be pinged at once so that they can refute.
    std::vector<HostId> m_toVerify;
    /// This host's own suspicion or refutation is to be told at once.
    bool m_hasUrgentNews = false;
    std::vector<HostId> m_newlyDead;
    TimePoint m_nextProbe;
};

} // namespace laburnum
