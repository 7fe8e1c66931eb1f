/// Hosts with dispatchers and the ejection machinery over a fake network, under made-up traffic.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include <laburnumroute/dispatcher.h>
#include <laburnumroute/ejection_client.h>
#include <laburnumroute/ejection_owner.h>

#include "fakes/fake_network.h"
#include "fakes/fake_ownership.h"

namespace laburnum::fakes {

/// What an attempt meets: the result and its latency.
using HealthModel = std::function<AttemptReport(
    const InstanceId& instance, const HostLocation& host, TimePoint now, Random& random)>;

/// A healthy answer: 0.1 % errors, lognormal latency with median 30 ms.
inline AttemptReport healthyReport(Random& random)
{
    const double seconds = std::lognormal_distribution<double>(std::log(0.03), 0.5)(random);
    const bool failed = uniformReal(random) < 0.001;
    return { failed ? AttemptResult::Failed : AttemptResult::Succeeded, failed ? 500U : 200U,
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)), 1000 };
}

/// A server error that the instance answered.
inline AttemptReport errorReport()
{
    return { AttemptResult::Failed, 500, std::chrono::milliseconds(5), 1000 };
}

/// Hosts h0, h1, ... alternate between data centres d0 and d1; instances stand in neither unless
/// options say otherwise.
class EjectionFleet {
public:
    struct Options {
        unsigned hosts = 4;
        unsigned instances = 6;
        unsigned slots = 6;
        std::uint32_t floorSlots = 24;
        DetectionWeighting weighting = DetectionWeighting::QuickDetection;
        /// Requests per second and host.
        double rate = 200.0;
        std::uint64_t seed = 1;
        std::string method = "GET";
        std::string balancer = ServiceSpec {}.balancer;
        /// Instances alternate between d0 and d1 too, so that each host sees those of its own.
        bool localInstances = false;
    };

    struct Host {
        Host(HostLocation p, std::uint64_t seed, DecisionLog& log)
            : location(std::move(p))
            , dispatcher(location, seed, log)
            , ownership(location.host)
            , client(location.dataCentre, seed, ownership, dispatcher)
            , owner(ownership, dispatcher)
        {
        }
        HostLocation location;
        Dispatcher dispatcher;
        FakeOwnership ownership;
        EjectionClient client;
        EjectionOwner owner;
        bool alive = true;
    };

    explicit EjectionFleet(Options o)
        : options(std::move(o))
        , network(options.seed)
        , random(options.seed)
    {
        Configuration configuration;
        ServiceSpec spec { service };
        spec.floorSlots = options.floorSlots;
        spec.weighting = options.weighting;
        spec.balancer = options.balancer;
        configuration.services.push_back(spec);
        configuration.routes.push_back({ "", "/", {}, service });
        for (unsigned i = 0; i < options.hosts; ++i) {
            const HostLocation location { HostId("h" + std::to_string(i)),
                DataCentreId("d" + std::to_string(i % 2)), RegionId("r") };
            hosts.push_back(std::make_unique<Host>(location, options.seed * 1000 + i, m_log));
            hosts.back()->dispatcher.setConfiguration(configuration);
            network.attach(location.host, hosts.back()->client);
            network.attach(location.host, hosts.back()->owner);
        }
        for (unsigned i = 0; i < options.instances; ++i)
            addInstance(i);
        setOwner(0, network.now());
    }

    static InstanceId instance(unsigned i) { return InstanceId("i" + std::to_string(i)); }

    void addInstance(unsigned i)
    {
        for (auto& host : hosts)
            host->dispatcher.upsertInstance(recordOf(i), network.now());
    }

    InstanceRecord recordOf(unsigned i) const
    {
        InstanceRecord record;
        record.id = instance(i);
        record.service = service;
        record.dataCentre
            = DataCentreId(options.localInstances ? "d" + std::to_string(i % 2) : "upstreams");
        record.region = RegionId("r");
        record.slots = options.slots;
        record.connections = 400;
        return record;
    }

    /// Takes the instance away in every host's eyes, as when its lease ran out.
    void removeInstance(unsigned i)
    {
        for (auto& host : hosts)
            host->dispatcher.removeInstance(instance(i), network.now());
    }

    void setOwner(unsigned owner, TimePoint since)
    {
        for (auto& host : hosts)
            host->ownership.setOwner(hosts[owner]->location.host, since);
    }

    void kill(unsigned i)
    {
        network.detach(hosts[i]->location.host);
        hosts[i]->alive = false;
    }

    /// Runs traffic and messages, checking the floor after every step.
    void run(Duration time)
    {
        network.run(time, [this] {
            for (auto& host : hosts) {
                if (host->alive && uniformReal(random) < options.rate / 1000.0)
                    sendOne(*host);
            }
            checkFloor();
        });
    }

    /// True when some host keeps ordinary traffic from the instance.
    bool isEjectedAnywhere(unsigned i) const { return ejectedAnywhere().contains(instance(i)); }

    bool isEjectedAt(unsigned host, unsigned i) const
    {
        return ejectedAt(*hosts[host]).contains(instance(i));
    }

    /// Instances from which some host that lives keeps ordinary traffic.
    std::set<InstanceId> ejectedAnywhere() const
    {
        std::set<InstanceId> ejected;
        for (const auto& host : hosts) {
            if (host->alive)
                ejected.merge(ejectedAt(*host));
        }
        return ejected;
    }

    const ServiceId service { "boatboard" };
    Options options;
    FakeNetwork network;
    Random random;
    std::vector<std::unique_ptr<Host>> hosts;
    HealthModel health = [](const InstanceId&, const HostLocation&, TimePoint, Random& r) {
        return healthyReport(r);
    };
    /// Steps after which less than the floor was left by ejections.
    unsigned violations = 0;
    /// Requests that each instance got and that got a good answer, over all.
    std::map<InstanceId, unsigned> requests;

private:
    std::set<InstanceId> ejectedAt(const Host& host) const
    {
        std::set<InstanceId> ejected;
        const auto explanation = host.dispatcher.explain({ "GET", "", "/" }, network.now());
        for (const auto& item : explanation.instances) {
            if (item.standing != "in-service" && item.verdict != "gone")
                ejected.insert(item.instance);
        }
        return ejected;
    }

    void sendOne(Host& host)
    {
        const TimePoint now = network.now();
        const auto assigned = host.dispatcher.begin({ options.method, "", "/" }, {}, now);
        if (!assigned)
            return;
        ++requests[assigned->instance];
        const AttemptReport report = health(assigned->instance, host.location, now, random);
        host.dispatcher.finish(assigned->attempt, report, now);
    }

    void checkFloor()
    {
        std::uint64_t all = 0;
        std::uint64_t left = 0;
        const auto ejected = ejectedAnywhere();
        for (const auto& [id, slots] : hosts.front()->dispatcher.servingSlots(service)) {
            all += slots;
            left += ejected.contains(id) ? 0 : slots;
        }
        if (left < options.floorSlots && left < all)
            ++violations;
    }

    NullDecisionLog m_log;
};

} // namespace laburnum::fakes
