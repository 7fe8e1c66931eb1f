// Case "control_bytes": control traffic and processor time per host against the numbers of hosts,
// instances, services and configuration changes. Frames as libnet writes them plus an allowance for
// the headers of TCP and IP. Processor time is that of the state machines and of reading and
// writing JSON once each; it leaves out the kernel's share.

#include <ctime>
#include <malloc.h>

#include <laburnumroute/config_gossip.h>
#include <laburnumroute/host_membership.h>
#include <laburnumroute/json.h>
#include <laburnumroute/ownership_leases.h>

#include "bench.h"
#include "fakes/instance_fleet.h"
#include "regions.h"

namespace laburnum::bench {

namespace {

    /// Headers of one segment each way: TCP and IPv4 with time stamps, data and acknowledgement.
    constexpr double headerBytesPerMessage = 104.0;
    constexpr auto warmUp = std::chrono::seconds(6);
    constexpr auto measured = std::chrono::seconds(20);
    constexpr std::size_t contentBytes = 4000;

    struct Load {
        unsigned hosts = 48;
        unsigned instances = 47;
        unsigned services = 3;
        unsigned changesPerHour = 0;
    };

    /// The fleet's state machines at one load.
    class ControlFleet {
    public:
        ControlFleet(const Load& load, std::uint64_t seed)
            : m_load(load)
            , m_fleet(load.hosts, load.instances, seed)
            , m_places(hostPlaces(load.hosts))
        {
            m_fleet.network.setDelay(regionalDelay);
            std::set<ServiceId> services;
            for (unsigned i = 0; i < load.services; ++i)
                services.insert(ServiceId("service-" + std::to_string(i)));
            for (unsigned i = 0; i < load.hosts; ++i)
                addHost(i, seed * load.hosts + i, services);
        }

        void run(Duration time)
        {
            const TimePoint end = m_fleet.network.now() + time;
            while (m_fleet.network.now() < end) {
                m_fleet.run(std::chrono::seconds(1));
                changeConfiguration();
            }
        }

        std::pair<double, double> sentAndReceivedBytes()
        {
            double sent = 0.0;
            double received = 0.0;
            for (const auto& id : m_fleet.ids) {
                sent += bytesOf(m_fleet.network.sentBy(id));
                received += bytesOf(m_fleet.network.receivedBy(id));
            }
            return { sent / m_load.hosts, received / m_load.hosts };
        }

    private:
        static double bytesOf(const fakes::Traffic& traffic)
        {
            return static_cast<double>(traffic.bytes)
                + headerBytesPerMessage * static_cast<double>(traffic.messages);
        }

        void addHost(unsigned i, std::uint64_t seed, const std::set<ServiceId>& services)
        {
            const HostId& id = m_fleet.ids[i];
            m_configs.push_back(std::make_unique<ConfigGossip>(id, m_fleet.ids, nullptr, seed));
            m_members.push_back(std::make_unique<HostMembership>(id, m_places, seed));
            m_leases.push_back(std::make_unique<OwnershipLeases>(id, m_places, seed));
            m_leases.back()->setServices(services);
            m_fleet.network.attach(id, *m_configs.back());
            m_fleet.network.attach(id, *m_members.back());
            m_fleet.network.attach(id, *m_leases.back());
        }

        /// Accepts the changes that have come due by now at host 0.
        void changeConfiguration()
        {
            constexpr double secondsPerHour = 3600.0;
            m_changesDue += m_load.changesPerHour / secondsPerHour;
            if (m_changesDue < 1.0)
                return;
            m_changesDue -= 1.0;
            ++m_revision;
            Outbox out(m_fleet.ids[0]);
            m_configs[0]->adopt(
                { Revision(m_revision), ChangeId("c"), std::string(contentBytes, 'x') },
                m_fleet.network.now(), out);
            m_fleet.network.flush(out);
        }

        Load m_load;
        fakes::InstanceFleet m_fleet;
        std::vector<HostLocation> m_places;
        std::vector<std::unique_ptr<ConfigGossip>> m_configs;
        std::vector<std::unique_ptr<HostMembership>> m_members;
        std::vector<std::unique_ptr<OwnershipLeases>> m_leases;
        double m_changesDue = 0.0;
        std::uint64_t m_revision = 0;
    };

    void measure(const Reporter& reporter, const Load& load, std::uint64_t seed)
    {
        ControlFleet fleet(load, seed);
        fleet.run(warmUp);
        const auto before = fleet.sentAndReceivedBytes();
        const std::clock_t cpuBefore = std::clock();
        fleet.run(measured);
        const double cpuSeconds = static_cast<double>(std::clock() - cpuBefore) / CLOCKS_PER_SEC;
        const auto after = fleet.sentAndReceivedBytes();
        const double time = std::chrono::duration<double>(measured).count();
        const std::string name = std::to_string(load.hosts) + "-hosts/"
            + std::to_string(load.instances) + "-instances/" + std::to_string(load.services)
            + "-services/" + std::to_string(load.changesPerHour) + "-changes-per-hour/";
        reporter.report({ name + "sent", (after.first - before.first) / time, "B/s", "" });
        reporter.report({ name + "received", (after.second - before.second) / time, "B/s", "" });
        constexpr double microsPerSecond = 1e6;
        reporter.report({ name + "cpu", cpuSeconds * microsPerSecond / load.hosts / time,
            "us per host and second", "" });
    }

    /// Heap bytes of one entry of the directory.
    double directoryBytesPerInstance()
    {
        constexpr unsigned count = 20'000;
        const auto before = mallinfo2().uordblks;
        InstanceDirectory directory;
        for (unsigned i = 0; i < count; ++i) {
            InstanceRecord record;
            record.id = InstanceId("boatboard-" + std::to_string(i) + "-of-the-harbour");
            record.service = ServiceId("boatboard");
            record.endpoint = { "10.0.0.1", 80 };
            directory.merge(record, TimePoint {});
        }
        return static_cast<double>(mallinfo2().uordblks - before) / count;
    }

    class ControlBytesCase final : public Case {
    public:
        void run(const Reporter& reporter, std::uint64_t seed) override
        {
            reporter.report(
                { "directory-memory", directoryBytesPerInstance(), "B per instance", "" });
            for (const unsigned hosts : { 12U, 24U, 48U, 96U })
                measure(reporter, { hosts }, seed);
            for (const unsigned instances : { 94U, 188U })
                measure(reporter, { 48, instances }, seed);
            for (const unsigned services : { 12U, 48U })
                measure(reporter, { 48, 47, services }, seed);
            for (const unsigned changes : { 360U, 1800U })
                measure(reporter, { 48, 47, 3, changes }, seed);
        }
    };

    const Registration<CaseRegistry> registration(
        "control_bytes", [] { return std::make_unique<ControlBytesCase>(); });

} // namespace

} // namespace laburnum::bench
