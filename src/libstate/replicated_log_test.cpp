#include <catch2/catch.hpp>

#include "fakes/state_cluster.h"

using namespace laburnum;
using namespace laburnum::fakes;
using namespace std::chrono_literals;

namespace {

const std::vector<std::string> noViolations;

/// Submits `count` changes sequentially at `host` and waits for each result.
void submitChanges(
    StateCluster& cluster, const HostId& host, unsigned count, const std::string& prefix)
{
    for (unsigned i = 0; i < count; ++i) {
        const ChangeId id(prefix + std::to_string(i));
        cluster.submit(host, { id, cluster.newestAccepted(), "content of " + id.value() });
        cluster.run(10s, [&] { return cluster.submitted().at(id).answers > 0; });
    }
}

/// Waits for a leader and until every host has committed the first membership.
void awaitLeader(StateCluster& cluster)
{
    const auto hasLeader = [&] {
        const auto hosts = cluster.hosts();
        return cluster.leader() && std::all_of(hosts.begin(), hosts.end(), [&](const HostId& host) {
            return cluster.log(host).commitIndex() > LogIndex(0);
        });
    };
    cluster.run(10s, hasLeader);
    REQUIRE(hasLeader());
}

/// All hosts except the leader.
std::vector<HostId> followers(const StateCluster& cluster)
{
    std::vector<HostId> result = cluster.hosts();
    std::erase(result, *cluster.leader());
    return result;
}

void cutOutgoing(StateCluster& cluster, const HostId& from, bool isCut = true)
{
    for (const HostId& to : cluster.hosts())
        cluster.network().cut(from, to, isCut);
}

void cutIncoming(StateCluster& cluster, const HostId& to)
{
    for (const HostId& from : cluster.hosts())
        cluster.network().cut(from, to);
}

} // namespace

TEST_CASE("hosts with empty logs bootstrap one log and accept changes at any host")
{
    StateClusterOptions options;
    options.hosts = GENERATE(1, 3, 5);
    CAPTURE(options.hosts, options.seed);
    StateCluster cluster(options);
    awaitLeader(cluster);
    for (const HostId& host : cluster.hosts())
        submitChanges(cluster, host, 10, host.value() + "-");
    REQUIRE(cluster.newestAccepted() == Revision(10UL * options.hosts));
    cluster.settle();
    REQUIRE(cluster.violations() == noViolations);
}

TEST_CASE("a leader with a one-way partition loses leadership and does not disturb the next leader")
{
    const bool isHeard = GENERATE(true, false);
    StateClusterOptions options;
    options.seed = GENERATE(1, 2, 3);
    CAPTURE(isHeard, options.seed);
    StateCluster cluster(options);
    awaitLeader(cluster);
    const HostId old = *cluster.leader();
    isHeard ? cutIncoming(cluster, old) : cutOutgoing(cluster, old);
    cluster.run(4s);
    REQUIRE(cluster.leader() != old);
    REQUIRE(cluster.log(old).role() != LogRole::Leader);
    const HostId now = *cluster.leader();
    const Term term = cluster.log(now).term();
    submitChanges(cluster, now, 3, "during-");
    cluster.run(10s);
    REQUIRE(cluster.leader() == now);
    REQUIRE(cluster.log(now).term() == term);
    cluster.settle();
    REQUIRE(cluster.violations() == noViolations);
    REQUIRE(cluster.log(now).term() == term);
}

TEST_CASE("a follower with a one-way partition does not disturb the leader")
{
    const bool isHeard = GENERATE(true, false);
    StateClusterOptions options;
    options.seed = GENERATE(1, 2, 3);
    CAPTURE(isHeard, options.seed);
    StateCluster cluster(options);
    awaitLeader(cluster);
    const HostId leader = *cluster.leader();
    const Term term = cluster.log(leader).term();
    const HostId cut = followers(cluster).front();
    isHeard ? cutIncoming(cluster, cut) : cutOutgoing(cluster, cut);
    cluster.run(10s);
    submitChanges(cluster, leader, 3, "during-");
    cluster.settle();
    REQUIRE(cluster.leader() == leader);
    REQUIRE(cluster.log(leader).term() == term);
    REQUIRE(cluster.violations() == noViolations);
}

TEST_CASE("the lease of a frozen leader ends before another leader is elected")
{
    StateClusterOptions options;
    options.seed = GENERATE(1, 2, 3, 4);
    CAPTURE(options.seed);
    StateCluster cluster(options);
    awaitLeader(cluster);
    cluster.run(1s);
    const HostId old = *cluster.leader();
    REQUIRE(cluster.log(old).holdsLease(cluster.network().now()));
    cluster.network().freeze(old);
    const auto holders = [&] {
        int count = 0;
        for (const HostId& host : cluster.hosts())
            count += cluster.log(host).holdsLease(cluster.network().now()) ? 1 : 0;
        if (count > 1)
            cluster.recordViolation("two hosts hold the lease");
        return false;
    };
    cluster.run(5s, holders);
    REQUIRE(cluster.leader() != old);
    cluster.network().freeze(old, false);
    cluster.run(5s, holders);
    cluster.settle();
    REQUIRE(cluster.violations() == noViolations);
}

