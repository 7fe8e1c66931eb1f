#include "matrix/matrix.h"

#include <array>

namespace laburnum::matrix {

namespace {

    struct FaultEntry {
        Fault fault;
        const char* name;
    };

    constexpr std::array faultTable {
        FaultEntry { Fault::Crash, "crash" },
        FaultEntry { Fault::Freeze, "freeze" },
        FaultEntry { Fault::CutOut, "cut-out" },
        FaultEntry { Fault::CutIn, "cut-in" },
        FaultEntry { Fault::CutBoth, "cut-both" },
        FaultEntry { Fault::Delay, "delay" },
        FaultEntry { Fault::Duplicate, "duplicate" },
        FaultEntry { Fault::Reorder, "reorder" },
        FaultEntry { Fault::LostAnswer, "lost-answer" },
        FaultEntry { Fault::DiskFull, "disk-full" },
        FaultEntry { Fault::FailedSync, "failed-sync" },
        FaultEntry { Fault::TornWrite, "torn-write" },
        FaultEntry { Fault::FlippedBit, "flipped-bit" },
        FaultEntry { Fault::LostDisk, "lost-disk" },
        FaultEntry { Fault::OldState, "old-state" },
        FaultEntry { Fault::OperatorRace, "operator-race" },
        FaultEntry { Fault::Resend, "resend" },
    };

} // namespace

const std::vector<Fault>& allFaults()
{
    static const std::vector<Fault> faults = [] {
        std::vector<Fault> list;
        list.reserve(faultTable.size());
        for (const FaultEntry& entry : faultTable)
            list.push_back(entry.fault);
        return list;
    }();
    return faults;
}

const char* faultName(Fault fault)
{
    for (const FaultEntry& entry : faultTable)
        if (entry.fault == fault)
            return entry.name;
    return "unknown";
}

std::optional<Fault> faultByName(std::string_view name)
{
    for (const FaultEntry& entry : faultTable)
        if (entry.name == name)
            return entry.fault;
    return std::nullopt;
}

std::string cellName(const std::string& row, const CellRequest& request)
{
    const std::string name = row + '/' + faultName(request.fault);
    return request.second ? name + '+' + faultName(*request.second) : name;
}

} // namespace laburnum::matrix
