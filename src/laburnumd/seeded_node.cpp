#include "seeded_node.h"

#include <random>

namespace laburnum {

HostId controlHostId(const Endpoint& peer) { return HostId(formatEndpoint(peer)); }

std::vector<HostId> controlHostIds(const std::vector<Endpoint>& peers)
{
    std::vector<HostId> hosts;
    hosts.reserve(peers.size());
    for (const Endpoint& peer : peers)
        hosts.push_back(controlHostId(peer));
    return hosts;
}

std::uint64_t randomSeed()
{
    std::random_device device;
    return (std::uint64_t { device() } << 32U) | device();
}

void addGauge(std::string& text, const std::string& name, const std::string& value)
{
    text += "# TYPE " + name + " gauge\n" + name + ' ' + value + '\n';
}

void logStart(const SeededSettings& settings, DecisionLog& log)
{
    Decision decision { "start", settings.control ? "control" : "entry" };
    decision.facts["data_centre"] = settings.location.dataCentre.value();
    decision.facts["first_start"] = settings.firstStart;
    decision.facts["seeds"] = Json::Value(Json::arrayValue);
    for (const Endpoint& seed : settings.seeds)
        decision.facts["seeds"].append(formatEndpoint(seed));
    decision.facts["repeat_ratio"] = settings.retryBudget.ratio;
    decision.facts["repeat_window_ms"] = Json::Int64(toMillis(settings.retryBudget.window));
    if (settings.control) {
        decision.facts["repeat_slack"] = settings.retryBudget.slack;
        decision.facts["bear_losses"] = settings.toleratedFailures;
    } else {
        decision.facts["stop_grace_ms"] = Json::Int64(toMillis(settings.stopGrace));
        decision.facts["key_validity_ms"] = Json::Int64(toMillis(settings.keyValidity));
        decision.facts["buffer_bytes"] = Json::UInt64(settings.bufferBytes);
    }
    log.record(decision);
}

} // namespace laburnum