TEST_CASE("a host that lags far behind gets the snapshot in chunks")
{
    StateClusterOptions options;
    options.checksDurability = false;
    CAPTURE(options.seed);
    StateCluster cluster(options);
    awaitLeader(cluster);
    const HostId behind = followers(cluster).front();
    cluster.kill(behind);
    for (unsigned i = 0; i < 40; ++i) {
        const ChangeId id("c" + std::to_string(i));
        cluster.submit(
            *cluster.leader(), { id, cluster.newestAccepted(), std::string(20000, 'x') });
        cluster.run(10s, [&] { return cluster.submitted().at(id).answers > 0; });
    }
    REQUIRE(cluster.log(*cluster.leader()).store().snapshot().state.size() > 500000);
    cluster.start(behind);
    cluster.settle();
    REQUIRE(cluster.violations() == noViolations);
    const auto& decisions = cluster.network().decisions();
    REQUIRE(std::any_of(decisions.begin(), decisions.end(),
        [](const Decision& decision) { return decision.reason == "snapshot-installed"; }));
}

TEST_CASE("a host with an emptied disk rejoins as a new member, first as a learner")
{
    StateClusterOptions options;
    options.hosts = GENERATE(3, 5);
    options.seed = GENERATE(1, 2);
    CAPTURE(options.hosts, options.seed);
    StateCluster cluster(options);
    awaitLeader(cluster);
    submitChanges(cluster, *cluster.leader(), 30, "before-");
    const HostId lost = GENERATE(true, false) ? *cluster.leader() : followers(cluster).front();
    const MemberId old = cluster.log(lost).member();
    cluster.kill(lost);
    cluster.storage(lost).eraseAll();
    cluster.start(lost);
    REQUIRE(cluster.log(lost).member() != old);
    cluster.settle();
    REQUIRE(cluster.violations() == noViolations);
    REQUIRE(cluster.log(lost).membership().find(old) == nullptr);
}

TEST_CASE("two emptied disks of three do not bootstrap a second log")
{
    StateClusterOptions options;
    options.seed = GENERATE(1, 2, 3);
    CAPTURE(options.seed);
    StateCluster cluster(options);
    awaitLeader(cluster);
    submitChanges(cluster, *cluster.leader(), 5, "before-");
    const auto hosts = cluster.hosts();
    const std::size_t kept = GENERATE(0, 1, 2);
    for (std::size_t i = 0; i < hosts.size(); ++i) {
        if (i == kept)
            continue;
        cluster.kill(hosts[i]);
        cluster.storage(hosts[i]).eraseAll();
        cluster.start(hosts[i]);
    }
    cluster.run(20s);
    REQUIRE_FALSE(cluster.leader());
    REQUIRE(cluster.violations() == noViolations);
}

TEST_CASE("a second host fails during the replacement of the first")
{
    StateClusterOptions options;
    options.hosts = GENERATE(3, 5);
    options.seed = GENERATE(1, 2, 3);
    const auto delay = GENERATE(0ms, 100ms, 300ms, 600ms);
    CAPTURE(options.hosts, options.seed, delay.count());
    StateCluster cluster(options);
    awaitLeader(cluster);
    submitChanges(cluster, *cluster.leader(), 20, "before-");
    const HostId lost = followers(cluster).front();
    const HostId second = GENERATE(true, false) ? *cluster.leader() : followers(cluster).back();
    cluster.kill(lost);
    cluster.storage(lost).eraseAll();
    cluster.start(lost);
    cluster.run(delay);
    cluster.kill(second);
    cluster.run(5s);
    if (options.hosts == 5) {
        REQUIRE(cluster.leader());
        submitChanges(cluster, *cluster.leader(), 3, "during-");
    }
    cluster.settle();
    REQUIRE(cluster.violations() == noViolations);
}

TEST_CASE("a folder restored from a backup is detected while the leader is running")
{
    StateClusterOptions options;
    options.seed = GENERATE(1, 2, 3);
    CAPTURE(options.seed);
    StateCluster cluster(options);
    awaitLeader(cluster);
    submitChanges(cluster, *cluster.leader(), 3, "before-");
    const HostId restored = followers(cluster).front();
    const FakeStorage backup = cluster.storage(restored);
    submitChanges(cluster, *cluster.leader(), 3, "after-");
    cluster.kill(restored);
    cluster.storage(restored) = backup;
    cluster.start(restored);
    cluster.run(2s, [&] { return cluster.refusal(restored).has_value(); });
    REQUIRE(cluster.refusal(restored));
    REQUIRE(cluster.refusal(restored)->message.find("old copy") != std::string::npos);
    cluster.kill(restored);
    cluster.storage(restored).eraseAll();
    cluster.settle();
    REQUIRE(cluster.violations() == noViolations);
}

