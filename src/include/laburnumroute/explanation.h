/// Explains how a request would be routed.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include <json/value.h>

#include <laburnumroute/ids.h>

namespace laburnum {

/// One instance in an Explanation.
struct InstanceExplanation {
    InstanceId instance;
    /// 0: same data centre, 1: same region, 2: another region.
    std::size_t distance = 0;
    /// `eligible`, or the reason that excludes the instance.
    std::string verdict;
    /// `in-service`, `on-trial`, `ejected` or `path-avoided`.
    std::string standing;
    std::uint32_t inFlight = 0;
    std::uint32_t slots = 0;
    double load = 0.0;
    double weight = 0.0;
};

/// How a host would route a request now.
struct Explanation {
    /// Empty when no route matches.
    std::optional<ServiceId> service;
    /// `would-pick-among`, or the name of the refusal.
    std::string outcome;
    std::string balancer;
    std::size_t waiting = 0;
    double retryTokens = 0.0;
    std::vector<InstanceExplanation> instances;
};

/// Encodes with the member names of the operators' API (docs/operators-api.md).
Json::Value encodeExplanation(const Explanation& explanation);

} // namespace laburnum
