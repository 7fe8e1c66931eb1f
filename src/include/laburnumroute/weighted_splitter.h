/// Splits the requests of a route among weighted services, accurately also for few requests.
#pragma once

#include <cmath>

#include <laburnumroute/configuration.h>

namespace laburnum {

/// Golden-ratio sequence over the unit interval: any run of consecutive values is spread evenly.
class WeightedSplitter {
public:
    /// `start` in [0, 1) offsets the sequence, so that hosts differ.
    explicit WeightedSplitter(double start = 0.0)
        : m_position(start)
    {
    }

    /// Returns the service of the next request. `split` must not be empty.
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