TEST_CASE("a voter can be removed, and changing two members at once is refused")
{
    StateCluster cluster({});
    awaitLeader(cluster);
    cluster.run(1s);
    const HostId leader = *cluster.leader();
    ReplicatedLog& log = cluster.log(leader);
    Outbox out(leader);
    const Membership all = log.membership();
    const MemberId removed = cluster.log(followers(cluster).front()).member();
    const MemberId other = cluster.log(followers(cluster).back()).member();
    REQUIRE(log.changeMembership(all.without(removed).without(other), cluster.network().now(), out)
                .error()
                .code
        == ErrorCode::InvalidArgument);
    REQUIRE(log.changeMembership(all.without(removed), cluster.network().now(), out));
    REQUIRE(log.changeMembership(all, cluster.network().now(), out).error().code
        == ErrorCode::Conflict);
    cluster.network().flush(out);
    cluster.run(1s);
    REQUIRE(log.membership().voterCount() == 2);
    REQUIRE(cluster.violations() == noViolations);
}

TEST_CASE("a proposal is reported as pending, committed or overwritten")
{
    StateCluster cluster({});
    awaitLeader(cluster);
    cluster.run(1s);
    const HostId old = *cluster.leader();
    ReplicatedLog& log = cluster.log(old);
    const auto propose = [&] {
        Outbox out(old);
        const auto index = log.propose("{}", cluster.network().now(), out);
        cluster.network().flush(out);
        return index.value();
    };
    const Term term = log.term();
    const LogIndex committed = propose();
    cluster.run(1s);
    REQUIRE(log.proposalStatus(committed, term) == ProposalStatus::Committed);
    cluster.network().isolate(old);
    const LogIndex lost = propose();
    REQUIRE(log.proposalStatus(lost, term) == ProposalStatus::Pending);
    cluster.run(4s);
    cluster.settle();
    REQUIRE(log.proposalStatus(lost, term) == ProposalStatus::Overwritten);
    Outbox out(old);
    if (log.role() != LogRole::Leader)
        REQUIRE(
            log.propose("{}", cluster.network().now(), out).error().code == ErrorCode::Unavailable);
}

TEST_CASE("a member that was removed while it was down rejoins")
{
    StateClusterOptions options;
    options.seed = GENERATE(1, 2);
    CAPTURE(options.seed);
    StateCluster cluster(options);
    awaitLeader(cluster);
    submitChanges(cluster, *cluster.leader(), 3, "before-");
    const HostId away = followers(cluster).front();
    const MemberId id = cluster.log(away).member();
    cluster.kill(away);
    const HostId leader = *cluster.leader();
    Outbox out(leader);
    ReplicatedLog& log = cluster.log(leader);
    REQUIRE(log.changeMembership(log.membership().without(id), cluster.network().now(), out));
    cluster.network().flush(out);
    cluster.run(1s);
    cluster.settle();
    REQUIRE(cluster.log(leader).membership().isVoter(id));
    REQUIRE(cluster.violations() == noViolations);
}

TEST_CASE("random faults with fixed seeds violate no invariant")
{
    StateClusterOptions options;
    options.seed = GENERATE(range(1, 41));
    options.hosts = options.seed % 2 == 0 ? 5 : 3;
    CAPTURE(options.seed, options.hosts);
    StateCluster cluster(options);
    Random random(options.seed);
    const auto anyHost = [&] { return cluster.hosts()[uniformBelow(random, options.hosts)]; };
    awaitLeader(cluster);
    for (unsigned round = 0; round < 60; ++round) {
        const HostId host = anyHost();
        switch (uniformBelow(random, 9)) {
        case 0:
            cluster.kill(host, CrashKind::Sectors);
            break;
        case 1:
            cluster.kill(host, CrashKind::Process);
            break;
        case 2:
            cluster.storage(host).stopAt(
                1 + static_cast<unsigned>(uniformBelow(random, 20)), StopPoint::Half);
            break;
        case 3:
            cluster.storage(host).failSyncs(1);
            break;
        case 4:
            cluster.network().cut(host, anyHost());
            break;
        case 5:
            cluster.network().isolate(host, uniformBelow(random, 2) == 0);
            break;
        case 6:
            cluster.network().freeze(host, uniformBelow(random, 2) == 0);
            break;
        case 7:
            cluster.network().setFaults({ 0.1, 0.2, 50ms });
            break;
        default:
            cluster.network().setFaults({});
            for (const HostId& other : cluster.hosts()) {
                cutOutgoing(cluster, other, false);
                cluster.network().isolate(other, false);
                cluster.network().freeze(other, false);
            }
        }
        const ChangeId id("change-" + std::to_string(round));
        cluster.submit(anyHost(), { id, cluster.newestAccepted(), "content" });
        cluster.submit(anyHost(), cluster.submitted().at(id).change);
        cluster.run(std::chrono::milliseconds(uniformBelow(random, 800)));
        for (const HostId& other : cluster.hosts())
            if (uniformBelow(random, 3) == 0 && (!cluster.isUp(other) || cluster.refusal(other))) {
                if (cluster.isUp(other))
                    cluster.kill(other);
                cluster.start(other);
            }
    }
    cluster.settle();
    REQUIRE(cluster.violations() == noViolations);
    REQUIRE(cluster.newestAccepted() > Revision(0));
}
