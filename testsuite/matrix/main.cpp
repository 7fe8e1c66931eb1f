// matrix_test [--cell ROW/FAULT[+FAULT]] [--seed N] [--seeds N] [--pairs] [--summary FILE]
// [--mutation NAME]: runs cells of the fault matrix, by default all of them.

#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>

#include <fstream>
#include <iostream>
#include <map>

#include "matrix/matrix.h"

using namespace laburnum;
using namespace laburnum::matrix;

namespace {

struct MatrixOptions {
    std::string cell;
    std::uint64_t seed = 0;
    std::uint64_t seeds = 3;
    bool pairs = false;
    std::string summary;
    std::string mutation;
};

MatrixOptions options;

/// Results of all runs of one cell.
struct CellSummary {
    unsigned runs = 0;
    std::vector<std::uint64_t> redSeeds;
    std::string reason;
};

std::map<std::string, CellSummary> summaries;

std::vector<std::uint64_t> seedsToRun()
{
    if (options.seed != 0)
        return { options.seed };
    std::vector<std::uint64_t> seeds;
    for (std::uint64_t seed = 1; seed <= options.seeds; ++seed)
        seeds.push_back(seed);
    return seeds;
}

void printViolations(const std::vector<std::string>& violations)
{
    for (const auto& violation : violations)
        std::cout << "    " << violation << '\n';
}

void runCell(const std::string& rowName, CellRequest request)
{
    const std::string name = cellName(rowName, request);
    CellSummary& summary = summaries[name];
    const auto row = RowRegistry::instance().create(rowName);
    auto reason = (*row)->skipReason(request.fault);
    if (!reason && request.second)
        reason = (*row)->skipReason(*request.second);
    if (reason) {
        summary.reason = *reason;
        return;
    }
    for (const std::uint64_t seed : seedsToRun()) {
        request.seed = seed;
        const auto violations = (*row)->run(request);
        ++summary.runs;
        std::cout << name << " seed " << seed << ": " << (violations.empty() ? "passed" : "RED")
                  << '\n';
        printViolations(violations);
        if (!violations.empty())
            summary.redSeeds.push_back(seed);
        INFO(name << " --seed " << seed);
        CHECK(violations.empty());
    }
}

void runRow(const std::string& row)
{
    for (const Fault first : allFaults()) {
        CellRequest request;
        request.fault = first;
        request.mutation = options.mutation;
        if (!options.pairs) {
            runCell(row, request);
            continue;
        }
        for (const Fault second : allFaults()) {
            request.second = second;
            runCell(row, request);
        }
    }
}

/// Runs the cell given by --cell.
void runNamedCell()
{
    const std::size_t slash = options.cell.find('/');
    const std::string row = options.cell.substr(0, slash);
    REQUIRE(RowRegistry::instance().contains(row));
    REQUIRE(slash != std::string::npos);
    const std::string faults = options.cell.substr(slash + 1);
    const std::size_t plus = faults.find('+');
    const auto first = faultByName(faults.substr(0, plus));
    REQUIRE(first);
    CellRequest request;
    request.fault = *first;
    request.mutation = options.mutation;
    if (plus != std::string::npos) {
        request.second = faultByName(faults.substr(plus + 1));
        REQUIRE(request.second);
    }
    runCell(row, request);
}

void writeSummary()
{
    std::ofstream file(options.summary);
    unsigned passed = 0;
    unsigned red = 0;
    unsigned skipped = 0;
    for (const auto& [cell, summary] : summaries) {
        file << cell << '\t';
        if (!summary.reason.empty()) {
            ++skipped;
            file << "not sensible\t" << summary.reason << '\n';
        } else if (summary.redSeeds.empty()) {
            ++passed;
            file << "passed\t" << summary.runs << " runs\n";
        } else {
            ++red;
            file << "red\tseeds";
            for (const std::uint64_t seed : summary.redSeeds)
                file << ' ' << seed;
            file << '\n';
        }
    }
    file << "cells: " << passed << " passed, " << red << " red, " << skipped << " not sensible\n";
}

} // namespace

TEST_CASE("the invariants hold in every cell of the matrix")
{
    if (!options.cell.empty()) {
        runNamedCell();
    } else {
        for (const auto& row : RowRegistry::instance().names())
            runRow(row);
    }
    if (!options.summary.empty())
        writeSummary();
}

TEST_CASE("the checks detect every mutation, and its cell passes without it")
{
    if (!options.cell.empty())
        return;
    for (const auto& source : MutationRegistry::instance().names()) {
        const auto mutations = (*MutationRegistry::instance().create(source))->mutations();
        for (const Mutation& mutation : mutations) {
            INFO(mutation.request.mutation << " in " << cellName(mutation.row, mutation.request));
            const auto row = RowRegistry::instance().create(mutation.row);
            const auto violations = (*row)->run(mutation.request);
            std::cout << "mutation " << mutation.request.mutation << ": "
                      << (violations.empty() ? "NOT FOUND" : violations.front()) << '\n';
            CHECK_FALSE(violations.empty());
            CellRequest unmutated = mutation.request;
            unmutated.mutation.clear();
            CHECK((*row)->run(unmutated).empty());
        }
    }
}

int main(int argc, char** argv)
{
    Catch::Session session;
    using namespace Catch::clara;
    session.cli(session.cli() | Opt(options.cell, "row/fault")["--cell"]("run one cell")
        | Opt(options.seed, "n")["--seed"]("run one seed")
        | Opt(options.seeds, "n")["--seeds"]("run this many seeds of each cell")
        | Opt(options.pairs)["--pairs"]("pairs of faults")
        | Opt(options.summary, "file")["--summary"]("write a table of the cells")
        | Opt(options.mutation, "name")["--mutation"]("run with a mutation"));
    const int usage = session.applyCommandLine(argc, argv);
    return usage != 0 ? usage : session.run();
}
