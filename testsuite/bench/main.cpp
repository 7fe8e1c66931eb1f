// laburnum_bench [CASE] [--seed N]: runs benchmark cases and prints one JSON object per line.

#include <iostream>

#include <cxxopts.hpp>

#include <laburnumroute/json.h>

#include "bench.h"

namespace laburnum::bench {

void Reporter::report(const Figure& figure) const
{
    Json::Value line(Json::objectValue);
    line["case"] = m_case;
    line["figure"] = figure.name;
    line["value"] = figure.value;
    line["unit"] = figure.unit;
    line["seed"] = Json::UInt64(m_seed);
    line["baseline"] = figure.baseline;
    std::cout << toJsonText(line) << std::endl;
}

} // namespace laburnum::bench

int main(int argc, char** argv)
{
    using laburnum::bench::CaseRegistry;
    cxxopts::Options options("laburnum_bench", "Runs benchmark cases.");
    options.add_options()("case", "case to run; all by default", cxxopts::value<std::string>())(
        "seed", "seed", cxxopts::value<std::uint64_t>()->default_value("1"));
    options.parse_positional({ "case" });
    try {
        const auto arguments = options.parse(argc, argv);
        const auto seed = arguments["seed"].as<std::uint64_t>();
        std::vector<std::string> names = CaseRegistry::instance().names();
        if (arguments.count("case") != 0)
            names = { arguments["case"].as<std::string>() };
        for (const auto& name : names) {
            auto found = CaseRegistry::instance().create(name);
            if (!found) {
                std::cerr << "laburnum_bench: " << found.error().message << '\n';
                return 2;
            }
            (*found)->run({ name, seed }, seed);
        }
        return EXIT_SUCCESS;
    } catch (const std::exception& e) {
        std::cerr << "laburnum_bench: " << e.what() << '\n';
        return 2;
    }
}
