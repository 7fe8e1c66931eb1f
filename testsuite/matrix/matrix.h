/// The fault matrix: steps of the system (rows) crossed with faults (columns). A file
/// `NAME_rows.cpp` in this folder registers rows; nothing else names it.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <laburnumroute/registry.h>

namespace laburnum::matrix {

/// The columns.
enum class Fault {
    Crash,
    Freeze,
    CutOut,
    CutIn,
    CutBoth,
    Delay,
    Duplicate,
    Reorder,
    LostAnswer,
    DiskFull,
    FailedSync,
    TornWrite,
    FlippedBit,
    LostDisk,
    OldState,
    OperatorRace,
    Resend,
};

/// All faults, in the order of the columns.
const std::vector<Fault>& allFaults();
/// The name of `fault` on the command line, such as `torn-write`.
const char* faultName(Fault fault);
std::optional<Fault> faultByName(std::string_view name);

/// One run of one cell. Deterministic.
struct CellRequest {
    Fault fault = Fault::Crash;
    /// Follows the first one, at once or after a delay that the seed chooses.
    std::optional<Fault> second;
    std::uint64_t seed = 1;
    /// A named mutation of the fakes; empty for none.
    std::string mutation;
};

/// A row. Each cell constructs a new one.
class Row {
public:
    virtual ~Row() = default;
    /// Why the cell makes no sense; nothing when it does.
    virtual std::optional<std::string> notSensible(Fault fault) const = 0;
    /// Runs the cell and returns the broken promises.
    virtual std::vector<std::string> run(const CellRequest& request) = 0;
};

using RowRegistry = Registry<Row>;

/// A mutation and a cell that it must turn red.
struct Mutation {
    std::string row;
    CellRequest request;
};

/// Mutations by name; a row file registers them next to its rows.
class MutationSource {
public:
    virtual ~MutationSource() = default;
    virtual std::vector<Mutation> mutations() const = 0;
};

using MutationRegistry = Registry<MutationSource>;

/// `row/fault` or `row/fault+second`.
std::string cellName(const std::string& row, const CellRequest& request);

} // namespace laburnum::matrix
