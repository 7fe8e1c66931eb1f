// Case "recovery": real time to reopen a data folder on the file system and apply its contents, for
// several lengths of the log, with and without a snapshot. Each change has 2 KiB.

#include <chrono>
#include <cstdlib>
#include <filesystem>

#include <laburnumroute/config_ledger.h>
#include <laburnumroute/disk_storage.h>
#include <laburnumroute/log_store.h>

#include "bench.h"

namespace laburnum::bench {

namespace {

    constexpr std::size_t contentBytes = 2048;
    /// Entries per append; batching saves syncs while the log is filled.
    constexpr unsigned batch = 100;

    /// Fills the folder with `count` changes, and with a snapshot after them if `hasSnapshot` is
    /// set.
    void fill(const std::string& folder, unsigned count, bool hasSnapshot)
    {
        const auto storage = openDiskStorage(folder);
        auto store = LogStore::open(**storage, MemberId("m"));
        ConfigLedger ledger;
        std::vector<LogEntry> entries;
        for (unsigned i = 0; i < count; ++i) {
            const ConfigChange change { ChangeId("change-" + std::to_string(i)), Revision(i),
                std::string(contentBytes, 'x') };
            ledger.apply(change);
            entries.push_back({ Term(1), EntryKind::Command, encodeConfigChange(change) });
            if (entries.size() == batch || i + 1 == count) {
                store->append(next(store->lastIndex()), entries);
                entries.clear();
            }
        }
        if (hasSnapshot)
            store->saveSnapshot(
                { store->lastIndex(), Term(1), {}, ledger.snapshot() }, store->lastIndex());
    }

    double recoverMillis(const std::string& folder, unsigned count)
    {
        const auto start = std::chrono::steady_clock::now();
        const auto storage = openDiskStorage(folder);
        const auto store = LogStore::open(**storage, MemberId("m"));
        ConfigLedger ledger;
        ledger.restore(store->snapshot().state);
        for (LogIndex index = next(store->snapshot().index); index <= store->lastIndex();
             index = next(index))
            ledger.apply(*decodeConfigChange(store->at(index).command));
        const auto time = std::chrono::steady_clock::now() - start;
        const bool isRight = ledger.current().revision == Revision(count);
        return isRight ? std::chrono::duration<double, std::milli>(time).count() : -1.0;
    }

    class RecoveryCase final : public Case {
    public:
        void run(const Reporter& reporter, std::uint64_t /*seed*/) override
        {
            for (const unsigned count : { 100U, 1000U, 4000U, 16000U })
                for (const bool hasSnapshot : { false, true }) {
                    std::string pattern
                        = (std::filesystem::temp_directory_path() / "laburnum-XXXXXX").string();
                    const std::string folder = ::mkdtemp(pattern.data());
                    fill(folder, count, hasSnapshot);
                    const double millis = recoverMillis(folder, count);
                    std::filesystem::remove_all(folder);
                    reporter.report({ std::to_string(count) + "-changes/"
                            + (hasSnapshot ? "snapshot" : "log-only"),
                        millis, "ms", hasSnapshot ? "log-only" : "" });
                }
        }
    };

    const Registration<CaseRegistry> registration(
        "recovery", [] { return std::make_unique<RecoveryCase>(); });

} // namespace

} // namespace laburnum::bench
