/// Benchmark cases: each file `NAME_bench.cpp` registers one; nothing else names it.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include <laburnumroute/registry.h>

namespace laburnum::bench {

/// One measured figure.
struct Figure {
    std::string name;
    double value = 0.0;
    std::string unit;
    /// What the figure is compared with, such as "round-robin"; empty when it is itself the
    /// baseline.
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

/// One case. run() reports its figures; the same seed gives the same figures unless it measures
/// time.
class Case {
public:
    virtual ~Case() = default;
    virtual void run(const Reporter& reporter, std::uint64_t seed) = 0;
};

using CaseRegistry = Registry<Case>;

} // namespace laburnum::bench
