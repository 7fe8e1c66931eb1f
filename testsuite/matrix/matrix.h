/// The fault matrix: steps of the system (rows) crossed with faults (columns). Each file
/// `NAME_rows.cpp` in this folder registers its own rows.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <laburnumroute/registry.h>

namespace laburnum::matrix {

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
/// Name of `fault` on the command line, such as `torn-write`.
const char* faultName(Fault fault);
std::optional<Fault> faultByName(std::string_view name);

/// One run of one cell. Runs are deterministic.
struct CellRequest {
    Fault fault = Fault::Crash;
    /// Injected after `fault`, immediately or after a delay derived from the seed.
    std::optional<Fault> second;
    std::uint64_t seed = 1;
    /// Name of a mutation of the fakes; empty for none.
    std::string mutation;
};

/// A row of the matrix. A new one is constructed for each cell.
class Row {
public:
    virtual ~Row() = default;
    /// Why `fault` is not applicable to this row; unset if it is.
    virtual std::optional<std::string> skipReason(Fault fault) const = 0;
    /// Runs the cell and returns the violated invariants.
    virtual std::vector<std::string> run(const CellRequest& request) = 0;
};

using RowRegistry = Registry<Row>;

/// A mutation and a cell in which the checks must detect it.
struct Mutation {
    std::string row;
    CellRequest request;
};

/// Supplies mutations. A row file registers its mutations along with its rows.
class MutationSource {
public:
    virtual ~MutationSource() = default;
    virtual std::vector<Mutation> mutations() const = 0;
};

using MutationRegistry = Registry<MutationSource>;

/// `row/fault` or `row/fault+second`.
std::string cellName(const std::string& row, const CellRequest& request);

} // namespace laburnum::matrix
