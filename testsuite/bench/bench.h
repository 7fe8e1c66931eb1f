/// Benchmark cases. Each file `NAME_bench.cpp` registers its own.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include <laburnumroute/registry.h>

namespace laburnum::bench {

struct Figure {
    std::string name;
    double value = 0.0;
    std::string unit;
    /// Baseline of the figure, such as "round-robin"; empty if the figure is itself a baseline.
    std::string baseline;
};

/// Prints figures as JSON lines.
class Reporter {
public:
    Reporter(std::string caseName, std::uint64_t seed)
        : m_case(std::move(caseName))
        , m_seed(seed)
    {
    }
    void report(const Figure& figure) const;

private:
    std::string m_case;
    std::uint64_t m_seed;
};

/// A benchmark case. run() reports its figures; the same seed gives the same figures, except for
/// real times and processor times.
class Case {
public:
    virtual ~Case() = default;
    virtual void run(const Reporter& reporter, std::uint64_t seed) = 0;
};

using CaseRegistry = Registry<Case>;

} // namespace laburnum::bench
