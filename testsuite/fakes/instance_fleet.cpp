#include "fakes/instance_fleet.h"

namespace laburnum::fakes {

namespace {

    constexpr Duration announceInterval = std::chrono::seconds(1);
    constexpr unsigned serviceCount = 3;

    InstanceRecord makeUpstream(unsigned i)
    {
        InstanceRecord record;
        record.id = InstanceId("upstream-" + std::to_string(i));
        record.service = ServiceId("service-" + std::to_string(i % serviceCount));
        record.endpoint = { "10.0.0.1", static_cast<std::uint16_t>(1000 + i) };
        record.dataCentre = DataCentreId("dc-1");
        record.region = RegionId("r-1");
        record.incarnation = 1;
        record.slots = 6;
        record.connections = 400;
        return record;
    }

} // namespace

InstanceFleet::InstanceFleet(unsigned hostCount, unsigned instances, std::uint64_t seed)
    : network(seed)
    , hosts(hostCount)
    , m_random(seed)
{
    for (unsigned i = 0; i < hostCount; ++i)
        ids.push_back(HostId("h" + std::to_string(i)));
    for (unsigned i = 0; i < hostCount; ++i)
        restart(i);
    for (unsigned i = 0; i < instances; ++i)
        upstreams.push_back(makeUpstream(i));
}

void InstanceFleet::restart(unsigned i)
{
    if (hosts[i])
        network.detach(ids[i]);
    hosts[i] = std::make_unique<InstanceGossip>(ids[i], ids, m_random());
    network.attach(ids[i], *hosts[i]);
}

void InstanceFleet::announce(unsigned i)
{
    unsigned host = 0;
    do {
        host = static_cast<unsigned>(uniformBelow(m_random, hosts.size()));
    } while (down.contains(host));
    ++upstreams[i].version;
    upstreams[i].load = uniformReal(m_random);
    hosts[host]->announce(upstreams[i], network.localNow(ids[host]));
}

void InstanceFleet::run(Duration time, const std::function<void()>& check)
{
    const auto slice = announceInterval / static_cast<Duration::rep>(upstreams.size());
    const TimePoint end = network.now() + time;
    for (unsigned turn = 0; network.now() < end; ++turn) {
        const unsigned i = turn % upstreams.size();
        if (!silent.contains(i))
            announce(i);
        network.run(slice);
        if (check)
            check();
    }
}

unsigned InstanceFleet::countKnown(unsigned i, InstancePhase phase) const
{
    unsigned count = 0;
    for (const auto& host : hosts) {
        const DirectoryEntry* entry = host->directory().find(upstreams[i].id);
        if (entry && !entry->expired && entry->record.phase == phase)
            ++count;
    }
    return count;
}

} // namespace laburnum::fakes
