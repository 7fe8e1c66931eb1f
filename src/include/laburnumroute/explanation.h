/// Why a request would go where it goes.
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
    /// 0 own data centre, 1 own region, 2 another region.
    std::size_t distance = 0;
    /// `eligible`, or the word for what rules the instance out.
    std::string verdict;
    /// `in-service`, `on-trial`, `ejected` or `path-avoided`.
    std::string standing;
    std::uint32_t inFlight = 0;
    std::uint32_t slots = 0;
    double load = 0.0;
    double weight = 0.0;
};

/// What a host would do with a request now, without doing it.
struct Explanation {
    /// Empty when no route matches.
    std::optional<ServiceId> service;
    /// `would-pick-among`, or the word of the refusal.
    std::string outcome;
    std::string balancer;
    std::size_t waiting = 0;
    double retryTokens = 0.0;
    std::vector<InstanceExplanation> instances;
};

/// Encodes with the member names of the operators' interface (docs/operators-api.md).
Json::Value encodeExplanation(const Explanation& explanation);

} // namespace laburnum
