/// Divides the requests of a route among its parts, so that also few requests keep the weights.
#pragma once

#include <cmath>

#include <laburnumroute/configuration.h>

namespace laburnum {

/// Steps through the unit interval by the golden ratio: any run of it is spread evenly.
class WeightedSplitter {
public:
    /// `start` in [0, 1) sets hosts apart from each other.
    explicit WeightedSplitter(double start = 0.0)
        : m_position(start)
    {
    }

    /// The service of the next request. `split` is not empty.
    const ServiceId& next(const std::vector<WeightedService>& split)
    {
        constexpr double goldenRatio = 0.618033988749895;
        m_position = std::fmod(m_position + goldenRatio, 1.0);
        double sum = 0;
        for (const auto& share : split)
            sum += share.weight;
        double rest = m_position * sum;
        for (const auto& share : split) {
            rest -= share.weight;
            if (rest < 0)
                return share.service;
        }
        return split.back().service;
    }

private:
    double m_position;
};

} // namespace laburnum
