// Case "upload_memory": growth of this process's resident memory while 1 GiB is uploaded through an
// entry server. Client, server and upstream all run in this process.

#include <fstream>

#include <unistd.h>

#include "bench.h"
#include "loopback_pair.h"

namespace laburnum::bench {

namespace {

    constexpr std::uint64_t uploadBytes = std::uint64_t { 1 } << 30;
    constexpr std::uint64_t warmUpBytes = std::uint64_t { 1 } << 20;
    constexpr double bytesPerMebibyte = 1024.0 * 1024.0;
    constexpr unsigned workers = 2;

    double residentMebibytes()
    {
        std::ifstream statm("/proc/self/statm");
        double total = 0;
        double resident = 0;
        statm >> total >> resident;
        return resident * static_cast<double>(::sysconf(_SC_PAGESIZE)) / bytesPerMebibyte;
    }

    /// Peak resident memory since the last resetPeak().
    double peakMebibytes()
    {
        std::ifstream status("/proc/self/status");
        std::string word;
        while (status >> word) {
            double kibibytes = 0;
            if (word == "VmHWM:" && status >> kibibytes)
                return kibibytes / 1024.0;
        }
        return 0.0;
    }

    void resetPeak() { std::ofstream("/proc/self/clear_refs") << "5"; }

    class UploadMemoryCase final : public Case {
    public:
        void run(const Reporter& reporter, std::uint64_t seed) override
        {
            const MinimalUpstream upstream;
            const LoopbackEntry entry(upstream.endpoint(), seed, workers);
            LoopbackCaller(entry.endpoint()).upload(warmUpBytes);
            const double before = residentMebibytes();
            resetPeak();
            const auto start = std::chrono::steady_clock::now();
            const bool complete = LoopbackCaller(entry.endpoint()).upload(uploadBytes);
            const std::chrono::duration<double> time = std::chrono::steady_clock::now() - start;
            reporter.report({ "answered", complete ? 1.0 : 0.0, "uploads", "" });
            reporter.report({ "peak-growth", peakMebibytes() - before, "MiB", "resident before" });
            reporter.report({ "rate",
                static_cast<double>(uploadBytes) / bytesPerMebibyte / time.count(), "MiB/s", "" });
        }
    };

    const Registration<CaseRegistry> registration(
        "upload_memory", [] { return std::make_unique<UploadMemoryCase>(); });

} // namespace

} // namespace laburnum::bench
